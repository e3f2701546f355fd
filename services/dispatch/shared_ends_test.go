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

// lastingPair is a step of two long-running tasks.
var lastingPair = jobs.Step{Count: 2, Size: models.Resources{CPU: 1000, Memory: 100}, LongRunning: true, Image: "serving", Target: 100}

// dividedRecord returns the record of a job of which this cell has the first task and another cell the second one.
func (b *bench) dividedRecord() jobs.Record {
	whole := b.job(lastingPair)
	record := whole.WithoutTasks(jobs.TaskSet{0: {1}})
	record.Version = 10
	return record
}

// newDividedBench runs the first task of a divided job.
func newDividedBench(t *testing.T) (b *bench, start StartOrder) {
	t.Helper()
	b = newBench(t, 2)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	b.AddJob(b.dividedRecord(), jobs.Progress{}, true, b.now)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	return b, starts[0]
}

// reportAsStopped lets the worker of a run report that it was stopped.
func (b *bench) reportAsStopped(start StartOrder) {
	for n, id := range b.ids {
		if id == start.Worker.ID {
			b.report(n, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: start.Call.Task, Run: start.Call.Run, How: jobs.EndStopped}}})
		}
	}
}

// requireState checks the state of the test job.
func (b *bench) requireState(t *testing.T, expected jobs.State) {
	t.Helper()
	state, known := b.State(testJob)
	require.True(t, known)
	require.Equal(t, expected, state)
}

// TestEndOfADividedJobIsNotStoredInOneCellAlone guards against a job that ends in the cell of the task that is given up,
// and goes on in the other cell.
func TestEndOfADividedJobIsNotStoredInOneCellAlone(t *testing.T) {
	b, start := newDividedBench(t)
	b.abandonJobOf(b.find(start.Call.Task))
	require.True(t, b.HasUrgentChanges())
	for _, change := range b.store().Jobs {
		require.Nil(t, change.Ended, "the record of this cell alone")
	}
	b.requireState(t, jobs.StateRunning)
	ends := b.SharedEnds()
	require.Len(t, ends, 1)
	b.SharedEndStored(ends[0], b.now)
	b.requireState(t, jobs.StateFailed)
	require.Len(t, b.stops(), 1)
	require.Empty(t, b.SharedEnds())
	require.False(t, b.HasChanges(), "its end is stored")
}

// TestCancelledJobIsNotGivenUp guards against a job that ends as cancelled in one cell and as failed in another.
func TestCancelledJobIsNotGivenUp(t *testing.T) {
	b, start := newDividedBench(t)
	b.abandonJobOf(b.find(start.Call.Task))
	b.Cancel(testJob)
	b.SharedEndOvertaken(b.SharedEnds()[0])
	require.Empty(t, b.SharedEnds())
	b.requireState(t, jobs.StateCancelled)
	stops := b.stops()
	require.Len(t, stops, 1)
	b.Stopped(stops[0], Result{Outcome: OutcomeDone}, b.now)
	b.reportAsStopped(start)
	changes := b.store()
	require.Equal(t, jobs.StateCancelled, changes.Jobs[0].Ended.Ended)
	require.True(t, changes.Jobs[0].Cancelled, "the request is deleted")
}

// TestEndInAnotherCellEndsTheJobHere guards against tasks that go on although another cell has ended their job, and
// against progress that is left in the store: it may be on its way there when the end is learned of.
func TestEndInAnotherCellEndsTheJobHere(t *testing.T) {
	for name, progress := range map[string]func(b *bench, t *task){
		"no progress":        func(*bench, *task) {},
		"progress stored":    func(b *bench, t *task) { b.markChanged(t.step.job); b.store() },
		"progress to store":  func(b *bench, t *task) { b.markChanged(t.step.job) },
		"progress in flight": nil,
	} {
		t.Run(name, func(t *testing.T) {
			b, start := newDividedBench(t)
			ended := b.dividedRecord().EndedAs(jobs.StateFailed, 1)
			ended.Version = 20
			if progress != nil {
				progress(b, b.find(start.Call.Task))
				b.AddJob(ended, jobs.Progress{}, true, b.now)
			} else {
				b.markChanged(b.find(start.Call.Task).step.job)
				inFlight := b.TakeChanges(10, b.now)
				b.AddJob(ended, jobs.Progress{}, true, b.now)
				b.Stored(inFlight, b.now)
			}
			b.requireState(t, jobs.StateFailed)
			require.Len(t, b.stops(), 1)
			require.Equal(t, name != "no progress", b.HasChanges())
			if changes := b.store(); name != "no progress" {
				require.Equal(t, jobs.StateFailed, changes.Jobs[0].Ended.Ended)
				require.Equal(t, name != "progress to store", changes.Jobs[0].HasProgress)
			}
			require.Empty(t, b.starts())
		})
	}
}

// TestProgressBesideAnEndIsDeleted guards against progress that is never deleted, because its owner was lost before it
// learned that another cell had ended the job.
func TestProgressBesideAnEndIsDeleted(t *testing.T) {
	b := newBench(t, 1)
	ended := b.dividedRecord().EndedAs(jobs.StateFailed, 1)
	left := jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Unobserved: 1}}}}
	b.AddJob(ended, left, false, b.now)
	b.report(0, jobs.Report{})
	require.Empty(t, b.starts())
	changes := b.store()
	require.Len(t, changes.Jobs, 1)
	require.True(t, changes.Jobs[0].HasProgress)
	require.Equal(t, ended.Spec, changes.Jobs[0].Ended.Spec)
	require.Empty(t, b.jobs)
	b.requireState(t, jobs.StateFailed)
	b.now = b.now.Add(EndedRetention + time.Second)
	b.Decide(b.now)
	require.Equal(t, []jobs.ID{testJob}, b.TakeChanges(10, b.now).Forget)
}
