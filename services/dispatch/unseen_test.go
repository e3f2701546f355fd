// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// startOne starts the bench's only waiting task, on a worker that answers.
func (b *bench) startOne(t *testing.T) StartOrder {
	t.Helper()
	starts := b.starts()
	require.Len(t, starts, 1)
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	return starts[0]
}

// newRunningBench makes a bench of two workers, of which the first has just started a task.
func newRunningBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.startOne(t)
	return b
}

// drainFirst lets the first worker say for how long it stays.
func (b *bench) drainFirst(remaining time.Duration) {
	list := b.Workers()
	list[0].Draining, list[0].Remaining = true, remaining
	b.SetWorkers(list, b.now)
}

// store stores all changes there are.
func (b *bench) store() Changes {
	changes := b.TakeChanges(10, b.now)
	b.Stored(changes, b.now)
	return changes
}

// TestLostRunIsStoredBeforeTheNextStart: two owners in turn lost two runs of a task each while the
// store was away, and each began to count from nothing.
func TestLostRunIsStoredBeforeTheNextStart(t *testing.T) {
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.crashWorkerOfOnlyStart(t)
	require.Empty(t, b.starts(), "what is known isn't stored yet")
	changes := b.store()
	require.Len(t, changes.Jobs[0].Progress.Suspected[0][0].Lost, 1)
	require.Len(t, b.starts(), 1)
}

// TestRosterKeepsAWorkerUntilItsLostRunsAreStored: with the worker out of the roster and the run not
// stored, a successor would know of neither.
func TestRosterKeepsAWorkerUntilItsLostRunsAreStored(t *testing.T) {
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	other := b.job(one)
	other.Spec.ID = "00000000000000bb"
	b.AddJob(other, jobs.Progress{}, true, b.now)
	for _, start := range b.starts() {
		b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	}
	b.now = b.now.Add(10 * time.Millisecond)
	for _, id := range b.ids {
		b.Replaced(id, b.now)
	}
	first := b.TakeChanges(1, b.now)
	require.Len(t, first.Jobs, 1)
	require.Nil(t, first.Roster)
	b.Stored(first, b.now)
	second := b.store()
	require.Len(t, second.Jobs, 1)
	require.NotNil(t, second.Roster)
}

// newSuccessor makes an owner whose former one had used a worker that is gone, and started a task
// that no worker shows.
func newSuccessor(t *testing.T, progress jobs.Progress, before ...jobs.Epoch) *bench {
	t.Helper()
	b := newBench(t, 2)
	gone := jobs.Worker{ID: "gone", Pool: testPool, Address: "gone"}
	b.Enrol(jobs.Roster{Workers: append(b.Workers(), gone), Unseen: before}, b.now)
	b.AddJob(b.job(one), progress, false, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	b.Replaced(gone.ID, b.now)
	b.Decide(b.now)
	return b
}

// TestUnseenLossIsStoredBeforeOldTasksStart: a run that nobody knows of may have ended the worker
// that is gone. One write of the roster says so for all tasks of the cell.
func TestUnseenLossIsStoredBeforeOldTasksStart(t *testing.T) {
	b := newSuccessor(t, jobs.Progress{})
	require.Empty(t, b.starts(), "the store doesn't know yet")
	fresh := b.job(one)
	fresh.Spec.ID = "00000000000000bb"
	b.AddJob(fresh, jobs.Progress{}, true, b.now)
	require.Len(t, b.starts(), 1, "a job accepted since was never on that worker")
	roster := b.store().Roster
	require.Equal(t, []jobs.Epoch{5}, roster.Unseen)
	require.Len(t, b.starts(), 1)
	require.Equal(t, 1, b.jobs[testJob].steps[0].tasks[0].losses())
}

// TestWorkersThatAllAnswerLeaveNoUnseenLoss: then nothing was lost, and nothing has to be stored.
func TestWorkersThatAllAnswerLeaveNoUnseenLoss(t *testing.T) {
	b := newBench(t, 2)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 1)
	require.Zero(t, b.jobs[testJob].steps[0].tasks[0].losses())
}

// TestUnseenLossesAddUpOverOwners: those of former takeovers count unless a run has gone on for
// long since, or the job was accepted later.
func TestUnseenLossesAddUpOverOwners(t *testing.T) {
	b := newSuccessor(t, jobs.Progress{}, 2, 3, 4)
	require.Equal(t, 4, b.jobs[testJob].steps[0].tasks[0].losses())
	require.Equal(t, []jobs.Epoch{2, 3, 4, 5}, b.store().Roster.Unseen)

	cleared := jobs.Suspicions{}
	cleared.Set(0, 0, jobs.Suspicion{Cleared: 3})
	b = newSuccessor(t, jobs.Progress{Suspected: cleared}, 2, 3, 4)
	require.Equal(t, 2, b.jobs[testJob].steps[0].tasks[0].losses())

	b = newSuccessor(t, jobs.Progress{}, 1, 2, 3, 4)
	require.Len(t, b.store().Roster.Unseen, maxUnobservedEpochs)
}

// TestLongRunIsRememberedByTheNextOwner: what may have been lost before it doesn't count any more.
func TestLongRunIsRememberedByTheNextOwner(t *testing.T) {
	b := newSuccessor(t, jobs.Progress{})
	b.store()
	start := b.startOne(t)
	at := slices.Index(b.ids, start.Worker.ID)
	for end := b.now.Add(maxTimeToCrash + time.Second); b.now.Before(end); {
		b.report(at, jobs.Report{Running: []jobs.Run{{Task: start.Call.Task, Run: start.Call.Run}}})
	}
	changes := b.store()
	require.Len(t, changes.Jobs, 1)
	require.Equal(t, jobs.Suspicion{Cleared: 5}, changes.Jobs[0].Progress.Suspected[0][0])
}

// TestLossesThatNobodySawLowerTheBound: five runs may be lost at most, whoever has seen them.
func TestLossesThatNobodySawLowerTheBound(t *testing.T) {
	lost := func(run jobs.RunID) jobs.LostRun { return jobs.LostRun{Run: run, Ran: 50, Doubt: 4, Weight: 3} }
	known := jobs.Suspicions{}
	known.Set(0, 0, jobs.Suspicion{Lost: []jobs.LostRun{lost(1), lost(2)}, Unseen: 2})
	b := newSuccessor(t, jobs.Progress{Suspected: known})
	require.Equal(t, 5, b.jobs[testJob].steps[0].tasks[0].losses())
	require.True(t, b.jobs[testJob].steps[0].tasks[0].crashesWorkers())
	require.Empty(t, b.storedStarts(), "the next would be the sixth")
}

// TestRunOnAWorkerThatDrainsMayHaveEndedIt: a worker that had said that it leaves said nothing of
// what ran there, and a task that ended such workers was started once more for each.
func TestRunOnAWorkerThatDrainsMayHaveEndedIt(t *testing.T) {
	b := newRunningBench(t)
	b.drainFirst(100 * time.Millisecond)
	b.now = b.now.Add(200 * time.Millisecond)
	b.Unreached(b.ids[0], true, b.now)
	b.report(1, jobs.Report{})
	require.Empty(t, b.starts())
	require.Equal(t, 1, b.store().Jobs[0].Progress.Suspected[0][0].Unseen)
	require.Len(t, b.starts(), 1)
}

// TestDrainingWorkerThatGoesEarlyHasCrashed: it had said that it would stay for seconds.
func TestDrainingWorkerThatGoesEarlyHasCrashed(t *testing.T) {
	b := newRunningBench(t)
	b.drainFirst(3 * time.Second)
	b.now = b.now.Add(50 * time.Millisecond)
	b.Unreached(b.ids[0], true, b.now)
	b.Replaced(b.ids[0], b.now)
	require.Len(t, b.store().Jobs[0].Progress.Suspected[0][0].Lost, 1)
}

// TestRunOnASilentWorkerMayHaveEndedIt: its lease runs out, and nobody hears why it was silent.
func TestRunOnASilentWorkerMayHaveEndedIt(t *testing.T) {
	b := newRunningBench(t)
	b.Overdue(b.ids[0], b.now)
	open := false
	for end := b.now.Add(10 * time.Second); b.now.Before(end); {
		b.report(1, jobs.Report{})
		b.starts()
		if changes := b.store(); len(changes.Jobs) > 0 && changes.Jobs[0].Progress.Suspected[0][0].Open != nil {
			open = true
			require.NotNil(t, changes.Roster, "stored no later than the roster that leaves out the worker")
		}
	}
	require.True(t, open)
	require.Equal(t, 1, b.jobs[testJob].steps[0].tasks[0].losses())
}

// TestRunTakenOverMayHaveEndedItsWorker: a successor sees a run, and its worker is lost right after.
// It does not know since when the run is under way, and counted nothing.
func TestRunTakenOverMayHaveEndedItsWorker(t *testing.T) {
	b := newBench(t, 2)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(1, jobs.Report{})
	b.report(0, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 2}}})
	b.now = b.now.Add(100 * time.Millisecond)
	b.Unreached(b.ids[0], true, b.now)
	b.Replaced(b.ids[0], b.now)
	require.Empty(t, b.starts())
	require.Equal(t, 1, b.store().Jobs[0].Progress.Suspected[0][0].Unseen)
	require.Len(t, b.starts(), 1)
}

// TestUnseenLossesGoWithATaskToAnotherCell: its record is newer than the takeovers here.
func TestUnseenLossesGoWithATaskToAnotherCell(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(servingStep), jobs.Progress{}, true, b.now)
	b.jobs[testJob].steps[0].tasks[0].unseen = 2
	move, ok := b.moveOf(b.jobs[testJob].steps[0])
	require.True(t, ok)
	require.Equal(t, 2, move.Suspected[0][0].Unseen)
}

// TestOpenRunSaysLessTheLaterItsWorkerIsMissed: the longer nobody has looked, the likelier the worker
// was lost by chance.
func TestOpenRunSaysLessTheLaterItsWorkerIsMissed(t *testing.T) {
	open := &jobs.OpenRun{LostRun: jobs.LostRun{Run: 3}, Began: 1, Chance: 0.02}
	soon := weighUnobserved(open, 3*time.Second)
	late := weighUnobserved(open, time.Minute)
	require.Greater(t, soon.Weight, 2.0)
	require.Less(t, late.Weight, soon.Weight)
	require.Less(t, late.Weight, 0.2)
	open.Beside = 1
	require.Less(t, weighUnobserved(open, 3*time.Second).Weight, 0.0, "another suspect was there")
}

// TestRunWithoutAnswerMayHaveEndedItsWorker: the start had no answer, and calls to the worker had failed
// before it. Its run had not been under way by what was known, and counted nothing.
func TestRunWithoutAnswerMayHaveEndedItsWorker(t *testing.T) {
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.Overdue(b.ids[0], b.now)
	b.now = b.now.Add(10 * time.Millisecond)
	starts := b.starts()
	require.Len(t, starts, 1)
	b.Started(starts[0], Result{Outcome: OutcomeUnknown}, b.now)
	b.now = b.now.Add(100 * time.Millisecond)
	b.Replaced(b.ids[0], b.now)
	require.Equal(t, 1, b.store().Jobs[0].Progress.Suspected[0][0].Unseen)
}

// TestTimeThatNobodySawIsNoTime: 1 s had stood for it, and a loss after 1 s was taken for one.
func TestTimeThatNobodySawIsNoTime(t *testing.T) {
	suspect := &task{suspicion: jobs.Suspicion{Lost: []jobs.LostRun{{Run: 1, Ran: 1000}, {Run: 2}}}}
	require.Equal(t, []time.Duration{time.Second}, suspect.lostRuntimes())
	require.Equal(t, 2*assumedUnobservedRuntime, suspect.trialTime())
}

// TestLossThatWasSeenIsNoUnseenOneOfItsTakeover guards against a run that counts twice: among the losses that
// were seen, and at later owners as one that was lost at that takeover.
func TestLossThatWasSeenIsNoUnseenOneOfItsTakeover(t *testing.T) {
	open := &jobs.OpenRun{LostRun: jobs.LostRun{Run: 3, Ran: 300, Doubt: 2, Weight: 2}, Worker: "gone"}
	b := newSuccessor(t, jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Open: open}}}}, 3)
	require.Equal(t, 2, b.jobs[testJob].steps[0].tasks[0].losses(), "the one that was open, and one of the former takeover")
	changes := b.store()
	require.Equal(t, []jobs.Epoch{3, 5}, changes.Roster.Unseen)

	next := newBench(t, 2)
	next.Enrol(jobs.Roster{Workers: next.Workers(), Unseen: changes.Roster.Unseen}, next.now)
	next.AddJob(next.job(one), changes.Jobs[0].Progress, false, next.now)
	require.Equal(t, 2, next.jobs[testJob].steps[0].tasks[0].losses())
}

// TestSilentWorkerThatComesBackHasNotCrashed guards against losses that stay counted when the worker shows the
// run: it was cut off, and the run has lapsed.
func TestSilentWorkerThatComesBackHasNotCrashed(t *testing.T) {
	b := newRunningBench(t)
	run := b.jobs[testJob].steps[0].tasks[0].run
	b.Overdue(b.ids[0], b.now)
	for end := b.now.Add(10 * time.Second); b.now.Before(end); {
		b.report(1, jobs.Report{})
		b.starts()
		b.store()
	}
	require.Equal(t, 1, b.jobs[testJob].steps[0].tasks[0].losses())
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: run, How: jobs.EndLapsed}}})
	require.Zero(t, b.jobs[testJob].steps[0].tasks[0].losses())
	require.Zero(t, b.store().Jobs[0].Progress.Suspected[0][0].Unseen, "a successor is told as well")
}

// TestRunThatHasLapsedWasNotLostAtTheTakeover guards against tasks that are taken to have lost a run unseen,
// although a worker shows after the takeover how the latest one ended.
func TestRunThatHasLapsedWasNotLostAtTheTakeover(t *testing.T) {
	b := newBench(t, 2)
	gone := jobs.Worker{ID: "gone", Pool: testPool, Address: "gone"}
	b.Enrol(jobs.Roster{Workers: append(b.Workers(), gone)}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 7, How: jobs.EndLapsed}}})
	b.report(1, jobs.Report{})
	b.Replaced(gone.ID, b.now)
	require.Len(t, b.storedStarts(), 1)
	require.Zero(t, b.jobs[testJob].steps[0].tasks[0].losses())
}
