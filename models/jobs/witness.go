// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// ProcessID identifies a process of a daemon. Each process draws a new one.
type ProcessID string

// Witness is the process of another daemon that vouches for a claim until a later owner of the cell asks it to stop.
// Nothing proves ownership to an owner that has witnesses but up to the time at which enough of them vouched for it.
type Witness struct {
	Daemon  string    `json:"daemon"`
	Address string    `json:"address"` // at which other daemons call it
	Process ProcessID `json:"process"`
}

// Check rejects a witness that nobody can call or recognize.
func (w Witness) Check() error {
	if w.Daemon == "" || w.Address == "" || w.Process == "" {
		return errors.Newf("witness %q has no daemon, address or process", w.Daemon)
	}
	return nil
}

// MaxWitnesses is how many witnesses a claim names. More of them cost a successor more calls.
const MaxWitnesses = 8

// checkWitnesses rejects too many witnesses, an invalid one, or a daemon that is named twice.
func checkWitnesses(witnesses []Witness) error {
	if len(witnesses) > MaxWitnesses {
		return errors.Newf("claim has %d witnesses, %d are allowed", len(witnesses), MaxWitnesses)
	}
	named := map[string]bool{}
	for _, w := range witnesses {
		if err := w.Check(); err != nil {
			return err
		}
		if named[w.Daemon] {
			return errors.Newf("daemon %q is a witness twice", w.Daemon)
		}
		named[w.Daemon] = true
	}
	return nil
}

// WitnessCall asks a daemon, as a witness, about the owners of a cell.
type WitnessCall struct {
	// Epoch is that of the owner that asks.
	Epoch Epoch `json:"epoch"`
	// Stop asks the witness to vouch for no earlier owner of the cell from now on; false: to vouch for the one that asks.
	Stop bool `json:"stop,omitempty"`
}

// Check rejects a call without an epoch.
func (c WitnessCall) Check() error {
	if c.Epoch == 0 {
		return errors.New("call to a witness has no epoch")
	}
	return nil
}

// WitnessAnswer is a daemon's answer to a WitnessCall.
type WitnessAnswer struct {
	Daemon  string    `json:"daemon"`
	Process ProcessID `json:"process"` // that answers
	// Vouches says that no later owner had asked the process to stop. It holds for an earlier time as well, and so for
	// the time at which the call was sent.
	Vouches bool `json:"vouches,omitempty"`
	// Ago is how long before the answer to a call to stop the process last vouched for an earlier owner, at least. It is
	// the time since the process began if it never did.
	Ago models.Milli `json:"ago_ms,omitempty"`
}
