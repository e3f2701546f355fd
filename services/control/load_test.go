// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
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

// maxUseAge is how long the use of other cells may differ from what callers see, so that an idle job still stands by in time: the 3 s for
// which callers allow a job to have nothing running, less a decision and its start.
const maxUseAge = 3*time.Second - 2*maxDecidePause

// TestUseOfOtherCellsIsKnownInTime guards against idle jobs of a full cell that may not stand by for longer than callers allow, because what
// is known of a cell that has become free is old: its owner is another one meanwhile, or the daemon has only just been started.
func TestUseOfOtherCellsIsKnownInTime(t *testing.T) {
	for name, change := range map[string]func(w *testCluster, full jobs.CellName){
		"the owner goes on":   func(*testCluster, jobs.CellName) {},
		"the owner is lost":   func(w *testCluster, full jobs.CellName) { w.ownerOfCell(full).kill() },
		"a daemon is started": func(w *testCluster, _ jobs.CellName) { w.startDaemon() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, number := newTwoCellCluster(t)
				full := cellName(number)
				time.Sleep(2 * loadInterval)
				d := w.otherDaemon(full)
				change(w, full)
				require.Equal(t, platform.Done{}, d.Cancel(w.ctx, jobID(1)))
				w.eventually(10*time.Second, "all tasks are stopped", func() bool { return w.grid.Running(jobID(1)) == 0 })
				w.eventually(maxUseAge, "all daemons know that the cell is free", func() bool { return w.allKnowFree(full) })
			})
		})
	}
}

// otherDaemon returns a daemon that does not own the cell.
func (w *testCluster) otherDaemon(cell jobs.CellName) *testDaemon {
	owner := w.ownerOfCell(cell)
	for _, d := range w.daemons {
		if d != owner {
			return d
		}
	}
	return nil
}

// allKnowFree reports whether all daemons that run know that nothing of a cell's workers is in use.
func (w *testCluster) allKnowFree(cell jobs.CellName) bool {
	return !slices.ContainsFunc(w.daemons, func(d *testDaemon) bool { return !d.hasEnded() && !d.knowsFree(cell) })
}

// knowsFree reports whether the daemon knows that nothing of a cell's workers is in use.
func (d *testDaemon) knowsFree(cell jobs.CellName) bool {
	d.Cells.mu.Lock()
	defer d.Cells.mu.Unlock()
	use := d.Cells.loads[cell].Use[testPool]
	return use.Present.CPU > 0 && use.Used.IsZero()
}
