// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// checkpointAudit knows all checkpoints that workers have made.
type checkpointAudit struct {
	checkpoints          map[jobs.Text]Saved
	order                []jobs.Text                   // in their order
	reportedWork         map[jobs.TaskID]time.Duration // the most work that an answered report has shown
	startsFromCheckpoint int                           // starts with a checkpoint
	staleStarts          []StaleStart
}

// StaleStart is a run that began with less work than had been reported of its task. That is
// no breach: another owner may have heard the report.
type StaleStart struct {
	Task           jobs.TaskID
	Run            jobs.RunID
	Worker         jobs.WorkerID
	Checkpoint     jobs.Text // empty: nothing
	StartWork      time.Duration
	ReportedWork   time.Duration // of an answered report before it
	SinceGridStart time.Duration // since the grid began
}

func newCheckpointAudit() checkpointAudit {
	return checkpointAudit{checkpoints: map[jobs.Text]Saved{}, reportedWork: map[jobs.TaskID]time.Duration{}}
}

// checkpointCount counts the checkpoints made.
func (a *checkpointAudit) checkpointCount() int { return len(a.order) }

// checkpointOf finds a checkpoint of a task.
func (a *checkpointAudit) checkpointOf(task jobs.TaskID, text jobs.Text) (Saved, bool) {
	saved, ok := a.checkpoints[text]
	return saved, ok && saved.Task == task
}

// noteReported notes a checkpoint that somebody was told of.
func (a *checkpointAudit) noteReported(text jobs.Text) {
	if saved, ok := a.checkpoints[text]; ok {
		a.reportedWork[saved.Task] = max(a.reportedWork[saved.Task], saved.Work)
	}
}

// noteCheckpoint notes a checkpoint that a run makes.
func (a *audit) noteCheckpoint(text jobs.Text, saved Saved) {
	if former, ok := a.checkpoints[text]; ok || text == "" {
		a.breach("the stand-in makes the checkpoint %q for %s and for %s", text, former.Task, saved.Task)
	}
	a.checkpoints[text] = saved
	a.order = append(a.order, text)
}

// latestOfOthers is the latest checkpoint of another task; empty: there is none.
func (a *checkpointAudit) latestOfOthers(task jobs.TaskID) jobs.Text {
	for _, text := range slices.Backward(a.order) {
		if a.checkpoints[text].Task != task {
			return text
		}
	}
	return ""
}

// checkCheckpoint checks that a run begins with nothing or with a checkpoint of its task, and
// notes what it lacks.
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
		a.breach("%s runs on %s with the checkpoint %q, which nobody has made", r.task, w.info.ID, text)
		return
	}
	if best := a.reportedWork[r.task]; best > saved.Work {
		a.staleStarts = append(a.staleStarts, StaleStart{
			Task: r.task, Run: r.id, Worker: w.info.ID, Checkpoint: text, StartWork: saved.Work, ReportedWork: best, SinceGridStart: since,
		})
	}
}
