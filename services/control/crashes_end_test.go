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

var (
	crashesEndScripts = flag.Int("crashes-end", 25, "number of scripts of crashes that end to play in each scenario")
	crashesEndFirst   = flag.Int("crashes-end-first", 0, "seed of the first of them")
)

// crashesEndScenarios are the scenarios of TestTasksRunSoonAfterCrashesEnd.
var crashesEndScenarios = map[string]crashScenario{
	"one cell":            {oneCellScenario, drawWideCrashStep},
	"one cell, same ids":  {oneCellScenario.sameIDs(), drawWideCrashStep},
	"two cells, same ids": {twoCellScenario.sameIDs(), drawWideCrashStep},
}

// TestTasksRunSoonAfterCrashesEnd guards against suspects, and tasks beside suspects, that wait although workers are free.
// Each crash of a worker by a task puts off the time of calm, so that the other random tests see few of these waits; here
// no task crashes its worker once the last fault is over.
func TestTasksRunSoonAfterCrashesEnd(t *testing.T) {
	for name, in := range crashesEndScenarios {
		in.crashesEnd = true
		scripts := rapid.SliceOfN(rapid.Custom(in.draw), 5, 40)
		for seed := *crashesEndFirst; seed < *crashesEndFirst+*crashesEndScripts; seed++ {
			t.Run(fmt.Sprint(name, ", ", seed), func(t *testing.T) {
				require.Empty(t, runScript(t, scripts.Example(seed), in.scenario))
			})
		}
	}
}
