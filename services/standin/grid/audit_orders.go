// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"rillsail.example/rillsail/models/jobs"
)

// orderAudit records the orders to each worker, independently of whether the worker accepts them.
type orderAudit struct {
	highestFences map[*incarnation]jobs.Fence // the highest fence of any call to the worker
	highestRuns   map[taskOnWorker]jobs.RunID // the highest run that was started or stopped, or has ended
}

// taskOnWorker is a task together with one incarnation of a worker.
type taskOnWorker struct {
	worker *incarnation
	task   jobs.TaskID
}

func newOrderAudit() orderAudit {
	return orderAudit{highestFences: map[*incarnation]jobs.Fence{}, highestRuns: map[taskOnWorker]jobs.RunID{}}
}

// noteFence records the fence of a call to a worker.
func (a *orderAudit) noteFence(w *incarnation, fence jobs.Fence) {
	a.highestFences[w] = max(a.highestFences[w], fence)
}

// noteRun records a run that was started or stopped on a worker, or has ended there; runs up to it must not start
// there any more.
func (a *orderAudit) noteRun(w *incarnation, task jobs.TaskID, run jobs.RunID) {
	key := taskOnWorker{w, task}
	a.highestRuns[key] = max(a.highestRuns[key], run)
}

// checkStaleStart checks that a start comes neither from a previous owner nor for an outdated run.
func (a *audit) checkStaleStart(w *incarnation, r *run, call jobs.StartCall) {
	if call.Fence < a.highestFences[w] {
		a.breach("%s is started on %s by fence %d after %d", r.task, w.info.ID, call.Fence, a.highestFences[w])
	}
	if last := a.highestRuns[taskOnWorker{w, r.task}]; r.id <= last {
		a.breach("run %d of %s begins on %s after run %d", r.id, r.task, w.info.ID, last)
	}
	a.noteRun(w, r.task, r.id)
}

// checkPlace checks the placement of a task: the label that its step requires and the step's limit per worker.
func (a *audit) checkPlace(w *incarnation, task jobs.TaskID, step *jobs.Step) {
	if !w.hasLabel(step) {
		a.breach("%s runs on %s, which has no label %q", task, w.info.ID, step.Requires)
	}
	if step.PerWorker == 0 {
		return
	}
	if together := countOfStep(w, task); together > step.PerWorker {
		a.breach("%d tasks beside %s run on %s, at most %d may", together-1, task, w.info.ID, step.PerWorker)
	}
}
