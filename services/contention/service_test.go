// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFactorsAreLearnedByPairs(t *testing.T) {
	m := NewModel()
	heavy, light := m.Index("heavy"), m.Index("light")
	f := m.Service("serving")
	for n := range 200 {
		shares := []float64{0.1, 0.1}
		shares[n%2] = 0
		expected, variance, gain := f.predictAdded(shares)
		f.correct(1.4*shares[heavy]+0.1*shares[light]-expected, variance+reportedTailStdDev*reportedTailStdDev, gain)
	}
	m.combine()
	require.InDelta(t, 1.4, m.Service("serving").Factor(heavy), 0.1)
	require.InDelta(t, 0.1, m.Service("serving").Factor(light), 0.1)
	require.InDelta(t, priorFactor, m.Service("other").Factor(heavy), 1e-9, "factors are learned per pair: another serving image keeps the prior")
}
