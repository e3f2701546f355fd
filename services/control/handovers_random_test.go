// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

const (
	handoverPlays    = 60
	handoverTime     = 60 * time.Second
	maxHandoverPause = 4 * time.Second // shorter than a lease, so that workers are silent across handovers
)

// TestTasksRunOnceWhileCellsAreHandedOver guards against tasks on two workers when a successor believes what an ended owner
// tells of its leases: workers are silent to the owner or to all and come back around handovers, planned stops, losses of
// the owner or of the store, and suspensions of its VM, by clocks that are 2 % slow.
func TestTasksRunOnceWhileCellsAreHandedOver(t *testing.T) {
	for seed := range uint64(handoverPlays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
				synctest.Test(t, func(t *testing.T) { playHandovers(t, rand.New(rand.NewPCG(seed, 23)), changes...) })
			})
		})
	}
}

func playHandovers(t *testing.T, random *rand.Rand, changes ...clusterChange) {
	t.Helper()
	settings := testSettings
	settings.WorkerLease = takeoverLease
	w := newTestClusterWithSettings(t, 4, settings, grid.Config{Workers: takeoverWorkers}, changes...)
	spec := longRunningJob(1, takeoverWorkers)
	spec.Steps[0].PerWorker = 2
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	for end := time.Now().Add(handoverTime); time.Now().Before(end); {
		w.silenceWorkers(random)
		time.Sleep(time.Duration(random.Int64N(int64(maxHandoverPause))))
		owner := w.liveOwnerBut(nil)
		if owner == nil {
			continue
		}
		switch random.IntN(4) {
		case 0:
			w.loseInAnyWay(random, owner)
		case 1:
			w.stopAsPlanned(random, owner)
		default:
			for cell, o := range owner.Cells.ownedCells() {
				_ = owner.Cells.handOver(w.ctx, cell, o, "test")
			}
		}
	}
	w.requireNoBreaches()
	w.endSilence()
	w.eventually(time.Minute, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	w.requireNoBreaches()
}

// silenceWorkers cuts some workers off, from all daemons or from some, and connects others again.
func (w *testCluster) silenceWorkers(random *rand.Rand) {
	for place, id := range w.grid.IDs() {
		switch random.IntN(8) {
		case 0:
			w.grid.SetFaults(place, faultsCut)
		case 1:
			w.cutFromSome(random, id)
		case 2, 3, 4:
			w.grid.SetFaults(place, noFaults)
			w.reachFromAll(id)
		}
	}
}

// cutFromSome cuts a worker off from some of the daemons.
func (w *testCluster) cutFromSome(random *rand.Rand, id jobs.WorkerID) {
	for _, d := range w.daemonList() {
		if random.IntN(2) == 0 {
			d.cut(id)
		}
	}
}

func (w *testCluster) reachFromAll(id jobs.WorkerID) {
	for _, d := range w.daemonList() {
		d.reach(id)
	}
}

// endSilence connects all workers to all daemons, and these to the store.
func (w *testCluster) endSilence() {
	for place, id := range w.grid.IDs() {
		w.grid.SetFaults(place, noFaults)
		w.reachFromAll(id)
	}
	for _, d := range w.daemonList() {
		d.set(func() { d.storeCut = false })
	}
}

// stopAsPlanned stops a daemon, which answers other daemons for some time, and starts its next process.
func (w *testCluster) stopAsPlanned(random *rand.Rand, d *testDaemon) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	_ = d.Cells.Release(ctx)
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	d.killProcess()
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	w.cutLike(d, d.restart())
}

// TestEndedClaimTellsItsLeases checks the answers for the leases of a claim of the running process, before and after its
// end, and that the process answers for no claim of the one before it.
func TestEndedClaimTellsItsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		d := w.daemons[0]
		time.Sleep(3 * time.Second)
		w.grid.SetFaults(0, faultsCut)
		time.Sleep(4 * time.Second)
		silent, answers := w.grid.IDs()[0], w.grid.IDs()[1]

		claim := d.Cells.ownedCells()[cellName(0)].claim.ClaimID
		tell := func(claim string) *jobs.ClaimLeases {
			return d.Cells.Answer(jobs.Query{Cell: cellName(0), ClaimLeases: claim}).ClaimLeases
		}
		require.Nil(t, tell("of the process before"))
		require.Nil(t, tell(claim), "its owner goes on to grant leases")
		d.Cells.endClaim(cellName(0), claim)
		synctest.Wait()
		told := tell(claim)
		require.Equal(t, "daemon-1", told.Daemon)
		lease := float64(testSettings.WorkerLease.Milliseconds())
		require.InDelta(t, lease-4000, float64(told.Remaining[silent]), 1300, "the last call may have been sent before the loss")
		require.InDelta(t, lease, float64(told.Remaining[answers]), 1300)
		time.Sleep(testSettings.WorkerLease / 2)
		require.NotContains(t, tell(claim).Remaining, silent, "its leases are over")
		require.Contains(t, tell(claim).Remaining, answers)
	})
}

// TestLeasesCountOnlyOnceAllPreviousOwnersHaveTold guards against tasks that run twice: one of several previous owners, or
// one that no list names, may have granted a later lease than the others tell.
func TestLeasesCountOnlyOnceAllPreviousOwnersHaveTold(t *testing.T) {
	now := time.Now()
	first, second := jobs.Owner{ClaimID: "first"}, jobs.Owner{ClaimID: "second"}
	p := newPreviousOwners(jobs.Claims{Owners: []jobs.Owner{first, second}})
	p.leases["first"] = map[jobs.WorkerID]time.Time{"a": now.Add(2), "b": now.Add(1)}
	_, ok := p.lastLeases()
	require.False(t, ok, "the second one has not told")
	p.leases["second"] = map[jobs.WorkerID]time.Time{"a": now.Add(1), "c": now.Add(3)}
	last, ok := p.lastLeases()
	require.True(t, ok)
	require.Equal(t, map[jobs.WorkerID]time.Time{"a": now.Add(2), "b": now.Add(1), "c": now.Add(3)}, last)
	p.claims.Incomplete = true
	_, ok = p.lastLeases()
	require.False(t, ok, "the list may lack an owner")
}
