// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

const (
	// workerListPollInterval is how long the number of workers in the list must not have grown before
	// the first layout is made from it: workers write their entries within a second or so.
	workerListPollInterval = 700 * time.Millisecond
	// maxWorkerListWait ends the waiting for it.
	maxWorkerListWait = 8 * time.Second
)

// readLayout reads the layout, or makes it when there is none.
func (c *Cells) readLayout(ctx context.Context) error {
	record, err := c.config.Store.Get(ctx, layoutKey)
	if errors.Is(err, platform.ErrNotFound) {
		return c.createLayout(ctx)
	}
	if err != nil {
		return err
	}
	layout, err := decode[jobs.Layout](record)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.currentLayout = &layout
	c.mu.Unlock()
	c.config.Logger.Info("layout is known", zap.Int("cells", layout.Cells))
	return nil
}

// createLayout divides the workers there are into cells; a race with another daemon is
// decided by the store.
func (c *Cells) createLayout(ctx context.Context) error {
	workers, err := c.waitForStableWorkerList(ctx)
	if err != nil {
		return err
	}
	daemons, err := c.registeredDaemons(ctx)
	if err != nil {
		return err
	}
	layout := divide(workers, cellsFor(len(workers), c.config.Settings.WorkersPerCell, daemons))
	value, err := json.Marshal(layout)
	if err != nil {
		return errors.Wrap(err, "encode layout")
	}
	_, err = c.config.Store.Swap(ctx, layoutKey, value, 0, 0)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	return c.readLayout(ctx)
}

// waitForStableWorkerList reads the list until it grows no more.
func (c *Cells) waitForStableWorkerList(ctx context.Context) ([]jobs.Worker, error) {
	var workers []jobs.Worker
	for began := time.Now(); ; {
		list, _, err := c.config.List.JobWorkers(ctx)
		if err != nil {
			return nil, err
		}
		settled := len(list) > 0 && len(list) <= len(workers)
		workers = list
		if settled || len(workers) > 0 && time.Since(began) > maxWorkerListWait {
			return workers, nil
		}
		sleep(ctx, workerListPollInterval)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// divide spreads the racks over so many cells, evenly by capacity; a rack is not divided, and no cell is left
// without one.
func divide(workers []jobs.Worker, cells int) jobs.Layout {
	capacity := map[jobs.RackLabel]int64{}
	for _, w := range workers {
		capacity[w.Rack] += int64(w.Capacity.CPU)
	}
	layout := jobs.Layout{Cells: min(cells, max(1, len(capacity))), Racks: map[jobs.RackLabel]int{}, Workers: len(workers)}
	racks := slices.SortedFunc(maps.Keys(capacity), func(a, b jobs.RackLabel) int {
		return cmp.Or(cmp.Compare(capacity[b], capacity[a]), cmp.Compare(a, b))
	})
	filled := make([]int64, layout.Cells)
	for _, rack := range racks {
		least := 0
		for n := range filled {
			if filled[n] < filled[least] {
				least = n
			}
		}
		layout.Racks[rack] = least
		filled[least] += capacity[rack]
	}
	return layout
}

// workersInCell picks the workers of a cell. Racks that the layout doesn't name yet belong to
// the first cell.
func workersInCell(cell jobs.CellName, layout *jobs.Layout, workers []jobs.Worker) []jobs.Worker {
	var mine []jobs.Worker
	for _, w := range workers {
		if cellName(layout.Racks[w.Rack]) == cell {
			mine = append(mine, w)
		}
	}
	return mine
}
