// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
	"rillsail.example/rillsail/services/standin/kv"
)

const (
	// smallValue is the size of the largest value of a store in which jobs of a few hundred tasks are large, in bytes.
	smallValue = 16 << 10
	// smallValueTasks is the number of tasks of such a job: the losses of all of them take several values.
	smallValueTasks = 400
)

// withMaxValue returns a change to a cluster whose store accepts values up to a size.
func withMaxValue(size int) clusterChange {
	return func(w *testCluster) {
		w.store, w.maxValueSize = kv.New(kv.Config{MaxValueSize: size}), size
	}
}

// wideJob returns a job of two steps of many small tasks, which may run at once.
func wideJob(n, tasks int, work time.Duration) jobs.Spec {
	step := jobs.Step{Count: tasks / 2, Size: models.Resources{CPU: 1, Memory: 1}, Estimate: models.MilliOf(work)}
	return jobs.Spec{ID: jobID(n), Payload: "wide", Steps: []jobs.Step{step, step}}
}

// workerLossesToTest are the ways to lose a worker with what runs there, by name.
var workerLossesToTest = map[string]func(g *grid.Grid, place int){
	"replaced":       (*grid.Grid).Crash,
	"replaced later": (*grid.Grid).CrashWithDowntime,
	"silent":         (*grid.Grid).CrashSilently,
	"gone for good":  (*grid.Grid).CrashForGood,
	"lost twice": func(g *grid.Grid, place int) {
		g.Crash(place)
		time.Sleep(2500 * time.Millisecond)
		g.Crash(place)
	},
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

// TestWideJobSurvivesTheLossOfItsWorker guards against losses of a job's runs that no value of the store holds: the owner
// would store nothing of the cell any more, and start nothing of any job.
func TestWideJobSurvivesTheLossOfItsWorker(t *testing.T) {
	const workers = 3
	for name, lose := range workerLossesToTest {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				work := func(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
					if task.Job == jobID(1) {
						return 6 * time.Second, jobs.EndSucceeded
					}
					return time.Second, jobs.EndSucceeded
				}
				w := newTestCluster(t, workers, 2, work, withMaxValue(smallValue))
				w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
				wide, small := wideJob(1, smallValueTasks, 6*time.Second), twoStepJob(2, time.Second)
				w.submit(w.daemons[0], wide)
				w.eventually(10*time.Second, "most tasks run", func() bool { return w.grid.Running(wide.ID) >= smallValueTasks*9/10 })
				lose(w.grid, w.busiestPlace(workers))
				w.submit(w.daemons[0], small)
				w.eventually(20*time.Second, "the small job has succeeded", func() bool { return w.state(w.daemons[0], small.ID) == jobs.StateSucceeded })
				w.eventually(60*time.Second, "the wide job has succeeded", func() bool { return w.state(w.daemons[0], wide.ID) == jobs.StateSucceeded })
				w.requireNoBreaches()
			})
		})
	}
}
