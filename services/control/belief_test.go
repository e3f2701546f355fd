// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/standin/grid"
)

// maxBeliefDelay is how long after all jobs have reached their expected states the owners may take to know what each worker
// runs and to use it: no longer than a task may wait after a fault.
const maxBeliefDelay = 7 * time.Second

// awaitTrueBelief waits until the owners know what each worker runs, and may start tasks on each that works. It describes
// a difference that remains; empty if none does.
func (w *testCluster) awaitTrueBelief(daemons func() []*testDaemon) (problem string) {
	for deadline := time.Now().Add(maxBeliefDelay); time.Now().Before(deadline); time.Sleep(progressInterval) {
		if problem = w.falseBelief(daemons()); problem == "" {
			return ""
		}
	}
	return "belief: " + problem
}

// falseBelief describes a difference between the workers and what the owners believe of them; empty if there is none.
func (w *testCluster) falseBelief(daemons []*testDaemon) string {
	believed := map[string]dispatch.WorkerState{}
	for _, d := range daemons {
		for cell, dump := range d.Dump().Cells {
			if problem := unrest(dump.Summary); problem != "" {
				return fmt.Sprintf("cell %s of %s: %s", cell, d.name, problem)
			}
			for _, worker := range dump.Workers {
				if _, twice := believed[string(worker.ID)]; twice {
					return fmt.Sprintf("two owners have worker %s", worker.ID)
				}
				believed[string(worker.ID)] = worker
			}
		}
	}
	for _, actual := range w.grid.WorkerStates() {
		if problem := compareWorker(actual, believed[string(actual.ID)]); problem != "" {
			return fmt.Sprintf("worker %s: %s", actual.ID, problem)
		}
		delete(believed, string(actual.ID))
	}
	for id, worker := range believed {
		if len(worker.Tasks) > 0 {
			return fmt.Sprintf("worker %s has ended and has tasks %v", id, worker.Tasks)
		}
	}
	return ""
}

// unrest describes what waits in a cell; empty if nothing does.
func unrest(summary dispatch.Summary) string {
	switch {
	case summary.Recovering:
		return "it recovers"
	case summary.LongWaits != nil:
		return fmt.Sprintf("tasks wait: %+v", *summary.LongWaits)
	default:
		return ""
	}
}

// compareWorker describes what an owner believes of a worker that is not so; empty if all is so.
func compareWorker(actual grid.WorkerState, believed dispatch.WorkerState) string {
	var running []string
	for _, task := range actual.Tasks {
		running = append(running, task.String())
	}
	slices.Sort(running)
	slices.Sort(believed.Tasks)
	switch {
	case !slices.Equal(running, believed.Tasks):
		return fmt.Sprintf("it runs [%s] and is believed to run [%s]", strings.Join(running, " "), strings.Join(believed.Tasks, " "))
	case !actual.Usable:
		return ""
	case believed.ID == "":
		return "no owner has it"
	case believed.Born != actual.Born:
		return fmt.Sprintf("its incarnation is %d, believed to be %d", actual.Born, believed.Born)
	case !believed.Listed || !believed.Usable || believed.Closed != "":
		return fmt.Sprintf("it works and is believed to be closed to starts (%s)", believed.Closed)
	case believed.Free != actual.Free:
		return fmt.Sprintf("it has %+v free, believed to be %+v", actual.Free, believed.Free)
	default:
		return ""
	}
}

// restDaemons returns the daemons whose process has not ended.
func (w *testCluster) restDaemons() []*testDaemon {
	return slices.DeleteFunc(w.daemonList(), (*testDaemon).hasEnded)
}

// TestBeliefsAreCompared guards against a check of beliefs that overlooks a leak of capacity, a run that remains on a
// worker for its owner only, and a worker that is never used again.
func TestBeliefsAreCompared(t *testing.T) {
	task := jobs.TaskID{Job: jobID(1)}
	all, free := models.Resources{CPU: 4000, Memory: 8000}, models.Resources{CPU: 3000, Memory: 7500}
	actual := grid.WorkerState{ID: "w000", Born: 1, Usable: true, Free: free, Tasks: []jobs.TaskID{task}}
	believed := dispatch.WorkerState{ID: "w000", Born: 1, Listed: true, Usable: true, Free: free, Tasks: []string{task.String()}}
	require.Empty(t, compareWorker(actual, believed))
	for name, change := range map[string]func(*grid.WorkerState, *dispatch.WorkerState){
		"leak of capacity":     func(_ *grid.WorkerState, b *dispatch.WorkerState) { b.Free.CPU -= 1000 },
		"run that has ended":   func(a *grid.WorkerState, _ *dispatch.WorkerState) { a.Tasks, a.Free = nil, all },
		"run that is unknown":  func(_ *grid.WorkerState, b *dispatch.WorkerState) { b.Tasks, b.Free = nil, all },
		"run on an ended one":  func(a *grid.WorkerState, _ *dispatch.WorkerState) { a.Tasks, a.Usable = nil, false },
		"worker not listed":    func(_ *grid.WorkerState, b *dispatch.WorkerState) { b.Listed = false },
		"worker not usable":    func(_ *grid.WorkerState, b *dispatch.WorkerState) { b.Usable = false },
		"worker on trial":      func(_ *grid.WorkerState, b *dispatch.WorkerState) { b.Closed = "trial" },
		"earlier incarnation":  func(a *grid.WorkerState, _ *dispatch.WorkerState) { a.Born = 2 },
		"worker without owner": func(a *grid.WorkerState, b *dispatch.WorkerState) { a.Tasks, *b = nil, dispatch.WorkerState{} },
	} {
		a, b := actual, believed
		change(&a, &b)
		require.NotEmpty(t, compareWorker(a, b), name)
	}
}
