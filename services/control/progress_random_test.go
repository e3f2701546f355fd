// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// crashScenario is a scenario with the steps of its scripts.
type crashScenario struct {
	scenario
	draw func(*rapid.T) scriptStep
}

// crashScenarios are the scenarios of the tests of crashes.
var crashScenarios = map[string]crashScenario{
	"one cell":            {oneCellScenario, drawCrashStep},
	"two cells":           {twoCellScenario, drawCrashStep},
	"one cell, same ids":  {oneCellScenario.sameIDs(), drawCrashStep},
	"two cells, same ids": {twoCellScenario.sameIDs(), drawCrashStep},
	"four cells":          {fourCellScenario, drawSpreadCrashStep},
}

// checkCrashesMakeProgress runs the scripts of the tests of crashes and checks, while a script runs and until its jobs
// have ended, that no task waits which could run. All other random scripts are always checked for that.
func checkCrashesMakeProgress(t *testing.T, rule grid.CrashRule) {
	for name, in := range crashScenarios {
		t.Run(name, func(t *testing.T) {
			in.crashRule = rule
			checkRandomScripts(t, in.scenario, in.draw)
		})
	}
}

// TestRandomCrashesMakeProgress guards against suspects, and tasks beside suspects, that wait although workers are free.
// The time of calm begins again with each crash.
func TestRandomCrashesMakeProgress(t *testing.T) { checkCrashesMakeProgress(t, grid.CrashesAreFaults) }

// TestRandomCrashesMakeProgressWhenWorkersAreBack guards against suspects that wait for longer than it takes the workers
// that they have crashed to come back.
func TestRandomCrashesMakeProgressWhenWorkersAreBack(t *testing.T) {
	checkCrashesMakeProgress(t, grid.CrashesHoldTheirTasks)
}

// TestRandomCrashesMakeProgressAtOnce guards against suspects that wait while the workers that they have crashed come
// back.
func TestRandomCrashesMakeProgressAtOnce(t *testing.T) {
	checkCrashesMakeProgress(t, grid.CrashesAreCalm)
}

// wideCrashStepKinds are crashStepKinds, and the submission of long-running jobs of several tasks, the first of which
// crashes its workers. In several cells, such a job may be divided between them when it is given up.
var wideCrashStepKinds = append([]string{"submit crashing wide", "submit crashing wide", "submit crashing wide"}, crashStepKinds...)

func drawWideCrashStep(rt *rapid.T) scriptStep { return drawStep(rt, wideCrashStepKinds) }

// TestRandomCrashesOfWideJobs guards against a job that is given up in one cell and goes on in another: it is never shown
// as failed, its crashing task does not run any more, and its other tasks run for good.
func TestRandomCrashesOfWideJobs(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawWideCrashStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawWideCrashStep) })
	t.Run("four cells", func(t *testing.T) { checkRandomScripts(t, fourCellScenario, drawWideCrashStep) })
}

// TestJobGivenUpInOneOfItsCells guards against a job that is given up in the cell of its crashing task and goes on in the
// cell that has its other tasks, with scripts found by random runs.
func TestJobGivenUpInOneOfItsCells(t *testing.T) {
	casefile.Each(t, "testdata/progress/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario))
	})
}
