// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/log"
)

const (
	// sufficientCapacity is how many a daemon carries that need not leave its only cell to another
	// one: somewhat more than the largest cells have.
	sufficientCapacity = 420
	// yieldInterval is how often an owner looks for a daemon that has more for one of its cells.
	yieldInterval = time.Second
	// yieldPause is the least time between two handovers, in case nobody takes the cells.
	yieldPause = 5 * time.Second
	// minCapacityRatio is how many times the workers that an owner carries for each of its cells
	// another daemon must carry for one more: for the time of a handover nothing starts in the cell.
	minCapacityRatio = 2.0
)

// yieldLoop hands a cell over when another daemon has far more processor time, or a far wider
// link, for it: holding back when a cell is free is not enough after an outage, when daemons come back
// one after the other. That goes for a weak daemon as for one that took several cells: an owner that
// can't keep up acts on what is old.
func (c *Cells) yieldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, yieldInterval)
		owned := c.ownedCells()
		if len(owned) == 0 || !c.health.good() || !c.strongerDaemonExists(ctx, len(owned)) {
			continue
		}
		cell := slices.Min(slices.Collect(maps.Keys(owned)))
		now := c.config.Clock.Now()
		c.yielded.Store(&now)
		err := c.handOver(ctx, cell, owned[cell], "another daemon carries far more")
		c.config.Logger.Info("cell is handed over", append(log.Err(err), zap.String("cell", string(cell)))...)
		sleep(ctx, yieldPause)
	}
}

// strongerDaemonExists tells whether a daemon that is registered now would carry far more for a cell
// than this one does for each of those that it owns.
func (c *Cells) strongerDaemonExists(ctx context.Context, owned int) bool {
	self := carries(c.self())
	if owned == 1 && self >= sufficientCapacity {
		return false
	}
	daemons, err := c.registeredDaemons(ctx)
	c.health.note(err)
	if err != nil {
		return false // looked for again in a second
	}
	cells := c.cellsByDaemon()
	mine := float64(self) / float64(owned)
	for _, daemon := range daemons {
		theirs := float64(carries(daemon)) / float64(cells[daemon.ID]+1)
		able := owned > 1 || carries(daemon) >= sufficientCapacity
		if daemon.ID != c.config.Self && able && theirs >= minCapacityRatio*mine {
			return true
		}
	}
	return false
}

// cellsByDaemon counts the cells that each daemon owns, as the store says.
func (c *Cells) cellsByDaemon() map[string]int {
	count := map[string]int{}
	for _, owner := range c.knownOwners() {
		count[owner.Daemon]++
	}
	return count
}
