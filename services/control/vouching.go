// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// vouching is what a daemon remembers as a witness of other daemons' claims. It never forgets that it has stopped: an owner
// that stood still may ask at any time later. The mutex of Cells protects it.
type vouching struct {
	process jobs.ProcessID
	// stoppedBefore is the epoch of the latest owner of a cell that has asked to vouch for no owner before it.
	stoppedBefore map[jobs.CellName]jobs.Epoch
	// vouchedAt is when the process last vouched for an owner, within claimMemory.
	vouchedAt map[jobs.CellName]map[jobs.Epoch]time.Time
}

func newVouching() vouching {
	return vouching{stoppedBefore: map[jobs.CellName]jobs.Epoch{}, vouchedAt: map[jobs.CellName]map[jobs.Epoch]time.Time{}}
}

// answer answers an owner's call to a witness.
func (v *vouching) answer(cell jobs.CellName, call jobs.WitnessCall, now time.Time) (vouches bool) {
	if call.Stop {
		v.stoppedBefore[cell] = max(v.stoppedBefore[cell], call.Epoch)
	}
	vouches = call.Epoch >= v.stoppedBefore[cell]
	if vouches && !call.Stop {
		v.recordVouch(cell, call.Epoch, now)
	}
	return vouches
}

func (v *vouching) recordVouch(cell jobs.CellName, epoch jobs.Epoch, now time.Time) {
	if v.vouchedAt[cell] == nil {
		v.vouchedAt[cell] = map[jobs.Epoch]time.Time{}
	}
	v.vouchedAt[cell][epoch] = now
	forgetOld(v.vouchedAt[cell], now)
}

// lastVouched returns when the process last vouched for an owner of a cell before the given one, or when it began.
func (v *vouching) lastVouched(cell jobs.CellName, before jobs.Epoch, began time.Time) time.Time {
	last := began
	for epoch, at := range v.vouchedAt[cell] {
		if epoch < before {
			last = latest(last, at)
		}
	}
	return last
}

// answerAsWitness answers an owner's call to this process as a witness; nil: the process before this one may still run.
func (c *Cells) answerAsWitness(cell jobs.CellName, call jobs.WitnessCall) *jobs.WitnessAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimEnds.beganAt.IsZero() {
		return nil
	}
	now := c.config.Clock.Read()
	answer := &jobs.WitnessAnswer{Daemon: c.config.Self, Process: c.vouching.process, Vouches: c.vouching.answer(cell, call, now)}
	if call.Stop {
		answer.Ago = models.MilliOf(now.Sub(c.vouching.lastVouched(cell, call.Epoch, c.claimEnds.beganAt)))
	}
	return answer
}

// processID returns the id of this process.
func (c *Cells) processID() jobs.ProcessID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vouching.process
}
