// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"maps"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// The owner of a cell asks the daemons of earlier owners since when these have given no orders any more: see
// previousOwners. A daemon answers for the claims of its own VM. A process that did not make a claim answers for the
// process before it, which had ended before this one listened at the same address.

// claimMemory is how long a daemon remembers the end of a claim and that a claim may not be run: longer than a
// transaction can be in flight, and than leases last.
const claimMemory = 10 * time.Minute

// claimEnds is what a daemon knows of the claims that its process has made. The mutex of Cells protects it.
type claimEnds struct {
	beganAt time.Time            // when this process listened at its address; zero: it may not yet
	running map[string]*Owner    // by claim id; an owner that has lost its cell stays until its loops have ended
	ended   map[string]time.Time // when the owner under a claim had ended
	// leases are those granted under the claims in ended: until when the runs under them last.
	leases map[string]map[jobs.WorkerID]time.Time
	barred map[string]time.Time // when a later owner asked to end the claim; it must not be run from then on
}

func newClaimEnds() claimEnds {
	return claimEnds{running: map[string]*Owner{}, ended: map[string]time.Time{}, leases: map[string]map[jobs.WorkerID]time.Time{}, barred: map[string]time.Time{}}
}

// begin records that an owner runs under a claim. It reports false if the claim is barred.
func (c *claimEnds) begin(claim string, owner *Owner) bool {
	if _, barred := c.barred[claim]; barred {
		return false
	}
	c.running[claim] = owner
	return true
}

// end records that an owner has ended, and the leases that it had granted.
func (c *claimEnds) end(claim string, leases map[jobs.WorkerID]time.Time, now time.Time) {
	delete(c.running, claim)
	c.ended[claim], c.leases[claim] = now, leases
	forgetOld(c.ended, now)
	maps.DeleteFunc(c.leases, func(claim string, _ map[jobs.WorkerID]time.Time) bool {
		_, known := c.ended[claim]
		return !known
	})
}

// bar records that a claim must not be run from now on, and reports whether that is new.
func (c *claimEnds) bar(claim string, now time.Time) bool {
	_, known := c.barred[claim]
	c.barred[claim] = now
	forgetOld(c.barred, now)
	return !known
}

// endedAt returns when the last order under a barred claim had been given; false: its owner may not have ended yet.
func (c *claimEnds) endedAt(claim string) (time.Time, bool) {
	if c.running[claim] != nil {
		return time.Time{}, false
	}
	if at, ok := c.ended[claim]; ok {
		return at, true
	}
	return c.beganAt, !c.beganAt.IsZero()
}

// forgetOld removes the entries that are older than claimMemory.
func forgetOld[K comparable](entries map[K]time.Time, now time.Time) {
	maps.DeleteFunc(entries, func(_ K, at time.Time) bool { return now.Sub(at) > claimMemory })
}

// endClaim ends a claim of this daemon at the word of a later owner of the cell, and returns since when it has ended;
// nil: not yet.
func (c *Cells) endClaim(cell jobs.CellName, claim string) *jobs.ClaimEnd {
	c.mu.Lock()
	now := c.config.Clock.Now()
	first := c.claimEnds.bar(claim, now)
	running := c.claimEnds.running[claim]
	at, ended := c.claimEnds.endedAt(claim)
	c.mu.Unlock()
	if first && running != nil {
		c.dropOwner(cell, running, "a later owner of the cell has asked to end")
	}
	if !ended {
		return nil
	}
	return &jobs.ClaimEnd{Daemon: c.config.Self, Ago: models.MilliOf(now.Sub(at))}
}

// claimLeases returns how long the leases still last that were granted under a claim of this daemon; nil: the claim has not
// ended, or this process did not run it.
func (c *Cells) claimLeases(claim string) *jobs.ClaimLeases {
	c.mu.Lock()
	defer c.mu.Unlock()
	leases, known := c.claimEnds.leases[claim]
	if !known {
		return nil
	}
	answer := &jobs.ClaimLeases{Daemon: c.config.Self, Remaining: map[jobs.WorkerID]models.Milli{}}
	now := c.config.Clock.Now()
	for worker, until := range leases {
		if remaining := until.Sub(now); remaining > 0 {
			answer.Remaining[worker] = models.MilliOf(remaining) + 1 // rounded up
		}
	}
	return answer
}
