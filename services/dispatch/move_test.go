// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// oversizedStep is a step whose tasks fit on no worker.
var oversizedStep = jobs.Step{Count: 2, Size: models.Resources{CPU: 5000, Memory: 100}, Estimate: 500}

// stuckJob adds a job that fits on no worker, and waits until the job may be moved.
func (b *bench) stuckJob(fresh bool, steps ...jobs.Step) {
	record := b.job(steps...)
	record.Version = 10
	b.AddJob(record, jobs.Progress{}, fresh, b.now)
	b.report(0, jobs.Report{})
	b.starts()
	b.now = b.now.Add(offerAfter)
	b.report(0, jobs.Report{})
	b.starts()
}

func TestOnlyWorkWithoutAnyRunIsMoved(t *testing.T) {
	for name, c := range map[string]struct {
		fresh   bool
		steps   []jobs.Step
		movable bool
	}{
		"whole job":                         {true, []jobs.Step{oversizedStep}, true},
		"a former owner may have run it":    {false, []jobs.Step{oversizedStep}, false},
		"part of it runs":                   {true, []jobs.Step{singleTaskStep, oversizedStep}, false},
		"its second step waits for a first": {true, []jobs.Step{oversizedStep, {Count: 1, Size: singleTaskStep.Size, After: []int{0}}}, true},
		"it lasts, whoever had it before":   {false, []jobs.Step{{Count: 2, Size: oversizedStep.Size, LongRunning: true}}, true},
		"it lasts in part":                  {true, []jobs.Step{oversizedStep, {Count: 1, Size: oversizedStep.Size, LongRunning: true}}, false},
		"its tasks want to be on one rack":  {true, []jobs.Step{{Count: 2, Size: oversizedStep.Size, SameRack: true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			b.stuckJob(c.fresh, c.steps...)
			require.Equal(t, c.movable, len(b.Movable(10, b.now)) > 0)
		})
	}
}

func TestTaskThatMovesIsNotStarted(t *testing.T) {
	b := newBench(t, 1)
	b.stuckJob(true, oversizedStep)
	move := b.Movable(10, b.now)[0]
	require.True(t, b.BeginMove(move))
	require.False(t, b.BeginMove(move), "the move has already begun")
	b.workers["w0"].info.Capacity.CPU = 20_000
	require.Empty(t, b.starts())
	b.CancelMove(move, false)
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	require.Len(t, b.starts(), 2, "the move was cancelled")
}

func TestRunOfATaskThatMovesIsStopped(t *testing.T) {
	b := newBench(t, 1)
	b.stuckJob(true, jobs.Step{Count: 1, Size: oversizedStep.Size, LongRunning: true})
	require.True(t, b.BeginMove(b.Movable(10, b.now)[0]))
	b.report(0, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 3}}})
	orders := b.Decide(b.now)
	require.Len(t, orders, 1, "the other cell may start it")
	require.IsType(t, StopOrder{}, orders[0])
}

// movedOut returns a core that has handed one of two long-running tasks to another cell, and the record that
// the store holds since then.
func movedOut(t *testing.T) (*bench, jobs.Record) {
	t.Helper()
	b := newBench(t, 1)
	b.stuckJob(true, jobs.Step{Count: 2, Size: oversizedStep.Size, LongRunning: true})
	move := b.Movable(10, b.now)[0]
	move.Limit(1)
	require.True(t, b.BeginMove(move))
	b.Moved(move, 11)
	record := b.job(jobs.Step{Count: 2, Size: oversizedStep.Size, LongRunning: true})
	record = record.WithoutTasks(move.Tasks)
	record.Version = 11
	return b, record
}

func TestOldRecordDoesNotBringTasksBack(t *testing.T) {
	b, record := movedOut(t)
	old := b.job(jobs.Step{Count: 2, Size: oversizedStep.Size, LongRunning: true})
	old.Version = 10
	b.AddJob(old, jobs.Progress{}, true, b.now)
	b.AddJob(record, jobs.Progress{}, true, b.now)
	require.Nil(t, b.find(taskOf(0)), "the task is in another cell")
	require.NotNil(t, b.find(taskOf(1)))
}

func TestTasksThatComeBackRunAgain(t *testing.T) {
	b, record := movedOut(t)
	back := record.WithTasks(jobs.TaskSet{0: {0}}, 1<<40)
	back.Version = 12
	b.AddJob(back, jobs.Progress{}, true, b.now)
	b.workers["w0"].info.Capacity.CPU = 20_000
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	starts := b.starts()
	require.Len(t, starts, 2)
	require.Greater(t, starts[0].Call.Run, jobs.RunID(1<<40), "above the run ids of the other cell")
}

func TestJobThatLeftIsNotTakenAgainFromAnOldRecord(t *testing.T) {
	b := newBench(t, 1)
	b.stuckJob(true, oversizedStep)
	move := b.Movable(10, b.now)[0]
	require.True(t, b.BeginMove(move))
	b.Moved(move, 11)
	_, known := b.State(testJob)
	require.False(t, known, "the job is in the other cell")
	old := b.job(oversizedStep)
	old.Version = 10
	b.AddJob(old, jobs.Progress{}, true, b.now)
	require.Empty(t, b.jobs)
}

func TestPartIsNotTakenForFreshOnceItWasWrittenAgain(t *testing.T) {
	b := newBench(t, 2)
	record := b.job(jobs.Step{Count: 2, Size: singleTaskStep.Size, LongRunning: true})
	record = record.NewPart(jobs.TaskSet{0: {0}}, 0)
	record = record.WithTasks(jobs.TaskSet{0: {1}}, 0)
	record.Version = 10
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	require.Empty(t, b.starts(), "a previous owner may have started the first task on the other worker")
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 2)
}

func TestPlacesAreCountedOneDemandAfterTheOther(t *testing.T) {
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	of := func(cpu models.MilliCPU, count, perWorker int) jobs.Demand {
		size := models.Resources{CPU: cpu, Memory: 10}
		return jobs.Demand{Pool: testPool, Step: jobs.Step{Count: count, Size: size, PerWorker: perWorker}}
	}
	require.Equal(t, []int{2, 1, 0}, b.Places([]jobs.Demand{of(3000, 9, 0), of(1000, 1, 0), of(2000, 1, 0)}, b.now))
	require.Equal(t, []int{2, 6}, b.Places([]jobs.Demand{of(1000, 9, 1), of(1000, 9, 0)}, b.now))
	elsewhere := of(1000, 1, 0)
	elsewhere.Pool = "another"
	labelled := of(1000, 1, 0)
	labelled.Step.Requires = "fast"
	require.Equal(t, []int{0, 0}, b.Places([]jobs.Demand{elsewhere, labelled}, b.now))
	b.now = b.now.Add(time.Minute)
	require.Equal(t, []int{0}, b.Places([]jobs.Demand{of(1000, 1, 0)}, b.now), "no worker has reported recently")
}

func TestJobIsHeldForAShortWhileOnly(t *testing.T) {
	for _, others := range []bool{true, false} {
		b := newBench(t, 1)
		b.config.OtherCells = others
		b.AddJob(b.job(jobs.Step{Count: 5, Size: singleTaskStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
		b.report(0, jobs.Report{})
		if !others {
			require.Len(t, b.starts(), 4, "no other cell can run it")
			continue
		}
		require.Empty(t, b.starts(), "only four of five tasks fit")
		require.True(t, b.TakeJobsHeld())
		require.Len(t, b.Movable(10, b.now), 1)
		b.now = b.now.Add(maxHold + time.Millisecond)
		require.Len(t, b.starts(), 4, "no other cell has taken it")
	}
}

func TestPlacesCountWhatTheCellHasOfTheJob(t *testing.T) {
	b := newBench(t, 2)
	record := b.job(jobs.Step{Count: 2, Size: singleTaskStep.Size, LongRunning: true, PerWorker: 1})
	record = record.NewPart(jobs.TaskSet{0: {0}}, 0)
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 1)
	demand := jobs.Demand{Job: testJob, Pool: testPool, Step: record.Spec.Steps[0]}
	require.Equal(t, []int{1}, b.Places([]jobs.Demand{demand}, b.now), "one worker has a task of the step")
}

func TestJobThatNobodyTakesDoesNotKeepOthersFromBeingOffered(t *testing.T) {
	b := newBench(t, 1)
	b.stuckJob(true, oversizedStep)
	other := b.job(oversizedStep)
	other.Spec.ID = "00000000000000bb"
	b.AddJob(other, jobs.Progress{}, true, b.now)
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	b.starts()
	var listed []jobs.ID
	for range 2 {
		b.now = b.now.Add(time.Millisecond)
		for _, move := range b.Movable(1, b.now) {
			listed = append(listed, move.Job)
		}
	}
	require.ElementsMatch(t, []jobs.ID{testJob, other.Spec.ID}, listed)
	b.now = b.now.Add(offerAfter)
	require.Len(t, b.Movable(10, b.now), 2, "both are offered again after a while")
}

func TestJobIsNotHeldWhileTheCellRecovers(t *testing.T) {
	b := newBench(t, 2)
	b.config.OtherCells = true
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(jobs.Step{Count: 5, Size: singleTaskStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	require.Len(t, b.starts(), 4, "nothing is offered while the cell recovers")
}

func TestMoveThatFailedIsTriedAgainUnlessForGood(t *testing.T) {
	for _, forGood := range []bool{false, true} {
		b := newBench(t, 1)
		b.stuckJob(true, oversizedStep)
		move := b.Movable(10, b.now)[0]
		require.True(t, b.BeginMove(move))
		b.CancelMove(move, forGood)
		b.now = b.now.Add(offerAfter)
		b.report(0, jobs.Report{})
		b.starts()
		require.Equal(t, forGood, len(b.Movable(10, b.now)) == 0)
	}
}

func TestTryWithoutAnswerIsRecognisedByTheRecord(t *testing.T) {
	b := newBench(t, 1)
	b.stuckJob(true, jobs.Step{Count: 2, Size: oversizedStep.Size, LongRunning: true})
	move := b.Movable(10, b.now)[0]
	move.Limit(1)
	require.True(t, b.BeginMove(move))
	record := b.job(jobs.Step{Count: 2, Size: oversizedStep.Size, LongRunning: true})
	record.Version = 10
	require.True(t, b.StillMoving(move, record))
	record = record.WithoutTasks(move.Tasks)
	record.Version = 11
	require.False(t, b.StillMoving(move, record))
	b.CancelMove(move, false)
	require.Nil(t, b.find(taskOf(0)), "the task is in the other cell")
}

// TestWorkerKeptForASuspectIsNoPlaceForOthers guards against offering capacity that is reserved for a suspect
// to another cell: the work that came for it could not be placed, and was offered back after 0.4 s, again and
// again.
func TestWorkerKeptForASuspectIsNoPlaceForOthers(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{})
	demand := jobs.Demand{Job: "00000000000000cc", Pool: testPool, Step: singleTaskStep}
	require.Equal(t, []int{1}, b.Places([]jobs.Demand{demand}, b.now))
	known := againstFirst(jobs.LostRun{Run: 7, RanAtMost: 10, EvidenceVsChance: 8, EvidenceVsAll: 8}, nil)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{Suspected: known}, true, b.now)
	require.Len(t, b.starts(), 1)
	require.Equal(t, []int{0}, b.Places([]jobs.Demand{demand}, b.now))
}

// TestAllWaitingWorkIsOfferedInTurn guards against offering only the most urgent work to other cells. Of some
// sixty waiting jobs eight were offered at a time, each again after 0.4 s: the sixteen most urgent, which no
// cell could place, took turns, and a long-running task that the other cell could have placed waited for 9 s.
// In the log, "work is handed to another cell" then names the same few jobs, with 4.4 to 20.6 s without a
// place.
func TestAllWaitingWorkIsOfferedInTurn(t *testing.T) {
	const waiting, atOnce = 20, 3
	b := newBench(t, 1)
	b.stuckJob(true, oversizedStep)
	for n := range waiting - 1 {
		record := b.job(oversizedStep)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", n))
		record.Accepted += models.UnixMilli(n)
		b.AddJob(record, jobs.Progress{}, true, b.now)
	}
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	b.starts()
	b.now = b.now.Add(offerAfter)
	offered := map[jobs.ID]bool{}
	for range waiting/atOnce + 1 {
		for _, move := range b.Movable(atOnce, b.now) {
			offered[move.Job] = true
		}
		b.now = b.now.Add(offerAfter / 2)
	}
	require.Len(t, offered, waiting)
}
