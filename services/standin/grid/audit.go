// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"fmt"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// audit compares the actual runs with the accepted jobs and records violated guarantees.
type audit struct {
	startedAt             time.Time
	specs                 map[jobs.ID]jobs.Spec
	attempts              map[jobs.ID]int
	running               map[jobs.TaskID]map[*incarnation]jobs.RunID // runs in progress, by worker
	succeeded             map[jobs.TaskID]bool
	lastStart             map[jobs.ID]time.Time // latest start of a task of the job
	acknowledgedSuccesses map[jobs.TaskID]bool  // tasks whose success was acknowledged
	acknowledgedFailures  map[jobs.TaskID]int   // failed runs whose ends were acknowledged
	failures              map[jobs.TaskID]int   // failed runs
	lapsed                int                   // runs whose lease was not renewed, or that ended with their worker
	crashes               map[jobs.TaskID]int   // workers that the task has crashed
	startsAfterCrashes    map[jobs.TaskID]int   // starts of the task after its crash number crashLimit
	breaches              []string
	checkpointAudit
	orderAudit
	progressAudit
	successAudit
}

func newAudit() *audit {
	return &audit{
		startedAt: time.Now(), specs: map[jobs.ID]jobs.Spec{}, attempts: map[jobs.ID]int{}, lastStart: map[jobs.ID]time.Time{},
		running: map[jobs.TaskID]map[*incarnation]jobs.RunID{}, succeeded: map[jobs.TaskID]bool{}, failures: map[jobs.TaskID]int{},
		acknowledgedSuccesses: map[jobs.TaskID]bool{}, acknowledgedFailures: map[jobs.TaskID]int{},
		crashes: map[jobs.TaskID]int{}, startsAfterCrashes: map[jobs.TaskID]int{},
		checkpointAudit: newCheckpointAudit(), orderAudit: newOrderAudit(), progressAudit: newProgressAudit(),
		successAudit: newSuccessAudit(),
	}
}

func (a *audit) expect(spec jobs.Spec, attempts int) {
	a.specs[spec.ID], a.attempts[spec.ID] = spec, attempts
}

// step returns the step of a task, or nil if its job was never accepted.
func (a *audit) step(task jobs.TaskID) *jobs.Step {
	spec, ok := a.specs[task.Job]
	if !ok || task.Step >= len(spec.Steps) {
		return nil
	}
	return &spec.Steps[task.Step]
}

func (a *audit) breach(format string, args ...any) {
	a.breaches = append(a.breaches, fmt.Sprintf(format, args...))
}

// runStarted records the start of a run and checks everything that must hold then.
func (a *audit) runStarted(w *incarnation, r *run, call jobs.StartCall) {
	a.lastStart[r.task.Job] = time.Now()
	step := a.step(r.task)
	if step == nil {
		a.breach("%s runs on %s although its job was never accepted", r.task, w.info.ID)
		return
	}
	if call.Payload != a.specs[r.task.Job].Payload {
		a.breach("%s runs with a payload that is not its job's", r.task)
	}
	for other := range a.running[r.task] {
		a.breach("%s runs on %s and on %s at the same time", r.task, other.info.ID, w.info.ID)
	}
	a.noteStart(r.task)
	if a.acknowledgedSuccesses[r.task] {
		a.breach("%s runs again although its success was acknowledged", r.task)
	}
	if !step.LongRunning && a.acknowledgedFailures[r.task] >= a.attempts[r.task.Job] {
		a.breach("%s runs again after %d failed runs", r.task, a.acknowledgedFailures[r.task])
	}
	a.checkStartsAfterCrashes(r.task)
	a.checkOrder(r.task, step)
	a.checkDue(r.task)
	a.checkPlace(w, r.task, step)
	a.checkCapacity(w)
	a.checkStaleStart(w, r, call)
	a.checkCheckpoint(w, r, call.Checkpoint, time.Since(a.startedAt))
	if a.running[r.task] == nil {
		a.running[r.task] = map[*incarnation]jobs.RunID{}
	}
	a.running[r.task][w] = r.id
}

// The users' bound for a task that crashes its workers: after crashLimit crashes, start number breachStarts is a
// breach.
const (
	crashLimit   = 3
	breachStarts = 3
)

// checkStartsAfterCrashes checks that a task which crashes its workers is abandoned in time.
func (a *audit) checkStartsAfterCrashes(task jobs.TaskID) {
	if a.crashes[task] < crashLimit {
		return
	}
	a.startsAfterCrashes[task]++
	if a.startsAfterCrashes[task] >= breachStarts {
		a.breach("%s has been started %d more times after it had crashed %d workers", task, a.startsAfterCrashes[task], a.crashes[task])
	}
}

// workerCrashed records that a task has crashed its worker.
func (a *audit) workerCrashed(task jobs.TaskID) { a.crashes[task]++ }

// checkOrder checks that all tasks of the steps that a task depends on have succeeded.
func (a *audit) checkOrder(task jobs.TaskID, step *jobs.Step) {
	spec := a.specs[task.Job]
	for _, after := range step.After {
		for index := range spec.Steps[after].Count {
			earlier := jobs.TaskID{Job: task.Job, Occurrence: task.Occurrence, Step: after, Index: index}
			if !a.succeeded[earlier] {
				a.breach("%s runs before %s has succeeded", task, earlier)
				return
			}
		}
	}
}

// maxEarly is how long before its time a task may start.
const maxEarly = 250 * time.Millisecond

// checkDue checks that the time of a task has come.
func (a *audit) checkDue(task jobs.TaskID) {
	due := a.specs[task.Job].DueAt(task.Occurrence)
	if now := models.UnixMilliOf(time.Now().Add(maxEarly)); due > now {
		a.breach("%s starts %d ms before its time", task, due-now+models.UnixMilli(models.MilliOf(maxEarly)))
	}
}

// checkCapacity checks that the runs on a worker hold no more than its capacity.
func (a *audit) checkCapacity(w *incarnation) {
	used := w.used()
	if limit := w.capacityLimit(); !used.Fits(limit) {
		a.breach("runs on %s hold %+v, its capacity is %+v", w.info.ID, used, limit)
	}
}

// runEnded records the end of a run.
func (a *audit) runEnded(w *incarnation, task jobs.TaskID, how jobs.End) {
	delete(a.running[task], w)
	a.noteLastEnd(task)
	switch how {
	case jobs.EndSucceeded:
		a.succeeded[task] = true
		a.noteSuccess(w, task)
		delete(a.lostSuccesses, task)
	case jobs.EndFailed:
		a.failures[task]++
	case jobs.EndLapsed:
		a.lapsed++
	}
}

// endAcknowledged records that the worker may drop an end; from then on, the daemons have to take the end into
// account.
func (a *audit) endAcknowledged(w *incarnation, ended jobs.Ended) {
	switch ended.How {
	case jobs.EndSucceeded:
		a.acknowledgedSuccesses[ended.Task] = true
		if a.forgetSuccess(w, ended.Task) {
			a.breach("%s ran again after its success on %s, which was acknowledged later", ended.Task, w.info.ID)
		}
	case jobs.EndFailed:
		a.acknowledgedFailures[ended.Task]++
	}
}
