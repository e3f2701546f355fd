// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// TestJobsThatWaitAtATakeoverFindRoomInAnotherCell guards against jobs that wait without end because they were accepted before the owner
// of their cell took it over: no task of them has ever started, their cell has no room, and another cell has.
func TestJobsThatWaitAtATakeoverFindRoomInAnotherCell(t *testing.T) {
	for name, newCluster := range map[string]func(t *testing.T) (w *testCluster, without int){
		"full cell":            newTwoCellCluster,
		"cell without workers": newClusterWithEmptyCell,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, without := newCluster(t)
				time.Sleep(5 * time.Second)
				w.submitTo(without, largeJob(2))
				w.ownerOfCell(cellName(without)).kill() // before it has offered the job
				w.eventually(silentWorkerWait, "job succeeds in the other cell", func() bool {
					return w.state(w.lastLiveDaemon(), jobID(2)) == jobs.StateSucceeded
				})
				w.requireNoBreaches()
			})
		})
	}
}

// newClusterWithEmptyCell makes a cluster of two cells with two workers each, those of one of which are in the list no more; empty is the
// number of that cell.
func newClusterWithEmptyCell(t *testing.T) (w *testCluster, empty int) {
	t.Helper()
	w = newTestClusterWithCells(t, 4, 3, 2, nil)
	w.eventually(20*time.Second, "both cells have owners", func() bool {
		return w.ownerOfCell(cellName(0)) != nil && w.ownerOfCell(cellName(1)) != nil
	})
	for _, place := range w.workersOfCell(0) {
		w.grid.SetListed(place, false)
	}
	return w, 0
}
