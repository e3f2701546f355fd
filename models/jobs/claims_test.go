// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

// TestFullListOfClaimsIsIncomplete guards against a list that drops a claim without a trace: its runs would count as over.
func TestFullListOfClaimsIsIncomplete(t *testing.T) {
	var claims Claims
	for n := range maxClaims {
		claims = claims.With(Owner{Daemon: "d", Address: "a", ClaimID: fmt.Sprint(n)})
		require.False(t, claims.Incomplete)
	}
	claims = claims.With(Owner{Daemon: "d", Address: "a", ClaimID: "last"})
	require.True(t, claims.Incomplete)
	require.Equal(t, "last", claims.Owners[maxClaims-1].ClaimID)
	require.NoError(t, claims.Check())
	require.True(t, claims.With(Owner{ClaimID: "next"}).Incomplete)
	require.Error(t, claims.With(Owner{ClaimID: "no address"}).Check())
}

// TestToldLeasesAreBounded guards against an answer about leases whose times overflow, so that leases which last would count
// as over.
func TestToldLeasesAreBounded(t *testing.T) {
	for remaining, valid := range map[models.Milli]bool{0: true, 4500: true, -1: false, math.MaxInt64: false} {
		err := ClaimLeases{Remaining: map[WorkerID]models.Milli{"w": remaining}}.Check()
		require.Equal(t, valid, err == nil, "%d ms", remaining)
	}
}
