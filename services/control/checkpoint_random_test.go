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

// Runs that are started with the checkpoint of something else.
//
// What was seen: workers were told to start runs with checkpoints that weren't the task's, at
// one start of a hundred that brought one, by several owners, beside workers that failed all
// that they started. No play could show it: the stand-in's workers never saved anything. Here
// they do, and the grid's audit knows of each checkpoint whose it is.

// savingStepKinds are what leads to restarts: stops of tasks that save, workers that fail all,
// other owners, other incarnations of workers. What is wrong is soon mended, for nothing runs
// and saves with a store that is away.
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
	// scriptSave is small against the work of tasks that save, so that most of those that are
	// stopped bring a checkpoint. Drawn times are short for the most part, so that there is a least one.
	scriptSave    = 300 * time.Millisecond
	scriptRestore = 200 * time.Millisecond
	minSavingWork = 1200 * time.Millisecond
	// Filling tasks of so much fit beside a service most of the time, and several of them are too
	// many when its load is high: some are moved then.
	fillerTasks  = 4
	fillerCPU    = 700
	savingImages = 4
	// answerDelay is well above the time between two calls and below the limit of a call.
	answerDelay     = 500 * time.Millisecond
	repeatCallAfter = 1500 * time.Millisecond
)

// scriptServices are loaded so differently from time to time that what fills has to be moved.
var scriptServices = grid.Services{Idle: 0.2, Load: 0.45, Swing: 0.75, Period: 8 * time.Second, Heavy: 4}

// savingScenario is how a script is played.
type savingScenario struct {
	perCell  int
	showsOwn bool // see grid.Config
}

var savingScenarios = map[string]savingScenario{
	"one cell":                        {perCell: scriptWorkers},
	"two cells":                       {perCell: scriptWorkers / 2},
	"two cells, own checkpoints only": {perCell: scriptWorkers / 2, showsOwn: true},
}

// savingStats is what came of all scripts of a test.
type savingStats struct {
	scripts, startsWithCheckpoint, startsBehind int
	workLost                                    time.Duration
	stops                                       map[string]int // by reason
}

func (a *savingStats) add(w *world) {
	a.scripts++
	a.startsWithCheckpoint += w.grid.CheckpointsBrought()
	a.startsBehind += len(w.grid.StartsBehind())
	a.workLost += w.grid.WorkLost()
	for _, entry := range w.written.FilterMessage("run is to stop").All() {
		a.stops[fmt.Sprint(entry.ContextMap()["reason"])]++
	}
}

// minStartsWithCheckpoint is the least number of starts with a checkpoint, in a script on average: the check
// must have seen something.
const minStartsWithCheckpoint = 1

// TestRandomCheckpoints plays scripts in which tasks save their work and are started again: each
// start brings nothing or a checkpoint that a worker has made for this task.
func TestRandomCheckpoints(t *testing.T) {
	for name, world := range savingScenarios {
		t.Run(name, func(t *testing.T) {
			tally := &savingStats{stops: map[string]int{}}
			rapid.Check(t, func(rt *rapid.T) {
				script := rapid.SliceOfN(rapid.Custom(drawSavingStep), 12, 40).Draw(rt, "script")
				if failure := runSavingScript(t, script, world, tally); failure != "" {
					data, err := json.MarshalIndent(script, "", " ")
					require.NoError(t, err)
					rt.Fatalf("%s\n%s", failure, data)
				}
			})
			t.Logf("%d scripts, %d starts with checkpoints, %d behind, work lost: %s, stops: %v", tally.scripts, tally.startsWithCheckpoint, tally.startsBehind, tally.workLost, tally.stops)
			require.Greater(t, tally.startsWithCheckpoint, minStartsWithCheckpoint*tally.scripts)
		})
	}
}

// TestCheckpointScripts plays the scripts of testdata: failures that random runs have found, and
// the ways in which tasks that save come to be started again.
func TestCheckpointScripts(t *testing.T) {
	casefile.Each(t, "testdata/checkpoints/*.json", func(t *testing.T, script []scriptStep) {
		for _, world := range savingScenarios {
			tally := &savingStats{stops: map[string]int{}}
			require.Empty(t, runSavingScript(t, script, world, tally))
			require.NotZero(t, tally.startsWithCheckpoint)
		}
	})
}

func drawSavingStep(rt *rapid.T) scriptStep { return drawStep(rt, savingStepKinds) }

// savingRun is a script in which tasks save.
type savingRun struct{ *scriptRun }

func runSavingScript(t *testing.T, script []scriptStep, world savingScenario, tally *savingStats) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		s := savingRun{&scriptRun{cancelled: map[jobs.ID]bool{}, maybeCancelled: map[jobs.ID]bool{}, crashing: map[jobs.ID]time.Duration{}}}
		s.world = newWorldWith(t, scriptDaemons, world.perCell, grid.Config{
			Workers: scriptWorkers, Down: workerDowntime, Save: scriptSave, Restore: scriptRestore, ShowsOwn: world.showsOwn,
			Services: scriptServices,
		})
		time.Sleep(5 * time.Second)
		for _, h := range script {
			stepsRun++
			s.applyStep(h)
			time.Sleep(h.Wait)
		}
		s.heal()
		failure = s.check()
		tally.add(s.world)
		if failure != "" {
			failure += "\nscript and log: " + saveFailure(outer, script, failure, s.log())
		}
	})
	return failure
}

// applyStep plays what only these scripts have, and leaves the rest to those of the other tests.
func (s savingRun) applyStep(h scriptStep) {
	d := s.daemons[len(s.daemons)-scriptDaemons+h.Daemon]
	remaining := time.Duration(h.Work) * time.Millisecond
	work := minSavingWork + remaining
	switch h.What {
	case "submit saving":
		s.submitSaving(d, twoSteps(s.jobCount+1, work))
	case "submit saving bound":
		s.submitSaving(d, s.bindFirstStep(twoSteps(s.jobCount+1, work), h.Place))
	case "submit saving repeated":
		s.submitSaving(d, repeatTwice(twoSteps(s.jobCount+1, work)))
	case "submit saving filling":
		s.submitSaving(d, fillerJob(s.jobCount+1, work))
	case "submit saving lasting":
		s.submitSavingLasting(d, 1)
	case "submit saving wide":
		s.submitSavingLasting(d, wideTasks)
	case "worker fails all":
		s.workerFailsAll = true
		s.grid.SetFaults(h.Place, grid.Faults{FailsAll: true})
	case "stalled worker":
		s.grid.SetFaults(h.Place, grid.Faults{Stalled: true})
	case "late answers":
		s.grid.SetFaults(h.Place, grid.Faults{LateAnswers: answerDelay})
	case "calls again":
		s.grid.SetFaults(h.Place, grid.Faults{Again: repeatCallAfter})
	case "worker leaves":
		s.grid.Drain(h.Place, remaining)
		time.AfterFunc(remaining, func() { s.grid.Crash(h.Place) })
	default:
		s.scriptRun.applyStep(h)
	}
}

// submitSaving hands a job in whose tasks save.
func (s savingRun) submitSaving(d *testDaemon, spec jobs.Spec) {
	s.jobCount++
	s.trySubmit(d, withCheckpoints(spec))
}

// submitSavingLasting hands in a job of lasting tasks that save while there is room for all of them.
func (s savingRun) submitSavingLasting(d *testDaemon, tasks int) {
	if s.longRunningTasks+tasks <= maxLongRunningTasks {
		s.longRunningTasks += tasks
		s.submitSaving(d, lasting(s.jobCount+1, tasks))
	}
}

// withCheckpoints lets all tasks of a job save.
func withCheckpoints(spec jobs.Spec) jobs.Spec {
	for n := range spec.Steps {
		spec.Steps[n].Checkpoints = true
	}
	return spec
}

// repeatTwice lets a job run twice, with most of the times together.
func repeatTwice(spec jobs.Spec) jobs.Spec {
	spec.Repeat = jobs.Repeat{Count: 2, First: models.UnixMilliOf(time.Now()), Every: 500}
	return spec
}

// bindFirstStep lets the first step of a job run two tasks to a worker, and with one cell only in the rack
// of a place. With two, it could have to go to the other cell, which takes it only while there is
// room for the whole step at once: beside tasks that last there may never be.
func (s savingRun) bindFirstStep(spec jobs.Spec, place int) jobs.Spec {
	spec.Steps[0].PerWorker = 2
	if s.perCell == scriptWorkers {
		spec.Steps[0].Requires = fmt.Sprint("rack-", place/2)
	}
	return spec
}

// fillerJob is a job that uses what others leave.
func fillerJob(n int, work time.Duration) jobs.Spec {
	return jobs.Spec{ID: jobID(n), Payload: jobs.Text(fmt.Sprint("payload ", n)), Steps: []jobs.Step{{
		Count: fillerTasks, Size: models.Resources{CPU: fillerCPU, Memory: 200}, Estimate: models.MilliOf(work),
		Fills: true, Image: jobs.ImageName(fmt.Sprint("filling-", n%savingImages)),
	}}}
}
