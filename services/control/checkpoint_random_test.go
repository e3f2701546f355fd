// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// The tests below guard against runs that are started with the checkpoint of another task. Of the starts with a
// checkpoint, one in a hundred had a wrong one, from several owners, while some workers failed all their runs. Here the
// workers of the grid save checkpoints, and its audit knows the task of each.

// savingStepKinds are step kinds that lead to restarts: stops of tasks that save checkpoints, workers that fail all
// their runs, new owners and new incarnations of workers. Faults of the store and of daemons are healed often, because
// tasks neither run nor save while the store is down.
var savingStepKinds = []string{
	"submit saving", "submit saving", "submit saving", "submit saving bound", "submit saving bound", "submit saving repeated",
	"submit saving filling", "submit saving filling", "submit saving lasting", "submit saving wide", "submit lasting", "cancel",
	"worker fails all", "worker fails all", "worker leaves", "worker leaves", "worker leaves",
	"stalled worker", "late answers", "calls again",
	"crash worker", "worker down", "cut worker", "late worker", "lose worker answers", "heal worker", "heal worker", "heal worker",
	"kill daemon", "kill daemon", "freeze daemon", "cut daemon from store", "cut daemon from workers", "lose store answers",
	"heal daemon", "heal daemon", "heal daemon", "store outage", "store back", "store back", "store back",
}

const (
	// scriptSave is the time to save a checkpoint. It is short compared with the work of the tasks, so that most stopped
	// tasks leave a checkpoint. Most drawn times are short; minSavingWork is added to them.
	scriptSave    = 300 * time.Millisecond
	scriptRestore = 200 * time.Millisecond
	minSavingWork = 1200 * time.Millisecond
	// Filler tasks of this size fit beside a service most of the time, but several of them are too many when its load is
	// high: some are moved then.
	fillerTasks  = 4
	fillerCPU    = 700
	savingImages = 4
	// answerDelay is well above the time between two calls and below the timeout of a call.
	answerDelay     = 500 * time.Millisecond
	repeatCallAfter = 1500 * time.Millisecond
)

// scriptServices have a load that varies so much that filler tasks have to be moved.
var scriptServices = grid.Services{IdleTail: 0.2, MeanLoad: 0.45, Swing: 0.75, Period: 8 * time.Second, HeavyEvery: 4}

// savingScenario is the configuration in which a script runs.
type savingScenario struct {
	perCell            int
	ownCheckpointsOnly bool // see grid.Config.OwnCheckpointsOnly
}

var savingScenarios = map[string]savingScenario{
	"one cell":                        {perCell: scriptWorkers},
	"two cells":                       {perCell: scriptWorkers / 2},
	"two cells, own checkpoints only": {perCell: scriptWorkers / 2, ownCheckpointsOnly: true},
}

// savingStats counts what happened in all scripts of a test.
type savingStats struct {
	scripts, startsWithCheckpoint, staleCheckpointStarts int
	workLost                                             time.Duration
	stops                                                map[string]int // by reason
}

func (s *savingStats) add(w *testCluster) {
	s.scripts++
	s.startsWithCheckpoint += w.grid.StartsFromCheckpoint()
	s.staleCheckpointStarts += len(w.grid.StaleCheckpointStarts())
	s.workLost += w.grid.WorkLost()
	for _, entry := range w.logged.FilterMessage("run is to stop").All() {
		s.stops[fmt.Sprint(entry.ContextMap()["reason"])]++
	}
}

// minStartsWithCheckpoint is the least average number of starts with a checkpoint in a script, so that the check is not
// empty.
const minStartsWithCheckpoint = 1

// TestRandomCheckpoints runs scripts in which tasks save checkpoints and are restarted: each start has no checkpoint, or
// one that a worker has made for this task.
func TestRandomCheckpoints(t *testing.T) {
	for name, in := range savingScenarios {
		t.Run(name, func(t *testing.T) {
			stats := &savingStats{stops: map[string]int{}}
			rapid.Check(t, func(rt *rapid.T) {
				script := rapid.SliceOfN(rapid.Custom(drawSavingStep), 12, 40).Draw(rt, "script")
				if failure := runSavingScript(t, script, in, stats); failure != "" {
					data, err := json.MarshalIndent(script, "", " ")
					require.NoError(t, err)
					rt.Fatalf("%s\n%s", failure, data)
				}
			})
			t.Logf("%d scripts, %d starts with checkpoints, %d with stale checkpoints, work lost: %s, stops: %v", stats.scripts, stats.startsWithCheckpoint, stats.staleCheckpointStarts, stats.workLost, stats.stops)
			require.Greater(t, stats.startsWithCheckpoint, minStartsWithCheckpoint*stats.scripts)
		})
	}
}

// TestCheckpointScripts runs the scripts of testdata, which are failures found by random runs and the ways in which
// tasks with checkpoints are restarted.
func TestCheckpointScripts(t *testing.T) {
	casefile.Each(t, "testdata/checkpoints/*.json", func(t *testing.T, script []scriptStep) {
		for _, in := range savingScenarios {
			stats := &savingStats{stops: map[string]int{}}
			require.Empty(t, runSavingScript(t, script, in, stats))
			require.NotZero(t, stats.startsWithCheckpoint)
		}
	})
}

func drawSavingStep(rt *rapid.T) scriptStep { return drawStep(rt, savingStepKinds) }

// savingRun is a run of a script in which tasks save checkpoints.
type savingRun struct{ *scriptRun }

func runSavingScript(t *testing.T, script []scriptStep, in savingScenario, stats *savingStats) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		s := savingRun{newScriptRun(scenario{})}
		s.testCluster = newTestClusterWithGrid(t, scriptDaemons, in.perCell, grid.Config{
			Workers: scriptWorkers, RestartDelay: workerDowntime, CheckpointInterval: scriptSave, RestoreTime: scriptRestore, OwnCheckpointsOnly: in.ownCheckpointsOnly,
			Services: scriptServices,
		})
		s.startProgressChecks()
		time.Sleep(5 * time.Second)
		for _, step := range script {
			stepsRun++
			s.applyStep(step)
			time.Sleep(step.Wait)
		}
		s.heal()
		failure = s.check()
		stats.add(s.testCluster)
		if failure != "" {
			failure += "\nscript and log: " + saveFailure(outer, script, failure, s.log())
		}
	})
	return failure
}

// applyStep applies the steps that only these scripts have, and leaves the others to scriptRun.
func (s savingRun) applyStep(step scriptStep) {
	d := s.daemons[len(s.daemons)-scriptDaemons+step.Daemon]
	remaining := time.Duration(step.Work) * time.Millisecond
	work := minSavingWork + remaining
	switch step.What {
	case "submit saving":
		s.submitSaving(d, twoStepJob(s.jobCount+1, work))
	case "submit saving bound":
		s.submitSaving(d, s.bindFirstStep(twoStepJob(s.jobCount+1, work), step.Place))
	case "submit saving repeated":
		s.submitSaving(d, repeatTwice(twoStepJob(s.jobCount+1, work)))
	case "submit saving filling":
		s.submitSaving(d, scriptFillerJob(s.jobCount+1, work))
	case "submit saving lasting":
		s.submitSavingLongRunning(d, 1)
	case "submit saving wide":
		s.submitSavingLongRunning(d, wideTasks)
	case "worker fails all":
		s.workerFailsAll = true
		s.grid.SetFaults(step.Place, grid.Faults{FailRuns: true})
	case "stalled worker":
		s.grid.SetFaults(step.Place, grid.Faults{Stalled: true})
	case "late answers":
		s.grid.SetFaults(step.Place, grid.Faults{LateAnswers: answerDelay})
	case "calls again":
		s.grid.SetFaults(step.Place, grid.Faults{RepeatAfter: repeatCallAfter})
	case "worker leaves":
		s.grid.Drain(step.Place, remaining)
		time.AfterFunc(remaining, func() { s.grid.Crash(step.Place) })
	default:
		s.scriptRun.applyStep(step)
	}
}

// submitSaving submits a job whose tasks save checkpoints.
func (s savingRun) submitSaving(d *testDaemon, spec jobs.Spec) {
	s.jobCount++
	s.trySubmit(d, withCheckpoints(spec))
}

// submitSavingLongRunning submits a job of long-running tasks that save checkpoints, if all of them still fit on the
// workers.
func (s savingRun) submitSavingLongRunning(d *testDaemon, tasks int) {
	if s.longRunningTasks+tasks <= maxLongRunningTasks {
		s.longRunningTasks += tasks
		s.submitSaving(d, longRunningJob(s.jobCount+1, tasks))
	}
}

// withCheckpoints makes all tasks of a job save checkpoints.
func withCheckpoints(spec jobs.Spec) jobs.Spec {
	for n := range spec.Steps {
		spec.Steps[n].Checkpoints = true
	}
	return spec
}

// repeatTwice makes a job run twice, with occurrences that overlap for the most part.
func repeatTwice(spec jobs.Spec) jobs.Spec {
	spec.Repeat = jobs.Repeat{Count: 2, First: models.UnixMilliOf(time.Now()), Every: 500}
	return spec
}

// bindFirstStep limits the first step of a job to two tasks on a worker and, with one cell, to the rack of a place. With
// two cells, a step bound to a rack may have to move to the other cell, which accepts it only while the whole step fits
// at once; beside long-running tasks it may never fit.
func (s savingRun) bindFirstStep(spec jobs.Spec, place int) jobs.Spec {
	spec.Steps[0].PerWorker = 2
	if s.settings.WorkersPerCell == scriptWorkers {
		spec.Steps[0].Requires = fmt.Sprint("rack-", place/2)
	}
	return spec
}

// scriptFillerJob returns a job of filler tasks, which use the capacity that others leave.
func scriptFillerJob(n int, work time.Duration) jobs.Spec {
	return jobs.Spec{ID: jobID(n), Payload: jobs.Text(fmt.Sprint("payload ", n)), Steps: []jobs.Step{{
		Count: fillerTasks, Size: models.Resources{CPU: fillerCPU, Memory: 200}, Estimate: models.MilliOf(work),
		Filler: true, Image: jobs.ImageName(fmt.Sprint("filling-", n%savingImages)),
	}}}
}
