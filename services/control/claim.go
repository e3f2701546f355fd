// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// claimEvery is how often cells without owner are looked for unasked.
const claimEvery = 500 * time.Millisecond

// claimLoop claims cells that nobody owns.
func (c *Cells) claimLoop(ctx context.Context) {
	ticker := time.NewTicker(claimEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.claimFreeCells(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.wakeClaim:
		}
	}
}

// claimDelayPerCell is by how much a daemon holds back for each cell that it owns already, so
// that cells spread.
const claimDelayPerCell = 150 * time.Millisecond

// maxCapacityDelay is for how long a daemon leaves a free cell to others that carries nothing of it:
// after an outage of the store it takes about a second until all daemons are back.
const maxCapacityDelay = 1200 * time.Millisecond

// holdBack is how long this daemon leaves a free cell to others: the less of it it carries,
// the longer, so that a cell goes to one that carries it when there is any. One that has just
// left a cell to another daemon would be the first to see that it is free.
func (c *Cells) holdBack(owned int) time.Duration {
	lacks := max(0, 1-float64(carries(c.self()))/float64(c.cellSize()))
	if since := c.yielded.Load(); since != nil && c.config.Clock.Since(*since) < yieldPause {
		lacks = 1
	}
	return time.Duration(owned)*claimDelayPerCell + time.Duration(lacks*float64(maxCapacityDelay))
}

func (c *Cells) claimFreeCells(ctx context.Context) {
	c.removeStaleClaims(ctx)
	c.removeAbandoned(ctx)
	c.mu.Lock()
	var free []jobs.CellName
	if c.currentLayout != nil && c.ownersSynced && c.lease != 0 && !c.stopping {
		for n := range c.currentLayout.Cells {
			if _, taken := c.owners[cellName(n)]; !taken && c.owned[cellName(n)] == nil {
				free = append(free, cellName(n))
			}
		}
	}
	owned := len(c.owned)
	c.mu.Unlock()
	for _, cell := range free {
		if wait := c.holdBack(owned); wait > 0 {
			sleep(ctx, wait)
			if _, taken := c.ownerOf(cell); taken {
				continue
			}
		}
		if c.claim(ctx, cell) {
			owned++
		}
	}
}

// removeStaleClaims removes keys that name this daemon as the owner of a cell that it does not
// run: a claim whose answer was lost, or one of the process that ran here before. Nobody
// else would claim the cell while the key is there.
func (c *Cells) removeStaleClaims(ctx context.Context) {
	stale := map[jobs.CellName]platform.Version{}
	c.mu.Lock()
	for cell, owner := range c.owners {
		if owner.Daemon == c.config.Self && c.owned[cell] == nil && !c.stopping {
			stale[cell] = owner.version
		}
	}
	c.mu.Unlock()
	for cell, version := range stale {
		err := c.removeOwner(ctx, cell, version)
		c.health.note(err)
		c.config.Logger.Info("stale claim is removed", append(log.Err(err), zap.String("cell", string(cell)))...)
	}
}

// removeOwner removes the keys of a cell's owner, if they are still those of the epoch.
func (c *Cells) removeOwner(ctx context.Context, cell jobs.CellName, version platform.Version) error {
	_, err := c.config.Store.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: ownerKey(cell), Version: version}, {Key: markerKey(cell), Version: version}},
		Delete:  []string{ownerKey(cell), markerKey(cell)},
	})
	return errstep.Wrap(err, "remove owner of cell "+string(cell), "store")
}

// claim takes a cell that has no owner.
func (c *Cells) claim(ctx context.Context, cell jobs.CellName) bool {
	owner := jobs.Owner{Daemon: c.config.Self, Address: c.config.Address, Claim: c.config.NewID()}
	value, err := json.Marshal(owner)
	if err != nil {
		c.config.Logger.Error("claim can't be encoded", log.Err(err)...)
		return false
	}
	c.mu.Lock()
	lease := c.lease
	c.mu.Unlock()
	if lease == 0 {
		return false // over since the cell was found free; keys without lease would stay for ever
	}
	taken := c.config.Clock.Read()
	version, err := c.config.Store.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: ownerKey(cell)}, {Key: markerKey(cell)}},
		Put: []platform.Write{
			{Key: ownerKey(cell), Value: value, Lease: lease}, {Key: markerKey(cell), Value: value, Lease: lease},
		},
	})
	if errors.Is(err, platform.ErrUnknown) {
		version, err = c.resolveClaim(ctx, cell, owner)
	}
	c.health.note(err)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			c.config.Logger.Warn("claim failed", append(log.Err(err), zap.String("cell", string(cell)))...)
		}
		return false
	}
	c.startOwner(ctx, cell, owner, version, taken)
	return true
}

// resolveClaim finds out whether a claim without answer was done. One that is done later is
// removed by removeStaleClaims.
func (c *Cells) resolveClaim(ctx context.Context, cell jobs.CellName, owner jobs.Owner) (platform.Version, error) {
	record, err := c.config.Store.Get(ctx, ownerKey(cell))
	if err != nil {
		return 0, err
	}
	stored, err := decode[jobs.Owner](record)
	if err != nil {
		return 0, err
	}
	if stored.Claim != owner.Claim {
		return 0, platform.ErrConflict
	}
	return record.Version, nil
}

func (c *Cells) startOwner(ctx context.Context, cell jobs.CellName, owner jobs.Owner, version platform.Version, taken time.Time) {
	c.config.Logger.Info("cell is taken", zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(version)))
	c.config.Scope.Counter("cells_taken").Inc(1)
	mine := newOwner(c, cell, jobs.Epoch(version), taken)
	c.mu.Lock()
	c.owners[cell] = ownerRecord{Owner: owner, version: version, since: taken}
	c.owned[cell] = mine
	c.mu.Unlock()
	c.group.Go(func() { c.runOwner(ctx, cell, mine) })
}

func (c *Cells) runOwner(ctx context.Context, cell jobs.CellName, mine *Owner) {
	mine.Run(ctx)
	c.mu.Lock()
	if c.owned[cell] == mine {
		delete(c.owned, cell)
	}
	c.mu.Unlock()
	c.nudge()
}
