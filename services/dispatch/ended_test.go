// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// jobsStoredAtOnce is how many jobs fit into a transaction of the store.
const jobsStoredAtOnce = 6

// newBenchWithEndedJobs returns a bench whose owner has found the records of jobs that have ended, all of which have been kept
// long enough.
func newBenchWithEndedJobs(t *testing.T, count int) *bench {
	t.Helper()
	b := newBench(t, 2)
	for n := range count {
		record := b.job(singleTaskStep)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 1000+n))
		b.AddJob(record.EndedAs(jobs.StateSucceeded, 1), jobs.Progress{}, false, b.now)
	}
	b.now = b.now.Add(EndedRetention + time.Second)
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	b.starts()
	return b
}

// TestForgottenJobsHoldNoChangesBack guards against losses and ends that are stored only once the records of all jobs that ended
// long ago are removed, which after a takeover are all due at the same moment: a lost task waits that long.
func TestForgottenJobsHoldNoChangesBack(t *testing.T) {
	for _, count := range []int{10, 100, 1000, 10_000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			b := newBenchWithEndedJobs(t, count)
			b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
			start := b.starts()[0]
			b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: start.Call.Task, Run: start.Call.Run, How: jobs.EndFailed}}})
			transactions := 1
			for changes := b.TakeChanges(jobsStoredAtOnce, b.now); len(changes.Jobs) == 0; changes = b.TakeChanges(jobsStoredAtOnce, b.now) {
				b.Stored(changes, b.now)
				transactions++
			}
			require.Equal(t, 1, transactions, "transactions until the failed run is stored")
		})
	}
}

// TestJobsAreForgottenBesideChanges guards against records of ended jobs that stay in the store for as long as there is something
// else to store in each transaction.
func TestJobsAreForgottenBesideChanges(t *testing.T) {
	const count = 100
	b := newBenchWithEndedJobs(t, count)
	var busy []*job
	for n := range 2 * jobsStoredAtOnce {
		record := b.job(singleTaskStep)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 100+n))
		b.AddJob(record, jobs.Progress{}, true, b.now)
		busy = append(busy, b.jobs[record.Spec.ID])
	}
	forgotten, stored := 0, 0
	for range count {
		for _, j := range busy {
			b.markChanged(j)
		}
		changes := b.TakeChanges(jobsStoredAtOnce, b.now)
		require.LessOrEqual(t, len(changes.Jobs)+len(changes.Forget), jobsStoredAtOnce)
		forgotten, stored = forgotten+len(changes.Forget), stored+len(changes.Jobs)
		b.Stored(changes, b.now)
	}
	require.Equal(t, count, forgotten)
	require.GreaterOrEqual(t, stored, count*(jobsStoredAtOnce-1))
}
