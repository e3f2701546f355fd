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

// Cells are as large as one owner can manage, because a full cell can't use free capacity of other cells. Cells are
// not larger than that, because an owner that can't keep up leaves workers idle. The load of an owner grows with the
// starts and reports of its workers: 2.7 of each per second for a worker of 16 cores with tasks of one to three
// seconds.
const (
	// workersPerCore uses less than half of an owner's processor time: its busiest second takes 0.7 ms of it for
	// each worker.
	workersPerCore = 600
	// workersPerMbit uses half of an owner's link: a start takes 1.5 kB and a call for a report 0.3 kB, so that a
	// worker takes 40 kbit/s in each direction.
	workersPerMbit = 12
)

// workerCapacity returns how many workers a daemon can own, by its processor time and link.
func workerCapacity(d jobs.Daemon) int {
	most := math.Inf(1)
	if d.Cores > 0 {
		most = workersPerCore * d.Cores
	}
	if d.LinkMbps > 0 {
		most = min(most, workersPerMbit*d.LinkMbps)
	}
	return int(min(most, math.MaxInt32))
}

// capableDaemonsPerCell is how many daemons able to own a cell there should be for each cell, so that half of
// them may be lost.
const capableDaemonsPerCell = 2

// chooseCellCount returns the number of cells for a number of workers: the smallest that the settings allow and for
// which enough daemons can own cells of that size. If there is no such number, the number of cells is the largest for
// which there are capableDaemonsPerCell daemons for each cell, and at least the smallest that the settings allow.
func chooseCellCount(workers, perCell int, daemons []jobs.Daemon) int {
	least := max(1, ceilDiv(workers, perCell))
	most := max(least, len(daemons)/capableDaemonsPerCell)
	for cells := least; cells < most; cells++ {
		size := ceilDiv(workers, cells)
		able := func(d jobs.Daemon) bool { return workerCapacity(d) >= size }
		if countDaemons(daemons, able) >= capableDaemonsPerCell*cells {
			return cells
		}
	}
	return most
}

// self returns this daemon's registration record.
func (c *Cells) self() jobs.Daemon {
	s := c.config.Settings
	return jobs.Daemon{ID: c.config.Self, Cores: s.Processor, LinkMbps: s.Link, Address: c.config.Address, Process: c.processID()}
}

// cellSize returns the average number of workers in a cell.
func (c *Cells) cellSize() int {
	layout := c.layout()
	if layout == nil || layout.Workers == 0 {
		return c.config.Settings.WorkersPerCell
	}
	return ceilDiv(layout.Workers, layout.Cells)
}

// ceilDiv returns the quotient of n and divisor, rounded up.
func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }

// countDaemons returns the number of daemons that match.
func countDaemons(daemons []jobs.Daemon, matches func(jobs.Daemon) bool) int {
	return len(slices.DeleteFunc(slices.Clone(daemons), func(d jobs.Daemon) bool { return !matches(d) }))
}

// registeredDaemons reads the daemons that are registered in the store now.
func (c *Cells) registeredDaemons(ctx context.Context) ([]jobs.Daemon, error) {
	records, _, err := c.config.Store.List(ctx, daemonPrefix)
	if err != nil {
		return nil, err
	}
	daemons := make([]jobs.Daemon, 0, len(records))
	for _, record := range records {
		daemon, err := decode[jobs.Daemon](record)
		if err != nil {
			c.config.Logger.Error("daemon's stored registration can't be decoded", append(log.Err(err), zap.String("key", record.Key))...)
			continue
		}
		daemons = append(daemons, daemon)
	}
	c.mu.Lock()
	c.daemons = registrations{daemons, c.config.Clock.Now()}
	c.mu.Unlock()
	return daemons, nil
}
