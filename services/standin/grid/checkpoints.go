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

// defaultCheckpointText is a short text that tells what a checkpoint stands for.
func defaultCheckpointText(saved Saved) jobs.Text {
	return jobs.Text(fmt.Sprintf("%s@%d#%d", saved.Task, saved.Work.Milliseconds(), saved.Number))
}

// saveCheckpoint makes a checkpoint of a run.
func (g *Grid) saveCheckpoint(r *run, work time.Duration) jobs.Text {
	saved := Saved{Task: r.task, Run: r.id, Work: work, Number: g.audit.checkpointCount() + 1}
	text := defaultCheckpointText
	if g.config.Text != nil {
		text = g.config.Text
	}
	r.reportedCheckpoint = text(saved)
	g.audit.noteCheckpoint(r.reportedCheckpoint, saved)
	return r.reportedCheckpoint
}

// restoreCheckpoint lets a run that is about to begin save, and go on from a checkpoint if it brings one
// of its task.
func (g *Grid) restoreCheckpoint(r *run, brought jobs.Text) {
	step := g.audit.step(r.task)
	r.makesCheckpoints = step != nil && step.Checkpoints && g.config.Save > 0
	saved, ok := g.audit.checkpointOf(r.task, brought)
	if !r.makesCheckpoints || !ok {
		return
	}
	r.remaining = max(0, r.work-saved.Work)
	r.startWork = r.work - r.remaining
	r.since = r.since.Add(g.config.Restore)
	if !g.config.ShowsOwn {
		r.reportedCheckpoint = brought
	}
}

// currentCheckpoint is the checkpoint that a run under way shows; empty: none.
func (g *Grid) currentCheckpoint(r *run, now time.Time) jobs.Text {
	if !r.makesCheckpoints {
		return ""
	}
	if saves := int((r.workDone(now) - r.startWork) / g.config.Save); saves > r.intervalsSaved {
		r.intervalsSaved = saves
		g.saveCheckpoint(r, r.startWork+time.Duration(saves)*g.config.Save)
	}
	return r.reportedCheckpoint
}

// endCheckpoint is the checkpoint that stands beside a run's end: a new one if it was stopped, none if
// it has succeeded.
func (g *Grid) endCheckpoint(w *incarnation, r *run, how jobs.End) jobs.Text {
	now := time.Now()
	switch {
	case how == jobs.EndFailed && w.faults.WrongTexts:
		return g.audit.latestOfOthers(r.task)
	case !r.makesCheckpoints || how == jobs.EndSucceeded:
		return ""
	case how == jobs.EndStopped:
		return g.saveCheckpoint(r, r.workDone(now))
	default:
		return g.currentCheckpoint(r, now)
	}
}

// noteReported notes the checkpoints of a report that is answered.
func (g *Grid) noteReported(report jobs.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range report.Running {
		g.audit.noteReported(r.Checkpoint)
	}
	for _, e := range report.Ended {
		g.audit.noteReported(e.Checkpoint)
	}
}

// CheckpointsBrought counts the runs that began with a checkpoint.
func (g *Grid) CheckpointsBrought() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.startsFromCheckpoint
}

// WorkLost is the work that began anew although a checkpoint of it had been reported in a call
// that was answered.
func (g *Grid) WorkLost() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := time.Duration(0)
	for _, b := range g.audit.staleStarts {
		sum += b.ReportedWork - b.StartWork
	}
	return sum
}

// StartsBehind lists the runs that began with less than had been reported of their task.
func (g *Grid) StartsBehind() []StaleStart {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.audit.staleStarts)
}
