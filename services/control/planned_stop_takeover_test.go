// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopOfAnOwnerIsAnEndOfIt guards against tasks that wait for 30 s for leases of an owner that has handed its cell
// over and stopped for good: it knew that it ended, and the store answered it, but nothing tells its successor.
func TestPlannedStopOfAnOwnerIsAnEndOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cut = takeoverWorkers - takeoverWorkers/3
		w := newTestCluster(t, takeoverWorkers, 3, nil)
		spec := longRunningJob(1, 4)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == 4 })
		time.Sleep(2 * time.Second)
		for place := range cut {
			w.grid.SetFaults(place, faultsCut)
		}
		lost := 0
		for place := range cut {
			lost += w.grid.RunningOn(place)
		}
		require.Positive(t, lost, "tasks run behind the cut")
		stopped := w.owner()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, stopped.Cells.Release(ctx))
		time.Sleep(time.Second) // while its callers are drained, it answers other daemons
		stopped.killProcess()
		began := time.Now()
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(w.log())
			}
		})
		w.eventually(12*time.Second, "the tasks run where a scheduler reaches workers", func() bool {
			running := 0
			for place := cut; place < takeoverWorkers; place++ {
				running += w.grid.RunningOn(place)
			}
			return running == 4
		})
		t.Logf("all run %s after the stop", time.Since(began))
		w.requireNoBreaches()
	})
}
