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
)

const (
	// witnessLoopInterval is how often an owner looks whether it has to ask its witnesses.
	witnessLoopInterval = 100 * time.Millisecond
	// witnessTimeout bounds a call to a witness, or to the daemon of a previous owner, so that a VM without power does
	// not delay the next round of calls for long.
	witnessTimeout = 300 * time.Millisecond
)

// witnessLoop asks the witnesses of the claim to vouch for it whenever the core needs them, until ctx ends.
func (o *Owner) witnessLoop(ctx context.Context) {
	ticker := time.NewTicker(witnessLoopInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		o.mu.Lock()
		asked := o.core.WitnessesToAsk(o.config.Clock.Now())
		o.mu.Unlock()
		o.askAllToVouch(ctx, asked)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// askToVouch asks a witness to vouch for this owner, and reports whether it does. A witness that has stopped has heard of a
// later owner.
func (o *Owner) askToVouch(ctx context.Context, witness jobs.Witness) bool {
	sent := o.config.Clock.Read()
	o.config.Scope.Counter("witness_calls").Inc(1)
	answer := o.cells.askWitness(ctx, o.cell, witness, jobs.WitnessCall{Epoch: o.epoch})
	if answer == nil || answer.Process != witness.Process {
		return false
	}
	if !answer.Vouches {
		o.cells.dropOwner(o.cell, o, "a witness has been asked to stop by a later owner")
		return false
	}
	o.mu.Lock()
	o.core.Vouched(witness, sent)
	o.mu.Unlock()
	wake(o.wakeDecide)
	return true
}

// askAllToVouch asks witnesses to vouch for this owner at the same time, and returns those that do.
func (o *Owner) askAllToVouch(ctx context.Context, witnesses []jobs.Witness) []jobs.Witness {
	vouch := make([]bool, len(witnesses))
	var group conc.WaitGroup
	for n, witness := range witnesses {
		group.Go(func() { vouch[n] = o.askToVouch(ctx, witness) })
	}
	group.Wait()
	var vouching []jobs.Witness
	for n, witness := range witnesses {
		if vouch[n] {
			vouching = append(vouching, witness)
		}
	}
	return vouching
}

// askWitness calls the daemon of a witness, which may be this one; nil: the daemon has not answered.
func (c *Cells) askWitness(ctx context.Context, cell jobs.CellName, witness jobs.Witness, call jobs.WitnessCall) *jobs.WitnessAnswer {
	if witness.Daemon == c.config.Self && witness.Address == c.config.Address {
		return c.answerAsWitness(cell, call)
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	answer, err := c.config.Peers.Jobs(ctx, witness.Address, jobs.Query{Cell: cell, Witness: &call})
	if err != nil {
		c.config.Logger.Debug("witness does not answer", append(log.Err(err), zap.String("cell", string(cell)), zap.String("daemon", witness.Daemon))...)
		return nil
	}
	if answer.Witness == nil || answer.Witness.Daemon != witness.Daemon || answer.Witness.Process == "" { // another VM may have the address now
		return nil
	}
	return answer.Witness
}

// registrations are the daemons as the store named them at a time.
type registrations struct {
	daemons []jobs.Daemon
	readAt  time.Time
}

// daemonsSince returns the daemons that are registered, as read at the given time or later.
func (c *Cells) daemonsSince(ctx context.Context, since time.Time) ([]jobs.Daemon, error) {
	c.mu.Lock()
	read := c.daemons
	c.mu.Unlock()
	if !read.readAt.IsZero() && !read.readAt.Before(since) {
		return read.daemons, nil
	}
	daemons, err := c.registeredDaemons(ctx)
	if ctx.Err() == nil { // a read that was cut short tells nothing about the store
		c.health.record(err)
	}
	return daemons, err
}

// findWitnesses returns the witnesses of a claim that this daemon is about to make. A claim that has none, because the store
// answers late, is proved without any until renewWitnesses finds some. Claims that follow each other share a read.
func (c *Cells) findWitnesses(ctx context.Context) []jobs.Witness {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	daemons, err := c.daemonsSince(ctx, c.config.Clock.Now().Add(-claimInterval))
	if err != nil {
		c.config.Logger.Debug("claim is made without witnesses", log.Err(err)...)
		return nil
	}
	return c.chooseWitnesses(nil, daemons, nil)
}

// chooseWitnesses returns the witnesses of a claim: the present ones that are registered now, or were at the check before,
// and other registered processes, beginning with the daemon whose id follows this daemon's.
func (c *Cells) chooseWitnesses(present []jobs.Witness, registered, before []jobs.Daemon) []jobs.Witness {
	var chosen []jobs.Witness
	for _, witness := range present {
		if isRegistered(witness, registered) || isRegistered(witness, before) && !hasDaemon(witness.Daemon, registered) {
			chosen = append(chosen, witness)
		}
	}
	others := slices.DeleteFunc(slices.Clone(registered), func(d jobs.Daemon) bool {
		known := slices.ContainsFunc(chosen, func(w jobs.Witness) bool { return w.Daemon == d.ID })
		return d.ID == c.config.Self || d.Process == "" || d.Address == "" || known
	})
	slices.SortFunc(others, func(a, b jobs.Daemon) int { return compareAfter(c.config.Self, a.ID, b.ID) })
	for _, d := range others[:min(len(others), jobs.MaxWitnesses-len(chosen))] {
		chosen = append(chosen, jobs.Witness{Daemon: d.ID, Address: d.Address, Process: d.Process})
	}
	return chosen
}

// compareAfter compares two ids in the circular order that begins after an id.
func compareAfter(id, a, b string) int {
	switch afterA, afterB := a > id, b > id; {
	case afterA == afterB && a < b, afterA && !afterB:
		return -1
	case a == b:
		return 0
	default:
		return 1
	}
}

func isRegistered(witness jobs.Witness, daemons []jobs.Daemon) bool {
	return slices.ContainsFunc(daemons, func(d jobs.Daemon) bool { return d.ID == witness.Daemon && d.Process == witness.Process })
}

func hasDaemon(id string, daemons []jobs.Daemon) bool {
	return slices.ContainsFunc(daemons, func(d jobs.Daemon) bool { return d.ID == id })
}

const (
	// firstWitnessCheck is how long after its takeover an owner first compares its witnesses with the registered daemons.
	firstWitnessCheck = 2 * time.Second
	// earlyWitnessCheck is how often it does so before, while its claim has no witnesses: an outage of the store ends with a
	// claim before other daemons are registered again.
	earlyWitnessCheck = 200 * time.Millisecond
	// witnessCheckInterval is how often it does so later.
	witnessCheckInterval = 10 * time.Second
)

// witnessCheck is what an owner remembers of its comparisons of its witnesses with the registered daemons.
type witnessCheck struct {
	at      time.Time // of the last one
	daemons []jobs.Daemon
	earlyAt time.Time // of the last one before firstWitnessCheck
}

// renewWitnesses names other witnesses in the stored list of claims when daemons have come, have gone or have another
// process, or when one of those that are named has not answered for long. Only those are named that vouch for this owner
// now; if there are none, its ownership is proved without any. Until it is known that the list is stored, both the former
// and the new witnesses have to vouch.
func (o *Owner) renewWitnesses(ctx context.Context) {
	if !o.cells.health.available() {
		return
	}
	now := o.config.Clock.Now()
	o.mu.Lock()
	unresolved, absent := o.core.WitnessesUnresolved(), o.core.WitnessesAbsent(now)
	o.mu.Unlock()
	candidates := o.claim.Witnesses
	if !unresolved && !absent {
		registered, ok := o.registeredWitnesses(ctx, now)
		if !ok {
			return
		}
		candidates = registered
	}
	vouching := o.askAllToVouch(ctx, candidates)
	if slices.Equal(vouching, o.claim.Witnesses) && !unresolved {
		return
	}
	if o.storeWitnesses(ctx, vouching) && absent {
		o.witnessCheck.at = time.Time{} // other daemons may vouch
	}
}

// registeredWitnesses returns the witnesses that the claim would have by the registered daemons; false: they are not to be
// compared yet, or not known.
func (o *Owner) registeredWitnesses(ctx context.Context, now time.Time) ([]jobs.Witness, bool) {
	check := &o.witnessCheck
	if now.Sub(o.takenAt) < firstWitnessCheck && len(o.claim.Witnesses) == 0 {
		return o.earlyWitnesses(ctx, now)
	}
	if now.Sub(o.takenAt) < firstWitnessCheck || !check.at.IsZero() && now.Sub(check.at) < witnessCheckInterval {
		return nil, false
	}
	daemons, err := o.registeredDaemons(ctx, now.Add(-firstWitnessCheck))
	if err != nil {
		return nil, false
	}
	witnesses := o.cells.chooseWitnesses(o.claim.Witnesses, daemons, check.daemons)
	check.at, check.daemons = now, daemons
	return witnesses, true
}

// earlyWitnesses returns the witnesses of a claim that had found none; false: they are not to be looked for yet, there are
// still none, or they are not known.
func (o *Owner) earlyWitnesses(ctx context.Context, now time.Time) ([]jobs.Witness, bool) {
	if now.Sub(latest(o.takenAt, o.witnessCheck.earlyAt)) < earlyWitnessCheck {
		return nil, false
	}
	o.witnessCheck.earlyAt = now
	daemons, err := o.registeredDaemons(ctx, now.Add(-earlyWitnessCheck))
	if err != nil {
		return nil, false
	}
	witnesses := o.cells.chooseWitnesses(nil, daemons, nil)
	return witnesses, len(witnesses) > 0
}

// storeWitnesses names the witnesses of the claim in the stored list, and reports whether that is known to be done.
func (o *Owner) storeWitnesses(ctx context.Context, witnesses []jobs.Witness) bool {
	claim := o.claim
	claim.Witnesses = witnesses
	claims := jobs.Claims{Owners: []jobs.Owner{claim}}
	if !o.previous.forgotten {
		claims = o.previous.claims.With(claim)
	}
	if !o.storeClaims(ctx, claims) {
		return false
	}
	o.config.Logger.Info("witnesses are renewed", zap.String("cell", string(o.cell)), zap.Int("witnesses", len(witnesses)))
	return true
}

// registeredDaemons returns the daemons that are registered, as read at the given time or later.
func (o *Owner) registeredDaemons(ctx context.Context, since time.Time) ([]jobs.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return o.cells.daemonsSince(ctx, since)
}

// storeClaims stores the list of claims, whose last one is this owner's, and reports whether that is known to be done.
func (o *Owner) storeClaims(ctx context.Context, claims jobs.Claims) bool {
	witnesses := claims.Owners[len(claims.Owners)-1].Witnesses
	if !o.nameWitnesses(ctx, witnesses) {
		return false
	}
	txn, err := putTxn(claimsKey(o.cell), claims)
	if err == nil {
		_, err = o.commitJournaled(ctx, txn)
		o.cells.health.record(err)
	}
	if err != nil {
		if !isOutage(err) {
			o.config.Logger.Warn("list of claims is not stored", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		}
		return false
	}
	o.claim.Witnesses = witnesses
	o.mu.Lock()
	o.core.WitnessesStored(witnesses)
	o.mu.Unlock()
	return true
}

// nameWitnesses lets proofs of ownership count only as far as these witnesses vouch, too, and reports whether they have
// vouched after each proof so far: only then may the stored list name them.
func (o *Owner) nameWitnesses(ctx context.Context, witnesses []jobs.Witness) bool {
	covered := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.core.NameWitnesses(witnesses)
		return o.core.WitnessesCover(witnesses)
	}
	if covered() {
		return true
	}
	o.askAllToVouch(ctx, witnesses)
	return covered()
}
