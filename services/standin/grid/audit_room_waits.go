// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A wait as users count it begins anew when the workers have no room for a moment. A task that waits while others take all
// room again and again could do so without end. So the audit also adds up the time in which there was room, since the task
// last ran and since the last fault. The same bounds hold for the sum.

// roomWait is the time in which a task that does not run could have run.
type roomWait struct {
	task     jobs.TaskID
	beside   time.Duration // in calm and beside room, until checkedAt
	checked  time.Time
	couldRun bool // when it was checked
	reported bool
}

// updateRoomWaits brings the sums of a job up to date; due are its tasks whose turn has come, and rooms holds what is known of
// the room for them.
func (g *Grid) updateRoomWaits(job *unfinishedJob, due []jobs.TaskID, now progressMoment, rooms roomCache) {
	idle := map[jobs.TaskID]*roomWait{}
	couldRun := map[jobs.TaskID]bool{}
	hasRun := now.withRuns[job.spec.ID]
	for _, task := range due {
		step := &job.spec.Steps[task.Step]
		if step.LongRunning && len(g.audit.running[task]) > 0 || !step.LongRunning && hasRun {
			continue
		}
		key := waitKey(task, step)
		if idle[key] = job.roomWaits[key]; idle[key] == nil {
			idle[key] = &roomWait{task: task, checked: time.Now()}
		}
		couldRun[key] = couldRun[key] || g.mustRun(task, step, now.mayIdle, rooms)
		if g.isHeld(task) {
			idle[key].beside = 0 // the loss of its worker counts like a fault for this job
		}
	}
	for key, w := range idle {
		g.audit.addRoom(w, couldRun[key])
	}
	job.roomWaits = idle
}

// addRoom adds the time since the last check to a sum if the task could run at both checks. A fault begins it anew.
func (a *audit) addRoom(w *roomWait, couldRun bool) {
	now, calm := time.Now(), a.lastFault.Add(calmTime)
	switch {
	case len(a.ongoingFaults) > 0 || now.Before(calm):
		w.beside = 0
	case w.couldRun && couldRun:
		since := w.checked
		if calm.After(since) {
			since = calm
		}
		w.beside += now.Sub(since)
	}
	w.checked, w.couldRun = now, couldRun
}

// overdueRoomWaits returns the tasks whose sums are longer than allowed, in the order of their keys.
func (g *Grid) overdueRoomWaits() []*roomWait {
	g.mu.Lock()
	defer g.mu.Unlock()
	var overdue []*roomWait
	for _, id := range slices.Sorted(maps.Keys(g.audit.unfinished)) {
		waits := g.audit.unfinished[id].roomWaits
		for _, key := range slices.SortedFunc(maps.Keys(waits), compareTasks) {
			if w := waits[key]; !w.reported && g.audit.isRoomWaitOverdue(w) {
				overdue = append(overdue, w)
			}
		}
	}
	return overdue
}

// isRoomWaitOverdue reports whether a task has not run beside room for too long in sum.
func (a *audit) isRoomWaitOverdue(w *roomWait) bool {
	if w.beside <= maxIdleTime {
		return false
	}
	return !a.step(w.task).LongRunning || time.Since(a.lastEnds[w.task]) > maxAwayTime
}

// checkRoomWaits records the breaches of tasks that have not run beside room for too long in sum, unless a daemon shows their
// jobs as ended.
func (g *Grid) checkRoomWaits(hasEnded func(jobs.ID) bool) {
	for _, w := range g.overdueRoomWaits() {
		if hasEnded(w.task.Job) {
			g.Ended(w.task.Job)
			continue
		}
		g.reportRoomWait(w)
	}
}

// reportRoomWait records the breach of a sum, unless the task runs by now or its wait is reported already.
func (g *Grid) reportRoomWait(w *roomWait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job := g.audit.unfinished[w.task.Job]
	step := g.audit.step(w.task)
	key := waitKey(w.task, step)
	if job == nil || job.roomWaits[key] != w {
		return
	}
	w.reported = true
	if span := job.waits[key]; span != nil && span.reported {
		return
	}
	g.audit.breach("%s of job %s could run and doesn't%s: it needs %+v and has had room for %s in sum, last run %s, last fault at %s, workers with room now %v, share in use %.2f",
		w.task, w.task.Job, g.remarkOn(w.task.Job), step.Size, w.beside.Round(time.Millisecond), g.lastRunOf(w.task), g.audit.sinceStart(g.audit.lastFault), g.workersWithRoom(w.task, step), g.leastBusyShare())
}

// lastRunOf returns until when a task last ran, for a breach.
func (g *Grid) lastRunOf(task jobs.TaskID) string {
	if end, known := g.audit.lastEnds[task]; known {
		return "until " + g.audit.sinceStart(end).String()
	}
	return "not known"
}
