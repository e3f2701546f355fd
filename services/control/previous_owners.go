// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
)

// previousOwnersPause is the pause between two rounds of calls to the daemons of previous owners.
const previousOwnersPause = 200 * time.Millisecond

// previousOwners is what an owner learns of the owners before it. A worker that answers nobody may still run what one of
// them started, until the last lease that it can have been granted is over. The successor learns when that is from the
// daemons of the previous owners themselves: they stop when they are asked, or have another process since. Where such a
// daemon does not answer, the witnesses of its claim do: they stop to vouch for it, or have another process since. Without
// either for all of them it depends on how many workers answer the successor (dispatch).
//
// A refused connection is no such answer: a firewall may refuse connections to a daemon that goes on.
type previousOwners struct {
	claims    jobs.Claims // that precede the owner's own, as stored
	forgotten bool        // the stored list names only the owner's own claim

	// The mutex of the Owner protects the fields below.

	ends         map[string]time.Time                   // by claim id: when the owner had ended
	leases       map[string]map[jobs.WorkerID]time.Time // by claim id: until when the runs on workers last that were granted leases
	leasesUntold map[string]int                         // by claim id: how often its daemon has answered without telling the leases
	vouchedUntil map[jobs.Witness]time.Time             // when a process that has stopped last vouched for a claim, at the latest
	told         previousLapse                          // as the core was told last
}

// previousLapse says when previous owners had ended, and until when enough witnesses may have vouched for the others.
type previousLapse struct{ ended, fenced time.Time }

func newPreviousOwners(claims jobs.Claims) previousOwners {
	return previousOwners{
		claims: claims, ends: map[string]time.Time{}, leases: map[string]map[jobs.WorkerID]time.Time{}, leasesUntold: map[string]int{},
		vouchedUntil: map[jobs.Witness]time.Time{},
	}
}

// fencedAt returns the time after which too few witnesses have vouched for a claim; false: enough may still vouch for it, or
// it has none.
func (p *previousOwners) fencedAt(claim jobs.Owner) (time.Time, bool) {
	var times []time.Time
	for _, witness := range claim.Witnesses {
		if at, ok := p.vouchedUntil[witness]; ok {
			times = append(times, at)
		}
	}
	needed := dispatch.WitnessesToStop(len(claim.Witnesses))
	if len(claim.Witnesses) == 0 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[needed-1], true
}

// lapse returns what is known of the ends of all claims; false: one of them may go on, or is not known. Where
// both an end and the witnesses' last vouch are known, the one counts after which the leases are over sooner.
func (p *previousOwners) lapse() (times previousLapse, ok bool) {
	if p.claims.Incomplete || len(p.claims.Owners) == 0 {
		return previousLapse{}, false
	}
	for _, claim := range p.claims.Owners {
		ended, hasEnded := p.ends[claim.ClaimID]
		fenced, isFenced := p.fencedAt(claim)
		switch {
		case hasEnded && (!isFenced || dispatch.EndCounts(ended, fenced)):
			times.ended = latest(times.ended, ended)
		case isFenced:
			times.fenced = latest(times.fenced, fenced)
		default:
			return previousLapse{}, false
		}
	}
	return times, true
}

// lastLeases returns, for each worker that was granted leases, until when the runs under these last; false: not all previous
// owners have told.
func (p *previousOwners) lastLeases() (last map[jobs.WorkerID]time.Time, ok bool) {
	if p.claims.Incomplete || len(p.claims.Owners) == 0 {
		return nil, false
	}
	last = map[jobs.WorkerID]time.Time{}
	for _, claim := range p.claims.Owners {
		leases, told := p.leases[claim.ClaimID]
		if !told {
			return nil, false
		}
		for worker, until := range leases {
			last[worker] = latest(last[worker], until)
		}
	}
	return last, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// previousOwnersLoop asks the daemons and the witnesses of the previous owners until all of these have ended, their runs
// are over, or ctx ends. If the list of claims is incomplete, the answers prove nothing, but a previous owner that lives
// stops.
func (o *Owner) previousOwnersLoop(ctx context.Context) {
	for o.askPreviousOwners(ctx) && ctx.Err() == nil && !o.previousOwnersAreOver() {
		sleep(ctx, previousOwnersPause)
	}
}

// askPreviousOwners asks, at the same time, the daemon of each previous owner that is not known to have ended and its
// witnesses that are not known to have stopped, and each one that has ended for its leases. It reports whether there is more
// to ask.
func (o *Owner) askPreviousOwners(ctx context.Context) (more bool) {
	claims, witnesses := o.unansweredClaims()
	var group conc.WaitGroup
	for _, claim := range o.claimsWithoutLeases() {
		group.Go(func() { o.askForLeases(ctx, claim) })
	}
	for _, claim := range claims {
		group.Go(func() { o.askPreviousOwner(ctx, claim) })
	}
	for _, witness := range witnesses {
		group.Go(func() { o.askToStop(ctx, witness) })
	}
	group.Wait()
	claims, _ = o.unansweredClaims()
	return len(claims) > 0 || len(o.claimsWithoutLeases()) > 0
}

// maxLeasesUntold is how often the daemon of an ended owner may answer without telling the leases, as one of an older version
// does, until it is not asked any more.
const maxLeasesUntold = 5

// claimsWithoutLeases returns the claims that have ended and whose daemons are to be asked for the leases.
func (o *Owner) claimsWithoutLeases() []jobs.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var claims []jobs.Owner
	for _, claim := range o.previous.claims.Owners {
		_, ended := o.previous.ends[claim.ClaimID]
		_, told := o.previous.leases[claim.ClaimID]
		if ended && !told && o.previous.leasesUntold[claim.ClaimID] < maxLeasesUntold {
			claims = append(claims, claim)
		}
	}
	return claims
}

// unansweredClaims returns the claims of which it is not known that they have ended, and those of their witnesses that may
// still vouch for them.
func (o *Owner) unansweredClaims() (claims []jobs.Owner, witnesses []jobs.Witness) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, claim := range o.previous.claims.Owners {
		if _, ended := o.previous.ends[claim.ClaimID]; ended {
			continue
		}
		claims = append(claims, claim)
		for _, witness := range claim.Witnesses {
			if _, stopped := o.previous.vouchedUntil[witness]; !stopped && !slices.Contains(witnesses, witness) {
				witnesses = append(witnesses, witness)
			}
		}
	}
	return claims, witnesses
}

// askPreviousOwner asks the daemon of a previous owner since when this has ended.
func (o *Owner) askPreviousOwner(ctx context.Context, claim jobs.Owner) {
	end := o.cells.askClaimEnd(ctx, o.cell, claim)
	if end == nil {
		return
	}
	at := o.config.Clock.Read().Add(-end.Ago.Duration())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previous.ends[claim.ClaimID] = at
	o.recordLapse()
}

// askForLeases asks the daemon of a previous owner that has ended until when the leases last that this had granted. They
// are counted from the answer, so that no clocks of different VMs are compared, and they last longer if it comes late.
func (o *Owner) askForLeases(ctx context.Context, claim jobs.Owner) {
	leases, isAnswered := o.cells.askClaimLeases(ctx, o.cell, claim)
	if !isAnswered {
		return
	}
	answered := o.config.Clock.Read()
	o.mu.Lock()
	defer o.mu.Unlock()
	if leases == nil {
		o.previous.leasesUntold[claim.ClaimID]++
		return
	}
	until := map[jobs.WorkerID]time.Time{}
	for worker, remaining := range leases.Remaining {
		until[worker] = answered.Add(remaining.Duration())
	}
	o.previous.leases[claim.ClaimID] = until
	if last, ok := o.previous.lastLeases(); ok {
		o.core.PreviousLeasesEnd(last)
		wake(o.wakeDecide)
	}
}

// askToStop asks a witness of previous owners to stop to vouch for them. If another process answers than the one that is
// named, that one had ended before it began.
func (o *Owner) askToStop(ctx context.Context, witness jobs.Witness) {
	answer := o.cells.askWitness(ctx, o.cell, witness, jobs.WitnessCall{Epoch: o.epoch, Stop: true})
	if answer == nil {
		return
	}
	at := o.config.Clock.Read().Add(-answer.Ago.Duration())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previous.vouchedUntil[witness] = at
	o.recordLapse()
}

// recordLapse tells the core what is known of the ends of the previous owners. The caller holds the mutex.
func (o *Owner) recordLapse() {
	times, ok := o.previous.lapse()
	if !ok || times == o.previous.told {
		return
	}
	o.previous.told = times
	message := "previous owners have ended"
	if times.fenced.IsZero() {
		o.core.PreviousOwnersEnded(times.ended)
	} else {
		o.core.PreviousOwnersFenced(times.fenced, times.ended)
		message = "previous owners have ended or have too few witnesses left"
	}
	o.config.Logger.Info(message, zap.String("cell", string(o.cell)), zap.Int("claims", len(o.previous.claims.Owners)),
		zap.Duration("ago", o.config.Clock.Since(latest(times.ended, times.fenced))))
	wake(o.wakeDecide)
}

// askClaimEnd asks the daemon that made a claim since when the claim has ended; nil: it has not, or that is not known.
func (c *Cells) askClaimEnd(ctx context.Context, cell jobs.CellName, claim jobs.Owner) *jobs.ClaimEnd {
	if claim.Daemon == c.config.Self && claim.Address == c.config.Address {
		return c.endClaim(cell, claim.ClaimID)
	}
	answer, _ := c.askPrevious(ctx, claim, jobs.Query{Cell: cell, EndClaim: claim.ClaimID})
	if answer.ClaimEnd == nil || answer.ClaimEnd.Daemon != claim.Daemon { // another VM may have the address now
		return nil
	}
	return answer.ClaimEnd
}

// askClaimLeases asks the daemon that made a claim which has ended for the leases, and reports whether it has answered;
// nil: the leases are not known.
func (c *Cells) askClaimLeases(ctx context.Context, cell jobs.CellName, claim jobs.Owner) (leases *jobs.ClaimLeases, isAnswered bool) {
	if claim.Daemon == c.config.Self && claim.Address == c.config.Address {
		return c.claimLeases(claim.ClaimID), true
	}
	answer, isAnswered := c.askPrevious(ctx, claim, jobs.Query{Cell: cell, ClaimLeases: claim.ClaimID})
	if answer.ClaimLeases == nil || answer.ClaimLeases.Daemon != claim.Daemon {
		return nil, isAnswered
	}
	return answer.ClaimLeases, true
}

// askPrevious sends a query to the daemon of a previous owner, and reports whether it has answered.
func (c *Cells) askPrevious(ctx context.Context, claim jobs.Owner, query jobs.Query) (answer jobs.Answer, isAnswered bool) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	answer, err := c.config.Peers.Jobs(ctx, claim.Address, query)
	if err != nil {
		c.config.Logger.Debug("daemon of a previous owner does not answer", append(log.Err(err), zap.String("cell", string(query.Cell)),
			zap.String("daemon", claim.Daemon))...)
		return jobs.Answer{}, false
	}
	return answer, true
}

// forgetPreviousClaims removes the claims of previous owners from the stored list once all their runs are over.
func (o *Owner) forgetPreviousClaims(ctx context.Context) {
	if o.previous.forgotten || !o.previousOwnersAreOver() {
		return
	}
	if !o.storeClaims(ctx, jobs.Claims{Owners: []jobs.Owner{o.claim}}) {
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
