// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
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
