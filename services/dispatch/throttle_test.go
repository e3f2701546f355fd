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
	b.AddJob(b.job(serving, fillerStep), jobs.Progress{}, true, b.now)
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
	require.Equal(t, jobs.FullSpeed, last, "and far below the target afterwards")
}

func TestOutcomeOfAnOlderOrderChangesNoPace(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(fillerStep), jobs.Progress{}, true, b.now)
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

// TestThrottledRunIsGivenSpeedBackByASuccessor guards against a successor that assumes full pace for a run that
// the previous owner had throttled to a halt: the run then never progressed again. Found by the soak with seed
// 202.
func TestThrottledRunIsGivenSpeedBackByASuccessor(t *testing.T) {
	b := newBench(t, 1)
	filling := jobs.Step{Count: 2, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Filler: true}
	b.AddJob(b.job(filling), jobs.Progress{}, false, b.now)
	stands := jobs.Run{Task: taskOf(0), Run: 2, Figure: 0}
	works := jobs.Run{Task: taskOf(1), Run: 2, Figure: 850}
	for range 20 {
		b.report(0, jobs.Report{Running: []jobs.Run{stands, works}})
		for _, order := range b.Decide(b.now) {
			pace, ok := order.(PaceOrder)
			require.True(t, ok, "only pace orders are needed")
			require.Equal(t, stands.Task, pace.Call.Task, "the other run is at full pace")
			require.Equal(t, jobs.FullSpeed, pace.Call.Pace)
			return
		}
	}
	require.Fail(t, "the run stays halted")
}

// TestRunThatAnOldOrderThrottledGoesOn guards against a run that stays throttled because an order to throttle
// was carried out seconds late, after the order that restored its pace.
func TestRunThatAnOldOrderThrottledGoesOn(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(fillerStep), jobs.Progress{}, true, b.now)
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
	require.Fail(t, "the run stays halted")
}

// TestHarmEndsInTime has a tail latency over its target that the model does not explain: the filler task beside
// it must be halted well before the four seconds after which harm counts.
func TestHarmEndsInTime(t *testing.T) {
	b := newBench(t, 1)
	serving := servingStep
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Filler: true, Checkpoints: true}
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
		b.setInterference("filling", 0) // learned with certainty
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
	require.Fail(t, "the filler task was not halted")
}

// TestTailAtItsTargetEndsInTime has a tail latency that stays just over its target while single figures vary to
// both sides, as they do in practice: one figure below the target between two above it does not end the excess.
func TestTailAtItsTargetEndsInTime(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(servingStep, fillerStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	figures := []int{104, 97, 106, 95, 102, 98}
	began := b.now
	for n := 0; b.now.Sub(began) < 6*time.Second; n++ {
		b.setInterference("filling", 0) // learned with certainty
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
	require.Fail(t, "the filler task was not halted")
}
