// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"slices"

	"rillsail.example/rillsail/models/jobs"
)

// orderAudit knows what each worker was told, whatever the worker itself makes of it.
type orderAudit struct {
	highestFences map[*incarnation]jobs.Fence // the highest that spoke to the worker
	highestRuns   map[taskOnWorker]jobs.RunID // the highest run that was started or stopped, or has ended, there
}

// taskOnWorker is a task on a worker.
type taskOnWorker struct {
	worker *incarnation
	task   jobs.TaskID
}

func newOrderAudit() orderAudit {
	return orderAudit{highestFences: map[*incarnation]jobs.Fence{}, highestRuns: map[taskOnWorker]jobs.RunID{}}
}

// noteFence notes a call to a worker.
func (a *orderAudit) noteFence(w *incarnation, fence jobs.Fence) {
	a.highestFences[w] = max(a.highestFences[w], fence)
}

// noteRun notes a run that was stopped or has ended on a worker, which bars those up to it.
func (a *orderAudit) noteRun(w *incarnation, task jobs.TaskID, run jobs.RunID) {
	at := taskOnWorker{w, task}
	a.highestRuns[at] = max(a.highestRuns[at], run)
}

// checkStaleStart checks that no former owner and no run of the past starts anything.
func (a *audit) checkStaleStart(w *incarnation, r *run, call jobs.StartCall) {
	if call.Fence < a.highestFences[w] {
		a.breach("%s is started on %s by fence %d after %d", r.task, w.info.ID, call.Fence, a.highestFences[w])
	}
	if last := a.highestRuns[taskOnWorker{w, r.task}]; r.id <= last {
		a.breach("run %d of %s begins on %s after run %d", r.id, r.task, w.info.ID, last)
	}
	a.noteRun(w, r.task, r.id)
}

// checkPlace checks that a task may be on its worker.
func (a *audit) checkPlace(w *incarnation, task jobs.TaskID, step *jobs.Step) {
	if step.Requires != "" && !slices.Contains(w.info.Labels, step.Requires) {
		a.breach("%s runs on %s, which has no label %q", task, w.info.ID, step.Requires)
	}
	if step.PerWorker == 0 {
		return
	}
	beside := 0
	for other := range w.runs {
		if other.Job == task.Job && other.Occurrence == task.Occurrence && other.Step == task.Step {
			beside++
		}
	}
	if beside > step.PerWorker {
		a.breach("%d tasks beside %s run on %s, at most %d may", beside-1, task, w.info.ID, step.PerWorker)
	}
}
