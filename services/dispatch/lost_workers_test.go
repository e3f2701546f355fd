// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestWorkerThatCertainlyRunsNothingIsNotInTheRoster checks that the next owner does not wait for a silent worker whose
// lease is over.
func TestWorkerThatCertainlyRunsNothingIsNotInTheRoster(t *testing.T) {
	previous := newBench(t, 3)
	previous.report(2, jobs.Report{})
	silent := previous.ids[2]
	for previous.now.Before(previous.lapsedAt(previous.workers[silent]).Add(silentAfter)) {
		previous.report(0, jobs.Report{})
		previous.report(1, jobs.Report{})
		previous.starts()
	}
	changes := previous.TakeChanges(10, previous.now)
	require.NotNil(t, changes.Roster)
	require.Len(t, changes.Roster.Workers, 2)

	b := newBench(t, 0)
	b.now = previous.now
	b.RestoreRoster(*changes.Roster, b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	b.ids = previous.ids
	b.SetWorkers(previous.Workers(), b.now) // the list still names the silent worker
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 1)
}

func TestWorkerThatComesBackIsInTheRosterBeforeItGetsStarts(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{})
	b.now = b.lapsedAt(b.workers[b.ids[0]]).Add(silentAfter)
	b.starts()
	without := b.TakeChanges(10, b.now)
	require.Empty(t, without.Roster.Workers)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.Stored(without, b.now)
	require.Empty(t, b.starts(), "the stored roster does not name the worker")
	with := b.TakeChanges(10, b.now)
	require.Len(t, with.Roster.Workers, 1)
	b.Stored(with, b.now)
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	require.Len(t, b.starts(), 1)
}

func TestTaskOfLostWorkerRunsOnceItsLeaseIsOver(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	first := b.starts()
	require.Len(t, first, 1)
	b.Started(first[0], Result{Outcome: OutcomeDone}, b.now)
	other := 1
	if first[0].Worker.ID == b.ids[1] {
		other = 0
	}
	lost := b.now
	for range 100 {
		b.report(other, jobs.Report{})
		if again := b.storedStarts(); len(again) > 0 {
			require.Greater(t, b.now.Sub(lost), 4*time.Second, "the worker's lease was 4 s")
			require.Less(t, b.now.Sub(lost), 6*time.Second)
			require.Greater(t, again[0].Call.Run, first[0].Call.Run)
			return
		}
	}
	require.Fail(t, "the task does not run again")
}
