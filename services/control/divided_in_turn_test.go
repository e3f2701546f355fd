// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

const (
	dividedInTurnPlays = 40
	dividedInTurnTime  = 70 * time.Second
)

// TestTasksRunOnceWhileOwnersAreLostInTurnBesideADivision guards against tasks that run twice: an owner that the store does not
// reach goes on with changing workers, can be asked for its end at times only, and its successors are lost one after the
// other, by the end of their process, power, suspension, a cut from the store, or a handover.
func TestTasksRunOnceWhileOwnersAreLostInTurnBesideADivision(t *testing.T) {
	for seed := range uint64(dividedInTurnPlays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
				synctest.Test(t, func(t *testing.T) { playDividedInTurn(t, rand.New(rand.NewPCG(seed, 11)), changes...) })
			})
		})
	}
}

func playDividedInTurn(t *testing.T, random *rand.Rand, changes ...clusterChange) {
	t.Helper()
	w := newTestCluster(t, takeoverWorkers, 4, nil, changes...)
	spec := longRunningJob(1, takeoverWorkers)
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	time.Sleep(time.Duration(2+random.IntN(30)) * time.Second)
	previous := w.owner()
	previous.set(func() { previous.storeCut, previous.peersCut = true, true })
	kept := takeoverWorkers - 1 - random.IntN(takeoverWorkers/3)
	askedAfter := time.Now().Add(time.Duration(random.Int64N(int64(2 * dividedInTurnTime))))
	for end := time.Now().Add(dividedInTurnTime); time.Now().Before(end); {
		if time.Now().After(askedAfter) {
			previous.set(func() { previous.peersCut = false })
		}
		w.divideKeepingMost(kept, previous)
		if random.IntN(8) == 0 {
			w.divideWorkers(random, previous)
		}
		time.Sleep(time.Duration(random.Int64N(int64(10 * time.Second))))
		if owner := w.liveOwnerBut(previous); owner != nil && random.IntN(2) == 0 {
			w.loseInAnyWay(random, owner)
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.log())
		}
	})
	w.requireNoBreaches()
}

// divideKeepingMost lets one daemon reach the first workers, and the others the rest.
func (w *testCluster) divideKeepingMost(kept int, previous *testDaemon) {
	for place, id := range w.grid.IDs() {
		for _, d := range w.daemonList() {
			if (d == previous) == (place < kept) {
				d.reach(id)
			} else {
				d.cut(id)
			}
		}
	}
}

// liveOwnerBut returns the daemon that owns the cell and has not ended, other than one; nil: there is none.
func (w *testCluster) liveOwnerBut(previous *testDaemon) *testDaemon {
	for _, d := range w.daemonList() {
		if d != previous && !d.hasEnded() && len(d.Cells.ownedCells()) > 0 {
			return d
		}
	}
	return nil
}

// cutLike cuts a daemon's next process off from the same workers.
func (w *testCluster) cutLike(d, next *testDaemon) {
	for _, id := range w.grid.IDs() {
		if d.isCutFrom(id) {
			next.cut(id)
		}
	}
}

func (d *testDaemon) isCutFrom(id jobs.WorkerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutFrom[id]
}

// loseInAnyWay loses an owner for up to 6 s.
func (w *testCluster) loseInAnyWay(random *rand.Rand, d *testDaemon) {
	back := time.Duration(random.Int64N(int64(6 * time.Second)))
	switch random.IntN(6) {
	case 0:
		d.killProcess()
		time.Sleep(back)
		w.cutLike(d, d.restart())
	case 1:
		d.kill()
		time.Sleep(back)
		w.cutLike(d, d.restart())
	case 2:
		d.suspend()
		time.Sleep(back)
		d.resume()
	case 3:
		d.set(func() { d.storeCut = true })
		time.AfterFunc(back, func() { d.set(func() { d.storeCut = false }) })
	case 4:
		d.freeze()
		time.Sleep(back)
		d.thaw()
	case 5:
		for cell, owner := range d.Cells.ownedCells() {
			_ = d.Cells.handOver(w.ctx, cell, owner, "test")
		}
	}
}
