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

// stops returns the stops that are ordered now.
func (b *bench) stops() []StopOrder {
	var stops []StopOrder
	for _, order := range b.Decide(b.now) {
		if stop, ok := order.(StopOrder); ok {
			stops = append(stops, stop)
		}
	}
	return stops
}

// TestStopThatIsRefusedBarsNothing guards against a second run of a task whose start had no answer: until a stop has
// barred the run, the start may still be carried out, so the task must not start again.
func TestStopThatIsRefusedBarsNothing(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	b.Started(starts[0], Result{Outcome: OutcomeUnknown}, b.now)
	b.Started(starts[0], Result{Outcome: OutcomeUnknown}, b.now)
	stops := b.stops()
	require.Len(t, stops, 1)
	for _, refusal := range []jobs.Refusal{jobs.RefusedOther, jobs.RefusedCapacity, jobs.RefusedLate} {
		b.Stopped(stops[0], Result{Outcome: OutcomeRefused, Refusal: refusal}, b.now)
		b.report(0, jobs.Report{})
		b.now = b.now.Add(stopRetryInterval)
		b.report(0, jobs.Report{})
		orders := b.Decide(b.now)
		require.Len(t, orders, 1, "%s", refusal)
		require.IsType(t, StopOrder{}, orders[0], "%s", refusal)
	}
	b.Stopped(stops[0], Result{Outcome: OutcomeDone}, b.now)
	b.report(0, jobs.Report{})
	require.Len(t, b.starts(), 1, "the run is barred")
}

// TestProgressThatMayBeStoredGoesWithTheEnd guards against progress that stays in the store because its transaction
// had no answer: a job that is submitted under the same id later must not find it.
func TestProgressThatMayBeStoredGoesWithTheEnd(t *testing.T) {
	b := newBench(t, 1)
	two := singleTaskStep
	two.Count = 2
	b.AddJob(b.job(two), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	ended := func(n int) jobs.Ended {
		return jobs.Ended{Number: uint64(n + 1), Task: starts[n].Call.Task, Run: starts[n].Call.Run, How: jobs.EndSucceeded}
	}
	b.report(0, jobs.Report{Ended: []jobs.Ended{ended(0)}})
	first := b.TakeChanges(10, b.now)
	require.Len(t, first.Jobs, 1)
	b.Unstored(first)
	b.report(0, jobs.Report{Ended: []jobs.Ended{ended(0), ended(1)}})
	second := b.TakeChanges(10, b.now)
	require.Len(t, second.Jobs, 1)
	require.NotNil(t, second.Jobs[0].Ended)
	require.True(t, second.Jobs[0].HasProgress)
}

// TestLeaseOfAFormerOwnerRunsOnAtAWorkerThatHasAnswered guards against a task that starts elsewhere before a
// previous owner's lease is over: from its first answer on the worker refuses the previous owner, but the lease that
// it was granted before, here twice as long, still holds.
func TestLeaseOfAFormerOwnerRunsOnAtAWorkerThatHasAnswered(t *testing.T) {
	const previousLease = 8 * time.Second
	b := newBench(t, 2)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: models.MilliOf(previousLease)}, b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	run := jobs.Run{Task: taskOf(0), Run: 3}
	b.report(0, jobs.Report{Running: []jobs.Run{run}})
	answered := b.now
	for range 150 {
		b.report(1, jobs.Report{})
		if len(b.storedStarts()) > 0 {
			require.GreaterOrEqual(t, b.now.Sub(answered), previousLease)
			require.Less(t, b.now.Sub(answered), previousLease+2*time.Second)
			return
		}
	}
	require.Fail(t, "the task does not run again")
}

// TestHaltWithoutAnswerIsRepeated guards against assuming a pace to be in force although its order had no answer.
func TestHaltWithoutAnswerIsRepeated(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(servingStep, fillerStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	halts := 0
	for range 50 {
		b.report(0, jobs.Report{Running: []jobs.Run{
			{Task: starts[0].Call.Task, Run: starts[0].Call.Run, Figure: map[int]int{0: 150, 1: 900}[starts[0].Call.Task.Step]},
			{Task: starts[1].Call.Task, Run: starts[1].Call.Run, Figure: map[int]int{0: 150, 1: 900}[starts[1].Call.Task.Step]},
		}})
		for _, order := range b.Decide(b.now) {
			pace, ok := order.(PaceOrder)
			if !ok {
				continue
			}
			result := Result{Outcome: OutcomeDone}
			if pace.Call.Pace == 0 {
				halts++
				result.Outcome = OutcomeUnknown
				if halts%2 == 0 {
					result.Outcome = OutcomeNotDone // does not show whether the previous order was carried out
				}
			}
			b.Paced(pace, result, b.now)
		}
	}
	require.GreaterOrEqual(t, halts, 3, "the tail latency stays over its target")
}
