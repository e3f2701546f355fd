// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
)

// previousOwnersPause is the pause between two rounds of calls to the daemons of previous owners.
const previousOwnersPause = 200 * time.Millisecond

// previousOwners is what an owner learns of the owners before it. A worker that answers nobody may still run what one of
// them started, until the last lease that it can have been granted is over. The successor learns when that is from the
// daemons of the previous owners themselves: they stop when they are asked, or have another process since. Without
// answers of all of them it depends on how many workers answer the successor (dispatch).
//
// A refused connection is no such answer: a firewall may refuse connections to a daemon that goes on.
type previousOwners struct {
	claims     jobs.Claims // that precede the owner's own, as stored
	unresolved []jobs.Owner
	endedAt    time.Time // when the last of those that have answered had ended
	forgotten  bool      // the stored list names only the owner's own claim
}

func newPreviousOwners(claims jobs.Claims) previousOwners {
	return previousOwners{claims: claims, unresolved: claims.Owners}
}

// previousOwnersLoop asks the daemons of the previous owners until all of them have answered, their runs are over, or ctx
// ends. If the list of claims is incomplete, their answers prove nothing, but a previous owner that lives stops.
func (o *Owner) previousOwnersLoop(ctx context.Context) {
	for len(o.previous.unresolved) > 0 {
		o.askPreviousOwners(ctx)
		if ctx.Err() != nil || o.previousOwnersAreOver() {
			return
		}
		if len(o.previous.unresolved) > 0 {
			sleep(ctx, previousOwnersPause)
		}
	}
	if o.previous.claims.Incomplete || len(o.previous.claims.Owners) == 0 {
		return
	}
	o.mu.Lock()
	o.core.PreviousOwnersEnded(o.previous.endedAt)
	o.mu.Unlock()
	o.config.Logger.Info("previous owners have ended", zap.String("cell", string(o.cell)), zap.Int("claims", len(o.previous.claims.Owners)),
		zap.Duration("ago", o.config.Clock.Since(o.previous.endedAt)))
	wake(o.wakeDecide)
}

// askPreviousOwners asks the daemon of each previous owner that is not known to have ended.
func (o *Owner) askPreviousOwners(ctx context.Context) {
	var unresolved []jobs.Owner
	for _, claim := range o.previous.unresolved {
		end := o.cells.askClaimEnd(ctx, o.cell, claim)
		if end == nil {
			unresolved = append(unresolved, claim)
			continue
		}
		if at := o.config.Clock.Read().Add(-end.Ago.Duration()); at.After(o.previous.endedAt) {
			o.previous.endedAt = at
		}
	}
	o.previous.unresolved = unresolved
}

// askClaimEnd asks the daemon that made a claim since when the claim has ended; nil: it has not, or that is not known.
func (c *Cells) askClaimEnd(ctx context.Context, cell jobs.CellName, claim jobs.Owner) *jobs.ClaimEnd {
	if claim.Daemon == c.config.Self && claim.Address == c.config.Address {
		return c.endClaim(cell, claim.ClaimID)
	}
	answer, err := c.config.Peers.Jobs(ctx, claim.Address, jobs.Query{Cell: cell, EndClaim: claim.ClaimID})
	if err != nil {
		c.config.Logger.Debug("daemon of a previous owner does not answer", append(log.Err(err), zap.String("cell", string(cell)),
			zap.String("daemon", claim.Daemon))...)
		return nil
	}
	if answer.ClaimEnd == nil || answer.ClaimEnd.Daemon != claim.Daemon { // another VM may have the address now
		return nil
	}
	return answer.ClaimEnd
}

// forgetPreviousClaims removes the claims of previous owners from the stored list once all their runs are over.
func (o *Owner) forgetPreviousClaims(ctx context.Context) {
	if o.previous.forgotten || !o.previousOwnersAreOver() {
		return
	}
	txn, err := putTxn(claimsKey(o.cell), jobs.Claims{Owners: []jobs.Owner{o.claim}})
	if err == nil {
		_, err = o.commitJournaled(ctx, txn)
		o.cells.health.record(err)
	}
	if err != nil {
		if !isOutage(err) {
			o.config.Logger.Warn("claims of previous owners are not removed", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		}
		return
	}
	o.previous.forgotten = true
}

// previousOwnersAreOver reports whether no run of a previous owner exists any more that this owner has not found.
func (o *Owner) previousOwnersAreOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.PreviousOwnersAreOver(o.config.Clock.Now())
}
