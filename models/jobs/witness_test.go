// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWitnessesAreChecked guards against a stored claim whose witnesses can't be counted or called.
func TestWitnessesAreChecked(t *testing.T) {
	owner := Owner{Daemon: "d", Address: "a", ClaimID: "c"}
	for n := range MaxWitnesses {
		owner.Witnesses = append(owner.Witnesses, Witness{Daemon: fmt.Sprint(n), Address: "a", Process: "p"})
		require.NoError(t, owner.Check())
	}
	require.Empty(t, owner.WithoutWitnesses().Witnesses)
	require.Len(t, owner.Witnesses, MaxWitnesses)

	owner.Witnesses[0].Daemon = owner.Witnesses[1].Daemon
	require.Error(t, owner.Check(), "a daemon is named twice")
	for _, invalid := range []Witness{{Address: "a", Process: "p"}, {Daemon: "w", Process: "p"}, {Daemon: "w", Address: "a"}} {
		owner.Witnesses = []Witness{invalid}
		require.Error(t, owner.Check())
	}
	require.Error(t, Query{Cell: "c", Witness: &WitnessCall{}}.Check(), "no epoch")
	require.NoError(t, Query{Cell: "c", Witness: &WitnessCall{Epoch: 1}}.Check())
}
