// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import "rillsail.example/rillsail/models/jobs"

// successAudit records the successes that are not acknowledged yet. A task must not run again after a success that is
// acknowledged later, unless the worker's lease was over in between, or the worker has ended.
type successAudit struct {
	startedAfter map[jobs.TaskID]map[*incarnation]bool // whether the task has started again since the success on a worker
}

func newSuccessAudit() successAudit {
	return successAudit{startedAfter: map[jobs.TaskID]map[*incarnation]bool{}}
}

// noteSuccess records a success.
func (a *successAudit) noteSuccess(w *incarnation, task jobs.TaskID) {
	if a.startedAfter[task] == nil {
		a.startedAfter[task] = map[*incarnation]bool{}
	}
	a.startedAfter[task][w] = false
}

// noteStart records the start of a task.
func (a *successAudit) noteStart(task jobs.TaskID) {
	for w := range a.startedAfter[task] {
		a.startedAfter[task][w] = true
	}
}

// noteLapse forgets the successes on a worker whose lease is over or that has ended.
func (a *successAudit) noteLapse(w *incarnation) {
	for _, ended := range w.ends {
		a.forgetSuccess(w, ended.Task)
	}
}

// forgetSuccess forgets a success, and reports whether the task has started again since.
func (a *successAudit) forgetSuccess(w *incarnation, task jobs.TaskID) (startedAgain bool) {
	startedAgain = a.startedAfter[task][w]
	delete(a.startedAfter[task], w)
	if len(a.startedAfter[task]) == 0 {
		delete(a.startedAfter, task)
	}
	return startedAgain
}
