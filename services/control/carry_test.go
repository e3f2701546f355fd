// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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

// TestCellsAreLaidOutForWhatDaemonsCarry holds the sizes of the users' fleets: cells stay as
// large as strong daemons carry, and become smaller only where there are none.
func TestCellsAreLaidOutForWhatDaemonsCarry(t *testing.T) {
	for _, c := range casefile.Read[[]cellsForCase](t, "testdata/cells_for.json") {
		t.Run(c.Name, func(t *testing.T) {
			var daemons []jobs.Daemon
			for _, d := range c.Daemons {
				for range d.N {
					daemons = append(daemons, jobs.Daemon{Processor: d.Processor, Link: d.Link})
				}
			}
			require.Equal(t, c.Cells, cellsFor(c.Workers, c.PerCell, daemons))
		})
	}
}

// TestFreeCellGoesToADaemonThatCarriesIt ends the owner. A daemon that carries no worker has
// been there for longer than the one that carries the cell, which takes it.
func TestFreeCellGoesToADaemonThatCarriesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, nil)
		first := w.daemons[0]
		w.eventually(10*time.Second, "the first daemon owns the cell", func() bool { return w.owner() == first })
		w.cores = 0.001
		w.startDaemon()
		w.cores = 0.4
		able := w.startDaemon()
		w.eventually(5*time.Second, "ready", able.Ready)
		time.Sleep(time.Second)
		ended := time.Now()
		first.kill()
		w.eventually(5*time.Second, "the daemon that carries the cell owns it", func() bool { return w.owner() == able })
		require.Less(t, time.Since(ended), testSettings.OwnerLease+claimEvery, "it does not hold back")
	})
}
