// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// maxClaims is how many claims a list of claims names.
const maxClaims = 16

// Claims is the stored list of the claims of a cell under which runs may exist that the latest owner has not found yet.
// Each claim adds itself in the transaction that makes it. An owner removes the claims before its own once their runs
// are over.
type Claims struct {
	Owners []Owner `json:"owners"` // in the order of their claims
	// Incomplete says that there may have been claims that the list does not name.
	Incomplete bool `json:"incomplete,omitempty"`
}

// Check rejects a list with too many claims or an invalid one.
func (c Claims) Check() error {
	if len(c.Owners) > maxClaims {
		return errors.Newf("list has %d claims, %d are allowed", len(c.Owners), maxClaims)
	}
	for _, owner := range c.Owners {
		if err := owner.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Names reports whether a claim of the list is by a daemon.
func (c Claims) Names(daemon string) bool {
	return slices.ContainsFunc(c.Owners, func(owner Owner) bool { return owner.Daemon == daemon })
}

// With returns the list with one more claim. A list that is full becomes incomplete.
func (c Claims) With(claim Owner) Claims {
	owners := append(slices.Clone(c.Owners), claim)
	dropped := max(0, len(owners)-maxClaims)
	return Claims{Owners: owners[dropped:], Incomplete: c.Incomplete || dropped > 0}
}

// ClaimEnd is a daemon's answer that no owner runs under a claim of its own and that none will.
type ClaimEnd struct {
	Daemon string `json:"daemon"`
	// Ago is how long before the answer the last order under the claim was given, at least.
	Ago models.Milli `json:"ago_ms"`
}

// ClaimLeases is a daemon's answer about the leases that were granted under a claim of its own, which has ended.
type ClaimLeases struct {
	Daemon string `json:"daemon"`
	// Remaining is how long after the answer these leases last, and the runs under them, for each worker on which any do. On
	// all other workers they are over, or there were none.
	Remaining map[WorkerID]models.Milli `json:"lease_left_ms,omitempty"`
}

// maxLeaseRemaining is longer than any lease; a longer one would count as over where it overflows a duration.
const maxLeaseRemaining models.Milli = 3_600_000

// Check rejects leases that would be over before the answer, and such as no worker grants.
func (c ClaimLeases) Check() error {
	for worker, remaining := range c.Remaining {
		if remaining < 0 || remaining > maxLeaseRemaining {
			return errors.Newf("leases of worker %q last for %d ms", worker, remaining)
		}
	}
	return nil
}
