// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/services/standin/grid"
)

// TestTasksRunSoonAfterAllWorkersRestartUnderNewIDs guards against a wait of maxBlindTime: as many workers are new as are
// remembered from the roster, so that those that answer are no more than half of all, and the owner's VM is gone for good.
func TestTasksRunSoonAfterAllWorkersRestartUnderNewIDs(t *testing.T) {
	withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
		synctest.Test(t, func(t *testing.T) {
			settings := testSettings
			settings.WorkerLease = takeoverLease
			w := newTestClusterWithSettings(t, 3, settings, grid.Config{Workers: takeoverWorkers}, changes...)
			spec := longRunningJob(1, takeoverWorkers)
			w.submit(w.daemons[0], spec)
			w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
			time.Sleep(minOwnerAge)
			began := time.Now()
			w.owner().kill()
			for place := range takeoverWorkers {
				w.grid.Crash(place)
			}
			w.eventually(40*time.Second, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
			t.Logf("all run after %v", time.Since(began))
			require.LessOrEqual(t, time.Since(began), takeoverCalm+takeoverAllowed)
			w.requireNoBreaches()
		})
	})
}
