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

const (
	strongJob   = jobs.ID("00000000000000cc")
	ordinaryJob = jobs.ID("00000000000000dd")
	// trialOrderTime is how long the tests of the order of trials go on.
	trialOrderTime = 20 * time.Second
	// allowedTrialWait is how long a task may wait on a single worker that others are tried on: the longest trial, and
	// some reports.
	allowedTrialWait = maxTrialTime + time.Second
)

// Losses of a task that chance explains, of one that it does not explain, and of one that may have lost all runs allowed.
var (
	weakLosses   = []jobs.LostRun{{Run: 1, RanAtMost: 1500, EvidenceVsChance: 1, EvidenceVsAll: 1, LossID: lossShared}, lostRunWith(lossAlone, 2, 1, 1)}
	strongLosses = []jobs.LostRun{lostRunWith(lossThird, 1, 4, 3), lostRunWith(11, 2, 4, 3)}
	fiveLosses   = []jobs.LostRun{
		lostRunWith(lossShared, 1, 3, 2), lostRunWith(lossAlone, 2, 3, 2), lostRunWith(21, 3, 3, 2), lostRunWith(22, 4, 3, 2), lostRunWith(23, 5, 3, 2),
	}
)

// addSuspect adds a job of one lasting task that has lost the given runs.
func (b *bench) addSuspect(id jobs.ID, step jobs.Step, lost []jobs.LostRun) {
	j := b.job(step)
	j.Spec.ID = id
	progress := jobs.Progress{}
	if lost != nil {
		progress.Suspected = jobs.Suspicions{0: {0: {Lost: lost}}}
	}
	b.AddJob(j, progress, true, b.now)
}

// TestWorkStartsBesideWeakSuspectsThatKeepComing guards against a worker that takes nothing but weak suspects: each of
// them joined those on trial, so that some trial was always open.
func TestWorkStartsBesideWeakSuspectsThatKeepComing(t *testing.T) {
	b := newBench(t, 1)
	b.workers[b.ids[0]].info.Capacity = models.Resources{CPU: 64_000, Memory: 64_000}
	b.report(0, jobs.Report{})
	b.addSuspect(trialJobID(0), waitSuspectStep, weakLosses)
	began, startedAfter := b.now, map[jobs.ID]time.Duration{}
	var rows []jobs.Run
	for tick := 1; b.now.Sub(began) < trialOrderTime; tick++ {
		if tick == 3 {
			b.addSuspect(strongJob, waitSuspectStep, strongLosses)
			b.addSuspect(ordinaryJob, waitSuspectStep, nil)
		}
		if tick%10 == 0 {
			b.addSuspect(trialJobID(tick), waitSuspectStep, weakLosses)
		}
		b.report(0, jobs.Report{Running: rows})
		b.store()
		for _, start := range b.starts() {
			startedAfter[start.Call.Task.Job] = b.now.Sub(began)
			b.Started(start, Result{Outcome: OutcomeDone}, b.now)
			rows = append(rows, jobs.Run{Task: start.Call.Task, Run: start.Call.Run})
		}
	}
	for _, id := range []jobs.ID{strongJob, ordinaryJob} {
		require.Contains(t, startedAfter, id)
		require.LessOrEqual(t, startedAfter[id], 2*allowedTrialWait, "two trials before it")
	}
}

func trialJobID(n int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", 0x1000+n)) }

// TestSuspectMovesOnFromAWorkerThatRefusesIt guards against a suspect that is tried again and again on a worker that
// refuses it, beside idle workers.
func TestSuspectMovesOnFromAWorkerThatRefusesIt(t *testing.T) {
	for name, lost := range map[string][]jobs.LostRun{"one loss": {lostRunWith(lossShared, 1, 6, 6)}, "two losses": strongLosses} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 3)
			b.addSuspect(testJob, waitSuspectStep, lost)
			refusing := b.awaitStart(t)
			b.Started(refusing, Result{Outcome: OutcomeRefused, Refusal: "unknown reason"}, b.now)
			require.NotEqual(t, refusing.Worker.ID, b.awaitStart(t).Worker.ID)
		})
	}
}

// TestTrialEndsWhenItsLossesAreRetracted guards against a worker that takes nothing else for good: a run was taken over
// on trial, and another worker reported that the task's only loss had been none.
func TestTrialEndsWhenItsLossesAreRetracted(t *testing.T) {
	b := newBench(t, 2)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: 4000}, b.now)
	b.AddJob(b.job(waitSuspectStep), jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lostRunWith(lossShared, 1, 9, 8)}}}}}, false, b.now)
	row := jobs.Run{Task: taskOf(0), Run: 3}
	b.report(0, jobs.Report{Running: []jobs.Run{row}})
	require.True(t, b.taskOf(testJob).onTrial)
	b.report(1, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 1, How: jobs.EndLapsed}}})
	b.report(0, jobs.Report{Running: []jobs.Run{row}})
	require.Zero(t, b.workers[b.ids[0]].trials)
}

// TestWaitBeginsAnewAfterARun guards against a task that may have lost five runs and is started at once, beside the trial
// of one that was lost with it, because it had waited before a run that went on for long.
func TestWaitBeginsAnewAfterARun(t *testing.T) {
	b := newBench(t, 3)
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	b.addSuspect(testJob, waitSuspectStep, fiveLosses)
	b.addSuspect(otherJob, waitSuspectStep, fiveLosses[:4])
	require.Equal(t, otherJob, b.awaitStart(t).Call.Task.Job)
	for range 90 {
		b.report(2, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 1 << 20}}})
	}
	b.store()
	b.Replaced(b.ids[2], b.now)
	require.Equal(t, taskWaiting, b.taskOf(testJob).state)
	require.False(t, b.taskOf(testJob).hasWaitedForOthers(b.now))
}

// TestTaskWaitsForAnotherOneThatCannotStartForAMoment guards against a task that is started a sixth time because the worker
// of the one that is to be tried first takes no starts for some tenths of a second.
func TestTaskWaitsForAnotherOneThatCannotStartForAMoment(t *testing.T) {
	b := newBench(t, 3)
	b.workers[b.ids[2]].info.Labels = []string{"x"}
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	step := waitSuspectStep
	step.Requires = "x"
	b.addSuspect(testJob, waitSuspectStep, fiveLosses)
	b.addSuspect(otherJob, step, fiveLosses[:4])
	b.workers[b.ids[2]].noStartsUntil = b.now.Add(fullPause)
	require.Empty(t, b.starts())
}
