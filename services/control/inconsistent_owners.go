// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// The two keys of a cell's owner are written and removed in one transaction, with the same lease, so that they have the
// same version. If another writer has overwritten one of them, that key stays for good, and no daemon can claim the cell.

// failedClaimsBeforeCheck is the number of failed claims of a cell after which its owner's keys are checked. A claim that
// fails because another daemon was faster is not repeated, once the watch shows the other daemon's.
const failedClaimsBeforeCheck = 3

// recordClaim counts failed claims of a cell, and checks the keys of its owner after several of them. It is called by the
// loop that claims cells only.
func (c *Cells) recordClaim(ctx context.Context, cell jobs.CellName, claimed bool) {
	c.failedClaims[cell]++
	if claimed {
		delete(c.failedClaims, cell)
		return
	}
	if c.failedClaims[cell] < failedClaimsBeforeCheck {
		return
	}
	delete(c.failedClaims, cell)
	c.removeInconsistentOwner(ctx, cell)
}

// removeInconsistentOwner removes the keys of a cell's owner if their versions differ. No owner can store anything under
// such keys; one that still runs is fenced by its successor.
func (c *Cells) removeInconsistentOwner(ctx context.Context, cell jobs.CellName) {
	var txn platform.Txn
	for _, key := range []string{ownerKey(cell), markerKey(cell)} {
		record, err := c.config.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			c.health.record(err)
			return
		}
		txn.Require = append(txn.Require, platform.Precondition{Key: key, Version: record.Version})
		if record.Version != 0 {
			txn.Delete = append(txn.Delete, key)
		}
	}
	if txn.Require[0].Version == txn.Require[1].Version {
		return
	}
	_, err := c.config.Store.Commit(ctx, txn)
	c.health.record(err)
	c.config.Logger.Warn("keys of an owner are inconsistent; tried to remove them", append(log.Err(err), zap.String("cell", string(cell)),
		zap.Uint64("owner", uint64(txn.Require[0].Version)), zap.Uint64("marker", uint64(txn.Require[1].Version)))...)
}
