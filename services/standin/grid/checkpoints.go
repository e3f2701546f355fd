// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"fmt"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// CheckpointInfo describes a checkpoint.
type CheckpointInfo struct {
	Task jobs.TaskID
	Run  jobs.RunID // the run that made the checkpoint
	// Work is the part of the task's work that is done, by all its runs together.
	Work time.Duration
	// Number counts the checkpoints of the grid from 1.
	Number int
}

// defaultCheckpointText returns a short text that describes a checkpoint.
func defaultCheckpointText(saved CheckpointInfo) jobs.Text {
	return jobs.Text(fmt.Sprintf("%s@%d#%d", saved.Task, saved.Work.Milliseconds(), saved.Number))
}

// saveCheckpoint makes a checkpoint of a run and returns its text.
func (g *Grid) saveCheckpoint(r *run, work time.Duration) jobs.Text {
	saved := CheckpointInfo{Task: r.task, Run: r.id, Work: work, Number: g.audit.checkpointCount() + 1}
	text := defaultCheckpointText
	if g.config.CheckpointText != nil {
		text = g.config.CheckpointText
	}
	r.reportedCheckpoint = text(saved)
	g.audit.noteCheckpoint(r.reportedCheckpoint, saved)
	return r.reportedCheckpoint
}

// restoreCheckpoint sets up the checkpoints of a run before it begins: whether the run makes any, and the work that it
// continues if it is started with a checkpoint of its own task.
func (g *Grid) restoreCheckpoint(r *run, given jobs.Text) {
	step := g.audit.step(r.task)
	r.makesCheckpoints = step != nil && step.Checkpoints && g.config.CheckpointInterval > 0
	saved, ok := g.audit.checkpointOf(r.task, given)
	if !r.makesCheckpoints || !ok {
		return
	}
	r.remaining = max(0, r.work-saved.Work)
	r.startWork = r.work - r.remaining
	r.since = r.since.Add(g.config.RestoreTime)
	if !g.config.OwnCheckpointsOnly {
		r.reportedCheckpoint = given
	}
}

// currentCheckpoint returns the checkpoint that a run in progress reports, or an empty one if there is none.
func (g *Grid) currentCheckpoint(r *run, now time.Time) jobs.Text {
	if !r.makesCheckpoints {
		return ""
	}
	if saves := int((r.workDone(now) - r.startWork) / g.config.CheckpointInterval); saves > r.intervalsSaved {
		r.intervalsSaved = saves
		g.saveCheckpoint(r, r.startWork+time.Duration(saves)*g.config.CheckpointInterval)
	}
	return r.reportedCheckpoint
}

// endCheckpoint returns the checkpoint that is reported with a run's end: a new one if the run was stopped, none if
// it has succeeded.
func (g *Grid) endCheckpoint(w *incarnation, r *run, how jobs.End) jobs.Text {
	now := time.Now()
	switch {
	case how == jobs.EndFailed && w.faults.WrongCheckpoints:
		return g.audit.latestOfOthers(r.task)
	case !r.makesCheckpoints || how == jobs.EndSucceeded:
		return ""
	case how == jobs.EndStopped:
		return g.saveCheckpoint(r, r.workDone(now))
	default:
		return g.currentCheckpoint(r, now)
	}
}

// noteReport tells the audit which checkpoints an answered call has reported.
func (g *Grid) noteReport(report jobs.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range report.Running {
		g.audit.noteReported(r.Checkpoint)
	}
	for _, e := range report.Ended {
		g.audit.noteReported(e.Checkpoint)
	}
}

// StartsFromCheckpoint returns the number of runs that began with a checkpoint.
func (g *Grid) StartsFromCheckpoint() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.startsFromCheckpoint
}

// WorkLost returns the work that was repeated although an answered call had reported a checkpoint of it.
func (g *Grid) WorkLost() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := time.Duration(0)
	for _, s := range g.audit.staleCheckpointStarts {
		sum += s.ReportedWork - s.StartWork
	}
	return sum
}

// StaleCheckpointStarts returns the runs that began with less work than had been reported for their task.
func (g *Grid) StaleCheckpointStarts() []StaleCheckpointStart {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.audit.staleCheckpointStarts)
}
