// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
)

// TestNamedCrashScripts guards, with scripts found by random runs, against a task that crashes its workers and is
// started a sixth time, and against a job that fails although it crashes no worker.
//
// store_away_* and owner_cut_*: the store is down, or unreachable for the owner. A task crashes two workers, and the
// owner can't store either loss. It loses the cell, and its successor counts from zero, which costs four more workers:
// lost_before in its log lines is 0 again, where the previous owner logged 2. The cause was that a task waited for the
// store only after two lost runs, and that starts were not stored.
//
// crash_while_draining_* and drained_*: the task crashes a worker that has announced its drain. The loss of such a
// worker was no evidence against the tasks that ran there, so lost_before stays the same at the next start.
//
// lost_right_after_*, last_start_*, start_without_* and late_worker_*: no owner knows when the run began or ended,
// because it was taken over from a previous owner, the owner was lost right after the start, or calls to the worker got
// no answer. The loss is recorded with ran_ms 0 or long after the crash, and lost_before stays the same.
//
// innocent_task_*: a job fails because of workers that other tasks crashed. A suspect that had waited a second for a
// worker of its own is started at the same time as three tasks of another job, which have crashed a worker before.
// The loss that follows was weighted 3.35 against the suspect, as if those three, which were hardly less suspected, had
// no part in it.
func TestNamedCrashScripts(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts/*.json", func(t *testing.T, script []scriptStep) {
		for range 2 {
			require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario))
			require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario))
		}
	})
}

// TestNamedCrashScriptsUnderSameIDs runs scripts found by random runs with workers that restart under the same IDs.
func TestNamedCrashScriptsUnderSameIDs(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts_same_ids/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario.sameIDs()))
		require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario.sameIDs()))
	})
}

// TestCrashScriptsByChance guards against jobs that fail because of workers that other tasks crashed. In one_cell and
// two_cells, a task is lost together with the task that crashed their worker, and its trial is lost with a second worker
// by accident; its job failed while the trial of the other task was still open. In lasting_one_cell, losses that an
// owner had observed counted again as unobserved losses of its takeover, and so did a lapsed run.
func TestCrashScriptsByChance(t *testing.T) {
	casefile.Each(t, "testdata/crash_scripts_by_chance/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario))
		require.Empty(t, runScriptRepeatedly(t, script, twoCellScenario))
	})
}
