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
	// the first layout is created from the list: workers write their entries within about a second.
	workerListPollInterval = 700 * time.Millisecond
	// maxWorkerListWait bounds the wait for a stable list.
	maxWorkerListWait = 8 * time.Second
)

// readLayout reads the layout from the store, and creates it if there is none.
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
	c.config.Logger.Info("layout loaded", zap.Int("cells", layout.Cells))
	return nil
}

// createLayout divides the listed workers into cells and stores the layout. The store decides a race with
// another daemon.
func (c *Cells) createLayout(ctx context.Context) error {
	workers, err := c.waitForStableWorkerList(ctx)
	if err != nil {
		return err
	}
	daemons, err := c.registeredDaemons(ctx)
	if err != nil {
		return err
	}
	layout := divideRacks(workers, chooseCellCount(len(workers), c.config.Settings.WorkersPerCell, daemons))
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

// waitForStableWorkerList reads the list of workers until it is not empty and no longer grows, or until
// maxWorkerListWait has passed.
func (c *Cells) waitForStableWorkerList(ctx context.Context) ([]jobs.Worker, error) {
	var workers []jobs.Worker
	for start := time.Now(); ; {
		list, _, err := c.config.List.JobWorkers(ctx)
		if err != nil {
			return nil, err
		}
		stable := len(list) > 0 && len(list) <= len(workers)
		workers = list
		if stable || len(workers) > 0 && time.Since(start) > maxWorkerListWait {
			return workers, nil
		}
		sleep(ctx, workerListPollInterval)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// divideRacks assigns the racks to cells so that the CPU capacity is spread evenly. A rack is never split. Each
// cell gets a rack, so there are at most as many cells as racks.
func divideRacks(workers []jobs.Worker, cells int) jobs.Layout {
	capacity := map[jobs.RackLabel]int64{}
	for _, w := range workers {
		capacity[w.Rack] += int64(w.Capacity.CPU)
	}
	layout := jobs.Layout{Cells: min(cells, max(1, len(capacity))), Racks: map[jobs.RackLabel]int{}, Workers: len(workers)}
	racks := slices.SortedFunc(maps.Keys(capacity), func(a, b jobs.RackLabel) int {
		return cmp.Or(cmp.Compare(capacity[b], capacity[a]), cmp.Compare(a, b))
	})
	assigned := make([]int64, layout.Cells)
	for _, rack := range racks {
		least := 0
		for n := range assigned {
			if assigned[n] < assigned[least] {
				least = n
			}
		}
		layout.Racks[rack] = least
		assigned[least] += capacity[rack]
	}
	return layout
}

// workersInCell returns the workers of a cell. Racks that the layout does not name belong to the first cell.
func workersInCell(cell jobs.CellName, layout *jobs.Layout, workers []jobs.Worker) []jobs.Worker {
	var members []jobs.Worker
	for _, w := range workers {
		if cellName(layout.Racks[w.Rack]) == cell {
			members = append(members, w)
		}
	}
	return members
}
