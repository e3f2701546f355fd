// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/grid"
)

// storeAnswerTime is how long the users' store takes to answer a call.
const storeAnswerTime = 4 * time.Millisecond

// answeringStore is a store that takes storeAnswerTime for each call.
type answeringStore struct{ platform.TxnStore }

func (s answeringStore) Get(ctx context.Context, key string) (platform.Record, error) {
	sleep(ctx, storeAnswerTime)
	return s.TxnStore.Get(ctx, key)
}

func (s answeringStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	sleep(ctx, storeAnswerTime)
	return s.TxnStore.List(ctx, prefix)
}

func (s answeringStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	sleep(ctx, storeAnswerTime)
	return s.TxnStore.Commit(ctx, txn)
}

// withAnswerTime makes the store of a cluster take storeAnswerTime for each call.
func withAnswerTime(w *testCluster) {
	w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore { return answeringStore{store} }
}

// newTwoCellClusterWithAnswerTime makes a cluster of two cells of the given size, in which tasks run for the given time.
func newTwoCellClusterWithAnswerTime(t *testing.T, perCell int, runtime func(index int) time.Duration) *testCluster {
	t.Helper()
	return newTwoCellClusterWithStore(t, perCell, runtime, withAnswerTime)
}

// newTwoCellClusterWithStore does the same with the store that an option sets.
func newTwoCellClusterWithStore(t *testing.T, perCell int, runtime func(index int) time.Duration, withStore func(w *testCluster)) *testCluster {
	t.Helper()
	settings := testSettings
	settings.WorkersPerCell = perCell
	work := func(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
		return runtime(task.Index), jobs.EndSucceeded
	}
	w := newTestClusterWithSettings(t, 3, settings, grid.Config{Workers: 2 * perCell, Work: work}, withStore)
	w.eventually(20*time.Second, "both cells have owners", func() bool {
		return w.ownerOfCell(cellName(0)) != nil && w.ownerOfCell(cellName(1)) != nil
	})
	return w
}

// TestManyJobsThatFindNoPlaceMoveSoon guards against jobs of a cell without workers that move to another one a few at a time: they wait
// the longer, the more of them there are.
func TestManyJobsThatFindNoPlaceMoveSoon(t *testing.T) {
	for _, count := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) { playJobsThatFindNoPlace(t, count) })
	}
}

// TestAThousandJobsThatFindNoPlaceMoveSoon guards against the same with as many jobs as a large cell may have accepted.
func TestAThousandJobsThatFindNoPlaceMoveSoon(t *testing.T) { playJobsThatFindNoPlace(t, 1000) }

// playJobsThatFindNoPlace submits jobs to a cell without workers, all of which fit into the other cell.
func playJobsThatFindNoPlace(t *testing.T, count int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTwoCellClusterWithAnswerTime(t, 12, func(int) time.Duration { return time.Minute })
		for _, place := range w.workersOfCell(0) {
			w.grid.SetListed(place, false)
		}
		time.Sleep(roomCalm)
		var accepted sync.WaitGroup
		began := time.Now()
		for n := range count {
			accepted.Go(func() {
				w.submitTo(0, jobs.Spec{ID: jobID(n + 1), Payload: "payload", Steps: []jobs.Step{{
					Count: 1, Size: models.Resources{CPU: 20, Memory: 10}, Estimate: 60_000,
				}}})
			})
		}
		accepted.Wait()
		running := func() int {
			sum := 0
			for n := range count {
				sum += w.grid.Running(jobID(n + 1))
			}
			return sum
		}
		w.eventually(time.Minute, "all jobs run", func() bool { return running() == count })
		require.Less(t, time.Since(began), roomAllowed, "until all jobs run")
		w.requireNoBreaches()
	})
}

// TestTasksMoveWhileMuchIsStored guards against work that is handed to another cell only once there is nothing else to store: beside many
// short tasks, whose ends have to be stored, it stays in neither cell.
func TestTasksMoveWhileMuchIsStored(t *testing.T) {
	t.Parallel()
	const (
		perCell  = 48
		runtime  = 100 * time.Millisecond // of the shortest task of a job; the others take longer, so that their ends are stored one by one
		tasks    = 15
		loadTime = 8 * time.Second
		every    = 9 * time.Millisecond // no more than the users' store allows, with what the owner stores
	)
	synctest.Test(t, func(t *testing.T) {
		w := newTwoCellClusterWithAnswerTime(t, perCell, func(index int) time.Duration { return runtime + time.Duration(index)*runtime*3/5 })
		lasting := jobs.Spec{ID: jobID(2_000_000), Payload: "payload", Steps: []jobs.Step{{
			Count: perCell, Size: models.Resources{CPU: 200, Memory: 10}, PerWorker: 1, LongRunning: true, Image: "serving", Target: 100,
		}}}
		w.submitTo(0, lasting)
		w.eventually(5*time.Second, "a task lasts on each worker of the cell", func() bool { return w.grid.Running(lasting.ID) == perCell })
		var submits sync.WaitGroup
		began, moving := time.Now(), 1_000_000
		var movingAt time.Time
		submitLarge := func() {
			movingAt = time.Now()
			w.submitTo(0, jobs.Spec{ID: jobID(moving), Payload: "payload", Steps: []jobs.Step{{
				Count: 1, Size: models.Resources{CPU: 3900, Memory: 10}, Estimate: models.MilliOf(runtime),
			}}})
		}
		for n := 1; time.Since(began) < loadTime; n++ {
			submits.Go(func() {
				w.submitTo(0, jobs.Spec{ID: jobID(n), Payload: "payload", Steps: []jobs.Step{{
					Count: tasks, Size: models.Resources{CPU: 150, Memory: 10}, Estimate: models.MilliOf(runtime),
				}}})
			})
			if n == int(loadTime/2/every) {
				submits.Go(submitLarge)
			}
			time.Sleep(every)
		}
		submits.Wait()
		require.True(t, w.grid.Ran(jobID(moving)), "the job that finds no place runs; %d writes in %s", w.store.Stats().Writes, time.Since(began))
		require.Less(t, w.grid.LastStart(jobID(moving)).Sub(movingAt), roomAllowed)
		w.requireNoBreaches()
	})
}
