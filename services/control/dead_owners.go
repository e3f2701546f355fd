// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// When a daemon's process has ended, its owner keys stay until its lease in the store expires, 2 s later. Another
// daemon that calls the ended daemon in that time gets a refused connection from its VM at once and removes the keys,
// so that the cell has another owner within some tenths of a second. The removal needs no proof that the owner has
// ended: the next owner fences a previous owner that is still running, as it fences an owner that was frozen. A VM
// without power refuses no connection; the keys of its daemons stay until the lease expires.

// Limits for network failures that look the same between daemons that all reach the store: they change the
// owner of a cell once in minOwnerAge at most.
const (
	// confirmPause is the pause before an owner that refused a connection is called again.
	confirmPause = 50 * time.Millisecond
	// minOwnerAge is how long an owner must have been known before its keys may be removed.
	minOwnerAge = 5 * time.Second
)

// connectionRefused reports whether a call failed because no process listens at the address.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// suspectOwner marks the owner of a cell as suspected because its address refused a connection, and wakes the loop
// that claims cells.
func (c *Cells) suspectOwner(cell jobs.CellName, claim string) {
	c.mu.Lock()
	record, ok := c.owners[cell]
	changed := ok && record.ClaimID == claim && !record.suspected && c.config.Clock.Since(record.seenAt) >= minOwnerAge
	if changed {
		record.suspected = true
		c.owners[cell] = record
	}
	c.mu.Unlock()
	if changed {
		c.wakeClaimLoop()
	}
}

// suspectedOwners returns the cells whose owners may have ended, with the versions of their keys. It returns
// none if this daemon would delay its claim of a free cell, and so leaves the removal to other daemons.
func (c *Cells) suspectedOwners() map[jobs.CellName]platform.Version {
	if c.claimDelay(0) > 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cells := map[jobs.CellName]platform.Version{}
	for cell, record := range c.owners {
		if record.suspected && !record.removalTried && !c.stopping {
			cells[cell] = record.version
		}
	}
	return cells
}

// removeDeadOwners calls each suspected owner again and, once for each owner, removes its keys if it has ended.
func (c *Cells) removeDeadOwners(ctx context.Context) {
	for cell, version := range c.suspectedOwners() {
		sleep(ctx, confirmPause)
		_, err := c.queryOwner(ctx, jobs.Query{Cell: cell, Load: true})
		ended := connectionRefused(err)
		c.recordOwnerCheck(cell, version, ended)
		if !ended {
			continue
		}
		err = c.removeOwner(ctx, cell, version)
		c.health.record(err)
		c.config.Logger.Info("owner has ended; tried to remove its keys", append(log.Err(err), zap.String("cell", string(cell)),
			zap.Uint64("epoch", uint64(version)))...)
	}
}

// recordOwnerCheck records the result of the second call to a suspected owner.
func (c *Cells) recordOwnerCheck(cell jobs.CellName, version platform.Version, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.owners[cell]
	if !ok || record.version != version {
		return
	}
	record.suspected, record.removalTried = ended, ended
	c.owners[cell] = record
}
