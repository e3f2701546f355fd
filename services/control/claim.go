// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// claimInterval is the interval at which the claim loop looks for cells without owner even when nothing wakes it.
const claimInterval = 500 * time.Millisecond

// claimLoop claims cells without owner until ctx ends.
func (c *Cells) claimLoop(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
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

// claimDelayPerCell is how long a daemon delays a claim for each cell that it already owns, so that
// the cells spread over the daemons.
const claimDelayPerCell = 150 * time.Millisecond

// maxShortfallDelay is the claim delay of a daemon that has no capacity at all for a cell. After an
// outage of the store it takes about a second until all daemons are back.
const maxShortfallDelay = 1200 * time.Millisecond

// claimDelay returns how long this daemon leaves a cell without owner to other daemons. The smaller the
// share of the cell's workers that this daemon can handle, the longer the delay, so that the cell goes
// to a daemon that can handle all of them if there is one. A daemon that has just handed a cell over
// waits as if it could handle no worker, because it is the first to see that the cell is free.
func (c *Cells) claimDelay(owned int) time.Duration {
	shortfall := max(0, 1-float64(workerCapacity(c.self()))/float64(c.cellSize()))
	if since := c.lastRebalance.Load(); since != nil && c.config.Clock.Since(*since) < rebalanceCooldown {
		shortfall = 1
	}
	return time.Duration(owned)*claimDelayPerCell + time.Duration(shortfall*float64(maxShortfallDelay))
}

// claimFreeCells removes the keys of owners that no longer run and claims cells without owner.
func (c *Cells) claimFreeCells(ctx context.Context) {
	c.removeStaleClaims(ctx)
	c.removeDeadOwners(ctx)
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
	c.noteFree(free...)
	c.mu.Unlock()
	for _, cell := range free {
		if wait := c.claimWait(cell, owned); wait > 0 {
			sleep(ctx, wait)
			if _, taken := c.ownerOf(cell); taken {
				continue
			}
		}
		claimed := c.claim(ctx, cell)
		c.recordClaim(ctx, cell, claimed)
		if claimed {
			owned++
			sleep(ctx, claimPause)
		}
	}
}

// maxClaimWait is how long a daemon leaves a cell without owner to others, however many cells it owns or claims before. It
// is longer than the delay for lack of capacity. With the owner's lease in the store, it is shorter than a worker's lease.
const maxClaimWait = 2 * time.Second

// claimPause is the pause after each claim, in which other daemons that have waited as long claim the next cell.
const claimPause = 10 * time.Millisecond

// claimWait returns how long this daemon still leaves a cell to others.
func (c *Cells) claimWait(cell jobs.CellName, owned int) time.Duration {
	c.mu.Lock()
	since := c.freeSince[cell]
	c.mu.Unlock()
	return min(c.claimDelay(owned), maxClaimWait-c.config.Clock.Since(since))
}

// noteFree records since when cells are free. The caller holds the mutex.
func (c *Cells) noteFree(cells ...jobs.CellName) {
	for _, cell := range cells {
		if _, known := c.freeSince[cell]; !known {
			c.freeSince[cell] = c.config.Clock.Now()
		}
	}
}

// removeStaleClaims removes the keys that name this daemon as the owner of a cell that it does not
// run: from a claim whose answer was lost, or from an earlier process of this daemon. No daemon
// would claim the cell while the key exists.
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
		c.health.record(err)
		c.config.Logger.Info("tried to remove a stale claim", append(log.Err(err), zap.String("cell", string(cell)))...)
		if errors.Is(err, platform.ErrConflict) {
			c.removeInconsistentOwner(ctx, cell)
		}
	}
}

// removeOwner removes the keys of a cell's owner if they still have the version of that owner's epoch.
func (c *Cells) removeOwner(ctx context.Context, cell jobs.CellName, version platform.Version) error {
	_, err := c.config.Store.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: ownerKey(cell), Version: version}, {Key: markerKey(cell), Version: version}},
		Delete:  []string{ownerKey(cell), markerKey(cell)},
	})
	return errstep.Wrap(err, "remove owner of cell "+string(cell), "store")
}

// claim tries to make this daemon the owner of a cell and, if that succeeds, starts running the cell.
func (c *Cells) claim(ctx context.Context, cell jobs.CellName) bool {
	owner := jobs.Owner{Daemon: c.config.Self, Address: c.config.Address, ClaimID: c.config.NewID()}
	c.mu.Lock()
	lease := c.lease
	c.mu.Unlock()
	if lease == 0 {
		return false // the lease ended after the cell was found free; keys without lease would never expire
	}
	owner.Witnesses = c.findWitnesses(ctx)
	taken := c.config.Clock.Read()
	previous, version, err := c.commitClaim(ctx, cell, &owner, lease)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		version, err = c.resolveClaim(ctx, cell, owner)
	}
	c.health.record(err)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			c.config.Logger.Warn("claim failed", append(log.Err(err), zap.String("cell", string(cell)))...)
		}
		return false
	}
	c.startOwner(ctx, cell, cellClaim{owner: owner, version: version, taken: taken, previous: previous})
	return true
}

// cellClaim is a claim of a cell that the store has accepted.
type cellClaim struct {
	owner    jobs.Owner
	version  platform.Version // of the owner's keys, which is the epoch
	taken    time.Time
	previous previousOwners
}

// commitClaim makes a claim and adds it to the cell's list of claims. It returns the owners before it, whose daemons are no
// witnesses of the claim yet: the last of them has probably just been lost, and is still registered. The list is
// incomplete if an owner that came after all of those on the list has stored something: daemons of older versions do not
// list their claims. An owner that has stored nothing has started nothing.
func (c *Cells) commitClaim(ctx context.Context, cell jobs.CellName, owner *jobs.Owner, lease platform.LeaseID) (previousOwners, platform.Version, error) {
	previous, listed, err := c.readClaims(ctx, cell)
	if err != nil {
		return previousOwners{}, 0, err
	}
	last, journaled, err := readJournal(ctx, c.config, cell)
	if err != nil {
		return previousOwners{}, 0, err
	}
	previous.Incomplete = previous.Incomplete || last.Epoch > jobs.Epoch(listed)
	owner.Witnesses = slices.DeleteFunc(owner.Witnesses, func(w jobs.Witness) bool { return previous.Names(w.Daemon) })
	key := owner.WithoutWitnesses()
	writes, err := encodeWrites([]keyValue{{ownerKey(cell), key}, {markerKey(cell), key}, {claimsKey(cell), previous.With(*owner)}})
	if err != nil {
		return previousOwners{}, 0, err
	}
	writes[0].Lease, writes[1].Lease = lease, lease // the list of claims outlives the claim
	version, err := c.config.Store.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{
			{Key: ownerKey(cell)}, {Key: markerKey(cell)}, {Key: claimsKey(cell), Version: listed}, {Key: journalKey(cell), Version: journaled},
		},
		Put: writes,
	})
	return newPreviousOwners(previous), version, err
}

// readClaims reads a cell's list of claims. A list that cannot be decoded costs a later owner a longer wait, and is no
// reason to leave the cell without owner.
func (c *Cells) readClaims(ctx context.Context, cell jobs.CellName) (jobs.Claims, platform.Version, error) {
	record, err := c.config.Store.Get(ctx, claimsKey(cell))
	if errors.Is(err, platform.ErrNotFound) {
		return jobs.Claims{}, 0, nil
	}
	if err != nil {
		return jobs.Claims{}, 0, err
	}
	claims, err := decode[jobs.Claims](record)
	if err != nil {
		c.config.Logger.Error("claims of previous owners cannot be decoded; the list begins anew", append(log.Err(err), zap.String("cell", string(cell)))...)
		return jobs.Claims{Incomplete: true}, record.Version, nil
	}
	return claims, record.Version, nil
}

// resolveClaim finds out whether a claim of unknown outcome was applied. A claim that is applied
// after this check is removed by removeStaleClaims.
func (c *Cells) resolveClaim(ctx context.Context, cell jobs.CellName, owner jobs.Owner) (platform.Version, error) {
	record, err := c.config.Store.Get(ctx, ownerKey(cell))
	if err != nil {
		return 0, err
	}
	stored, err := decode[jobs.Owner](record)
	if err != nil {
		return 0, err
	}
	if stored.ClaimID != owner.ClaimID {
		return 0, platform.ErrConflict
	}
	return record.Version, nil
}

// startOwner runs a cell that this daemon has claimed, unless a later owner has asked to end the claim meanwhile.
func (c *Cells) startOwner(ctx context.Context, cell jobs.CellName, claim cellClaim) {
	owner := newOwner(c, cell, jobs.Epoch(claim.version), claim.taken)
	owner.claim, owner.previous = claim.owner, claim.previous
	owner.core.WitnessesStored(claim.owner.Witnesses)
	c.mu.Lock()
	allowed := c.claimEnds.begin(claim.owner.ClaimID, owner)
	if allowed {
		c.owners[cell] = ownerRecord{Owner: claim.owner.WithoutWitnesses(), version: claim.version, seenAt: claim.taken}
		delete(c.freeSince, cell)
		c.owned[cell] = owner
	}
	c.mu.Unlock()
	if !allowed {
		c.config.Logger.Warn("claim is not run, a later owner has superseded it", zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(claim.version)))
		return
	}
	c.config.Logger.Info("cell is taken", zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(claim.version)),
		zap.Int("previous_claims", len(claim.previous.claims.Owners)))
	c.config.Scope.Counter("cells_taken").Inc(1)
	c.group.Go(func() { c.runOwner(ctx, cell, owner) })
}

func (c *Cells) runOwner(ctx context.Context, cell jobs.CellName, owner *Owner) {
	owner.Run(ctx)
	owner.mu.Lock()
	leases := owner.core.GrantedLeases()
	owner.mu.Unlock()
	c.mu.Lock()
	if c.owned[cell] == owner {
		delete(c.owned, cell)
	}
	c.claimEnds.end(owner.claim.ClaimID, leases, c.config.Clock.Now())
	c.mu.Unlock()
	c.wakeClaimLoop()
}
