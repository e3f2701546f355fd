// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"fmt"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// Saved is what a checkpoint stands for.
type Saved struct {
	Task jobs.TaskID
	Run  jobs.RunID // that has saved it
	// Work is how much of the task's work is done, all its runs together.
	Work time.Duration
	// Number is another one for each checkpoint of the grid, from 1.
	Number int
}

// textOf is a short text that tells what a checkpoint stands for.
func textOf(saved Saved) jobs.Text {
	return jobs.Text(fmt.Sprintf("%s@%d#%d", saved.Task, saved.Work.Milliseconds(), saved.Number))
}

// save makes a checkpoint of a run.
func (g *Grid) save(r *run, work time.Duration) jobs.Text {
	saved := Saved{Task: r.task, Run: r.id, Work: work, Number: g.audit.saves() + 1}
	text := textOf
	if g.config.Text != nil {
		text = g.config.Text
	}
	r.shown = text(saved)
	g.audit.saved(r.shown, saved)
	return r.shown
}

// restore lets a run that is about to begin save, and go on from a checkpoint if it brings one
// of its task.
func (g *Grid) restore(r *run, brought jobs.Text) {
	step := g.audit.step(r.task)
	r.checkpoints = step != nil && step.Checkpoints && g.config.Save > 0
	saved, ok := g.audit.checkpointOf(r.task, brought)
	if !r.checkpoints || !ok {
		return
	}
	r.left = max(0, r.work-saved.Work)
	r.from = r.work - r.left
	r.since = r.since.Add(g.config.Restore)
	if !g.config.ShowsOwn {
		r.shown = brought
	}
}

// savedBy is the checkpoint that a run under way shows; empty: none.
func (g *Grid) savedBy(r *run, now time.Time) jobs.Text {
	if !r.checkpoints {
		return ""
	}
	if saves := int((r.done(now) - r.from) / g.config.Save); saves > r.saves {
		r.saves = saves
		g.save(r, r.from+time.Duration(saves)*g.config.Save)
	}
	return r.shown
}

// leftBy is the checkpoint that stands beside a run's end: a new one if it was stopped, none if
// it has succeeded.
func (g *Grid) leftBy(w *incarnation, r *run, how jobs.End) jobs.Text {
	now := time.Now()
	switch {
	case how == jobs.EndFailed && w.faults.WrongTexts:
		return g.audit.latestOfOthers(r.task)
	case !r.checkpoints || how == jobs.EndSucceeded:
		return ""
	case how == jobs.EndStopped:
		return g.save(r, r.done(now))
	default:
		return g.savedBy(r, now)
	}
}

// noteHeard notes the checkpoints of a report that is answered.
func (g *Grid) noteHeard(report jobs.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range report.Running {
		g.audit.heard(r.Checkpoint)
	}
	for _, e := range report.Ended {
		g.audit.heard(e.Checkpoint)
	}
}

// CheckpointsBrought counts the runs that began with a checkpoint.
func (g *Grid) CheckpointsBrought() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.brought
}

// WorkLost is the work that began anew although a checkpoint of it had been reported in a call
// that was answered.
func (g *Grid) WorkLost() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := time.Duration(0)
	for _, b := range g.audit.behind {
		sum += b.Best - b.From
	}
	return sum
}

// StartsBehind lists the runs that began with less than had been reported of their task.
func (g *Grid) StartsBehind() []StartBehind {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.audit.behind)
}
