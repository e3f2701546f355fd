// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"rillsail.example/rillsail/models/jobs"
)

// vouching is what a daemon remembers as a witness of other daemons' claims. It never forgets that it has stopped: an owner
// that stood still may ask at any time later. The mutex of Cells protects it.
type vouching struct {
	process jobs.ProcessID
	// stoppedBefore is the epoch of the latest owner of a cell that has asked to vouch for no owner before it.
	stoppedBefore map[jobs.CellName]jobs.Epoch
}

func newVouching() vouching { return vouching{stoppedBefore: map[jobs.CellName]jobs.Epoch{}} }

// answer answers an owner's call to a witness.
func (v *vouching) answer(cell jobs.CellName, call jobs.WitnessCall) (vouches bool) {
	if call.Stop {
		v.stoppedBefore[cell] = max(v.stoppedBefore[cell], call.Epoch)
	}
	return call.Epoch >= v.stoppedBefore[cell]
}

// answerAsWitness answers an owner's call to this process as a witness; nil: the process before this one may still run.
func (c *Cells) answerAsWitness(cell jobs.CellName, call jobs.WitnessCall) *jobs.WitnessAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimEnds.beganAt.IsZero() {
		return nil
	}
	vouches := c.vouching.answer(cell, call)
	return &jobs.WitnessAnswer{Daemon: c.config.Self, Process: c.vouching.process, Vouches: vouches}
}

// processID returns the id of this process.
func (c *Cells) processID() jobs.ProcessID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vouching.process
}
