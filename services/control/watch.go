// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// watchLoop reads the layout, and watches the owners of all cells until ctx ends.
func (c *Cells) watchLoop(ctx context.Context) {
	var at platform.Version
	for ctx.Err() == nil {
		var err error
		if at == 0 {
			at, err = c.readOwners(ctx)
		} else {
			at, err = c.watchOwners(ctx, at)
		}
		c.health.record(err)
		if err != nil {
			sleep(ctx, ownersRetryPause)
		}
	}
}

// ownersRetryPause is the pause after a failed read of the owners.
const ownersRetryPause = 100 * time.Millisecond

// readOwners reads the owners of all cells, and first the layout if it is not known yet. It returns the
// version to watch from.
func (c *Cells) readOwners(ctx context.Context) (platform.Version, error) {
	if c.layout() == nil {
		if err := c.readLayout(ctx); err != nil {
			return 0, err
		}
	}
	records, at, err := c.config.Store.List(ctx, ownerPrefix)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	clear(c.owners)
	c.mu.Unlock()
	for _, record := range records {
		c.applyOwnerRecord(record)
	}
	c.mu.Lock()
	c.ownersSynced = true
	c.mu.Unlock()
	c.wakeClaimLoop()
	return at, nil
}

// watchOwners waits for changes of owners after a version and applies them. It returns the next version to
// watch from, or 0 if the owners have to be read again.
func (c *Cells) watchOwners(ctx context.Context, at platform.Version) (platform.Version, error) {
	records, next, err := c.config.Store.Watch(ctx, ownerPrefix, at)
	switch {
	case mustReload(err):
		return 0, nil
	case err != nil:
		c.mu.Lock()
		c.ownersSynced = false
		c.mu.Unlock()
		return 0, err
	}
	for _, record := range records {
		c.applyOwnerRecord(record)
	}
	if len(records) > 0 {
		c.wakeClaimLoop()
	}
	return next, nil
}

// applyOwnerRecord applies a stored owner's key, and drops this daemon's own cell if the key says that the cell is lost.
func (c *Cells) applyOwnerRecord(record platform.Record) {
	cell := jobs.CellName(record.Key[len(ownerPrefix):])
	owner, err := wire.DecodeBytes[jobs.Owner](record.Value)
	if !record.Deleted && err != nil {
		c.config.Logger.Error("stored owner of a cell cannot be decoded; the cell counts as free", append(log.Err(err), zap.String("cell", string(cell)))...)
	}
	c.mu.Lock()
	switch {
	case record.Deleted, err != nil:
		delete(c.owners, cell)
		c.noteFree(cell)
	case c.owners[cell].version != record.Version:
		delete(c.freeSince, cell)
		c.owners[cell] = ownerRecord{Owner: owner, version: record.Version, seenAt: c.config.Clock.Now()}
	}
	local := c.owned[cell]
	// A watch that lags behind reports keys of previous owners, whose removal does not mean
	// that this owner has lost the cell.
	lost := local != nil && record.Version >= platform.Version(local.epoch) &&
		(record.Deleted || record.Version > platform.Version(local.epoch))
	c.mu.Unlock()
	if lost {
		c.dropOwner(cell, local, "the store names another owner or none")
	}
}
