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
	// sufficientCapacity is the worker capacity at which a daemon keeps its only cell: somewhat more workers
	// than the largest cells have.
	sufficientCapacity = 420
	// rebalanceInterval is how often an owner looks for a daemon with more capacity for one of its cells.
	rebalanceInterval = time.Second
	// rebalanceCooldown is the least time between two handovers, in case no daemon claims the cells.
	rebalanceCooldown = 5 * time.Second
	// minCapacityRatio is the least ratio of the capacity that another daemon would have for each of its cells,
	// with one more, to this owner's capacity for each of its cells. Nothing starts in a cell during a handover.
	minCapacityRatio = 2.0
)

// rebalanceLoop hands one of this daemon's cells over when another daemon has far more processor time, or a far
// faster link, for the cell. Delaying the claim of a free cell is not enough after an outage, when daemons come back
// one after the other. The loop covers a weak daemon as well as a daemon that took several cells: an owner that can't
// keep up acts on stale information.
func (c *Cells) rebalanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rebalanceInterval)
		owned := c.ownedCells()
		if len(owned) == 0 || !c.health.available() || !c.strongerDaemonExists(ctx, len(owned)) {
			continue
		}
		cell := slices.Min(slices.Collect(maps.Keys(owned)))
		now := c.config.Clock.Now()
		c.lastRebalance.Store(&now)
		err := c.handOver(ctx, cell, owned[cell], "another daemon has far more capacity")
		c.config.Logger.Info("cell is handed over", append(log.Err(err), zap.String("cell", string(cell)))...)
		sleep(ctx, rebalanceCooldown)
	}
}

// strongerDaemonExists reports whether a daemon that is registered now would have far more capacity for one more
// cell than this daemon has for each cell that it owns.
func (c *Cells) strongerDaemonExists(ctx context.Context, owned int) bool {
	self := workerCapacity(c.self())
	if owned == 1 && self >= sufficientCapacity {
		return false
	}
	daemons, err := c.registeredDaemons(ctx)
	c.health.record(err)
	if err != nil {
		return false // retried after rebalanceInterval
	}
	cells := c.cellsByDaemon()
	mine := float64(self) / float64(owned)
	for _, daemon := range daemons {
		theirs := float64(workerCapacity(daemon)) / float64(cells[daemon.ID]+1)
		able := owned > 1 || workerCapacity(daemon) >= sufficientCapacity
		if daemon.ID != c.config.Self && able && theirs >= minCapacityRatio*mine {
			return true
		}
	}
	return false
}

// cellsByDaemon counts the cells that each daemon owns, as last read from the store.
func (c *Cells) cellsByDaemon() map[string]int {
	count := map[string]int{}
	for _, owner := range c.knownOwners() {
		count[owner.Daemon]++
	}
	return count
}
