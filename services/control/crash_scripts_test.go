// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
)

// TestNamedCrashScripts plays scripts that random runs have found, in which a task that ends its workers was started a sixth
// time, or a job was given up that ends none.
//
// What happens in store_away_* and owner_cut_*: the store is away, or cut off from the owner. A task
// ends two workers; the owner sees both, and can't store either. It loses the cell, and its
// successor counts from the beginning: four more workers. Why: a task waited for the store only
// once it had lost two runs, and a start itself was stored by nobody. What showed it: the successor's
// lines "run starts" and "run is lost with its worker" say lost_before 0 again, though the former
// owner's say 2.
//
// In crash_while_draining_* and drained_*: the worker that a task ends has said that it drains, and
// such a worker says nothing against what ran there. What showed it: "worker is gone" with "it has
// drained and left", one task, and no line that weighs its run; the task starts elsewhere with the
// same lost_before.
//
// In lost_right_after_*, last_start_*, start_without_* and late_worker_*: nobody knows when the run began or
// ended. It had been taken over from a former owner, the owner went right after it, or calls to its
// worker were not answered. What showed it: "run is lost with its worker" with ran_ms 0, or long after
// the crash, and the next start with the same lost_before.
//
// In innocent_task_*: a job is given up for the workers that others have ended. A suspect that had
// waited for a worker of its own for a second was started beside three tasks of another job that
// started in the same moment and had ended a worker before. What showed it: "suspect is tried alone"
// with beside 3, and a weight of 3.35 against it for the loss that follows, as if those three, which
// were suspected only a little less, had nothing to do with it.
func TestNamedCrashScripts(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts/*.json", func(t *testing.T, script []scriptStep) {
		for range 2 {
			require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario))
			require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario))
		}
	})
}

// TestNamedCrashScriptsUnderSameIDs plays scripts that random runs have found with workers that start again under
// their ids.
func TestNamedCrashScriptsUnderSameIDs(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts_same_ids/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario.sameIDs()))
		require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario.sameIDs()))
	})
}

// TestCrashScriptsByChance guards against jobs that are given up for workers that others have ended. In one_cell
// and two_cells a task shares the loss of a worker with the one that ended it, and loses a second worker to chance
// on its trial; it was given up while the trial of the other one was still open. In lasting_one_cell losses
// that an owner had seen counted once more as unseen ones of its takeover, and so did a run that had lapsed.
func TestCrashScriptsByChance(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts_by_chance/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario))
		require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario))
	})
}
