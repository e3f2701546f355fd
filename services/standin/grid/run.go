// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// run is a run in progress.
type run struct {
	task      jobs.TaskID
	id        jobs.RunID
	size      models.Resources
	remaining time.Duration // work left, as time at full pace
	work      time.Duration
	how       jobs.End
	pace      jobs.Percent
	since     time.Time // the time at which remaining was valid; the end of the restore for a run that starts from a checkpoint
	timer     *time.Timer
	stopping  bool
	stalled   bool // the run makes no progress

	makesCheckpoints   bool
	startWork          time.Duration // work of the task that was done when the run began
	intervalsSaved     int           // number of full checkpoint intervals for which a checkpoint was made
	reportedCheckpoint jobs.Text     // empty: none
}

// longRunningWork is the work of a long-running task: longer than any test.
const longRunningWork = 1000 * time.Hour

// runParameters returns the resources that a run holds on its worker, how long it works and how it ends.
func (g *Grid) runParameters(call jobs.StartCall) (models.Resources, time.Duration, jobs.End) {
	step := g.audit.step(call.Task)
	if step == nil {
		return models.Resources{}, time.Second, jobs.EndSucceeded
	}
	work, how := step.Estimate.Duration(), jobs.EndSucceeded
	if g.config.Work != nil {
		work, how = g.config.Work(call.Task, call.Run)
	}
	if step.LongRunning {
		work = longRunningWork
	}
	size := step.Size
	if step.Filler {
		size.CPU = 0
	}
	return size, work, how
}

// scheduleEnd sets the timer for the end of a run according to its pace.
func (g *Grid) scheduleEnd(w *incarnation, r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.pace == 0 || r.stopping || r.stalled {
		return
	}
	after := max(0, time.Until(r.since)) + time.Duration(float64(r.remaining)*float64(jobs.FullSpeed)/float64(r.pace))
	r.timer = time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.up && w.runs[r.task] == r && !r.stopping {
			g.endRun(w, r, r.how)
		}
	})
}

// endRun ends a run and wakes the lease calls that wait for an end.
func (g *Grid) endRun(w *incarnation, r *run, how jobs.End) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.id)
	w.lastEndNumber++
	w.ends = append(w.ends, jobs.Ended{Number: w.lastEndNumber, Task: r.task, Run: r.id, How: how, Checkpoint: g.endCheckpoint(w, r, how)})
	g.audit.noteRun(w, r.task, r.id)
	g.audit.runEnded(w, r.task, how)
	g.acknowledge(w, 0)
	close(w.changed)
	w.changed = make(chan struct{})
}

// remainingAt returns the work that is left at a time.
func (r *run) remainingAt(now time.Time) time.Duration {
	if r.stalled {
		return r.remaining
	}
	worked := max(0, now.Sub(r.since))
	return r.remaining - time.Duration(float64(worked)*float64(r.pace)/float64(jobs.FullSpeed))
}

// updateRemaining records the work that is left before a change of the run's speed.
func (r *run) updateRemaining(now time.Time) {
	r.remaining = r.remainingAt(now)
	if now.After(r.since) {
		r.since = now
	}
}

// workDone returns the work that is done at a time, including the work that the run started with.
func (r *run) workDone(now time.Time) time.Duration { return r.work - max(0, r.remainingAt(now)) }

// progress returns the part of the work that is done.
func (r *run) progress(now time.Time) jobs.Percent {
	return jobs.Percent(100 * float64(r.workDone(now)) / float64(max(1, r.work)))
}
