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

// The start times of two incarnations. The time of day is set back between them, so that the second start time is
// smaller.
const (
	firstStartTime  = models.UnixMilli(2_000_000)
	secondStartTime = models.UnixMilli(1_000_000)
)

// newIncarnationBench makes a core with two workers, one of which reports its start time and runs a task.
func newIncarnationBench(t *testing.T) (b *bench, start StartOrder) {
	t.Helper()
	b, start = newIncarnationStart(t, 2)
	b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	require.Equal(t, firstStartTime, start.Worker.Born, "the order names this incarnation")
	return b, start
}

// newIncarnationStart makes a core with the given number of workers. One of them reports its start time and has not
// answered the start of a task yet.
func newIncarnationStart(t *testing.T, workers int) (b *bench, start StartOrder) {
	t.Helper()
	b = newBench(t, workers)
	b.list(firstStartTime)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{Born: firstStartTime})
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	return b, starts[0]
}

// list lets the list name one worker, with the given start time.
func (b *bench) list(born models.UnixMilli) {
	entry := b.workers[b.ids[0]].info
	entry.Born, entry.Capacity.CPU = born, 2000
	b.SetWorkers([]jobs.Worker{entry}, b.now)
}

// reportIncarnation delivers a report of an incarnation with the given start time, whose clock shows the given time.
func (b *bench) reportIncarnation(born models.UnixMilli, clock models.Milli, report jobs.Report) {
	b.now = b.now.Add(100 * time.Millisecond)
	report.Born, report.Clock = born, clock
	b.call(0, report)
}

// TestReportOfAnotherIncarnationEndsTheFormerOne guards against state that outlives an incarnation because it is kept by
// the worker's id: the clock, the numbers and acknowledgements of ended runs, and the runs.
func TestReportOfAnotherIncarnationEndsTheFormerOne(t *testing.T) {
	b, start := newIncarnationBench(t)
	b.report(0, jobs.Report{Born: firstStartTime, Ended: []jobs.Ended{{Number: 7, Task: taskOf(9), Run: 1, How: jobs.EndStopped}}})
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	require.Nil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker, "the run of the previous incarnation is lost at once")
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Zero(t, call.Acknowledged, "the numbers of ends begin anew")
	require.Less(t, call.Until, models.Milli(10_000), "the worker's clock begins anew")
	require.Equal(t, secondStartTime, b.Worker(b.ids[0]).Born)
	b.reportIncarnation(secondStartTime, 60, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: start.Call.Task, Run: start.Call.Run, How: jobs.EndSucceeded}}})
	require.Equal(t, 1, b.jobs[testJob].occurrences[0].steps[0].done, "a start that was carried out late counts")
}

// TestRestartedWorkerGetsStartsWhenRosterAndListNameIt guards against starts that no successor knows of, and against
// using the previous incarnation's capacity.
func TestRestartedWorkerGetsStartsWhenRosterAndListNameIt(t *testing.T) {
	b, _ := newIncarnationBench(t)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	b.reportIncarnation(secondStartTime, 60, jobs.Report{})
	require.Empty(t, b.storedStarts(), "the list's entry is of the previous incarnation")
	b.list(secondStartTime)
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	require.Len(t, b.storedStarts(), 1)
}

// TestEntryOfAnotherIncarnationProvesNothing guards against list entries that are late: only the answer to a call
// tells which incarnation is present.
func TestEntryOfAnotherIncarnationProvesNothing(t *testing.T) {
	b, start := newIncarnationBench(t)
	b.list(secondStartTime)
	require.NotNil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker, "the entry may be an older one")
	require.False(t, b.usable(b.workers[b.ids[0]], b.now), "the entry is not of this incarnation")
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Zero(t, call.Wait, "the report is asked for at once")
	b.report(0, jobs.Report{Born: firstStartTime, Running: []jobs.Run{{Task: start.Call.Task, Run: start.Call.Run}}})
	require.NotNil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker)
	call, _ = b.LeaseCall(b.ids[0], time.Second, b.now)
	require.NotZero(t, call.Wait, "the report is no longer urgent")
	b.list(firstStartTime)
	require.True(t, b.usable(b.workers[b.ids[0]], b.now))
}

// TestLateReportOfAFormerIncarnationIsPassedOver guards against applying a report of the previous incarnation that
// arrives after a report of the next incarnation, because answers overtake each other.
func TestLateReportOfAFormerIncarnationIsPassedOver(t *testing.T) {
	b, start := newIncarnationBench(t)
	sent := b.now
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	b.Reported(b.ids[0], sent, jobs.Report{
		Born: firstStartTime, Clock: 900_000, Running: []jobs.Run{{Task: start.Call.Task, Run: start.Call.Run}},
	}, b.now)
	require.Equal(t, secondStartTime, b.Worker(b.ids[0]).Born)
	require.Nil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker)
	require.EqualValues(t, 1, b.Counts().ReportsPassedOver)
}

// TestOrderThatMeetsAnotherIncarnationTellsOfIt checks that an order answered by another incarnation shows the loss of
// the previous incarnation's runs, and that a second order in transit changes nothing.
func TestOrderThatMeetsAnotherIncarnationTellsOfIt(t *testing.T) {
	b, start := newIncarnationBench(t)
	stop := StopOrder{Worker: start.Worker, Call: jobs.StopCall{Task: start.Call.Task, Run: start.Call.Run}}
	met := Result{Outcome: OutcomeOtherIncarnation, Born: secondStartTime}
	for range 2 {
		b.Stopped(stop, met, b.now)
		require.Equal(t, secondStartTime, b.Worker(b.ids[0]).Born)
	}
	require.EqualValues(t, 1, b.Counts().RestartsMet)
	require.Nil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker)
	b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	require.Nil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker, "the answer of the previous incarnation is late")
}

// TestStartOfAWorkerIsLearnedFromItsFirstReportThatNamesIt covers list entries and reports that begin to contain the
// start time while an owner runs, because the software of the workers or of the owner was upgraded.
func TestStartOfAWorkerIsLearnedFromItsFirstReportThatNamesIt(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{})
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	running := jobs.Report{Born: firstStartTime, Running: []jobs.Run{{Task: starts[0].Call.Task, Run: starts[0].Call.Run}}}
	b.report(0, running)
	require.NotNil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker, "the clock has gone on, so the incarnation is the same")
	require.Equal(t, firstStartTime, b.Worker(b.ids[0]).Born)
	roster := b.TakeChanges(10, b.now).Roster
	require.NotNil(t, roster)
	require.Equal(t, firstStartTime, roster.Workers[0].Born, "the roster tells a successor the start time")

	b = newBench(t, 1)
	b.report(0, jobs.Report{})
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	starts = b.storedStarts()
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	b.list(secondStartTime)
	b.reportIncarnation(secondStartTime, 20, jobs.Report{})
	require.Nil(t, b.jobs[testJob].occurrences[0].steps[0].tasks[0].worker, "the clock has begun anew, so the incarnation is another")
}

// TestFormerOwnersRunIsLostWithItsIncarnation guards against a takeover that takes the answer of the next incarnation for
// an answer of the incarnation in the roster.
func TestFormerOwnersRunIsLostWithItsIncarnation(t *testing.T) {
	for _, listed := range []models.UnixMilli{firstStartTime, secondStartTime} {
		b := newBench(t, 0)
		info := jobs.Worker{ID: "w0", Pool: testPool, Address: "w0", Capacity: models.Resources{CPU: 4000, Memory: 8000}, Born: firstStartTime}
		b.ids = []jobs.WorkerID{info.ID}
		unresolved := &jobs.UnresolvedRun{LostRun: jobs.LostRun{Run: 3, RanAtMost: 300, EvidenceVsChance: 2, EvidenceVsAll: 2}, Worker: info.ID, Born: firstStartTime}
		b.RestoreRoster(jobs.Roster{Workers: []jobs.Worker{info}}, b.now)
		b.AddJob(b.job(singleTaskStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Unresolved: unresolved}}}}, false, b.now)
		info.Born = listed
		b.SetWorkers([]jobs.Worker{info}, b.now)
		b.reportIncarnation(secondStartTime, 30, jobs.Report{})
		task := &b.jobs[testJob].occurrences[0].steps[0].tasks[0]
		require.Nil(t, task.suspicion.Unresolved)
		require.Len(t, task.suspicion.Lost, 1)
		require.Equal(t, secondStartTime, b.Worker(info.ID).Born)
	}
}

// TestIncarnationThatWasReplacedMayComeAgainUnderItsID guards against barring an id for good because one incarnation with
// the id was replaced.
func TestIncarnationThatWasReplacedMayComeAgainUnderItsID(t *testing.T) {
	b, _ := newIncarnationBench(t)
	entry := b.Worker(b.ids[0])
	b.Replaced(b.ids[0], b.now)
	b.SetWorkers([]jobs.Worker{entry}, b.now)
	require.NotContains(t, b.workers, b.ids[0])
	entry.Born = secondStartTime
	b.SetWorkers([]jobs.Worker{entry}, b.now)
	require.Equal(t, secondStartTime, b.Worker(b.ids[0]).Born)
}

// TestRosterOfTheFormerIncarnationEnrolsNoOther guards against a roster that was being stored when the worker
// started again: that roster names the previous incarnation, and a successor would not know of starts on this one.
func TestRosterOfTheFormerIncarnationEnrolsNoOther(t *testing.T) {
	b, _ := newIncarnationBench(t)
	fresh := b.job(singleTaskStep)
	fresh.Spec.ID = "00000000000000bb" // this job has lost no run, which would have to be stored first
	b.AddJob(fresh, jobs.Progress{}, true, b.now)
	b.rosterChanged = true
	beingStored := b.TakeChanges(10, b.now)
	require.NotNil(t, beingStored.Roster)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	b.list(secondStartTime)
	b.reportIncarnation(secondStartTime, 60, jobs.Report{})
	b.Stored(beingStored, b.now)
	require.Empty(t, b.starts())
	require.Len(t, b.storedStarts(), 1, "the next roster names this incarnation")
}

// TestRestartedWorkerHasNotSeenTheEpoch guards against counting a previous owner's leases as over too early: their
// remaining time is counted from when most workers have seen the new epoch.
func TestRestartedWorkerHasNotSeenTheEpoch(t *testing.T) {
	b := newBench(t, 0)
	b.ids = []jobs.WorkerID{"w0"}
	var list []jobs.Worker
	for _, id := range []jobs.WorkerID{"w0", "w1", "w2"} {
		list = append(list, jobs.Worker{ID: id, Pool: testPool, Address: string(id), Born: firstStartTime})
	}
	b.SetWorkers(list, b.now)
	b.reportIncarnation(firstStartTime, 10, jobs.Report{})
	b.reportIncarnation(secondStartTime, 20, jobs.Report{})
	require.True(t, b.fencedAt.IsZero(), "one of three workers has seen the epoch")
	b.ids = []jobs.WorkerID{"w1"}
	b.reportIncarnation(firstStartTime, 10, jobs.Report{})
	require.False(t, b.fencedAt.IsZero())
}

// TestFormerOwnersLeaseHoldsForTheIncarnationThatAnswers guards against a successor that counts a worker's lease as over
// by its own grants alone: the list's entry may have named an incarnation that has ended.
func TestFormerOwnersLeaseHoldsForTheIncarnationThatAnswers(t *testing.T) {
	b := newBench(t, 0)
	info := jobs.Worker{ID: "w0", Pool: testPool, Address: "w0", Born: secondStartTime}
	b.ids = []jobs.WorkerID{info.ID}
	b.SetWorkers([]jobs.Worker{info}, b.now)
	info.Born = firstStartTime
	b.RestoreRoster(jobs.Roster{Workers: []jobs.Worker{info}, MaxLease: 8000}, b.now)
	b.reportIncarnation(firstStartTime, 100, jobs.Report{})
	require.GreaterOrEqual(t, b.workers[info.ID].leaseEnd, models.Milli(100+8000))
}

// TestFenceOfAFormerIncarnationIsNoLaterOwner guards against an owner that counts as superseded because a worker has
// refused an order that was sent to its previous incarnation.
func TestFenceOfAFormerIncarnationIsNoLaterOwner(t *testing.T) {
	b, start := newIncarnationBench(t)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	refused := Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedFence}
	b.Started(start, refused, b.now)
	require.False(t, b.Superseded())
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Greater(t, call.Fence, start.Call.Fence)
	b.FenceRefused(b.ids[0], call.Fence)
	require.True(t, b.Superseded())
}

// TestStartWithoutAnswerIsBarredAtTheNextIncarnation guards against a start that is carried out late, while its task
// runs elsewhere.
func TestStartWithoutAnswerIsBarredAtTheNextIncarnation(t *testing.T) {
	b, start := newIncarnationStart(t, 1)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	orders := b.Decide(b.now)
	require.Len(t, orders, 1)
	stop, ok := orders[0].(StopOrder)
	require.True(t, ok, "%T", orders[0])
	require.Equal(t, start.Call.Run, stop.Call.Run)
	require.Equal(t, secondStartTime, stop.Worker.Born)
	require.Greater(t, stop.Call.Fence, start.Call.Fence)
	b.list(secondStartTime)
	require.Empty(t, b.storedStarts(), "the run is not barred yet")
	b.Stopped(stop, Result{Outcome: OutcomeDone}, b.now)
	b.reportIncarnation(secondStartTime, 300, jobs.Report{})
	require.Len(t, b.storedStarts(), 1)
}

// TestLateStartMayRunOnTheNextIncarnationWhileItIsSilent guards against a task that starts elsewhere when the next
// incarnation has been silent for a while: a start that was meant for the previous incarnation may still be carried
// out there, and its lease may be as long as workers grant. Once the run is barred, the task does not wait for that.
func TestLateStartMayRunOnTheNextIncarnationWhileItIsSilent(t *testing.T) {
	longestLease := newBench(t, 0).config.LongestLease
	longest := maxOrderDelay + time.Duration(float64(longestLease)*clockDriftFactor)
	for name, c := range map[string]struct {
		barred  bool
		freeMin time.Duration
		freeMax time.Duration
	}{
		"not barred": {barred: false, freeMin: longest - time.Second, freeMax: longest + 2*time.Second},
		"barred":     {barred: true, freeMin: 0, freeMax: silentAfter + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newIncarnationStart(t, 1)
			began := b.now
			b.reportIncarnation(secondStartTime, 30, jobs.Report{})
			stop := b.Decide(b.now)[0].(StopOrder)
			if c.barred {
				b.Stopped(stop, Result{Outcome: OutcomeDone}, b.now)
			}
			task := &b.jobs[testJob].occurrences[0].steps[0].tasks[0]
			for task.worker != nil && b.now.Sub(began) < c.freeMax {
				b.now = b.now.Add(100 * time.Millisecond)
				b.Decide(b.now)
				b.store()
			}
			require.Nil(t, task.worker, "the task may start elsewhere in the end")
			require.GreaterOrEqual(t, b.now.Sub(began), c.freeMin)
		})
	}
}

// TestCallAfterOneWithoutAnswerAcknowledgesNothing guards against acknowledgements in calls that a worker carries
// out late: its next incarnation would apply them to its own ends.
func TestCallAfterOneWithoutAnswerAcknowledgesNothing(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 3, Task: taskOf(9), Run: 1, How: jobs.EndStopped}}})
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.EqualValues(t, 3, call.Acknowledged)
	b.Overdue(b.ids[0], b.now)
	call, _ = b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Zero(t, call.Acknowledged)
	b.report(0, jobs.Report{})
	call, _ = b.LeaseCall(b.ids[0], time.Second, b.now)
	require.EqualValues(t, 3, call.Acknowledged)
}

// TestOpenRunOfAFormerIncarnationIsLost guards against a successor whose roster already names the next incarnation: the
// report of that incarnation shows its own runs, and nothing of the run that was unresolved on the previous
// incarnation.
func TestOpenRunOfAFormerIncarnationIsLost(t *testing.T) {
	for born, lost := range map[models.UnixMilli]int{firstStartTime: 1, secondStartTime: 0, 0: 0} {
		b := newBench(t, 0)
		info := jobs.Worker{ID: "w0", Pool: testPool, Address: "w0", Born: secondStartTime}
		b.ids = []jobs.WorkerID{info.ID}
		unresolved := &jobs.UnresolvedRun{LostRun: jobs.LostRun{Run: 3, RanAtMost: 300, EvidenceVsChance: 2, EvidenceVsAll: 2}, Worker: info.ID, Born: born}
		b.RestoreRoster(jobs.Roster{Workers: []jobs.Worker{info}}, b.now)
		b.AddJob(b.job(singleTaskStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Unresolved: unresolved}}}}, false, b.now)
		b.reportIncarnation(secondStartTime, 30, jobs.Report{})
		task := &b.jobs[testJob].occurrences[0].steps[0].tasks[0]
		require.Nil(t, task.suspicion.Unresolved)
		require.Len(t, task.suspicion.Lost, lost, "unresolved on the incarnation that started at %d", born)
	}
}

// TestNextIncarnationDoesNotDrainForTheFormerOne guards against a worker that gets no starts, and whose loss counts
// as announced, because its previous incarnation had announced that it would leave.
func TestNextIncarnationDoesNotDrainForTheFormerOne(t *testing.T) {
	b, _ := newIncarnationBench(t)
	entry := b.Worker(b.ids[0])
	entry.Draining, entry.Remaining = true, 3*time.Second
	b.SetWorkers([]jobs.Worker{entry}, b.now)
	require.False(t, b.workers[b.ids[0]].leavesAt.IsZero())
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	require.True(t, b.workers[b.ids[0]].leavesAt.IsZero())
	require.Zero(t, b.Worker(b.ids[0]).LeavesAt, "nor does the roster say that it drains")
	require.False(t, b.Worker(b.ids[0]).Draining)
}

// TestAnswerToAStartOfAFormerIncarnationSaysNothing guards against a run that counts as begun, or as refused, on the
// incarnation that is being asked to bar it.
func TestAnswerToAStartOfAFormerIncarnationSaysNothing(t *testing.T) {
	for _, result := range []Result{{Outcome: OutcomeUnknown}, {Outcome: OutcomeRefused, Refusal: jobs.RefusedCapacity}} {
		b, start := newIncarnationStart(t, 1)
		b.reportIncarnation(secondStartTime, 30, jobs.Report{Running: []jobs.Run{{Task: start.Call.Task, Run: start.Call.Run}}})
		task := &b.jobs[testJob].occurrences[0].steps[0].tasks[0]
		state := task.state
		require.NotNil(t, task.worker)
		b.Started(start, result, b.now)
		require.Equal(t, state, task.state)
		require.True(t, b.workers[b.ids[0]].noStartsUntil.IsZero())
	}
}

// TestStartThatMetAnotherIncarnationWasNeverLost guards against a run that counts as one which crashed its worker
// right after its start: the call met the next incarnation, which did not carry it out.
func TestStartThatMetAnotherIncarnationWasNeverLost(t *testing.T) {
	met := Result{Outcome: OutcomeOtherIncarnation, Born: secondStartTime}
	for name, reportFirst := range map[string]bool{"its answer tells of it": false, "a report told of it before": true} {
		t.Run(name, func(t *testing.T) {
			b, start := newIncarnationStart(t, 1)
			if reportFirst {
				b.reportIncarnation(secondStartTime, 30, jobs.Report{})
			}
			b.Started(start, met, b.now)
			task := &b.jobs[testJob].occurrences[0].steps[0].tasks[0]
			require.Zero(t, task.losses())
			require.Empty(t, task.chanceLosses)
			require.Equal(t, taskWaiting, task.state, "no run has to be barred")
			require.Equal(t, secondStartTime, b.Worker(b.ids[0]).Born)
		})
	}
}

// TestAnswerOfTheNextIncarnationBarsStartsOfThePreviousOne guards against a task that waits for 23 s beside idle workers: its
// start had no answer, and the worker's next incarnation has answered a call but no stop before it went for good.
func TestAnswerOfTheNextIncarnationBarsStartsOfThePreviousOne(t *testing.T) {
	b, start := newIncarnationStart(t, 1)
	task := b.taskOf(testJob)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	require.NotNil(t, task.worker, "this report answers a call with the previous incarnation's fence, which bars nothing")
	b.Decide(b.now)
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Greater(t, call.Fence, start.Call.Fence)
	b.reportIncarnation(secondStartTime, 130, jobs.Report{})
	require.Nil(t, task.worker, "from this fence on, the start is refused")
}

// TestLateStartThatAnAnswerShowsIsNotMadeElsewhere guards against a task that runs on two workers, because its late start was
// carried out before the call that would have barred it, or has ended in a way that is not listed yet.
func TestLateStartThatAnAnswerShowsIsNotMadeElsewhere(t *testing.T) {
	other := jobs.Ended{Number: 1, Task: taskOf(9), Run: 1, How: jobs.EndStopped}
	for name, report := range map[string]func(run jobs.Run) jobs.Report{
		"it runs":               func(run jobs.Run) jobs.Report { return jobs.Report{Running: []jobs.Run{run}} },
		"its end may be hidden": func(jobs.Run) jobs.Report { return jobs.Report{Ended: []jobs.Ended{other}} },
	} {
		t.Run(name, func(t *testing.T) {
			b, start := newIncarnationStart(t, 1)
			b.config.EndsPerReport = 1
			task := b.taskOf(testJob)
			b.reportIncarnation(secondStartTime, 30, jobs.Report{})
			shown := report(jobs.Run{Task: start.Call.Task, Run: start.Call.Run})
			b.reportIncarnation(secondStartTime, 130, shown)
			b.reportIncarnation(secondStartTime, 230, shown)
			began := b.now
			for b.now.Sub(began) < maxOrderDelay {
				require.NotNil(t, task.worker)
				b.now = b.now.Add(100 * time.Millisecond)
				b.Decide(b.now)
				b.store()
			}
		})
	}
}
