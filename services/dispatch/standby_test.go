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

// standbyWait is within which a job of which nothing runs has a task on standby.
const standbyWait = standbyAfter + 4*standbyTick

// harmfulFactor is that of a filler image of which not even a small part may run beside a serving task.
const harmfulFactor = 200

// servingStepOn returns a step with a small serving task on each of some workers.
func servingStepOn(workers int) jobs.Step {
	step := servingStep
	step.Count, step.Size.CPU, step.PerWorker = workers, 1000, 1
	return step
}

// newHarmedBench returns a bench whose workers each have a serving task that a filler task would push over its target.
func newHarmedBench(t *testing.T, workers int) *standbyBench {
	t.Helper()
	b := newStandbyBench(t, workers)
	b.setInterference(fillerStep.Image, harmfulFactor)
	b.submit(otherJob, servingStepOn(workers))
	b.pass(time.Second, nil)
	require.Len(t, b.runsOf(otherJob), workers)
	return b
}

// successor returns a bench whose core has just taken over the only worker, with its runs.
func (b *standbyBench) successor(t *testing.T) *standbyBench {
	t.Helper()
	next := newStandbyBench(t, 1)
	next.setInterference(fillerStep.Image, harmfulFactor)
	next.runs = b.runs
	serving := next.job(servingStepOn(1))
	serving.Spec.ID = otherJob
	next.AddJob(serving, jobs.Progress{}, false, next.now)
	next.AddJob(next.job(fillerStep), jobs.Progress{}, false, next.now)
	return next
}

// requireStandby checks that the only run of a job is on standby and stands, and that the core's counts are right.
func (b *standbyBench) requireStandby(t *testing.T, id jobs.ID) {
	t.Helper()
	runs := b.runsOf(id)
	require.Len(t, runs, 1)
	require.Zero(t, runs[0].pace)
	require.True(t, b.find(runs[0].row.Task).standby)
	b.requireStandbyCounts(t)
}

// requireStandbyCounts checks what is counted of tasks on standby for their steps and workers.
func (b *standbyBench) requireStandbyCounts(t *testing.T) {
	t.Helper()
	for _, j := range b.jobs {
		for s := range j.heldSteps() {
			count := 0
			for i := range s.tasks {
				if s.tasks[i].standby {
					count++
				}
			}
			require.Equal(t, count, s.standby, "%s", j.spec.ID)
		}
	}
	for _, w := range b.sortedWorkers {
		sum := models.MilliCPU(0)
		for _, t := range w.tasks {
			if t.standby {
				sum += t.step.spec.Size.CPU
			}
		}
		require.Equal(t, sum, w.standbyCPU, "%s", w.info.ID)
	}
}

// TestIdleFillerJobsStandBy guards against jobs of filler tasks of which nothing runs because the loads allow nothing, however many
// jobs there are, and against their runs doing harm meanwhile.
func TestIdleFillerJobsStandBy(t *testing.T) {
	b := newHarmedBench(t, 2)
	for n := range 20 {
		b.submit(jobs.ID(fmt.Sprintf("%016x", 0x100+n)), fillerStep)
	}
	b.pass(standbyWait, nil)
	for n := range 20 {
		b.requireStandby(t, jobs.ID(fmt.Sprintf("%016x", 0x100+n)))
	}
}

// TestRunsOnStandbyStandThoughOrdersAreLost guards against runs on standby that work on because the order to halt them was
// not carried out or its answer was lost.
func TestRunsOnStandbyStandThoughOrdersAreLost(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeUnknown, OutcomeNotDone, OutcomeUnreached} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			b := newHarmedBench(t, 1)
			b.paced = func(PaceOrder) Outcome {
				if len(b.paces) > 2 {
					return OutcomeDone
				}
				return outcome
			}
			b.submit(testJob, fillerStep)
			b.pass(standbyWait+3*settleTime, nil)
			require.Greater(t, len(b.paces), 2)
			b.requireStandby(t, testJob)
			ordered := len(b.paces)
			b.pass(2*settleTime, nil)
			require.Len(t, b.paces, ordered, "no order is repeated that was answered")
		})
	}
}

// TestTasksOnStandbyGoOnInTheOrderOfUrgency guards against tasks on standby that never go on, or go on before others that are
// more urgent.
func TestTasksOnStandbyGoOnInTheOrderOfUrgency(t *testing.T) {
	b := newStandbyBench(t, 1)
	busy := fillerStep
	busy.Size.CPU, busy.Estimate = 4000, 4000
	b.submit(otherJob, busy)
	b.pass(time.Second, nil)
	step := busy
	step.Estimate = 500
	ids := []jobs.ID{testJob, "00000000000000c1", "00000000000000c2"}
	for _, id := range ids {
		b.submit(id, step)
	}
	b.pass(standbyWait, nil)
	for _, id := range ids {
		b.requireStandby(t, id)
	}
	first := ids[0]
	for _, id := range ids {
		if b.jobs[id].drawn < b.jobs[first].drawn {
			first = id
		}
	}
	b.pass(4*time.Second-standbyWait-time.Second+8*standbyTick, nil)
	require.Equal(t, 1, b.succeeded[otherJob])
	require.Equal(t, jobs.FullSpeed, b.runsOf(first)[0].pace)
	b.requireStandbyCounts(t)
	b.pass(3*time.Second, nil)
	for _, id := range ids {
		require.Equal(t, 1, b.succeeded[id], "%s", id)
	}
}

// TestTasksOnStandbyLeaveMemory guards against tasks on standby that take the memory of a cell that is not mostly free any
// more.
func TestTasksOnStandbyLeaveMemory(t *testing.T) {
	b := newHarmedBench(t, 2)
	step := fillerStep
	step.Size.Memory = 800
	for n := range 20 {
		b.submit(jobs.ID(fmt.Sprintf("%016x", 0x100+n)), step)
	}
	b.pass(2*standbyWait, nil)
	used := models.MiB(0)
	for _, w := range b.sortedWorkers {
		used += w.used.Memory
	}
	const capacity = 2 * 8000
	require.GreaterOrEqual(t, float64(used), mostlyFreeBelow*capacity)
	require.Less(t, float64(used), mostlyFreeBelow*capacity+float64(step.Size.Memory)+1)
}

// TestTasksOnStandbyAreKnownToTheNextOwner guards against runs on standby that a successor takes for runs that work.
func TestTasksOnStandbyAreKnownToTheNextOwner(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	run := b.runsOf(testJob)[0]
	next := b.successor(t)
	next.pass(time.Second, nil)
	require.Same(t, run, next.run(run.row.Task))
	next.requireStandby(t, testJob)
	require.NotEmpty(t, next.paces, "a run that has just begun is taken for one on standby, too, and must stand then")
}

// TestTaskOnStandbyMovesWhereItCanRun guards against the last tasks of a job that stand by beside a serving task while another
// worker could run them.
func TestTaskOnStandbyMovesWhereItCanRun(t *testing.T) {
	b := newHarmedBench(t, 1)
	step := fillerStep
	step.Estimate = 500
	b.submit(testJob, step)
	b.pass(standbyWait, nil)
	b.requireStandby(t, testJob)
	b.addFreeWorker()
	b.pass(2*time.Second, nil)
	require.Equal(t, 1, b.succeeded[testJob])
	b.requireStandbyCounts(t)
}

// TestTaskOnStandbyGoesOnPartly guards against tasks that stand by without end because the loads never allow a whole one, although
// they allow a part.
func TestTaskOnStandbyGoesOnPartly(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.setInterference(fillerStep.Image, 3)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait+4*settleTime, nil)
	runs := b.runsOf(testJob)
	require.Len(t, runs, 1)
	require.Positive(t, runs[0].pace)
	require.Less(t, runs[0].pace, jobs.FullSpeed)
	b.requireStandbyCounts(t)
}

// TestCancelledTasksStandByNoMore guards against counts of tasks on standby that outlive their runs.
func TestCancelledTasksStandByNoMore(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	b.requireStandby(t, testJob)
	b.Cancel(testJob)
	b.pass(time.Second, nil)
	require.Empty(t, b.runsOf(testJob))
	require.Zero(t, b.sortedWorkers[0].standbyCPU)
}

// TestSuspectsDoNotStandBy guards against suspects that count as cleared because nothing happened to their worker while they did
// nothing.
func TestSuspectsDoNotStandBy(t *testing.T) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	b := newHarmedBench(t, 1)
	b.AddJob(b.job(fillerStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost, lost}}}}}, true, b.now)
	b.pass(maxFillerWait+4*standbyTick, nil)
	runs := b.runsOf(testJob)
	require.Len(t, runs, 1)
	require.False(t, b.find(runs[0].row.Task).standby)
	require.True(t, b.find(runs[0].row.Task).onTrial)
}

// TestTasksOnStandbyLeaveDrainingWorkers guards against tasks on standby that are lost with a worker that drains, and whose jobs
// have nothing running until its lease is over.
func TestTasksOnStandbyLeaveDrainingWorkers(t *testing.T) {
	b := newHarmedBench(t, 2)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	list := b.Workers()
	drains := b.find(b.runsOf(testJob)[0].row.Task).worker.info.ID
	for n := range list {
		if list[n].ID == drains {
			list[n].Draining, list[n].Remaining = true, evacuateBefore
		}
	}
	b.SetWorkers(list, b.now)
	b.pass(time.Second+standbyWait, nil)
	b.requireStandby(t, testJob)
	require.NotEqual(t, drains, b.find(b.runsOf(testJob)[0].row.Task).worker.info.ID)
}

// TestIdleFillerJobsStandByInFullCellsBesideFreeOnes guards against jobs of filler tasks of which nothing runs because their cell is not
// mostly free, although all cells together are.
func TestIdleFillerJobsStandByInFullCellsBesideFreeOnes(t *testing.T) {
	for name, c := range map[string]struct {
		others int // workers of the other cells, which are empty
		runs   int
	}{
		"the other cells are free": {others: 2, runs: 1},
		"there are no other cells": {others: 0, runs: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarmedBench(t, 2)
			full := servingStepOn(2)
			full.Size.CPU, full.Image = 1500, "other"
			b.submit("00000000000000dd", full)
			b.pass(time.Second, nil)
			for range c.others {
				b.addOtherCell()
			}
			b.submit(testJob, fillerStep)
			b.pass(2*fillerAllowed, nil)
			require.Len(t, b.runsOf(testJob), c.runs)
		})
	}
}

// TestRunsOnStandbyThatWorkAreHalted guards against runs on standby that work, because an order that was given before is carried out
// late, and harm serving tasks although they count as standing.
func TestRunsOnStandbyThatWorkAreHalted(t *testing.T) {
	b := newHarmedBench(t, 1)
	b.submit(testJob, fillerStep)
	b.pass(standbyWait, nil)
	b.requireStandby(t, testJob)
	b.runsOf(testJob)[0].pace = jobs.FullSpeed
	b.pass(paceSettleTime+settleTime, nil)
	b.requireStandby(t, testJob)
}

// TestStartsOnStandbyComeInBursts guards against starts on standby that follow one another on a worker without a pause, so that its
// serving tasks are over their targets without a break, and against such starts on several workers at a time.
func TestStartsOnStandbyComeInBursts(t *testing.T) {
	const (
		crowd        = 60
		longestBurst = 500 * time.Millisecond
		leastPause   = 900 * time.Millisecond
	)
	b := newHarmedBench(t, 2)
	startedAt := [2][]time.Time{}
	submitted := 0
	b.pass(crowd*2*standbyTick+standbyWait+standbyPause, func() {
		if submitted < crowd && b.now.UnixMilli()%(2*standbyTick).Milliseconds() == 0 {
			b.submit(crowdID(submitted), fillerStep)
			submitted++
		}
		for n, runs := range b.runs {
			for len(startedAt[n]) < len(runs)-1 { // one of them serves
				startedAt[n] = append(startedAt[n], b.now)
			}
		}
	})
	require.Zero(t, b.without(crowd))
	for n, times := range startedAt {
		first, last := times[0], times[0]
		for _, at := range times {
			if at.Sub(last) >= leastPause {
				first = at
			}
			require.LessOrEqual(t, at.Sub(first), longestBurst, "on worker %d", n)
			last = at
		}
	}
	require.NotEqual(t, startedAt[0][0], startedAt[1][0], "the second start goes on the burst of the first")
}
