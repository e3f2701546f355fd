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
	texts   map[jobs.Text]Saved
	made    []jobs.Text                   // in their order
	best    map[jobs.TaskID]time.Duration // the most work that an answered report has shown
	brought int                           // starts with a checkpoint
	behind  []StartBehind
}

// StartBehind is a run that began with less work than had been reported of its task. That is
// no breach: another owner may have heard the report.
type StartBehind struct {
	Task    jobs.TaskID
	Run     jobs.RunID
	Worker  jobs.WorkerID
	Brought jobs.Text // empty: nothing
	From    time.Duration
	Best    time.Duration // of an answered report before it
	After   time.Duration // since the grid began
}

func newCheckpointAudit() checkpointAudit {
	return checkpointAudit{texts: map[jobs.Text]Saved{}, best: map[jobs.TaskID]time.Duration{}}
}

// saves counts the checkpoints made.
func (a *checkpointAudit) saves() int { return len(a.made) }

// checkpointOf finds a checkpoint of a task.
func (a *checkpointAudit) checkpointOf(task jobs.TaskID, text jobs.Text) (Saved, bool) {
	saved, ok := a.texts[text]
	return saved, ok && saved.Task == task
}

// heard notes a checkpoint that somebody was told of.
func (a *checkpointAudit) heard(text jobs.Text) {
	if saved, ok := a.texts[text]; ok {
		a.best[saved.Task] = max(a.best[saved.Task], saved.Work)
	}
}

// saved notes a checkpoint that a run makes.
func (a *audit) saved(text jobs.Text, saved Saved) {
	if former, ok := a.texts[text]; ok || text == "" {
		a.breach("the stand-in makes the checkpoint %q for %s and for %s", text, former.Task, saved.Task)
	}
	a.texts[text] = saved
	a.made = append(a.made, text)
}

// latestOfOthers is the latest checkpoint of another task; empty: there is none.
func (a *checkpointAudit) latestOfOthers(task jobs.TaskID) jobs.Text {
	for _, text := range slices.Backward(a.made) {
		if a.texts[text].Task != task {
			return text
		}
	}
	return ""
}

// checkCheckpoint checks that a run begins with nothing or with a checkpoint of its task, and
// notes what it lacks.
func (a *audit) checkCheckpoint(w *incarnation, r *run, text jobs.Text, since time.Duration) {
	if text != "" {
		a.brought++
	}
	saved, known := a.texts[text]
	switch {
	case text == "" || known && saved.Task == r.task:
	case known:
		a.breach("%s runs on %s with the checkpoint %q of %s", r.task, w.info.ID, text, saved.Task)
		return
	default:
		a.breach("%s runs on %s with the checkpoint %q, which nobody has made", r.task, w.info.ID, text)
		return
	}
	if best := a.best[r.task]; best > saved.Work {
		a.behind = append(a.behind, StartBehind{
			Task: r.task, Run: r.id, Worker: w.info.ID, Brought: text, From: saved.Work, Best: best, After: since,
		})
	}
}
