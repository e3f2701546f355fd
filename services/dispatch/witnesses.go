// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// Ownership is proved up to the time up to which more than a third of the claim's witnesses are known to have vouched for it,
// whether transactions or the workers' answers prove it (proof.go). A successor asks the witnesses to stop, and each of them
// tells when it last vouched. Once no more than a third may go on, no proof is later than the latest of these times: the
// successor learns when the owner was last heard of, although nobody answers for the owner itself. A claim without
// witnesses is proved by transactions and the workers alone; its successor can't use the witnesses either.

const (
	// witnessInterval is the time after which those witnesses are asked again that answered last: well within
	// leaseAllowance, so that leases have nearly their full length.
	witnessInterval = 300 * time.Millisecond
	// witnessesLateAfter is the time after which all witnesses are asked because too few have answered.
	witnessesLateAfter = 2 * witnessInterval
	// witnessesAbsentAfter is the time after which an owner does without the witnesses that have not answered, if the store
	// takes that: so long before the end of proofValidity that no orders wait.
	witnessesAbsentAfter = 3 * witnessInterval
	// witnessRoundInterval is how often all witnesses are asked, so that those that are gone are noticed.
	witnessRoundInterval = time.Second
	// witnessLostAfter is the time after which a single witness that has not answered is replaced.
	witnessLostAfter = 2*witnessRoundInterval + witnessInterval
)

// witnesses is what an owner knows of the witnesses of its claim.
type witnesses struct {
	// sets are the witnesses as the stored list of claims may name them: several sets while it is not known which of
	// them is stored. A successor may read any of them, so that each has to vouch.
	sets [][]jobs.Witness
	// vouchedAt is when the last call was sent that a witness answered by vouching.
	vouchedAt map[jobs.Witness]time.Time
	// vouchedSince is the latest time for which enough witnesses of each set have vouched after calls that were sent then or
	// later.
	vouchedSince time.Time
	roundAt      time.Time // when all witnesses were last asked
	// grantedOn is the latest proof of ownership on which a lease was granted.
	grantedOn time.Time
}

// NameWitnesses records that the stored list of claims may name these witnesses of this owner's claim from now on.
func (c *Core) NameWitnesses(witnesses []jobs.Witness) {
	w := &c.witnesses
	if slices.ContainsFunc(w.sets, func(set []jobs.Witness) bool { return slices.Equal(set, witnesses) }) {
		return
	}
	w.sets = append(w.sets, slices.Clone(witnesses))
	w.update()
}

// WitnessesStored records that the stored list of claims names these witnesses of this owner's claim and no others.
func (c *Core) WitnessesStored(witnesses []jobs.Witness) {
	c.witnesses.sets = [][]jobs.Witness{slices.Clone(witnesses)}
	maps.DeleteFunc(c.witnesses.vouchedAt, func(w jobs.Witness, _ time.Time) bool { return !slices.Contains(witnesses, w) })
	c.witnesses.update()
}

// WitnessesUnresolved reports whether the stored list of claims may name one of several sets of witnesses.
func (c *Core) WitnessesUnresolved() bool { return len(c.witnesses.sets) > 1 }

// WitnessesCover reports whether witnesses that have been named have vouched after each proof on which leases were granted:
// a successor that reads their names counts the leases from when they last vouched.
func (c *Core) WitnessesCover(set []jobs.Witness) bool {
	return len(set) == 0 || !c.witnesses.vouchedSinceBy(set).Before(c.witnesses.grantedOn)
}

// Vouched records that a witness has vouched for this owner when it answered a call that was sent at the given time.
func (c *Core) Vouched(witness jobs.Witness, sent time.Time) {
	w := &c.witnesses
	if w.vouchedAt == nil {
		w.vouchedAt = map[jobs.Witness]time.Time{}
	}
	w.vouchedAt[witness] = latest(w.vouchedAt[witness], sent)
	w.update()
}

// WitnessesToAsk returns the witnesses that are to be asked now: those that answered last while they suffice, and
// otherwise all. Each witnessRoundInterval it returns all.
func (c *Core) WitnessesToAsk(now time.Time) []jobs.Witness {
	w := &c.witnesses
	round := now.Sub(w.roundAt) >= witnessRoundInterval
	if round {
		w.roundAt = now
	}
	var asked []jobs.Witness
	for _, set := range w.sets {
		toAsk := set
		if !round {
			toAsk = w.toAsk(set, now)
		}
		for _, witness := range toAsk {
			if !slices.Contains(asked, witness) {
				asked = append(asked, witness)
			}
		}
	}
	return asked
}

// WitnessesAbsent reports whether too few witnesses have answered, or one of them has not, for so long that the owner should
// name others.
func (c *Core) WitnessesAbsent(now time.Time) bool {
	w := &c.witnesses
	unheard := func(since time.Time) time.Duration { return now.Sub(latest(since, c.config.Taken)) }
	lost := func(witness jobs.Witness) bool { return unheard(w.vouchedAt[witness]) > witnessLostAfter }
	return w.named() && (unheard(w.vouchedSince) > witnessesAbsentAfter ||
		slices.ContainsFunc(w.sets, func(set []jobs.Witness) bool { return slices.ContainsFunc(set, lost) }))
}

// named reports whether the stored list of claims may name any witnesses.
func (w *witnesses) named() bool {
	return slices.ContainsFunc(w.sets, func(set []jobs.Witness) bool { return len(set) > 0 })
}

// firstAsked reports whether enough witnesses have not vouched yet for the first time.
func (w *witnesses) firstAsked() bool { return w.named() && w.vouchedSince.IsZero() }

// toAsk returns those of one set of witnesses that are to be asked now.
func (w *witnesses) toAsk(set []jobs.Witness, now time.Time) []jobs.Witness {
	if len(set) == 0 {
		return nil
	}
	sorted := w.latestFirst(set)
	sufficient := sorted[:vouchingWitnesses(len(set))]
	switch age := now.Sub(w.vouchedAt[sufficient[len(sufficient)-1]]); {
	case age < witnessInterval:
		return nil
	case age < witnessesLateAfter:
		return sufficient
	default:
		return sorted
	}
}

// latestFirst returns witnesses in the order in which they last vouched, the latest one first.
func (w *witnesses) latestFirst(set []jobs.Witness) []jobs.Witness {
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, func(a, b jobs.Witness) int { return w.vouchedAt[b].Compare(w.vouchedAt[a]) })
	return sorted
}

// update computes vouchedSince.
func (w *witnesses) update() {
	w.vouchedSince = time.Time{}
	for n, set := range slices.DeleteFunc(slices.Clone(w.sets), func(set []jobs.Witness) bool { return len(set) == 0 }) {
		if since := w.vouchedSinceBy(set); n == 0 || since.Before(w.vouchedSince) {
			w.vouchedSince = since
		}
	}
}

// vouchedSinceBy returns the latest time for which enough witnesses of a set have vouched after calls that were sent then or
// later.
func (w *witnesses) vouchedSinceBy(set []jobs.Witness) time.Time {
	return w.vouchedAt[w.latestFirst(set)[vouchingWitnesses(len(set))-1]]
}

// vouchingWitnesses returns how many witnesses of a claim have to vouch for it: more than a third.
func vouchingWitnesses(witnesses int) int { return witnesses/3 + 1 }

// WitnessesToStop returns how many witnesses of a claim have to stop vouching, so that too few are left to prove its
// ownership.
func WitnessesToStop(witnesses int) int { return witnesses - vouchingWitnesses(witnesses) + 1 }
