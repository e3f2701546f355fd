// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// maxWaitForLateStartWorker is the longest time for which a task may be offered to the worker of its late start alone.
const maxWaitForLateStartWorker = maxStaleEntryWait + time.Second

// TestTaskWithLateStartLeavesAWorkerThatDoesNotTakeIt guards against a task that is ordered again and again on the
// worker of its late start, which does not take it, beside an idle worker.
func TestTaskWithLateStartLeavesAWorkerThatDoesNotTakeIt(t *testing.T) {
	for name, result := range map[string]Result{
		"no capacity": {Outcome: OutcomeRefused, Refusal: jobs.RefusedCapacity},
		"late":        {Outcome: OutcomeRefused, Refusal: jobs.RefusedLate},
		"refused":     {Outcome: OutcomeRefused, Refusal: jobs.RefusedOther},
		"not done":    {Outcome: OutcomeNotDone},
		"unreached":   {Outcome: OutcomeUnreached},
		"no answer":   {Outcome: OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b, late := newBarredLateStart(t, singleTaskStep, entryOfPresent)
			began := b.now
			clock := b.workers[b.ids[0]].reportClock
			for b.now.Sub(began) < 2*maxWaitForLateStartWorker {
				for _, order := range b.Decide(b.now) {
					switch order := order.(type) {
					case StartOrder:
						if order.Worker.ID != late.Worker.ID {
							require.Less(t, b.now.Sub(began), maxWaitForLateStartWorker)
							return
						}
						if result.Outcome == OutcomeUnknown {
							b.now = b.now.Add(400 * time.Millisecond)
						}
						b.Started(order, result, b.now)
					case StopOrder:
						b.Stopped(order, Result{Outcome: OutcomeDone}, b.now)
					}
				}
				b.Stored(b.TakeChanges(10, b.now), b.now)
				b.report(1, jobs.Report{})
				clock += 100
				b.reportIncarnation(secondStartTime, clock, jobs.Report{})
			}
			require.Fail(t, "the task was not started elsewhere")
		})
	}
}

// TestTaskWithLateStartLeavesAWorkerThatRestartsAllTheTime guards against a task that is lost with one worker again and
// again until it counts as the cause, and its job fails.
func TestTaskWithLateStartLeavesAWorkerThatRestartsAllTheTime(t *testing.T) {
	b, late := newBarredLateStart(t, singleTaskStep, entryOfPresent)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	require.Equal(t, late.Worker.ID, starts[0].Worker.ID)
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	b.reportIncarnation(secondStartTime+1, 30, jobs.Report{}) // the list's entry follows later
	b.report(1, jobs.Report{})
	starts = b.storedStarts()
	require.Len(t, starts, 1, "the task does not wait for its worker any more")
	require.NotEqual(t, late.Worker.ID, starts[0].Worker.ID)
}

// TestTaskWithLateStartDoesNotWaitForAWorkerThatRestartsAgainAndAgain guards against a task that waits anew for each
// incarnation of the worker of its late start, beside an idle worker.
func TestTaskWithLateStartDoesNotWaitForAWorkerThatRestartsAgainAndAgain(t *testing.T) {
	b, late := newBarredLateStart(t, singleTaskStep, noEntry)
	began, born := b.now, secondStartTime
	var starts []StartOrder
	for len(starts) == 0 && b.now.Sub(began) < maxOrderDelay {
		born++
		b.report(1, jobs.Report{})
		b.reportIncarnation(born, 10, jobs.Report{})
		starts = b.storedStarts()
	}
	require.Len(t, starts, 1)
	require.NotEqual(t, late.Worker.ID, starts[0].Worker.ID)
	require.Less(t, b.now.Sub(began), maxWaitForLateStartWorker)
}

// TestTaskWithLateStartWaitsForItsWorkerOnce guards against a task that has run elsewhere meanwhile and waits for the worker
// of its late start once more.
func TestTaskWithLateStartWaitsForItsWorkerOnce(t *testing.T) {
	b, _ := newBarredLateStart(t, singleTaskStep, entryOfPrevious)
	clock := b.workers[b.ids[0]].reportClock
	start := func() (started StartOrder, waited time.Duration) {
		began := b.now
		for b.now.Sub(began) < 2*maxStaleEntryWait {
			clock += 200
			b.reportIncarnation(secondStartTime, clock, jobs.Report{})
			b.report(1, jobs.Report{})
			if starts := b.storedStarts(); len(starts) > 0 {
				return starts[0], b.now.Sub(began)
			}
		}
		return StartOrder{}, b.now.Sub(began)
	}
	first, waited := start()
	require.InDelta(t, maxStaleEntryWait.Seconds(), waited.Seconds(), 0.2)
	b.Started(first, Result{Outcome: OutcomeDone}, b.now)
	b.report(1, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: first.Call.Task, Run: first.Call.Run, How: jobs.EndFailed}}})
	_, waited = start()
	require.Less(t, waited, maxRosterWait)
}

// TestOtherTasksMoveWhileOneWaitsForTheWorkerOfItsLateStart guards against tasks that are kept from other cells because
// another task of their step waits for the worker of its late start.
func TestOtherTasksMoveWhileOneWaitsForTheWorkerOfItsLateStart(t *testing.T) {
	step := singleTaskStep
	step.Count, step.PerWorker, step.LongRunning = 3, 1, true
	b, _ := newBarredLateStart(t, step, entryOfPrevious)
	waits := b.now
	var moves []Move
	for len(moves) == 0 && b.now.Sub(waits) < 2*offerAfter {
		b.storedStarts()
		b.report(1, jobs.Report{})
		moves = b.Movable(10, b.now)
	}
	require.Len(t, moves, 1)
	require.Equal(t, jobs.TaskSet{0: {2}}, moves[0].Tasks)
	require.Equal(t, 1, moves[0].Demand.Step.Count)
	require.True(t, b.BeginMove(moves[0]))
}

// TestSilentWorkerEndsAStoppedRunFirst guards against a task that starts elsewhere while its late start, which the next
// incarnation has carried out, is being stopped there: a mismatch has shown that incarnation, it has answered the stop,
// and has been silent otherwise.
func TestSilentWorkerEndsAStoppedRunFirst(t *testing.T) {
	const stopTime = time.Second
	b := newBench(t, 1)
	b.list(firstStartTime)
	for b.now.Before(b.previousOwnersLapsed()) {
		b.report(0, jobs.Report{Born: firstStartTime})
	}
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	b.OtherIncarnationAnswered(starts[0].Worker.Incarnation(), secondStartTime, b.now)
	began := b.now
	var stop StopOrder
	for b.now.Sub(began) < silentAfter {
		for _, order := range b.Decide(b.now) {
			stop = order.(StopOrder)
		}
		b.store()
		b.now = b.now.Add(100 * time.Millisecond)
	}
	b.Stopped(stop, Result{Outcome: OutcomeDone}, b.now)
	answered := b.now
	task := b.taskOf(testJob)
	for task.worker != nil && b.now.Sub(began) < 2*maxOrderDelay {
		b.Decide(b.now)
		b.store()
		b.now = b.now.Add(100 * time.Millisecond)
	}
	require.Nil(t, task.worker)
	require.GreaterOrEqual(t, b.now.Sub(answered), stopTime)
	require.Less(t, b.now.Sub(answered), 2*stopTime, "the run has ended long ago")
}
