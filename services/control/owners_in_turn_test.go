// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

const (
	ownersInTurnPlays = 60
	maxSuspensionTime = 6 * time.Second
	maxTurnTime       = 9 * time.Second // for which a daemon is cut off
	turnsPerStore     = 4               // one of so many leaves the store to the daemon
)

// TestTasksRunOnceWhileOwnersAreCutOffInTurn guards against tasks on two workers: an owner that the store did not reach
// took workers for its roster's that its successor did not know of.
func TestTasksRunOnceWhileOwnersAreCutOffInTurn(t *testing.T) {
	for seed := range uint64(ownersInTurnPlays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
				synctest.Test(t, func(t *testing.T) { playOwnersInTurn(t, rand.New(rand.NewPCG(seed, 17)), changes...) })
			})
		})
	}
}

// playOwnersInTurn cuts off one daemon after the other, mostly the owner, from the store, other daemons and some of the
// workers, and suspends some of their VMs.
func playOwnersInTurn(t *testing.T, random *rand.Rand, changes ...clusterChange) {
	t.Helper()
	settings := testSettings
	settings.WorkerLease = takeoverLease
	w := newTestClusterWithSettings(t, 3, settings, grid.Config{Workers: takeoverWorkers}, changes...)
	spec := longRunningJob(1, takeoverWorkers)
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	for end := time.Now().Add(divisionTime); time.Now().Before(end); {
		d := w.daemons[random.IntN(len(w.daemons))]
		if owner := w.owner(); owner != nil && random.IntN(3) > 0 {
			d = owner
		}
		d.set(func() { d.storeCut, d.peersCut = random.IntN(turnsPerStore) > 0, random.IntN(2) > 0 })
		w.divideWorkers(random, d)
		if random.IntN(2) == 0 {
			d.suspend()
			time.Sleep(time.Duration(random.Int64N(int64(maxSuspensionTime))))
			d.resume()
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxTurnTime))))
		d.set(func() { d.storeCut = false })
	}
	w.requireNoBreaches()
}
