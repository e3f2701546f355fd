// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"testing"

	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
)

// drawUse draws a use of some workers.
func drawUse(rt *rapid.T, label string) Use {
	draw := func(most int) models.Resources {
		return models.Resources{CPU: models.MilliCPU(rapid.IntRange(0, most).Draw(rt, label)), Memory: models.MiB(rapid.IntRange(0, most).Draw(rt, label))}
	}
	return Use{Used: draw(1000), Present: draw(1000)}
}

// TestUseWhereBelowRaisesNoShare guards against workers which callers may leave out or count, and which make an owner count more as in use
// than without them, or than with them.
func TestUseWhereBelowRaisesNoShare(t *testing.T) {
	const share = 0.6
	rapid.Check(t, func(rt *rapid.T) {
		open, closed := drawUse(rt, "open"), drawUse(rt, "closed")
		if (open.IsBelow(share) || open.Add(closed).IsBelow(share)) && !open.Add(closed.WhereBelow(share)).IsBelow(share) {
			rt.Fatal("callers may find less in use")
		}
	})
}
