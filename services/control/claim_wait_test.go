// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/services/standin/grid"
)

// TestCellsOfALostDaemonSpread guards against one daemon that takes all cells of a lost one, and against waits that grow with
// the number of cells, when the time for which cells are left to others is bounded.
func TestCellsOfALostDaemonSpread(t *testing.T) {
	const allowed = 500*time.Millisecond + maxClaimWait + 500*time.Millisecond // the interval of the claim loop, the wait, and the claims themselves
	for _, each := range []struct{ daemons, cells int }{{3, 16}, {3, 48}, {5, 48}} {
		t.Run(fmt.Sprintf("%d daemons, %d cells", each.daemons, each.cells), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := testSettings
				settings.WorkersPerCell = 2
				w := newTestClusterWithSettings(t, each.daemons, settings, grid.Config{Workers: 2 * each.cells})
				w.eventually(time.Minute, "all cells have owners", func() bool { return w.ownedCells() == each.cells })
				time.Sleep(time.Minute)
				lost := w.daemons[0]
				lost.kill()
				time.Sleep(settings.OwnerLease + allowed)
				require.Equal(t, each.cells, w.ownedCells(), "cells have no owner")
				fair := each.cells / (each.daemons - 1)
				for _, d := range w.daemons[1:] {
					require.LessOrEqual(t, len(d.Cells.ownedCells()), fair+fair/2, d.name)
				}
			})
		})
	}
}

// ownedCells returns how many cells the daemons own that run.
func (w *testCluster) ownedCells() int {
	owned := 0
	for _, d := range w.daemonList() {
		if !d.hasEnded() {
			owned += len(d.Cells.ownedCells())
		}
	}
	return owned
}
