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

// waitAfterFence returns how long a task waits for one silent worker of the roster once the others have answered.
func waitAfterFence(t *testing.T, roster jobs.Roster) time.Duration {
	t.Helper()
	b := newBench(t, 3)
	roster.Workers = []jobs.Worker{{ID: "silent", Pool: testPool}}
	b.RestoreRoster(roster, b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	b.reportAll(0, len(b.ids))
	for began := b.now; ; b.now = b.now.Add(50 * time.Millisecond) {
		b.reportAll(0, len(b.ids))
		if len(b.storedStarts()) > 0 {
			return b.now.Sub(began)
		}
		require.Less(t, b.now.Sub(began), maxBlindTime)
	}
}

// TestWaitAfterAFenceIsThatOfTheLastLease guards against tasks that wait beside idle workers for longer than callers
// expect: a successor waited for leases that its predecessor could not have granted, for its last proof was older than
// the fence. Owners of older versions could.
func TestWaitAfterAFenceIsThatOfTheLastLease(t *testing.T) {
	const lease, allowance = 4 * time.Second, 300 * time.Millisecond
	roster := jobs.Roster{MaxLease: models.MilliOf(lease)}
	require.InDelta(t, driftedLease(lease)+previousOwnerMargin, waitAfterFence(t, roster), float64(100*time.Millisecond))
	roster.LeaseAllowance = models.MilliOf(allowance)
	bound := driftedLease(lease+allowance) + clockMargin
	wait := waitAfterFence(t, roster)
	require.GreaterOrEqual(t, wait, bound)
	require.Less(t, wait, bound+100*time.Millisecond)
}

// TestLeaseIsBoundToTheProof guards against runs that outlast the wait of a successor: an owner that had stood still, or
// that the store does not answer, granted leases of full length on an old proof.
func TestLeaseIsBoundToTheProof(t *testing.T) {
	for age := time.Duration(0); age <= proofValidity; age += 100 * time.Millisecond {
		b := newBench(t, 3)
		b.report(0, jobs.Report{}) // one worker of three proves nothing
		b.Stored(b.TakeChanges(10, b.now), b.now)
		b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
		proved, clock := b.lastProof(), b.workers[b.ids[0]].reportClock
		require.Equal(t, b.now, proved)
		b.now = b.now.Add(age)
		call, _ := b.LeaseCall(b.ids[0], proofValidity, b.now)
		full := models.MilliOf(age + b.config.Lease)
		require.Equal(t, min(full, models.MilliOf(b.config.Lease+leaseAllowance)), call.Until-clock, "the proof is %s old", age)
		starts := b.starts()
		require.Len(t, starts, 1)
		require.LessOrEqual(t, starts[0].Call.Until, call.Until)
	}
}

// TestStartIsBoundToTheProof guards against a start whose deadline outlasts the leases: a deadline holds for all that
// runs on the worker.
func TestStartIsBoundToTheProof(t *testing.T) {
	b := newBench(t, 3)
	b.config.Lease = time.Second
	b.report(0, jobs.Report{})
	b.Stored(b.TakeChanges(10, b.now), b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	clock := b.workers[b.ids[0]].reportClock
	b.now = b.now.Add(time.Second)
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Equal(t, models.MilliOf(b.config.Lease+leaseAllowance), starts[0].Call.Until-clock)
}

// TestRosterSaysThatLeasesAreBound guards against a successor that counts leases of an owner of an older version as over
// too early, and against one that waits for them for ever.
func TestRosterSaysThatLeasesAreBound(t *testing.T) {
	b := newBench(t, 1)
	b.RestoreRoster(jobs.Roster{}, b.now)
	require.Equal(t, models.MilliOf(leaseAllowance), b.roster().LeaseAllowance, "no owner has granted any lease before")

	b = newBench(t, 3)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: 4000}, b.now)
	began := b.now
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	b.storedStarts()
	require.False(t, b.recovering)
	require.Zero(t, b.roster().LeaseAllowance, "an owner of an older version may go on where no worker of the roster is")
	for b.roster().LeaseAllowance == 0 {
		require.Less(t, b.now.Sub(began), maxBlindTime+time.Second)
		b.report(0, jobs.Report{})
		b.storeChanges()
		b.Decide(b.now)
	}
	require.Greater(t, b.now.Sub(began), maxBlindTime)
	changes := b.TakeChanges(10, b.now)
	require.NotNil(t, changes.Roster, "the roster is stored again")

	next := newBench(t, 0)
	changes.Roster.LeaseAllowance = 700
	next.RestoreRoster(*changes.Roster, next.now)
	require.EqualValues(t, 700, next.roster().LeaseAllowance, "leases of the previous owner may still be running")
}

// TestLongerLeaseWaitsForTheRoster guards against leases that a successor doesn't know of: an owner with a longer lease
// in its settings renewed the leases of runs that it had found before the stored roster named the lease.
func TestLongerLeaseWaitsForTheRoster(t *testing.T) {
	const before = 3 * time.Second
	b := newBench(t, 0)
	b.RestoreRoster(jobs.Roster{Workers: []jobs.Worker{{ID: "w", Pool: testPool}}, MaxLease: models.MilliOf(before), LeaseAllowance: 500}, b.now)
	b.ids = append(b.ids, "w")
	b.reportAll(0, 1)
	granted := func() time.Duration {
		b.reportAll(0, 1)
		call, _ := b.LeaseCall("w", 0, b.now)
		return (call.Until - b.workers["w"].reportClock).Duration()
	}
	require.Equal(t, before, granted())
	b.storeChanges()
	require.Equal(t, b.config.Lease, granted())
}
