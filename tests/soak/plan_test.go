// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakeoversLeaveTheOtherFaultsOfASeed guards against seeds that no longer yield the faults for which they are kept.
func TestTakeoversLeaveTheOtherFaultsOfASeed(t *testing.T) {
	for seed := range uint64(50) {
		config := Config{Seed: seed, Length: 10 * time.Second, Daemons: 3, Workers: 8, Restarts: true, Cordons: true}
		without := newPlan(config).Faults
		config.Takeovers = true
		with := newPlan(config).Faults
		require.Equal(t, with, newPlan(config).Faults, "seed %d", seed)
		takeovers := drawTakeovers(seed, config.Length, config.Daemons, config.Workers)
		require.ElementsMatch(t, with, append(without, takeovers...), "seed %d", seed)
		require.LessOrEqual(t, countOf(takeovers, LoseWorker), config.Workers/goneOneIn, "seed %d", seed)
		require.Positive(t, countOf(takeovers, LoseWorker), "seed %d", seed)
	}
}

// countOf returns how many faults are of a kind.
func countOf(faults []Fault, kind Kind) int {
	n := 0
	for _, f := range faults {
		if f.Kind == kind {
			n++
		}
	}
	return n
}
