// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// dividedCluster is a cluster whose workers are divided between an owner that has lost the store and the other daemons.
type dividedCluster struct {
	*testCluster
	spec     jobs.Spec
	previous *testDaemon
	others   []*testDaemon
}

// newDividedCluster runs a task on each worker and divides them: the first kept ones are reached only by their owner, the
// others only by the other daemons.
func newDividedCluster(t *testing.T, kept int, changes ...clusterChange) *dividedCluster {
	w := &dividedCluster{testCluster: newTestCluster(t, takeoverWorkers, 3, nil, changes...), spec: longRunningJob(1, takeoverWorkers)}
	w.submit(w.daemons[0], w.spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(w.spec.ID) == takeoverWorkers })
	time.Sleep(2 * time.Second)
	w.previous = w.owner()
	w.others = slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == w.previous })
	w.previous.set(func() { w.previous.storeCut = true })
	ids := w.grid.IDs()
	for _, id := range ids[kept:] {
		w.previous.cut(id)
	}
	for _, d := range w.others {
		for _, id := range ids[:kept] {
			d.cut(id)
		}
	}
	return w
}

// waitForSuccessor waits until another daemon than the previous owner owns the cell, and returns it.
func (w *dividedCluster) waitForSuccessor() *testDaemon {
	w.t.Helper()
	var successor *testDaemon
	w.eventually(10*time.Second, "another daemon owns the cell", func() bool {
		at := slices.IndexFunc(w.others, func(d *testDaemon) bool { return d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner })
		if at >= 0 {
			successor = w.others[at]
		}
		return successor != nil
	})
	return successor
}

// TestOwnerThatLivesEndsAtTheWordOfItsSuccessor guards against tasks that wait for 30 s for workers that only a previous
// owner reaches, although the previous owner could be asked to end.
func TestOwnerThatLivesEndsAtTheWordOfItsSuccessor(t *testing.T) {
	withAndWithoutWitnesses(t, testOwnerThatLives)
}

func testOwnerThatLives(t *testing.T, changes ...clusterChange) {
	synctest.Test(t, func(t *testing.T) {
		const kept = takeoverWorkers - takeoverWorkers/3
		w := newDividedCluster(t, kept, changes...)
		w.waitForSuccessor()
		taken := time.Now()
		w.eventually(12*time.Second, "all tasks run on the workers of the successor", func() bool {
			running := 0
			for place := kept; place < takeoverWorkers; place++ {
				running += w.grid.RunningOn(place)
			}
			return running == min(takeoverWorkers, 2*(takeoverWorkers-kept)) // two tasks fit on a worker
		})
		t.Logf("the tasks run %s after the takeover", time.Since(taken))
		w.requireNoBreaches()
	})
}

// TestSuccessorWaitsForEachPreviousOwner guards against tasks that run twice: the last owner is known to have ended,
// but one before it lives, cannot be asked, and still renews the leases of most workers.
func TestSuccessorWaitsForEachPreviousOwner(t *testing.T) {
	for kept := takeoverWorkers - takeoverWorkers/3; kept < takeoverWorkers; kept++ {
		t.Run(fmt.Sprintf("%d of %d workers are the first owner's", kept, takeoverWorkers), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) { testOwnersInTurn(t, kept, changes...) })
		})
	}
}

func testOwnersInTurn(t *testing.T, kept int, changes ...clusterChange) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newDividedCluster(t, kept, changes...)
		w.previous.set(func() { w.previous.peersCut = true })
		second := w.waitForSuccessor()
		time.Sleep(time.Second)
		second.killProcess()
		time.Sleep(500 * time.Millisecond)
		next := second.restart()
		for _, id := range w.grid.IDs()[:kept] {
			next.cut(id)
		}
		w.others = []*testDaemon{next, w.others[0], w.others[1]}
		w.waitForSuccessor()
		time.Sleep(takeoverDivided)
		w.requireNoBreaches()
	})
}

// TestRefusedConnectionIsNoEndOfAnOwner guards against tasks that run twice: a firewall refuses the connections to an
// owner that goes on.
func TestRefusedConnectionIsNoEndOfAnOwner(t *testing.T) {
	withAndWithoutWitnesses(t, testRefusedConnection)
}

func testRefusedConnection(t *testing.T, changes ...clusterChange) {
	synctest.Test(t, func(t *testing.T) {
		w := newDividedCluster(t, takeoverWorkers-takeoverWorkers/3, changes...)
		w.previous.set(func() { w.previous.exited = true })
		w.waitForSuccessor()
		time.Sleep(takeoverDivided)
		w.requireNoBreaches()
	})
}

// TestDaemonEndsAClaimOnlyOnce guards against an owner that begins after its successor was told that it has ended: the
// store's answer to its claim came late.
func TestDaemonEndsAClaimOnlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		cells := w.daemons[0].Cells
		late := cellClaim{owner: jobs.Owner{Daemon: "daemon-1", Address: "daemon-1", ClaimID: "late"}, version: 1, taken: time.Now()}
		end := cells.Answer(jobs.Query{Cell: cellThere, EndClaim: "late"}).ClaimEnd
		require.NotNil(t, end, "nothing runs under the claim")
		cells.startOwner(t.Context(), cellThere, late)
		require.NotContains(t, cells.ownedCells(), cellThere)
	})
}

// TestClaimEndTellsSinceWhen checks the answers for a claim of the running process, before and after its end, and for
// one of the process before it.
func TestClaimEndTellsSinceWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		d := w.daemons[0]
		time.Sleep(3 * time.Second)
		require.EqualValues(t, time.Since(w.began()).Milliseconds(), d.Cells.endClaim(cellName(0), "of the process before").Ago)

		owner := d.Cells.ownedCells()[cellName(0)]
		require.Nil(t, d.Cells.endClaim(cellName(0), owner.claim.ClaimID), "the owner ends only now")
		synctest.Wait()
		time.Sleep(time.Second)
		end := d.Cells.endClaim(cellName(0), owner.claim.ClaimID)
		require.Equal(t, "daemon-1", end.Daemon)
		require.InDelta(t, 1000, float64(end.Ago), 100)
	})
}

// TestProcessThatMayNotListenYetTellsNoEnd guards against tasks that run twice: the process before may still run until
// this one listens at its address.
func TestProcessThatMayNotListenYetTellsNoEnd(t *testing.T) {
	require.Nil(t, newManualOwner(t).cells.endClaim(cellHere, "of the process before"))
}

// TestAnotherDaemonAtTheAddressIsNoEnd guards against an answer of a VM that has the address of a VM that went.
func TestAnotherDaemonAtTheAddressIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		asked := jobs.Owner{Daemon: "daemon-of-old", Address: "daemon-2", ClaimID: "x"}
		require.Nil(t, w.daemons[0].Cells.askClaimEnd(t.Context(), cellName(0), asked))
		asked.Daemon = "daemon-2"
		require.NotNil(t, w.daemons[0].Cells.askClaimEnd(t.Context(), cellName(0), asked))
	})
}

// TestClaimsOfPreviousOwnersAreForgotten guards against a list of claims that grows with each takeover, and with it the
// time after which a later owner knows that all others have ended.
func TestClaimsOfPreviousOwnersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 3, nil)
		for range 3 {
			w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
			time.Sleep(8 * time.Second)
			owner := w.owner()
			claims, _, err := readWithVersion[jobs.Claims](t.Context(), owner.Cells.config.Store, claimsKey(cellName(0)))
			require.NoError(t, err)
			require.Equal(t, jobs.Claims{Owners: []jobs.Owner{owner.Cells.ownedCells()[cellName(0)].claim}}, claims)
			owner.killProcess()
			owner.restart()
		}
	})
}

// TestOwnerThatIsNotListedIsNoEndedOne guards against tasks that run twice beside an owner of an older version, which does
// not list its claim.
func TestOwnerThatIsNotListedIsNoEndedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 1, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		cells := w.daemons[0].Cells
		claimAndRemove := func() previousOwners {
			claim := jobs.Owner{Daemon: "d", Address: "a", ClaimID: "next"}
			previous, version, err := cells.commitClaim(t.Context(), cellThere, &claim, 0)
			require.NoError(t, err)
			require.NoError(t, cells.removeOwner(t.Context(), cellThere, version))
			return previous
		}
		require.False(t, claimAndRemove().claims.Incomplete, "nothing is stored for the cell")
		require.False(t, claimAndRemove().claims.Incomplete, "the owner before is listed")

		later, err := cells.config.Store.Commit(t.Context(), platform.Txn{Put: []platform.Write{{Key: "any"}}})
		require.NoError(t, err)
		txn, err := putTxn(journalKey(cellThere), journalEntry{Epoch: jobs.Epoch(later)})
		require.NoError(t, err)
		_, err = cells.config.Store.Commit(t.Context(), txn)
		require.NoError(t, err)
		require.True(t, claimAndRemove().claims.Incomplete, "a later owner has stored something")
		require.True(t, claimAndRemove().claims.Incomplete, "the list remembers it")
	})
}

// TestUnreadableListOfClaimsKeepsNoCellWithoutOwner guards against a cell that nobody can claim.
func TestUnreadableListOfClaimsKeepsNoCellWithoutOwner(t *testing.T) {
	o := newManualOwner(t)
	_, err := o.store.Commit(t.Context(), platform.Txn{Put: []platform.Write{{Key: claimsKey(cellThere), Value: []byte("{")}}})
	require.NoError(t, err)
	previous, _, err := o.cells.commitClaim(t.Context(), cellThere, &jobs.Owner{Daemon: "d", Address: "a", ClaimID: "c"}, 0)
	require.NoError(t, err)
	require.True(t, previous.claims.Incomplete)
}
