// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestEndSoonAfterTheWitnessesLeftCounts guards against a wait that is half a second longer than what is known: leases last a
// lease after an end, and a lease and the allowance after the witnesses last vouched, so that an end which follows within the
// allowance is the earlier bound.
func TestEndSoonAfterTheWitnessesLeftCounts(t *testing.T) {
	begin := time.Now()
	witness := jobs.Witness{Daemon: "w", Address: "a", Process: "p"}
	p := newPreviousOwners(jobs.Claims{Owners: []jobs.Owner{{ClaimID: "c", Witnesses: []jobs.Witness{witness}}}})
	p.vouchedUntil[witness] = begin
	p.ends["c"] = begin.Add(80 * time.Millisecond)
	times, ok := p.lapse()
	require.True(t, ok)
	require.Equal(t, previousLapse{ended: begin.Add(80 * time.Millisecond)}, times)
}
