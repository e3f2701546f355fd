// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// The users' bounds for a task that could run and doesn't.
const (
	// maxIdleTime is how long an accepted job may have nothing running, and a long-running task may be away, while
	// there is room.
	maxIdleTime = 3 * time.Second
	// maxAwayTime is how long after its last run a long-running task may be away in any case.
	maxAwayTime = 6 * time.Second
	// calmTime is how long before an idle time no fault may have been.
	calmTime = 4 * time.Second
	// requiredRoom is how often the task must fit on the workers.
	requiredRoom = 2
	// maxBusyShare is the share of the pool's capacity in use from which on jobs may be idle. Long-running tasks may not.
	maxBusyShare = 0.5
)

// progressAudit records which accepted jobs wait although they could run.
type progressAudit struct {
	unfinished    map[jobs.ID]*unfinishedJob
	lastFault     time.Time
	ongoingFaults map[string]bool              // by name
	lastEnds      map[jobs.TaskID]time.Time    // when the latest run of a long-running task ended
	lostSuccesses map[jobs.TaskID]bool         // successes whose workers ended before they were acknowledged
	lostWith      map[jobs.TaskID]*incarnation // the worker with which the latest lost run of a task ended
}

// unfinishedJob is an accepted job that has neither ended nor been cancelled, as far as is known.
type unfinishedJob struct {
	spec      jobs.Spec
	waits     map[jobs.TaskID]*wait     // waits that last now, by the key of waitKey
	roomWaits map[jobs.TaskID]*roomWait // by the same key
}

// wait is a time for which a task could run and doesn't.
type wait struct {
	task     jobs.TaskID
	since    time.Time
	reported bool
}

func newProgressAudit() progressAudit {
	return progressAudit{
		unfinished: map[jobs.ID]*unfinishedJob{}, lastFault: time.Now(), ongoingFaults: map[string]bool{},
		lastEnds: map[jobs.TaskID]time.Time{}, lostSuccesses: map[jobs.TaskID]bool{},
		lostWith: map[jobs.TaskID]*incarnation{},
	}
}

// noteFault records that a fault takes effect now.
func (a *progressAudit) noteFault() { a.lastFault = time.Now() }

// noteLastEnd records the end of a run if its task is long-running.
func (a *audit) noteLastEnd(task jobs.TaskID) {
	if step := a.step(task); step != nil && step.LongRunning {
		a.lastEnds[task] = time.Now()
	}
}

// noteLostEnds records the successes that a worker takes with it.
func (a *audit) noteLostEnds(w *incarnation) {
	for _, ended := range w.ends {
		if ended.How == jobs.EndSucceeded {
			a.lostSuccesses[ended.Task] = true
			a.lostWith[ended.Task] = w
		}
	}
}

// isDone reports whether a task has succeeded and the daemons know of it or can still learn it from its worker.
func (a *audit) isDone(task jobs.TaskID) bool {
	return a.acknowledgedSuccesses[task] || a.succeeded[task] && !a.lostSuccesses[task]
}

// stepIsDone reports whether all tasks of a step have succeeded.
func (a *audit) stepIsDone(spec *jobs.Spec, occurrence, step int) bool {
	for index := range spec.Steps[step].Count {
		if !a.isDone(jobs.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: index}) {
			return false
		}
	}
	return true
}

// dueTasks returns the tasks of a job whose turn has come and that are not done.
func (a *audit) dueTasks(spec *jobs.Spec) []jobs.TaskID {
	var due []jobs.TaskID
	now := models.UnixMilliOf(time.Now())
	for occurrence := range spec.Occurrences() {
		if spec.DueAt(occurrence) > now {
			break
		}
		for step := range spec.Steps {
			due = a.appendDueTasks(due, spec, occurrence, step)
		}
	}
	return due
}

// appendDueTasks appends the tasks of a step that are not done, if the step's turn has come.
func (a *audit) appendDueTasks(due []jobs.TaskID, spec *jobs.Spec, occurrence, step int) []jobs.TaskID {
	for _, after := range spec.Steps[step].After {
		if !a.stepIsDone(spec, occurrence, after) {
			return due
		}
	}
	for index := range spec.Steps[step].Count {
		if task := (jobs.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: index}); !a.isDone(task) {
			due = append(due, task)
		}
	}
	return due
}

// isFinished reports whether all tasks of a job have succeeded and the daemons have acknowledged that.
func (a *audit) isFinished(spec *jobs.Spec) bool {
	for occurrence := range spec.Occurrences() {
		for step := range spec.Steps {
			for index := range spec.Steps[step].Count {
				if !a.acknowledgedSuccesses[jobs.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: index}] {
					return false
				}
			}
		}
	}
	return true
}

// jobKeyStep is the step in the key of a job's wait.
const jobKeyStep = -1

// waitKey returns the key of a wait: a long-running task waits by itself, and all other tasks of a job together.
func waitKey(task jobs.TaskID, step *jobs.Step) jobs.TaskID {
	if step.LongRunning {
		return task
	}
	return jobs.TaskID{Job: task.Job, Step: jobKeyStep}
}

// progressMoment is what holds for all jobs when their waits are brought up to date.
type progressMoment struct {
	mayIdle  bool             // so much of the capacity is in use that jobs may have nothing running
	withRuns map[jobs.ID]bool // the jobs that have something running
}

// progressMoment looks at all workers once.
func (g *Grid) progressMoment() progressMoment {
	now := progressMoment{mayIdle: g.leastBusyShare() >= maxBusyShare, withRuns: map[jobs.ID]bool{}}
	for _, id := range g.idsByPlace {
		for task := range g.workers[id].runs {
			now.withRuns[task.Job] = true
		}
	}
	return now
}

// updateJobWaits brings the waits of a job up to date: a wait begins when a task could run and doesn't, and ends when it
// runs or could not run any more.
func (g *Grid) updateJobWaits(job *unfinishedJob, now progressMoment) {
	lasting := map[jobs.TaskID]*wait{}
	mayIdle := now.mayIdle || now.withRuns[job.spec.ID]
	rooms := roomCache{}
	due := g.audit.dueTasks(&job.spec)
	for _, task := range due {
		step := &job.spec.Steps[task.Step]
		key := waitKey(task, step)
		if lasting[key] != nil || !g.mustRun(task, step, mayIdle, rooms) {
			continue
		}
		lasting[key] = job.waits[key]
		if lasting[key] == nil {
			lasting[key] = &wait{task: task, since: time.Now()}
		}
	}
	job.waits = lasting
	g.updateRoomWaits(job, due, now, rooms)
}

// mustRun reports whether a task whose turn has come ought to run and doesn't: there is room for it, and it is long-running
// or its job may not be idle.
func (g *Grid) mustRun(task jobs.TaskID, step *jobs.Step, mayIdle bool, rooms roomCache) bool {
	switch {
	case step.LongRunning && len(g.audit.running[task]) > 0:
		return false
	case !step.LongRunning && mayIdle:
		return false
	}
	return !g.isHeld(task) && rooms.hasRoomFor(g, task, step)
}

// isHeld reports whether a task waits for the next incarnation of a worker that a task has crashed, as Config.CrashRule
// allows.
func (g *Grid) isHeld(task jobs.TaskID) bool {
	w := g.audit.lostWith[task]
	return g.config.CrashRule == CrashesHoldTheirTasks && w != nil && w.crashedByTask && g.incarnationAt(w.place) == w
}

// updateWaits brings the waits of all jobs up to date.
func (g *Grid) updateWaits() {
	now := g.progressMoment()
	for id, job := range g.audit.unfinished {
		if g.audit.isFinished(&job.spec) {
			delete(g.audit.unfinished, id)
			continue
		}
		g.updateJobWaits(job, now)
	}
}

// updateRunningWaits ends the waits that the start of a run of a job has ended, which may be over before the next check.
// Changes of the workers need no such update, because each is a fault.
func (g *Grid) updateRunningWaits(started jobs.ID) {
	now := g.progressMoment()
	for id, job := range g.audit.unfinished {
		if len(job.waits) > 0 || id == started {
			g.updateJobWaits(job, now)
		}
	}
}

// overdueWaits returns the waits that are longer than allowed, in the order of their keys.
func (g *Grid) overdueWaits() []*wait {
	var overdue []*wait
	for _, id := range slices.Sorted(maps.Keys(g.audit.unfinished)) {
		job := g.audit.unfinished[id]
		for _, key := range slices.SortedFunc(maps.Keys(job.waits), compareTasks) {
			if w := job.waits[key]; !w.reported && g.audit.isOverdue(w) {
				overdue = append(overdue, w)
			}
		}
	}
	return overdue
}

// compareTasks orders tasks of the same job.
func compareTasks(a, b jobs.TaskID) int {
	return slices.Compare([]int{a.Occurrence, a.Step, a.Index}, []int{b.Occurrence, b.Step, b.Index})
}

// isOverdue reports whether a wait has lasted too long in a time of calm.
func (a *audit) isOverdue(w *wait) bool {
	now := time.Now()
	if len(a.ongoingFaults) > 0 || now.Sub(a.idleSince(w)) <= maxIdleTime {
		return false
	}
	step := a.step(w.task)
	return !step.LongRunning || now.Sub(a.lastEnds[w.task]) > maxAwayTime
}

// idleSince returns when the part of a wait began that counts: the time of calm has passed by then.
func (a *audit) idleSince(w *wait) time.Time {
	if calm := a.lastFault.Add(calmTime); calm.After(w.since) {
		return calm
	}
	return w.since
}

// reportWait records the breach of a task that could run and doesn't.
func (g *Grid) reportWait(w *wait) {
	w.reported = true
	step := g.audit.step(w.task)
	g.audit.breach("%s of job %s could run and doesn't%s: it needs %+v, waits for %s since %s after the start, last fault at %s, free workers %v, share in use %.2f",
		w.task, w.task.Job, g.remarkOn(w.task.Job), step.Size, time.Since(w.since).Round(time.Millisecond), g.audit.sinceStart(w.since), g.audit.sinceStart(g.audit.lastFault),
		g.workersWithRoom(w.task, step), g.leastBusyShare())
}

// remarkOn returns what a breach says about a job.
func (g *Grid) remarkOn(id jobs.ID) string {
	if g.crashesWorkers(id) {
		return " (its job crashes its workers)"
	}
	return ""
}

// crashesWorkers reports whether a task of a job has crashed a worker.
func (g *Grid) crashesWorkers(id jobs.ID) bool {
	for task := range g.audit.crashes {
		if task.Job == id {
			return true
		}
	}
	return false
}

// sinceStart returns how long after the start of the audit a time was.
func (a *audit) sinceStart(t time.Time) time.Duration {
	return t.Sub(a.startedAt).Round(time.Millisecond)
}
