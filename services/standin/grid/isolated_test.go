// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

// TestRestartEndsAnIsolationUnderTheSameID guards against an audit that looks away: the entry of a worker that has started
// again under its id went because of the isolation of the incarnation before, which counted as a fault for good.
func TestRestartEndsAnIsolationUnderTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Workers: 1, Capacity: models.Resources{CPU: 1000, Memory: 1000}, Naming: SameID})
		g.Isolate(0, false)
		g.Crash(0)
		time.Sleep(2 * staleEntryLifetime)
		list, _, err := g.JobWorkers(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		require.True(t, g.WorkerStates()[0].Usable)
	})
}
