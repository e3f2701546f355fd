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

// TestMixedUpTextsAreNotBrought: a worker fails all that it starts, and lists the ends with the
// text of another task.
//
// What was seen: runs that were started with the checkpoint of something else, beside workers
// that failed all. How it may have come about: such a worker shows a text that isn't the task's,
// and the next run is started with it. What proved that: nothing; no record tells what the
// users' workers showed. With such a worker the code as it was brought it each time.
func TestMixedUpTextsAreNotBrought(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 1, testSettings.WorkersPerCell, grid.Config{Workers: 3, Save: scriptSave, Restore: scriptRestore})
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(time.Second)
		d := w.daemons[0]
		w.submit(d, withCheckpoints(twoSteps(1, 5*time.Second)))
		time.Sleep(2 * scriptSave)
		for place := range 3 {
			w.grid.SetFaults(place, grid.Faults{FailsAll: true, WrongTexts: true})
		}
		w.submit(d, withCheckpoints(lasting(2, 2)))
		time.Sleep(2 * time.Second)
		for place := range 3 {
			w.grid.SetFaults(place, noFaults)
		}
		w.eventually(20*time.Second, "first job is done", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		w.eventually(10*time.Second, "lasting job runs", func() bool { return w.grid.Running(jobID(2)) == 2 })
		require.Greater(t, w.grid.MostFailures(jobID(2)), 2, "runs that failed and were followed by others")
		w.noBreach()
	})
}
