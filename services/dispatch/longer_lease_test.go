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

// TestLongerLeaseIsGrantedOnceItIsStored guards against runs that outlast the wait of a successor: an owner with a longer
// lease than the stored roster names renews the leases of runs that it has found, and is lost before it has stored the
// roster.
func TestLongerLeaseIsGrantedOnceItIsStored(t *testing.T) {
	for _, longer := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		for age := time.Duration(0); age <= proofValidity; age += 500 * time.Millisecond {
			granted, over := grantBesideStoredLease(t, longer, age)
			require.LessOrEqual(t, granted, over, "a lease that is longer by %s, granted %s after the proof", longer, age)
		}
	}
}

// grantBesideStoredLease returns when a lease ends that an owner grants some time after its proof, and when its successor
// counts it as over that has fenced it right after the proof, both from the proof on. The stored roster names a shorter lease.
func grantBesideStoredLease(t *testing.T, longer, age time.Duration) (granted, over time.Duration) {
	t.Helper()
	b := newBench(t, 0)
	b.ids = []jobs.WorkerID{"w0", "w1", "w2"}
	stored := jobs.Roster{MaxLease: models.MilliOf(b.config.Lease - longer), LeaseAllowance: models.MilliOf(leaseAllowance)}
	for _, id := range b.ids {
		stored.Workers = append(stored.Workers, jobs.Worker{ID: id, Pool: testPool})
	}
	b.RestoreRoster(stored, b.now)
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	b.now = b.lastProof().Add(age)
	proved := b.lastProof()
	call, _ := b.LeaseCall("w0", proofValidity, b.now)
	w := b.workers["w0"]
	require.False(t, w.inRoster, "the longer lease is not stored")

	next := newBench(t, 0)
	next.RestoreRoster(stored, next.now)
	return w.reportedAt.Add((call.Until - w.reportClock).Duration()).Sub(proved), next.lastLeaseAfterFence()
}
