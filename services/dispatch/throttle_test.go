// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

func TestHeavyFillingTaskIsThrottledAndGivenBack(t *testing.T) {
	b := newBench(t, 1)
	serving := servingStep
	b.AddJob(b.job(serving, fillingStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	tail := func(ms int) {
		var running []jobs.Run
		for _, s := range starts {
			figure := 900
			if s.Call.Task.Step == 0 {
				figure = ms
			}
			running = append(running, jobs.Run{Task: s.Call.Task, Run: s.Call.Run, Figure: figure})
		}
		b.report(0, jobs.Report{Running: running})
	}
	paces := func() (last jobs.Percent, orders int) {
		for range 20 {
			for _, order := range b.Decide(b.now) {
				if pace, ok := order.(PaceOrder); ok {
					last = pace.Call.Pace
					orders++
				}
			}
			b.now = b.now.Add(100 * time.Millisecond)
			tail(map[bool]int{true: 150, false: 30}[orders == 0])
		}
		return last, orders
	}
	tail(150)
	last, orders := paces()
	require.Positive(t, orders, "the tail is over its target")
	require.Equal(t, jobs.FullSpeed, last, "and far below it afterwards")
}

func TestOutcomeOfAnOlderOrderChangesNoPace(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(fillingStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	running := b.find(starts[0].Call.Task)
	b.setPace(running.worker, running, 20, b.now)
	b.setPace(running.worker, running, 80, b.now)
	var paces []PaceOrder
	for _, order := range b.Decide(b.now) {
		if pace, ok := order.(PaceOrder); ok {
			paces = append(paces, pace)
		}
	}
	require.GreaterOrEqual(t, len(paces), 2)
	now := running.pace
	b.Paced(paces[0], Result{Outcome: OutcomeUnknown}, b.now)
	require.Equal(t, now, running.pace)
}

// TestThrottledRunIsGivenSpeedBackByASuccessor holds what seed 202 of the soak found: a
// former owner had throttled a run to a standstill, and its successor took it to be at full
// pace for ever.
func TestThrottledRunIsGivenSpeedBackByASuccessor(t *testing.T) {
	b := newBench(t, 1)
	filling := jobs.Step{Count: 2, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true}
	b.AddJob(b.job(filling), jobs.Progress{}, false, b.now)
	stands := jobs.Run{Task: taskOf(0), Run: 2, Figure: 0}
	works := jobs.Run{Task: taskOf(1), Run: 2, Figure: 850}
	for range 20 {
		b.report(0, jobs.Report{Running: []jobs.Run{stands, works}})
		for _, order := range b.Decide(b.now) {
			pace, ok := order.(PaceOrder)
			require.True(t, ok, "nothing else is to be done")
			require.Equal(t, stands.Task, pace.Call.Task, "the other one works at full pace")
			require.Equal(t, jobs.FullSpeed, pace.Call.Pace)
			return
		}
	}
	require.Fail(t, "it stands still for ever")
}

// TestRunThatAnOldOrderThrottledGoesOn: an order to throttle may be done seconds late, after
// the one that gave the speed back.
func TestRunThatAnOldOrderThrottledGoesOn(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(fillingStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	run := jobs.Run{Task: starts[0].Call.Task, Run: starts[0].Call.Run, Figure: 850}
	for range 10 {
		b.report(0, jobs.Report{Running: []jobs.Run{run}})
		require.Empty(t, b.Decide(b.now))
	}
	run.Figure = 0
	for range 30 {
		b.report(0, jobs.Report{Running: []jobs.Run{run}})
		if orders := b.Decide(b.now); len(orders) > 0 {
			require.Equal(t, jobs.FullSpeed, orders[0].(PaceOrder).Call.Pace)
			return
		}
	}
	require.Fail(t, "it stands still for ever")
}

// TestHarmEndsInTime has a tail over its target that the model doesn't explain: what fills
// beside it must be at a stand well before the four seconds after which harm counts.
func TestHarmEndsInTime(t *testing.T) {
	b := newBench(t, 1)
	serving := servingStep
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true, Checkpoints: true}
	b.AddJob(b.job(serving, filling), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	tail := 30
	report := func() {
		var running []jobs.Run
		for _, s := range starts {
			figure := 900
			if s.Call.Task.Step == 0 {
				figure = tail
			}
			running = append(running, jobs.Run{Task: s.Call.Task, Run: s.Call.Run, Figure: figure})
		}
		b.setInterference("filling", 0) // as if learned for sure
		b.report(0, jobs.Report{Running: running})
	}
	report()
	b.Decide(b.now)
	tail = 150 // just after a report
	over := b.now
	for b.now.Sub(over) < 10*time.Second {
		call, ok := b.LeaseCall(b.ids[0], time.Second, b.now)
		require.True(t, ok)
		b.now = b.now.Add(call.Wait)
		report()
		for _, order := range b.Decide(b.now) {
			if pace, ok := order.(PaceOrder); ok && pace.Call.Pace == 0 {
				require.Less(t, b.now.Sub(over), 3*time.Second)
				return
			}
		}
	}
	require.Fail(t, "it fills on")
}

// TestTailAtItsTargetEndsInTime has a tail that stays just over its target while its figures
// differ to both sides, as they do: one below the target between two above it is no end.
func TestTailAtItsTargetEndsInTime(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(servingStep, fillingStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	figures := []int{104, 97, 106, 95, 102, 98}
	began := b.now
	for n := 0; b.now.Sub(began) < 6*time.Second; n++ {
		b.setInterference("filling", 0) // as if learned for sure
		b.now = b.now.Add(200 * time.Millisecond)
		b.report(0, jobs.Report{Running: []jobs.Run{
			{Task: starts[0].Call.Task, Run: starts[0].Call.Run, Figure: figures[n%len(figures)]},
			{Task: starts[1].Call.Task, Run: starts[1].Call.Run, Figure: 900},
		}})
		for _, order := range b.Decide(b.now) {
			if pace, ok := order.(PaceOrder); ok && pace.Call.Pace == 0 {
				require.Less(t, b.now.Sub(began), 3*time.Second)
				return
			}
		}
	}
	require.Fail(t, "it fills on")
}
