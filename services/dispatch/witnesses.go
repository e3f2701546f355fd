// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// The workers' answers prove ownership up to the time up to which more than a third of the claim's witnesses are known to
// have vouched for it (proof.go). A successor asks the witnesses to stop. Once no more than a third are left, the last proof
// is older than the last of their answers, whichever workers answer whom. A claim without witnesses is proved by the workers
// alone: its successor can't use the witnesses either.

const (
	// witnessAfter is the age of the last transaction from which the witnesses are asked. A store that answers proves
	// ownership more often.
	witnessAfter = proofRefreshAge + 300*time.Millisecond
	// witnessInterval is the time after which those witnesses are asked again that answered last.
	witnessInterval = 400 * time.Millisecond
	// witnessesLateAfter is the time after which all witnesses are asked because too few have answered.
	witnessesLateAfter = 2 * witnessInterval
)

// witnesses is what an owner knows of the witnesses of its claim.
type witnesses struct {
	// named are the witnesses as the stored list of claims may name them: several sets while it is not known which of
	// them is stored. A successor may read any of them, so that each has to vouch.
	named [][]jobs.Witness
	// vouchedAt is when the last call was sent that a witness answered by vouching.
	vouchedAt map[jobs.Witness]time.Time
}

// NameWitnesses records that the stored list of claims may name these witnesses of this owner's claim from now on.
func (c *Core) NameWitnesses(witnesses []jobs.Witness) {
	for _, named := range c.witnesses.named {
		if slices.Equal(named, witnesses) {
			return
		}
	}
	c.witnesses.named = append(c.witnesses.named, slices.Clone(witnesses))
}

// WitnessesStored records that the stored list of claims names these witnesses of this owner's claim and no others.
func (c *Core) WitnessesStored(witnesses []jobs.Witness) {
	c.witnesses.named = [][]jobs.Witness{slices.Clone(witnesses)}
}

// Vouched records that a witness has vouched for this owner when it answered a call that was sent at the given time.
func (c *Core) Vouched(witness jobs.Witness, sent time.Time) {
	if c.witnesses.vouchedAt == nil {
		c.witnesses.vouchedAt = map[jobs.Witness]time.Time{}
	}
	c.witnesses.vouchedAt[witness] = latest(c.witnesses.vouchedAt[witness], sent)
}

// WitnessesToAsk returns the witnesses that are to be asked now: none while transactions prove ownership, those that
// answered last while they suffice, and otherwise all.
func (c *Core) WitnessesToAsk(now time.Time) []jobs.Witness {
	var asked []jobs.Witness
	if now.Sub(c.provedAt) < witnessAfter {
		return nil
	}
	for _, named := range c.witnesses.named {
		for _, witness := range c.witnesses.toAsk(named, now) {
			if !slices.Contains(asked, witness) {
				asked = append(asked, witness)
			}
		}
	}
	return asked
}

// toAsk returns those of one set of witnesses that are to be asked now.
func (w *witnesses) toAsk(named []jobs.Witness, now time.Time) []jobs.Witness {
	if len(named) == 0 {
		return nil
	}
	sorted := slices.Clone(named)
	slices.SortStableFunc(sorted, func(a, b jobs.Witness) int { return w.vouchedAt[b].Compare(w.vouchedAt[a]) })
	sufficient := sorted[:vouchingWitnesses(len(named))]
	switch age := now.Sub(w.vouchedAt[sufficient[len(sufficient)-1]]); {
	case age < witnessInterval:
		return nil
	case age < witnessesLateAfter:
		return sufficient
	default:
		return sorted
	}
}

// vouchedSince returns the latest time for which enough witnesses have vouched after calls that were sent then or later;
// false: the claim has no witnesses.
func (w *witnesses) vouchedSince() (since time.Time, ok bool) {
	for _, named := range w.named {
		if len(named) == 0 {
			continue
		}
		sent := make([]time.Time, 0, len(named))
		for _, witness := range named {
			sent = append(sent, w.vouchedAt[witness])
		}
		slices.SortFunc(sent, time.Time.Compare)
		if at := sent[len(sent)-vouchingWitnesses(len(sent))]; !ok || at.Before(since) {
			since, ok = at, true
		}
	}
	return since, ok
}

// vouchingWitnesses returns how many witnesses of a claim have to vouch for it: more than a third.
func vouchingWitnesses(witnesses int) int { return witnesses/3 + 1 }

// WitnessesToStop returns how many witnesses of a claim have to stop vouching, so that too few are left to prove its
// ownership.
func WitnessesToStop(witnesses int) int { return witnesses - vouchingWitnesses(witnesses) + 1 }
