// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// checkpointAudit records all checkpoints that runs have made and reported.
type checkpointAudit struct {
	checkpoints           map[jobs.Text]CheckpointInfo
	order                 []jobs.Text                   // in the order in which they were made
	reportedWork          map[jobs.TaskID]time.Duration // the most work that an answered call has reported
	startsFromCheckpoint  int                           // number of starts with a checkpoint
	staleCheckpointStarts []StaleCheckpointStart
}

// StaleCheckpointStart is a run that began with less work than had been reported for its task. That is not a breach,
// because another owner may have received the report.
type StaleCheckpointStart struct {
	Task           jobs.TaskID
	Run            jobs.RunID
	Worker         jobs.WorkerID
	Checkpoint     jobs.Text // empty: none
	StartWork      time.Duration
	ReportedWork   time.Duration // the most work that an answered call reported before the start
	SinceGridStart time.Duration // the time of the start, since the grid began
}

func newCheckpointAudit() checkpointAudit {
	return checkpointAudit{checkpoints: map[jobs.Text]CheckpointInfo{}, reportedWork: map[jobs.TaskID]time.Duration{}}
}

// checkpointCount returns the number of checkpoints made.
func (a *checkpointAudit) checkpointCount() int { return len(a.order) }

// checkpointOf returns the checkpoint with a text, and whether it is one of the task.
func (a *checkpointAudit) checkpointOf(task jobs.TaskID, text jobs.Text) (CheckpointInfo, bool) {
	saved, ok := a.checkpoints[text]
	return saved, ok && saved.Task == task
}

// noteReported records that a checkpoint was reported in an answered call.
func (a *checkpointAudit) noteReported(text jobs.Text) {
	if saved, ok := a.checkpoints[text]; ok {
		a.reportedWork[saved.Task] = max(a.reportedWork[saved.Task], saved.Work)
	}
}

// noteCheckpoint records a checkpoint that a run makes. Its text must be neither empty nor in use.
func (a *audit) noteCheckpoint(text jobs.Text, saved CheckpointInfo) {
	if previous, ok := a.checkpoints[text]; ok || text == "" {
		a.breach("the stand-in makes the checkpoint %q for %s and for %s", text, previous.Task, saved.Task)
	}
	a.checkpoints[text] = saved
	a.order = append(a.order, text)
}

// latestOfOthers returns the latest checkpoint of any other task, or an empty one if there is none.
func (a *checkpointAudit) latestOfOthers(task jobs.TaskID) jobs.Text {
	for _, text := range slices.Backward(a.order) {
		if a.checkpoints[text].Task != task {
			return text
		}
	}
	return ""
}

// checkCheckpoint checks that a run begins without a checkpoint or with one of its own task, and records the
// run if less work comes with the checkpoint than had been reported.
func (a *audit) checkCheckpoint(w *incarnation, r *run, text jobs.Text, since time.Duration) {
	if text != "" {
		a.startsFromCheckpoint++
	}
	saved, known := a.checkpoints[text]
	switch {
	case text == "" || known && saved.Task == r.task:
	case known:
		a.breach("%s runs on %s with the checkpoint %q of %s", r.task, w.info.ID, text, saved.Task)
		return
	default:
		a.breach("%s runs on %s with the checkpoint %q, which no run has made", r.task, w.info.ID, text)
		return
	}
	if best := a.reportedWork[r.task]; best > saved.Work {
		a.staleCheckpointStarts = append(a.staleCheckpointStarts, StaleCheckpointStart{
			Task: r.task, Run: r.id, Worker: w.info.ID, Checkpoint: text, StartWork: saved.Work, ReportedWork: best, SinceGridStart: since,
		})
	}
}
