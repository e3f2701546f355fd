// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUseOfACellIsKeptWithoutAnswer guards against idle jobs of a full cell that may not stand by for a time, because the owner of a free
// one has not answered once.
func TestUseOfACellIsKeptWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 8, 2, 4, nil)
		time.Sleep(5 * time.Second)
		cells := w.daemons[0].Cells
		use := cells.useOfOthers(cellName(0))
		require.NotEmpty(t, use)
		cells.mu.Lock()
		clear(cells.owners)
		cells.mu.Unlock()
		cells.queryLoad(t.Context(), cellName(1))
		require.Equal(t, use, cells.useOfOthers(cellName(0)))
		require.InDelta(t, loadWithoutOwner, cells.loads[cellName(1)].Reserved, 0)
	})
}
