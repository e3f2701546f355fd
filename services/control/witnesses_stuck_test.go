// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// vouchingPeers answers calls to witnesses at the addresses that it names, as those processes.
type vouchingPeers struct {
	Peers
	processes map[string]jobs.ProcessID
}

func (p *vouchingPeers) Jobs(_ context.Context, address string, query jobs.Query) (jobs.Answer, error) {
	process, ok := p.processes[address]
	if !ok || query.Witness == nil {
		return jobs.Answer{}, fmt.Errorf("%s does not answer", address)
	}
	return jobs.Answer{Witness: &jobs.WitnessAnswer{Daemon: address, Process: process, Vouches: true}}, nil
}

// TestOwnerDoesWithoutWitnessesOfAListThatWasNotStored guards against an owner that gives no order ever again while it has a
// store and workers: it names new witnesses, the store takes the list not at once, and the new witnesses are lost.
func TestOwnerDoesWithoutWitnessesOfAListThatWasNotStored(t *testing.T) {
	former := jobs.Witness{Daemon: "former", Address: "former", Process: "p"}
	next := []jobs.Witness{{Daemon: "n1", Address: "n1", Process: "p"}, {Daemon: "n2", Address: "n2", Process: "p"}, {Daemon: "n3", Address: "n3", Process: "p"}}
	for name, stored := range map[string][]jobs.Witness{"no former witnesses": nil, "a former witness that answers": {former}} {
		for outcome, answer := range map[string]error{"unknown": platform.ErrUnknownOutcome, "too many calls": platform.ErrRateLimited, "turned away": platform.ErrUnavailable} {
			t.Run(name+", "+outcome, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					o := newManualOwner(t)
					peers := &vouchingPeers{processes: map[string]jobs.ProcessID{"former": "p"}}
					o.cells.config.Peers = peers
					o.claim = jobs.Owner{Daemon: "daemon", Address: "a", ClaimID: "c", Witnesses: stored}
					o.previous.forgotten = true
					o.core.WitnessesStored(stored)
					o.core.Vouched(former, time.Now())

					o.withholdCommit(answer)
					claim := o.claim
					claim.Witnesses = append(append([]jobs.Witness(nil), stored...), next...)
					require.False(t, o.storeClaims(t.Context(), jobs.Claims{Owners: []jobs.Owner{claim}}))

					// The next ones do not vouch any more. The store answers.
					for range 40 {
						time.Sleep(100 * time.Millisecond)
						o.cells.health.record(nil)
						o.renewWitnesses(t.Context())
						for _, witness := range stored {
							o.askToVouch(t.Context(), witness)
						}
					}
					require.False(t, o.core.WitnessesAbsent(time.Now()), "the owner waits for witnesses that are lost")
				})
			})
		}
	}
}
