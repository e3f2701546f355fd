// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"math"
	"slices"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
)

// A cell is as large as an owner carries, for one that is full can't take room from others;
// and no larger, for an owner that can't keep up leaves workers idle. What an owner needs grows
// with the starts and reports of its workers, 2.7 of each a second for one of 16 cores with
// tasks of one to three seconds.
const (
	// workersPerCore is less than half of what an owner's processor time carries: its busiest second
	// takes 0.7 milliseconds for each worker.
	workersPerCore = 600
	// workersPerMbit is half of what its link does: a start takes 1.5 kB and a call for a
	// report 0.3, so that a worker takes 40 kbit/s of it each way.
	workersPerMbit = 12
)

// carries is how many workers a daemon can own.
func carries(d jobs.Daemon) int {
	most := math.Inf(1)
	if d.Processor > 0 {
		most = workersPerCore * d.Processor
	}
	if d.Link > 0 {
		most = min(most, workersPerMbit*d.Link)
	}
	return int(min(most, math.MaxInt32))
}

// capableDaemonsPerCell is how many daemons there should be for each cell that carry one, so that half
// of them may be lost.
const capableDaemonsPerCell = 2

// cellsFor is into how many cells so many workers are laid out: as few as the settings allow
// of which there are daemons enough to carry each, and if there never are, as many as there
// are daemons for.
func cellsFor(workers, perCell int, daemons []jobs.Daemon) int {
	least := max(1, ceilDiv(workers, perCell))
	most := max(least, len(daemons)/capableDaemonsPerCell)
	for cells := least; cells < most; cells++ {
		size := ceilDiv(workers, cells)
		able := func(d jobs.Daemon) bool { return carries(d) >= size }
		if countDaemons(daemons, able) >= capableDaemonsPerCell*cells {
			return cells
		}
	}
	return most
}

// self is this daemon as it is registered.
func (c *Cells) self() jobs.Daemon {
	s := c.config.Settings
	return jobs.Daemon{ID: c.config.Self, Processor: s.Processor, Link: s.Link}
}

// cellSize is about how many workers a cell has.
func (c *Cells) cellSize() int {
	layout := c.layout()
	if layout == nil || layout.Workers == 0 {
		return c.config.Settings.WorkersPerCell
	}
	return ceilDiv(layout.Workers, layout.Cells)
}

// ceilDiv divides and rounds up.
func ceilDiv(n, by int) int { return (n + by - 1) / by }

// countDaemons is how many daemons are such.
func countDaemons(daemons []jobs.Daemon, which func(jobs.Daemon) bool) int {
	return len(slices.DeleteFunc(slices.Clone(daemons), func(d jobs.Daemon) bool { return !which(d) }))
}

// registeredDaemons are the daemons that are there now, as the store says.
func (c *Cells) registeredDaemons(ctx context.Context) ([]jobs.Daemon, error) {
	records, _, err := c.config.Store.List(ctx, daemonPrefix)
	if err != nil {
		return nil, err
	}
	daemons := make([]jobs.Daemon, 0, len(records))
	for _, record := range records {
		daemon, err := decode[jobs.Daemon](record)
		if err != nil {
			c.config.Logger.Error("stored daemon can't be read", append(log.Err(err), zap.String("key", record.Key))...)
			continue
		}
		daemons = append(daemons, daemon)
	}
	return daemons, nil
}
