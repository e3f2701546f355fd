// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// seededScripts says which scripts a test plays that plays those of fixed seeds, by flags of its own.
type seededScripts struct {
	count *int // in each scenario
	first *int // seed
}

// newSeededScripts returns the flags of a test: its name for the number of scripts, and with "-first" for the first seed.
func newSeededScripts(name, scripts string, count int) seededScripts {
	return seededScripts{
		count: flag.Int(name, count, "number of scripts of "+scripts+" to play in each scenario"),
		first: flag.Int(name+"-first", 0, "seed of the first of them"),
	}
}

// play plays the scripts in a scenario.
func (s seededScripts) play(t *testing.T, name string, in scenario, draw func(*rapid.T) scriptStep) {
	scripts := rapid.SliceOfN(rapid.Custom(draw), 5, 40)
	for seed := *s.first; seed < *s.first+*s.count; seed++ {
		t.Run(fmt.Sprint(name, ", ", seed), func(t *testing.T) {
			require.Empty(t, runScript(t, scripts.Example(seed), in))
		})
	}
}
