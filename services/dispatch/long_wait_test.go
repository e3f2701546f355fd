// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// longWaitBench is a core whose lines about long waits are kept.
type longWaitBench struct {
	*bench
	logged *observer.ObservedLogs
}

func newLongWaitBench(t *testing.T, workers int) longWaitBench {
	t.Helper()
	b := newBench(t, workers)
	core, logged := observer.New(zap.InfoLevel)
	b.config.Logger = zap.New(core)
	return longWaitBench{b, logged}
}

// waits lets the workers in the list report for some time and returns the lines about long waits of that time.
func (b longWaitBench) waits(passed time.Duration, reporting ...int) []map[string]any {
	b.logged.TakeAll()
	for until := b.now.Add(passed); b.now.Before(until); {
		for _, n := range reporting {
			b.report(n, jobs.Report{})
		}
		b.store()
		b.Decide(b.now)
	}
	var lines []map[string]any
	for _, entry := range b.logged.FilterMessage("tasks wait for long").All() {
		lines = append(lines, entry.ContextMap())
	}
	return lines
}

// TestLongWaitsAreSummedUpByReason guards against tasks that wait beside free workers without a trace of why, and with
// how much room.
func TestLongWaitsAreSummedUpByReason(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(b longWaitBench)
		reason  waitReason
	}{
		"the cell recovers": {func(b longWaitBench) {
			b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
			b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
		}, waitRecovery},
		"no worker is large enough": {func(b longWaitBench) {
			b.AddJob(b.job(jobs.Step{Count: 1, Size: oversizedStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
		}, waitNoRoom},
		"a suspect, the worker is not usable": {func(b longWaitBench) {
			lost := []jobs.LostRun{lostRunWith(lossShared, 1, 4, 3), lostRunWith(lossAlone, 2, 4, 3)}
			b.AddJob(b.job(singleTaskStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: lost}}}}, true, b.now)
			b.workers[b.ids[0]].stalledUntil = b.now.Add(time.Minute)
		}, waitNoTrialWorker},
		"the worker is not usable": {func(b longWaitBench) {
			b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
			b.workers[b.ids[0]].stalledUntil = b.now.Add(time.Minute)
		}, waitWorkersClosed},
		"a filler task, no CPU is unused": {func(b longWaitBench) {
			filler := fillerStep
			filler.Size.CPU = oversizedStep.Size.CPU
			b.AddJob(b.job(filler), jobs.Progress{}, true, b.now)
		}, waitInterference},
		"room is left to short work": {func(b longWaitBench) {
			lasting := waitSuspectStep
			lasting.Size.CPU = 3500
			b.AddJob(b.job(lasting), jobs.Progress{}, true, b.now)
			short := b.job(jobs.Step{Count: 4, Size: oversizedStep.Size, Estimate: 500})
			short.Spec.ID = otherJob
			b.AddJob(short, jobs.Progress{}, true, b.now)
		}, waitShortWork},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLongWaitBench(t, 2)
			b.workers[b.ids[1]].info.Draining = true
			c.prepare(b)
			require.Empty(t, b.waits(longWait-200*time.Millisecond, 0), "nothing waits for long yet")
			lines := b.waits(longWaitInterval+200*time.Millisecond, 0)
			require.NotEmpty(t, lines)
			require.LessOrEqual(t, len(lines), 2, "once a second")
			require.Contains(t, lines[0]["tasks"], c.reason)
			usable, closed := 1, 0
			if !b.workers[b.ids[0]].stalledUntil.IsZero() {
				usable, closed = 0, 1
			}
			require.EqualValues(t, usable, lines[0]["usable"])
			require.EqualValues(t, 4000*usable, lines[0]["free_cpu"])
			require.EqualValues(t, 4000*closed, lines[0]["closed_cpu"].(map[closedReason]models.MilliCPU)[closedStalled])
			require.Positive(t, b.Summary(b.now).LongWaits.Tasks[c.reason])
		})
	}
}

// TestContestedSuspectsAreSummedUp guards against the same for tasks that wait for the outcome of another one, and for that
// other one, whose start has no answer.
func TestContestedSuspectsAreSummedUp(t *testing.T) {
	b := longWaitBench{bench: newSharedSuccessor(t, maxLosses-2)}
	core, logged := observer.New(zap.InfoLevel)
	b.config.Logger, b.logged = zap.New(core), logged
	b.waits(time.Second, 0) // one of them is on trial, and its worker is silent from now on
	lines := b.waits(longWait+longWaitInterval, 1)
	require.NotEmpty(t, lines)
	require.Equal(t, map[waitReason]int{waitContested: 1, waitUnconfirmed: 1}, lines[0]["tasks"])
}

// TestLongWaitsTellWhyWorkersAreClosed guards against lines about long waits that do not tell workers kept for suspects from
// workers that are not usable, and why those are not.
func TestLongWaitsTellWhyWorkersAreClosed(t *testing.T) {
	closed := []struct {
		reason  closedReason
		prepare func(w *worker, b longWaitBench)
	}{
		{closedReserved, func(w *worker, b longWaitBench) { w.reservedUntil = b.now.Add(time.Minute) }},
		{closedTrial, func(w *worker, _ longWaitBench) { w.trials = 1 }},
		{closedStalled, func(w *worker, b longWaitBench) { w.stalledUntil = b.now.Add(time.Minute) }},
		{closedUnlisted, func(w *worker, _ longWaitBench) { w.listed = false }},
		{closedDraining, func(w *worker, _ longWaitBench) { w.info.Draining = true }},
		{closedNotInRoster, func(w *worker, _ longWaitBench) { w.inRoster = false }},
	}
	b := newLongWaitBench(t, len(closed))
	b.AddJob(b.job(jobs.Step{Count: 1, Size: oversizedStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
	want := map[closedReason]int{}
	for n, c := range closed {
		c.prepare(b.workers[b.ids[n]], b)
		want[c.reason] = 1
	}
	lines := b.waits(longWait+longWaitInterval, 0, 1, 2, 3)
	require.NotEmpty(t, lines)
	require.Equal(t, want, lines[0]["closed"])
	require.EqualValues(t, 2, lines[0]["usable"])
	require.EqualValues(t, 4000, lines[0]["closed_cpu"].(map[closedReason]models.MilliCPU)[closedStalled])
}

// TestNothingIsSummedUpOnceNothingWaits guards against a state dump that shows waits that are over, and against lines
// about tasks whose step has not been opened, or that have just begun to wait.
func TestNothingIsSummedUpOnceNothingWaits(t *testing.T) {
	b := newLongWaitBench(t, 1)
	b.AddJob(b.job(jobs.Step{Count: 1, Size: oversizedStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
	require.NotEmpty(t, b.waits(longWait+longWaitInterval, 0))
	require.NotNil(t, b.Summary(b.now).LongWaits)
	b.workers[b.ids[0]].info.Capacity = models.Resources{CPU: 8000, Memory: 8000}
	require.Empty(t, b.waits(longWaitInterval, 0))
	require.Nil(t, b.Summary(b.now).LongWaits)
}

// TestStepThatIsNotOpenDoesNotWait guards against lines about tasks whose step has just been opened.
func TestStepThatIsNotOpenDoesNotWait(t *testing.T) {
	b := newLongWaitBench(t, 1)
	second := jobs.Step{Count: 1, Size: oversizedStep.Size, After: []int{0}}
	b.AddJob(b.job(singleTaskStep, second), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	start := b.startOne(t)
	row := jobs.Run{Task: start.Call.Task, Run: start.Call.Run}
	for until := b.now.Add(2 * longWait); b.now.Before(until); {
		b.report(0, jobs.Report{Running: []jobs.Run{row}})
		b.Decide(b.now)
	}
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: row.Task, Run: row.Run, How: jobs.EndSucceeded}}})
	require.Empty(t, b.waits(longWait/2, 0))
	require.NotEmpty(t, b.waits(longWait/2+longWaitInterval, 0))
}

// TestTasksThatMayNotRunAreSummedUp guards against tasks that run nowhere without a line: their start has no answer, or their
// worker does not answer.
func TestTasksThatMayNotRunAreSummedUp(t *testing.T) {
	for name, c := range map[string]struct {
		outcome   Outcome
		reporting int // the worker that goes on to report
		reason    waitReason
	}{
		"the start has no answer":    {OutcomeUnknown, 0, waitUnconfirmed},
		"the worker does not answer": {OutcomeDone, 1, waitSilentWorker},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLongWaitBench(t, 2)
			b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
			b.report(0, jobs.Report{})
			start := b.startOne(t)
			b.Started(start, Result{Outcome: c.outcome}, b.now)
			lines := b.waits(longWait+longWaitInterval, c.reporting)
			require.NotEmpty(t, lines)
			require.Equal(t, map[waitReason]int{c.reason: 1}, lines[0]["tasks"])
			require.EqualValues(t, singleTaskStep.Size.CPU, lines[0]["size"])
		})
	}
}

// TestLongWaitsTellIdleJobsAndUse guards against lines about long waits that do not tell how many jobs have nothing running, and
// whether so little of the cell is in use that something of each should run.
func TestLongWaitsTellIdleJobsAndUse(t *testing.T) {
	b := newLongWaitBench(t, 1)
	idle := fillerStep
	idle.Size.CPU = oversizedStep.Size.CPU
	b.AddJob(b.job(idle), jobs.Progress{}, true, b.now)
	running := b.job(fillerStep)
	running.Spec.ID = otherJob
	b.AddJob(running, jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	start := b.startOne(t)
	b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	row := jobs.Run{Task: start.Call.Task, Run: start.Call.Run}
	for until := b.now.Add(longWait + longWaitInterval); b.now.Before(until); {
		b.report(0, jobs.Report{Running: []jobs.Run{row}})
		b.find(row.Task).pace = 0
		b.store()
		b.Decide(b.now)
	}
	waits := b.Summary(b.now).LongWaits
	require.NotNil(t, waits)
	require.Equal(t, 1, waits.IdleJobs)
	require.GreaterOrEqual(t, waits.LongestIdleJob, models.MilliOf(longWait))
	require.Equal(t, 1, waits.Fillers)
	require.Equal(t, 1, waits.HaltedFillers)
	require.Zero(t, waits.UsedCPU)
	require.Positive(t, waits.UsedMemory)
}

// TestLongWaitsTellJobsOfWhichRunsAreTooShortToBeSeen guards against lines about long waits that show no job waiting, because a short task
// of it runs now and then.
func TestLongWaitsTellJobsOfWhichRunsAreTooShortToBeSeen(t *testing.T) {
	for name, c := range map[string]struct {
		work   models.Milli
		unseen int
	}{
		"short runs": {work: 100, unseen: 1},
		"long runs":  {work: 1500, unseen: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newStandbyBench(t, 1)
			step := fillerStep
			step.Count, step.Size, step.Estimate = 100, models.Resources{CPU: 4000, Memory: 7000}, c.work // too large to stand by
			b.submit(testJob, step)
			most := 0
			b.pass(2*longWait, func() {
				for _, r := range b.runsOf(testJob) {
					if r.done == 0 {
						b.workers[b.ids[0]].noStartsUntil = b.now.Add(time.Second)
					}
				}
				if waits := b.Summary(b.now).LongWaits; waits != nil {
					most = max(most, waits.UnseenJobs)
				}
			})
			require.Equal(t, c.unseen, most)
		})
	}
}
