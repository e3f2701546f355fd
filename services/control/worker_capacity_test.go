// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// cellsForCase is a case of testdata/cells_for.json.
type cellsForCase struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
	PerCell int    `json:"per_cell"`
	Daemons []struct {
		N         int     `json:"n"`
		Processor float64 `json:"processor"`
		Link      float64 `json:"link"`
	} `json:"daemons"`
	Cells int `json:"cells"`
}

// TestCellsAreLaidOutForWhatDaemonsCarry checks layouts of the users' fleet sizes: cells are as large as strong
// daemons can own, and smaller only where there are no strong daemons.
func TestCellsAreLaidOutForWhatDaemonsCarry(t *testing.T) {
	for _, c := range casefile.Read[[]cellsForCase](t, "testdata/cells_for.json") {
		t.Run(c.Name, func(t *testing.T) {
			var daemons []jobs.Daemon
			for _, d := range c.Daemons {
				for range d.N {
					daemons = append(daemons, jobs.Daemon{Cores: d.Processor, LinkMbps: d.Link})
				}
			}
			require.Equal(t, c.Cells, chooseCellCount(c.Workers, c.PerCell, daemons))
		})
	}
}

// TestFreeCellGoesToADaemonThatCarriesIt kills the owner. A daemon with capacity for the cell claims it, although a
// daemon without capacity for any worker has been running for longer.
func TestFreeCellGoesToADaemonThatCarriesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 1, nil)
		first := w.daemons[0]
		w.eventually(10*time.Second, "the first daemon owns the cell", func() bool { return w.owner() == first })
		w.daemonCores = 0.001
		w.startDaemon()
		w.daemonCores = 0.4
		able := w.startDaemon()
		w.eventually(5*time.Second, "ready", able.Ready)
		time.Sleep(time.Second)
		ended := time.Now()
		first.kill()
		w.eventually(5*time.Second, "the daemon with capacity for the cell owns it", func() bool { return w.owner() == able })
		require.Less(t, time.Since(ended), testSettings.OwnerLease+claimInterval, "its claim is not delayed")
	})
}

// TestNoCellIsLeftWithoutWorkers guards against jobs accepted for a cell without workers. A rack is not divided, so
// there can't be more cells than racks.
func TestNoCellIsLeftWithoutWorkers(t *testing.T) {
	var workers []jobs.Worker
	for n, rack := range []jobs.RackLabel{"a", "a", "a", "b", "b", "c"} {
		workers = append(workers, jobs.Worker{ID: jobs.WorkerID(fmt.Sprint(n)), Rack: rack, Capacity: models.Resources{CPU: 1000}})
	}
	for cells := 1; cells <= 8; cells++ {
		layout := divideRacks(workers, cells)
		used := map[int]bool{}
		for _, cell := range layout.Racks {
			used[cell] = true
		}
		require.Len(t, used, layout.Cells, "%d cells", cells)
		require.Equal(t, min(cells, 3), layout.Cells)
	}
	require.Equal(t, 1, divideRacks(nil, 4).Cells)
}
