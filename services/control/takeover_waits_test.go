// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// TestSuccessorOfTwoDaemonsOrdersAtOnce guards against starts that wait for a witness which is the owner that has just been
// lost: its registration stays until its lease in the store is over, its key was removed before that.
func TestSuccessorOfTwoDaemonsOrdersAtOnce(t *testing.T) {
	const allowed = 500 * time.Millisecond // 110 ms without witnesses
	withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCluster(t, takeoverWorkers, 2, nil, changes...)
			first := longRunningJob(1, takeoverWorkers)
			w.submit(w.daemons[0], first)
			w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(first.ID) == takeoverWorkers })
			time.Sleep(minOwnerAge)
			lost, successor := w.owner(), w.daemons[0]
			if lost == successor {
				successor = w.daemons[1]
			}
			lost.killProcess()
			began := time.Now()
			for w.owner() == nil {
				_, _ = successor.Cells.queryOwner(t.Context(), jobs.Query{Cell: cellName(0), Load: true})
				time.Sleep(10 * time.Millisecond)
			}
			second := longRunningJob(2, 1)
			w.submit(successor, second)
			w.eventually(10*time.Second, "a job that was submitted since runs", func() bool { return w.grid.Running(second.ID) == 1 })
			require.LessOrEqual(t, time.Since(began), allowed)
		})
	})
}

// newSpreadJob runs a long-running job with tasks on all workers of a new cluster.
func newSpreadJob(t *testing.T, daemons int) (*testCluster, jobs.Spec) {
	t.Helper()
	settings := testSettings
	settings.WorkerLease = takeoverLease
	w := newTestClusterWithSettings(t, daemons, settings, grid.Config{Workers: takeoverWorkers})
	spec := longRunningJob(1, takeoverWorkers)
	spec.Steps[0].PerWorker = 2
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	return w, spec
}

// TestTasksRunSoonAfterAHandover guards against a wait that begins anew with each owner although no owner was lost: a
// worker goes for good, and its cell is handed over, as to a daemon with more capacity, before its lease is over.
func TestTasksRunSoonAfterAHandover(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprintf("%v after the loss", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, spec := newSpreadJob(t, 4)
				time.Sleep(5 * time.Second)
				w.grid.SetFaults(0, faultsCut)
				w.grid.SetListed(0, false)
				lost := time.Now()
				time.Sleep(after)
				owner := w.owner()
				require.NoError(t, owner.Cells.handOver(w.ctx, cellName(0), owner.Cells.ownedCells()[cellName(0)], "test"))
				time.Sleep(time.Until(lost.Add(takeoverLease + takeoverLapse))) // runs on the silent worker have ended
				w.eventually(20*time.Second, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
				require.LessOrEqual(t, time.Since(lost), takeoverCalm+takeoverAllowed)
				w.requireNoBreaches()
			})
		})
	}
}

// TestTasksRunSoonAfterAHandoverWhileCallsAreLost guards against a wait of a whole lease because the calls for the leases of the
// owner before, which has ended and answers other calls, were lost for some time.
func TestTasksRunSoonAfterAHandoverWhileCallsAreLost(t *testing.T) {
	const (
		lostCalls = 4  // at least so many calls are lost where another daemon takes the cell over
		maxPlays  = 20 // the daemon that hands the cell over may take it again, and calls nobody then
	)
	for range maxPlays {
		lost, isOther := playHandoverWhileCallsAreLost(t)
		if isOther {
			require.GreaterOrEqual(t, lost, lostCalls)
			return
		}
	}
	require.Fail(t, "no other daemon has taken the cell over")
}

// playHandoverWhileCallsAreLost hands a cell over beside a lost worker while calls for leases are lost. It returns how many were
// lost, and whether another daemon has taken the cell over.
func playHandoverWhileCallsAreLost(t *testing.T) (lostCalls int, isOther bool) {
	t.Helper()
	const (
		after   = 2 * time.Second // from the worker's loss to the handover
		lostFor = 1500 * time.Millisecond
		maxWait = 4 * time.Second // a lease from the loss on, and some transactions
	)
	synctest.Test(t, func(t *testing.T) {
		w, spec := newSpreadJob(t, 4)
		time.Sleep(5 * time.Second)
		w.grid.SetFaults(0, faultsCut)
		w.grid.SetListed(0, false)
		gone := time.Now()
		time.Sleep(after)
		var lost atomic.Int32
		began := time.Now()
		w.losesQuery = func(query jobs.Query) bool {
			if query.ClaimLeases == "" || time.Since(began) > lostFor {
				return false
			}
			lost.Add(1)
			return true
		}
		owner := w.owner()
		require.NoError(t, owner.Cells.handOver(w.ctx, cellName(0), owner.Cells.ownedCells()[cellName(0)], "test"))
		time.Sleep(time.Until(gone.Add(takeoverLease + takeoverLapse))) // runs on the silent worker have ended
		w.eventually(20*time.Second, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		lostCalls, isOther = int(lost.Load()), w.owner() != owner
		t.Logf("all run after %v, %d calls lost, taken over by another daemon: %v", time.Since(began), lostCalls, isOther)
		require.LessOrEqual(t, time.Since(began), maxWait)
		w.requireNoBreaches()
	})
	return lostCalls, isOther
}

// testOwnersVMFollowsAWitness loses one of the owner's witnesses for good, and some time later the owner's VM and a worker.
func testOwnersVMFollowsAWitness(t *testing.T, daemons int, between time.Duration) {
	t.Run(fmt.Sprintf("%d daemons, %v between", daemons, between), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, spec := newSpreadJob(t, daemons)
			time.Sleep(firstWitnessCheck + time.Second)
			owner := w.owner()
			for _, d := range w.daemonList() {
				if d != owner {
					d.kill()
					break
				}
			}
			time.Sleep(between)
			w.grid.SetFaults(0, faultsCut)
			lost := time.Now()
			owner.kill()
			time.Sleep(time.Until(lost.Add(takeoverLease + takeoverLapse))) // runs on the silent worker have ended
			w.eventually(40*time.Second, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
			require.LessOrEqual(t, time.Since(lost), takeoverCalm+takeoverAllowed)
			w.requireNoBreaches()
		})
	})
}

// TestTasksRunSoonAfterTheOwnersVMFollowsAWitness guards against a wait that witnesses were made to end: one of an owner's
// witnesses has gone for good some seconds before the owner, which still names it.
func TestTasksRunSoonAfterTheOwnersVMFollowsAWitness(t *testing.T) {
	for _, between := range []time.Duration{3 * time.Second, 8 * time.Second} {
		for _, daemons := range []int{3, 4, 5} {
			testOwnersVMFollowsAWitness(t, daemons, between)
		}
	}
	testOwnersVMFollowsAWitness(t, 4, 0)
	testOwnersVMFollowsAWitness(t, 5, 0)
}

// TestTasksRunSoonAfterTwoOfThreeDaemonsAreGone guards against the same when one of two witnesses goes together with the
// owner, so that the other one alone can't say when the owner's last proof was.
func TestTasksRunSoonAfterTwoOfThreeDaemonsAreGone(t *testing.T) {
	testOwnersVMFollowsAWitness(t, 3, 0)
}

// TestCellsOfALostDaemonAreTakenSoon guards against delays of claims that add up: a daemon claims the cells without owner one
// after the other, and each time waits anew for as many cells as it owns by then.
func TestCellsOfALostDaemonAreTakenSoon(t *testing.T) {
	const workers = 32
	withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
		synctest.Test(t, func(t *testing.T) {
			settings := testSettings
			settings.WorkerLease, settings.WorkersPerCell = takeoverLease, 2
			w := newTestClusterWithSettings(t, 2, settings, grid.Config{Workers: workers}, changes...)
			spec := longRunningJob(1, workers)
			spec.Steps[0].PerWorker = 2
			w.submit(w.daemons[0], spec)
			w.eventually(time.Minute, "all tasks run", func() bool { return w.grid.Running(spec.ID) == workers })
			time.Sleep(30 * time.Second)
			w.daemons[0].kill()
			time.Sleep(takeoverCalm + takeoverAllowed)
			require.Equal(t, workers, w.grid.Running(spec.ID))
			require.Len(t, w.daemons[1].Cells.ownedCells(), w.daemons[1].Cells.layout().Cells, "cells have no owner")
		})
	})
}
