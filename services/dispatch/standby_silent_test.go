// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// passWithout lets time pass while a worker is gone.
func (b *standbyBench) passWithout(gone int, passed time.Duration, each func()) {
	b.runs[gone] = nil
	b.gone = &gone
	b.pass(passed, each)
}

// TestJobsOfShortTasksAreSeenRunningBesideASilentWorker guards against short runs that end the wait of a job again and again, because a run
// of it on a worker that has gone counts as under way until the lease of that worker is over.
func TestJobsOfShortTasksAreSeenRunningBesideASilentWorker(t *testing.T) {
	const tasks = 60
	b := newShortTasksBench(t, shortTasksScript{Workers: 2, Steps: []shortStep{{Tasks: tasks, Work: []models.Milli{100}}}})
	b.config.Lease = 6 * time.Second
	short := b.workOf
	b.workOf = func(id jobs.TaskID) time.Duration {
		if id.Job == testJob && id.Index == 0 {
			return time.Hour
		}
		return short(id)
	}
	b.submitShort(testJob, []shortStep{{Tasks: tasks, Work: []models.Milli{100}}})
	b.pass(2*standbyWait, nil)
	gone := slices.IndexFunc(b.runs, func(runs []*standbyRun) bool {
		return slices.ContainsFunc(runs, func(r *standbyRun) bool { return r.row.Task.Job == testJob })
	})
	require.GreaterOrEqual(t, gone, 0)
	l := newLookers(time.Second, standbyTick)
	l.expect(testJob, b.now)
	b.passWithout(gone, b.config.Lease, func() {
		l.look(b.now, func(id jobs.ID) bool { return len(b.runsOf(id)) > 0 || b.succeeded[id] == tasks-1 })
	})
	l.requireSeen(t)
}

// TestShortRunsEndNoWaitInAnotherCell guards against jobs that were handed over by another cell, and whose wait there is forgotten with the
// first short run, so that callers who miss it see nothing of the job for longer than they allow.
func TestShortRunsEndNoWaitInAnotherCell(t *testing.T) {
	const waited = 2500 * time.Millisecond
	steps := []shortStep{{Tasks: 60, Work: []models.Milli{100}}}
	b := newShortTasksBench(t, shortTasksScript{Workers: 2, Steps: steps})
	record := b.shortJob(testJob, steps)
	record.Transferred, record.Accepted = true, models.UnixMilliOf(b.now.Add(-waited))
	b.AddJob(record, jobs.Progress{}, true, b.now)
	var second time.Duration // from the acceptance of the job to the beginning of its second run
	began, runs := b.now, 0
	b.pass(2*fillerAllowed, func() {
		started := b.succeeded[testJob] + len(b.runsOf(testJob))
		if runs < 2 && started >= 2 {
			second = waited + b.now.Sub(began)
		}
		runs = max(runs, started)
	})
	require.Positive(t, second)
	require.Less(t, second, fillerAllowed)
}

// TestOccurrencesOfShortTasksAreSeenRunning guards against repeating jobs whose wait begins anew with each time that is due, although
// nothing of the earlier ones has been seen.
func TestOccurrencesOfShortTasksAreSeenRunning(t *testing.T) {
	const (
		times = 20
		tasks = 2 // of each time
		every = 900
	)
	b := newShortTasksBench(t, shortTasksScript{Workers: 4, Steps: []shortStep{{Tasks: tasks, Work: []models.Milli{100}}}})
	record := b.shortJob(testJob, []shortStep{{Tasks: tasks, Work: []models.Milli{100}}})
	record.Spec.Repeat = jobs.Repeat{Count: times, First: models.UnixMilliOf(b.now), Every: every}
	b.AddJob(record, jobs.Progress{}, true, b.now)
	l := newLookers(time.Second, standbyTick)
	l.expect(testJob, b.now)
	b.pass(times*every*time.Millisecond, func() {
		j := b.jobs[testJob]
		l.look(b.now, func(id jobs.ID) bool { return len(b.runsOf(id)) > 0 || j == nil || !j.holdsWork() })
	})
	l.requireSeen(t)
}
