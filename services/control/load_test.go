// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestUseOfACellIsKeptWithoutAnswer guards against idle jobs of a full cell that may not stand by for a time, because the owner of a free
// one has not answered once.
func TestUseOfACellIsKeptWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 8, 2, 4, nil)
		time.Sleep(5 * time.Second)
		cells, other := w.daemons[0].Cells, cellName(0)
		if cells.ownedCells()[other] != nil {
			other = cellName(1)
		}
		require.Nil(t, cells.ownedCells()[other])
		known := cells.loads[other].Use
		require.NotEmpty(t, known)
		cells.mu.Lock()
		clear(cells.owners)
		cells.mu.Unlock()
		cells.queryLoad(t.Context(), other)
		require.Equal(t, jobs.CellLoad{Reserved: loadWithoutOwner, ExpectedUse: loadWithoutOwner, Use: known}, cells.loads[other])
	})
}
