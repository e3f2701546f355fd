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

// takenBeside returns a core that has taken over a cell of three workers from an owner that has just ended, where the third
// worker is silent.
func takenBeside(t *testing.T) *bench {
	b := newBench(t, 3)
	b.config.Taken = b.now
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: models.MilliOf(b.config.Lease), LeaseAllowance: models.MilliOf(leaseAllowance)}, b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	b.PreviousOwnersEnded(b.now)
	return b
}

// takenAndCalled returns the same once the silent worker has been called.
func takenAndCalled(t *testing.T) *bench {
	b := takenBeside(t)
	b.LeaseCall(b.ids[2], 0, b.now)
	return b
}

// waited returns for how long the task waits for the silent worker.
func (b *bench) waited(t *testing.T) time.Duration {
	t.Helper()
	began := b.now
	for {
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		if len(b.storedStarts()) > 0 {
			return b.now.Sub(began)
		}
		require.Less(t, b.now.Sub(began), 20*time.Second)
	}
}

// TestSilentWorkerIsWaitedForUntilItsToldLeaseIsOver guards against a lease that is counted anew from the end of the owner
// before, although that one tells when the lease is over, and against a shorter wait than that.
func TestSilentWorkerIsWaitedForUntilItsToldLeaseIsOver(t *testing.T) {
	const (
		told = 2 * time.Second
		step = time.Second // a transaction and some reports
	)
	b := takenAndCalled(t)
	silent := b.ids[2]
	b.PreviousLeasesEnd(map[jobs.WorkerID]time.Time{silent: b.now.Add(told)})
	waited := b.waited(t)
	require.Greater(t, waited, told)
	require.LessOrEqual(t, waited, told+step)

	b = takenAndCalled(t)
	b.PreviousLeasesEnd(map[jobs.WorkerID]time.Time{silent: b.now.Add(time.Minute)})
	require.Greater(t, b.waited(t), driftedLease(b.config.Lease), "a told lease that lasts longer than any lease changes nothing")

	b = takenAndCalled(t)
	b.PreviousLeasesEnd(map[jobs.WorkerID]time.Time{})
	waited = b.waited(t)
	require.Greater(t, waited, firstAnswerWait, "the worker may tell of ended runs")
	require.LessOrEqual(t, waited, firstAnswerWait+step)

	b = takenAndCalled(t)
	require.Greater(t, b.waited(t), driftedLease(b.config.Lease), "nothing is told")
}

// TestGrantedLeasesAreThoseOfTheOwnerItself checks what an ended owner tells of workers that are silent, that answer, and
// that have never answered it.
func TestGrantedLeasesAreThoseOfTheOwnerItself(t *testing.T) {
	b := takenBeside(t)
	b.report(0, jobs.Report{})
	b.LeaseCall(b.ids[0], 0, b.now)
	granted := b.now
	b.now = b.now.Add(2 * time.Second)
	b.report(1, jobs.Report{})
	leases := b.GrantedLeases()
	require.Equal(t, granted.Add(driftedLease(b.config.Lease)+clockMargin), leases[b.ids[0]])
	require.Equal(t, b.now.Add(driftedLease(b.config.Lease)+clockMargin), leases[b.ids[1]], "it may run under a lease of an earlier owner")
	require.Zero(t, leases[b.ids[2]], "this owner has granted it nothing")
}

// TestWorkerMayTellItsEndsAfterALongLoad guards against a task that runs again although it had ended: loading the cell took longer
// than firstAnswerWait, so that a worker without a lease counted as over before it was called.
func TestWorkerMayTellItsEndsAfterALongLoad(t *testing.T) {
	const load = 3 * firstAnswerWait
	b := takenBeside(t)
	b.now = b.now.Add(load)
	b.PreviousLeasesEnd(map[jobs.WorkerID]time.Time{})
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Empty(t, b.storedStarts(), "the worker has not been called yet")
	b.LeaseCall(b.ids[2], 0, b.now)
	waited := b.waited(t)
	require.Greater(t, waited, firstAnswerWait-500*time.Millisecond)
	require.LessOrEqual(t, waited, firstAnswerWait+time.Second)
}
