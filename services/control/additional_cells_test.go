// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// newSpreadCluster makes cells of two workers each, and runs a long-running job with a task on each worker but one, so
// that most of its tasks are in cells that its ID does not map to.
func newSpreadCluster(t *testing.T, cells, daemons int) (w *testCluster, spec jobs.Spec) {
	t.Helper()
	w = newTestClusterWithCells(t, 2*cells, daemons, 2, nil)
	spec = longRunningJob(1, 2*cells-1)
	spec.Steps[0].PerWorker = 1
	w.submit(w.daemons[0], spec)
	w.eventually(40*time.Second, "all tasks are running", func() bool { return w.grid.Running(spec.ID) == spec.Steps[0].Count })
	return w, spec
}

// keysOf lists the keys in the store that name a job.
func (w *testCluster) keysOf(id jobs.ID) []string {
	var keys []string
	for _, prefix := range []string{jobPrefix, progressPrefix} {
		records, _, err := w.daemons[0].config.Store.List(w.ctx, prefix)
		require.NoError(w.t, err)
		for _, record := range records {
			if strings.Contains(record.Key, string(id)) {
				keys = append(keys, record.Key)
			}
		}
	}
	return keys
}

// requireStateAtAllDaemons waits until each daemon reports the given state of a job.
func (w *testCluster) requireStateAtAllDaemons(id jobs.ID, state jobs.State) {
	w.t.Helper()
	w.eventually(5*time.Second, "each daemon reports "+string(state), func() bool {
		for _, d := range w.daemons {
			if w.state(d, id) != state {
				return false
			}
		}
		return true
	})
}

// TestJobInManyCellsIsCancelledAndForgotten guards against tasks in additional cells that keep running, records that are
// never removed, and a cancellation that exceeds the size of a transaction.
func TestJobInManyCellsIsCancelledAndForgotten(t *testing.T) {
	for name, cells := range map[string]int{"four": 4, "seven": 7, "fourteen": 14} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, spec := newSpreadCluster(t, cells, 2)
				w.requireStateAtAllDaemons(spec.ID, jobs.StateRunning)
				w.submit(w.daemons[1], spec) // already accepted, so the second submission has no effect
				time.Sleep(3 * time.Second)
				require.Equal(t, spec.Steps[0].Count, w.grid.Running(spec.ID))
				require.Equal(t, platform.Done{}, w.daemons[1].Cancel(w.ctx, spec.ID))
				w.eventually(2*time.Second, "all tasks are stopped", func() bool { return w.grid.Running(spec.ID) == 0 })
				w.requireStateAtAllDaemons(spec.ID, jobs.StateCancelled)
				require.Equal(t, platform.Done{}, w.daemons[0].Cancel(w.ctx, spec.ID), "a second time")
				time.Sleep(170 * time.Second)
				require.Empty(t, w.keysOf(spec.ID))
				w.requireNoBreaches()
			})
		})
	}
}

// TestCancellationInManyCellsGoesOnWithoutItsDaemon guards against a job that is cancelled in some cells and keeps
// running in others because the daemon that handles the cancellation is lost between two transactions.
func TestCancellationInManyCellsGoesOnWithoutItsDaemon(t *testing.T) {
	for commits := 1; commits <= 2; commits++ {
		synctest.Test(t, func(t *testing.T) {
			w, spec := newSpreadCluster(t, 14, 2)
			asked := w.startDaemon()
			time.Sleep(3 * time.Second)
			left := commits
			asked.beforeCommit = func() {
				if left--; left < 0 {
					asked.mu.Lock()
					defer asked.mu.Unlock()
					asked.storeCut = true
				}
			}
			ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
			defer cancel()
			require.NotEqual(t, platform.Done{}, asked.Cancel(ctx, spec.ID))
			w.daemons = w.daemons[:len(w.daemons)-1]
			w.eventually(20*time.Second, "all tasks are stopped", func() bool { return w.grid.Running(spec.ID) == 0 })
			w.requireStateAtAllDaemons(spec.ID, jobs.StateCancelled)
			w.requireNoBreaches()
		})
	}
}

// TestFurtherCellGivesTasksBack guards against tasks that stay in an additional cell whose workers are lost, and against
// records there that are never removed.
func TestFurtherCellGivesTasksBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, spec := newSpreadCluster(t, 5, 3)
		layout := w.daemons[0].Cells.layout()
		own := cellsForJob(spec.ID, layout)
		additional := ""
		for _, key := range w.keysOf(spec.ID) {
			if cell := strings.Split(key, "/")[1]; strings.HasPrefix(key, jobPrefix) && cell != string(own[0]) && cell != string(own[1]) && cell != string(own[2]) {
				additional = cell
			}
		}
		require.NotEmpty(t, additional)
		places := w.workersOfCell(int(additional[0] - '0'))
		for _, place := range places {
			w.grid.SetFaults(place, faultsCut)
			w.grid.SetListed(place, false)
		}
		time.Sleep(12 * time.Second) // the nine other workers run eight of the tasks, for the ninth one has one
		require.GreaterOrEqual(t, w.grid.Running(spec.ID), 8)
		for _, place := range places {
			w.grid.SetFaults(place, noFaults)
			w.grid.SetListed(place, true)
		}
		w.eventually(20*time.Second, "all tasks are running again", func() bool { return w.grid.Running(spec.ID) == 9 })
		require.Equal(t, platform.Done{}, w.daemons[0].Cancel(w.ctx, spec.ID))
		w.eventually(2*time.Second, "all tasks are stopped", func() bool { return w.grid.Running(spec.ID) == 0 })
		time.Sleep(170 * time.Second)
		require.Empty(t, w.keysOf(spec.ID))
		w.requireNoBreaches()
	})
}

// Scenarios with more cells than a job's ID maps to, of two workers each. A spread job has a task on each worker but
// one; three more long-running tasks leave capacity for it.
var (
	fourCellScenario = scenario{workers: 8, perCell: 2, maxLongRunning: 3}
	sixCellScenario  = scenario{workers: 12, perCell: 2, maxLongRunning: 3}
)

// spreadStepKinds are the step kinds of random scripts, and the submission of a job with a task on each worker but one.
var spreadStepKinds = append([]string{"submit spread", "submit spread", "submit spread", "submit spread"}, faultStepKinds...)

// TestRandomFaultsInManyCells runs random scripts in which a job has tasks in more cells than its ID maps to.
func TestRandomFaultsInManyCells(t *testing.T) {
	draw := func(rt *rapid.T) scriptStep { return drawStep(rt, spreadStepKinds) }
	t.Run("four cells", func(t *testing.T) { checkRandomScripts(t, fourCellScenario, draw) })
	t.Run("six cells", func(t *testing.T) { checkRandomScripts(t, sixCellScenario, draw) })
}

// spreadCrashStepKinds are spreadStepKinds with the faults of crashStepKinds.
var spreadCrashStepKinds = append([]string{"submit spread", "submit spread", "submit spread", "submit spread"}, crashStepKinds...)

func drawSpreadCrashStep(rt *rapid.T) scriptStep { return drawStep(rt, spreadCrashStepKinds) }

// TestRandomCrashesInManyCells does the same with tasks that crash their workers. How long jobs wait meanwhile is checked
// by TestRandomCrashesInManyCellsMakeProgress.
func TestRandomCrashesInManyCells(t *testing.T) {
	checkRandomScripts(t, fourCellScenario.uncheckedProgress(), drawSpreadCrashStep)
}
