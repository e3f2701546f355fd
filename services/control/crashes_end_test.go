// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import "testing"

var crashesEndScripts = newSeededScripts("crashes-end", "crashes that end", 25)

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
		crashesEndScripts.play(t, name, in.scenario, in.draw)
	}
}
