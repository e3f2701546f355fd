// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestOwnerThatStoodStillWaitsForAProof guards against orders of an owner that was suspended: a successor may have
// started the tasks that wait here, and workers that the successor has not reached would obey.
func TestOwnerThatStoodStillWaitsForAProof(t *testing.T) {
	prove := map[string]func(b *bench){
		"a transaction": func(b *bench) {
			b.Stored(b.TakeChanges(10, b.now), b.now)
			require.Empty(t, b.starts(), "no lease has been renewed since the proof")
			b.report(0, jobs.Report{})
		},
		"most workers": func(b *bench) {
			b.report(1, jobs.Report{})
			b.report(2, jobs.Report{})
			b.now = b.now.Add(answerCountInterval)
		},
	}
	for name, proof := range prove {
		b := newBench(t, 3)
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		require.Empty(t, b.starts())
		b.now = b.now.Add(4 * time.Second)
		b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
		b.report(0, jobs.Report{})
		require.Empty(t, b.starts(), "one worker of three proves nothing")
		require.True(t, b.HasChanges(), "a transaction is wanted as proof")
		proof(b)
		require.Len(t, b.starts(), 1, name)
	}
}

// TestLapsedTasksWaitForAProof guards against tasks that start elsewhere too early: the store is away while a worker
// is silent, and a successor may have renewed the worker's lease.
func TestLapsedTasksWaitForAProof(t *testing.T) {
	b := newBench(t, 4)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	first := b.starts()
	require.Len(t, first, 1)
	b.Started(first[0], Result{Outcome: OutcomeDone}, b.now)
	began := b.now
	for b.now.Sub(began) < 20*time.Second {
		for n, id := range b.ids {
			if id != first[0].Worker.ID {
				b.report(n, jobs.Report{})
			}
		}
		require.Empty(t, b.starts())
	}
	b.Stored(b.TakeChanges(10, b.now), b.now)
	require.Len(t, b.starts(), 1)
}

// renewsAfter lets some workers answer for a time without any transaction, and returns whether the owner renews the
// lease of the first worker at the end.
func (b *bench) renewsAfter(answering int, span time.Duration) bool {
	for end := b.now.Add(span); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		b.reportAll(0, answering)
		b.Decide(b.now)
	}
	call, known := b.LeaseCall(b.ids[0], 0, b.now)
	return known && call.Until != 0
}

// TestMostWorkersProveOwnershipForSomeTimeOnly guards against an owner that goes on for longer than its successor waits,
// because two thirds of the workers answer it, and the others its successor.
func TestMostWorkersProveOwnershipForSomeTimeOnly(t *testing.T) {
	const workers, answering = 6, 4
	b := newBench(t, workers)
	b.reportAll(0, workers)
	limit := b.maxQuorumTime()
	require.True(t, b.renewsAfter(answering, limit))
	require.False(t, b.renewsAfter(answering, proofValidity+time.Second))
	last := limit + proofValidity + driftedLease(b.config.Lease)
	require.Less(t, last, maxBlindTime, "the last lease is over before a successor starts the tasks")
	b.reportAll(answering, workers)
	b.now = b.now.Add(answerCountInterval)
	require.True(t, b.renewsAfter(workers, 0), "the answers of all workers are proof")
	b.now = b.now.Add(100 * time.Millisecond)
	require.True(t, b.renewsAfter(answering, limit))
}

// TestAllWorkersProveOwnershipInALongOutage guards against runs that end in a long outage of the store, although all
// workers answer their owner.
func TestAllWorkersProveOwnershipInALongOutage(t *testing.T) {
	b := newBench(t, 6)
	require.True(t, b.renewsAfter(6, 3*maxBlindTime))
}
