// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// wideJob returns a job of two steps of many small tasks, which may run at once.
func wideJob(n, tasks int, work time.Duration) jobs.Spec {
	step := jobs.Step{Count: tasks / 2, Size: models.Resources{CPU: 1, Memory: 1}, Estimate: models.MilliOf(work)}
	return jobs.Spec{ID: jobID(n), Payload: "wide", Steps: []jobs.Step{step, step}}
}

// busiestPlace returns the place of the worker that runs most tasks.
func (w *testCluster) busiestPlace(places int) int {
	busiest := 0
	for place := range places {
		if w.grid.RunningOn(place) > w.grid.RunningOn(busiest) {
			busiest = place
		}
	}
	return busiest
}
