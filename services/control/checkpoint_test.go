// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// TestMixedUpTextsAreNotBrought guards against a run that is started with the checkpoint of another task, because a
// worker that fails all its runs reports their ends with the checkpoints of other tasks. That workers do so is assumed:
// runs were started with wrong checkpoints while workers failed all their runs, but their reports are not on
// record. With such a worker, each restart got the wrong checkpoint.
func TestMixedUpTextsAreNotBrought(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{Workers: 3, CheckpointInterval: scriptSave, RestoreTime: scriptRestore})
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(time.Second)
		d := w.daemons[0]
		w.submit(d, withCheckpoints(twoStepJob(1, 5*time.Second)))
		time.Sleep(2 * scriptSave)
		for place := range 3 {
			w.grid.SetFaults(place, grid.Faults{FailRuns: true, WrongCheckpoints: true})
		}
		w.submit(d, withCheckpoints(longRunningJob(2, 2)))
		time.Sleep(2 * time.Second)
		for place := range 3 {
			w.grid.SetFaults(place, noFaults)
		}
		w.eventually(20*time.Second, "first job has succeeded", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		w.eventually(10*time.Second, "long-running job is running", func() bool { return w.grid.Running(jobID(2)) == 2 })
		require.Greater(t, w.grid.MostFailures(jobID(2)), 2, "there are failed runs that were followed by others")
		w.requireNoBreaches()
	})
}
