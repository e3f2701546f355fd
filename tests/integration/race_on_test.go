// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build race

package integration

import (
	"testing"

	"rillsail.example/rillsail/tests/soak"
)

// buildFlags builds the programs with the race detector if the tests are built with it.
var buildFlags = []string{"-race"}

// TestSoakWithRaceDetector runs one seed; a data race that the detector reports in a daemon is a breach.
func TestSoakWithRaceDetector(t *testing.T) {
	for _, seed := range soakSeeds(t)[:1] {
		runSoak(t, soak.Config{Seed: seed})
	}
}
