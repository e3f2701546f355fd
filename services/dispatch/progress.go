// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"rillsail.example/rillsail/models/jobs"
)

// progressOf collects the state of the job's tasks that would be lost when workers forget the ends of their runs.
func progressOf(j *job) jobs.Progress {
	progress := successesOf(j)
	for s := range j.heldSteps() {
		for i := range s.tasks {
			addToProgress(&progress, &s.tasks[i])
		}
	}
	return progress
}

// successesOf collects the tasks of the job that have succeeded.
func successesOf(j *job) jobs.Progress {
	progress := jobs.Progress{DoneOccurrences: j.doneOccurrences, Done: map[int][]int{}, Suspected: jobs.Suspicions{}}
	for s := range j.heldSteps() {
		if s.spec.LongRunning || s.occurrence.isDone() {
			continue
		}
		flat := s.flat()
		for i := range s.tasks {
			if s.tasks[i].state == taskDone {
				progress.Done[flat] = append(progress.Done[flat], i)
			}
		}
	}
	return progress
}

// addToProgress adds a task's counted failures and the suspicion against it, unless the task has succeeded.
func addToProgress(progress *jobs.Progress, t *task) {
	s := t.step
	if t.state == taskDone || s.occurrence.isDone() {
		return
	}
	if len(t.failures) > 0 && !s.spec.LongRunning {
		progress.SetFailures(s.flat(), t.index, t.failures)
	}
	if !t.suspicion.Empty() && t.state != taskElsewhere {
		progress.Suspected.Set(s.flat(), t.index, t.suspicion.Stored())
	}
}
