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

// crowdID returns the id of one of many jobs.
func crowdID(n int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", 0x100+n)) }

// without returns how many of the first jobs of a crowd have nothing running.
func (b *standbyBench) without(crowd int) int {
	count := 0
	for n := range crowd {
		if len(b.runsOf(crowdID(n))) == 0 && b.succeeded[crowdID(n)] == 0 {
			count++
		}
	}
	return count
}

// TestTasksOnStandbyMoveOneToAPlace guards against a crowd of tasks on standby that all give up their places for the same one on another
// worker, so that most of their jobs have nothing running and start anew at full pace.
func TestTasksOnStandbyMoveOneToAPlace(t *testing.T) {
	const crowd = 10
	b := newHarmedBench(t, 1)
	step := fillerStep
	step.Size.CPU, step.Estimate = 2500, 4000
	for n := range crowd {
		b.submit(crowdID(n), step)
	}
	b.pass(standbyWait, nil)
	require.Zero(t, b.without(crowd))
	b.addFreeWorker()
	most := 0
	b.pass(2*time.Second, func() { most = max(most, b.without(crowd)) })
	require.LessOrEqual(t, most, 1)
}

// TestRunsTakenForStandbyStand guards against runs that work, taken for runs on standby because they have used no CPU yet when a successor
// first sees them, and that nothing throttles.
func TestRunsTakenForStandbyStand(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	run := b.runsOf(testJob)[0]
	run.pace, run.young = jobs.FullSpeed, 1 // it has gone on a moment before
	next := b.successor(t)
	next.pass(4*settleTime, nil)
	require.Zero(t, run.pace)
}

// TestStandbyProvesNothing guards against tasks that count as cleared because nothing happened to their worker while they stood by.
func TestStandbyProvesNothing(t *testing.T) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 0.1, EvidenceVsAll: 0.1, RanAtMost: 100}
	b := newHarmedBench(t, 1)
	b.AddJob(b.job(fillerStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost}}}}}, true, b.now)
	b.pass(standbyWait+maxTimeToCrash+time.Second, nil)
	b.requireStandby(t, testJob)
	require.Len(t, b.find(b.runsOf(testJob)[0].row.Task).suspicion.Lost, 1)
}

// TestAdoptedSuspectsDoNotStandBy guards against suspects whose trial ends while they do nothing, because a successor takes them for
// tasks on standby.
func TestAdoptedSuspectsDoNotStandBy(t *testing.T) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	b := newStandbyBench(t, 1)
	b.AddJob(b.job(fillerStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost, lost}}}}}, false, b.now)
	task := jobs.TaskID{Job: testJob}
	b.runs[0] = []*standbyRun{{row: jobs.Run{Task: task, Run: 7}, step: &fillerStep}}
	b.pass(standbyTick, nil)
	require.True(t, b.find(task).onTrial)
	require.False(t, b.find(task).standby)
}

// TestTasksOnStandbyLeaveRoomForOthers guards against tasks on standby that take all the memory of a cell because other cells are free, so
// that work of other kinds finds none.
func TestTasksOnStandbyLeaveRoomForOthers(t *testing.T) {
	b := newHarmedBench(t, 2)
	for range 4 {
		b.addOtherCell()
	}
	b.requireRoomBesideStandby(t)
}

// requireRoomBesideStandby lets jobs of large filler tasks stand by, and checks that an ordinary task finds room beside them.
func (b *standbyBench) requireRoomBesideStandby(t *testing.T) {
	t.Helper()
	step := fillerStep
	step.Size.Memory = 800
	for n := range 30 {
		b.submit(crowdID(n), step)
	}
	b.pass(2*fillerAllowed, nil)
	ordinary := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 1000}, Estimate: 500, Image: "ordinary"}
	b.submit(testJob, ordinary)
	b.pass(fillerAllowed, nil)
	require.Equal(t, 1, b.succeeded[testJob])
}

// TestIdleFillerJobsStandByInFreePoolsBesideFullOnes guards against jobs of filler tasks of which nothing runs because workers of other
// pools are full, although most of their own pool is free.
func TestIdleFillerJobsStandByInFreePoolsBesideFullOnes(t *testing.T) {
	b := newHarmedBench(t, 1)
	list := b.Workers()
	for n := range 4 {
		other := list[0]
		other.ID, other.Pool = jobs.WorkerID(fmt.Sprintf("w%d", 1+n)), "other"
		other.Address = string(other.ID)
		b.ids, b.runs, b.ended = append(b.ids, other.ID), append(b.runs, nil), append(b.ended, nil)
		list = append(list, other)
	}
	b.SetWorkers(list, b.now)
	record := b.job(jobs.Step{Count: 4, Size: models.Resources{CPU: 4000, Memory: 10}, LongRunning: true, Image: "serving", Target: 100})
	record.Spec.ID, record.Spec.Queue, record.Terms.Pool = "00000000000000dd", "other", "other"
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.pass(time.Second, nil)
	require.Len(t, b.runsOf(record.Spec.ID), 4)
	b.submit(testJob, fillerStep)
	b.pass(fillerAllowed, nil)
	require.Len(t, b.runsOf(testJob), 1)
}

// TestLargeTasksOnStandbyGoOnBesideSmallOnes guards against large tasks that stand by for as long as small ones follow one another on their
// worker.
func TestLargeTasksOnStandbyGoOnBesideSmallOnes(t *testing.T) {
	b := newStandbyBench(t, 1)
	small, large := fillerStep, fillerStep
	small.Estimate = 700
	large.Size.CPU, large.Estimate = 3500, 500
	submitted := 0
	submit := func() {
		for ; submitted < 6 || submitted-len(b.succeeded) < 6; submitted++ {
			b.submit(crowdID(submitted), small)
		}
	}
	submit()
	b.pass(time.Second, submit)
	b.submit(testJob, large)
	b.pass(15*time.Second, submit)
	require.Equal(t, 1, b.succeeded[testJob])
}

// TestStandbyTasksLeaveServingTasksAlone guards against tasks on standby that keep the unit of the loads from being learned.
func TestStandbyTasksLeaveServingTasksAlone(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	b.pass(5*time.Second, nil)
	b.requireStandby(t, testJob)
	served := b.find(b.runsOf(otherJob)[0].row.Task).step
	require.Less(t, b.now.Sub(served.aloneReportedAt), time.Second)
}
