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

// A process that has ended leaves its key as the owner behind until its lease in the store runs
// out, 2 s later. Whoever asks it meanwhile is told at once by its VM that nobody listens, and
// removes the key, so that the cell has another owner within some tenths of a second. It takes
// no proof: the next owner fences a former one that lives after all, as it does one that was
// frozen. VMs without power say nothing; there the lease has to run out.

// Bounds for cuts that look the same, between daemons that all reach the store: a cell changes
// its owner because of them every minOwnerAge at most.
const (
	// confirmPause is the pause before an owner at which nobody listened is asked again.
	confirmPause = 50 * time.Millisecond
	// minOwnerAge is for how long an owner must have been known.
	minOwnerAge = 5 * time.Second
)

// nobodyListens tells whether a call failed because no process listens at the address.
func nobodyListens(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// suspect notes that nobody listened at the address of a cell's owner, and lets the loop that
// claims cells look.
func (c *Cells) suspect(cell jobs.CellName, claim string) {
	c.mu.Lock()
	record, ok := c.owners[cell]
	news := ok && record.Claim == claim && !record.suspected && c.config.Clock.Since(record.since) >= minOwnerAge
	if news {
		record.suspected = true
		c.owners[cell] = record
	}
	c.mu.Unlock()
	if news {
		c.nudge()
	}
}

// suspectedOwners are the cells whose owners may have ended, with the versions of their keys. A
// daemon that would hold back from them leaves them to others.
func (c *Cells) suspectedOwners() map[jobs.CellName]platform.Version {
	if c.holdBack(0) > 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cells := map[jobs.CellName]platform.Version{}
	for cell, record := range c.owners {
		if record.suspected && !record.asked && !c.stopping {
			cells[cell] = record.version
		}
	}
	return cells
}

// removeAbandoned removes the keys of owners that have ended, once for each.
func (c *Cells) removeAbandoned(ctx context.Context) {
	for cell, version := range c.suspectedOwners() {
		sleep(ctx, confirmPause)
		_, err := c.ask(ctx, jobs.Query{Cell: cell, Load: true})
		ended := nobodyListens(err)
		c.recordOwnerCheck(cell, version, ended)
		if !ended {
			continue
		}
		err = c.removeOwner(ctx, cell, version)
		c.health.note(err)
		c.config.Logger.Info("owner has ended, its key is removed", append(log.Err(err), zap.String("cell", string(cell)),
			zap.Uint64("epoch", uint64(version)))...)
	}
}

// recordOwnerCheck notes that a suspected owner was asked again, and what that says.
func (c *Cells) recordOwnerCheck(cell jobs.CellName, version platform.Version, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.owners[cell]
	if !ok || record.version != version {
		return
	}
	record.suspected, record.asked = ended, ended
	c.owners[cell] = record
}
