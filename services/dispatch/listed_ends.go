// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// A worker lists a bounded number of ended runs at once, in the order of their ends, until they are acknowledged. Nothing is
// acknowledged while the store is away. A run that is neither running nor listed by a worker whose list is full may
// have ended in any way: its task is neither lost nor done nor free to start, and its worker's capacity stays taken, until a
// report lists all ends. Once the store answers, each acknowledgement brings the next ends. A worker that is lost meanwhile
// takes them with it: nobody has acknowledged them, so that their tasks may start again.

// noteHiddenEnds records whether a report may not list all ended runs, and logs each change.
func (c *Core) noteHiddenEnds(w *worker, report jobs.Report) {
	hidden := len(report.Ended) >= c.config.EndsPerReport
	if hidden == w.endsHidden {
		return
	}
	w.endsHidden = hidden
	message := "worker lists all ended runs again"
	if hidden {
		message = "worker's list of ended runs is full; runs that it does not show keep their capacity until it lists their ends"
	}
	c.config.Logger.Info(message, zap.String("worker", string(w.info.ID)), zap.Int("listed", len(report.Ended)), zap.Int("tasks", len(w.tasks)),
		zap.Uint64("acknowledged", w.acked))
}

// releaseMissingRuns returns tasks to waiting that are assigned to the worker but missing from its report, if the report
// shows that they do not run and never will, and lists all ends.
func (c *Core) releaseMissingRuns(w *worker, sent time.Time) {
	for i := len(w.tasks) - 1; i >= 0; i-- {
		t := w.tasks[i]
		if t.lastReport == w.reportCount || !w.settles(t, sent) {
			continue
		}
		if w.endsHidden {
			t.endHidden = true
			continue
		}
		if t.state == taskRunning {
			c.config.Logger.Warn("run is missing from its worker's report without an end; its task waits again", zap.Stringer("task", t.id()), zap.String("worker", string(w.info.ID)))
		}
		if t.confirmed {
			c.requeue(t)
		} else {
			c.requeueUnstarted(t)
		}
	}
}

// settles reports whether the worker's report, which answers a call sent at the given time, shows a task's run unless it does
// not run and never will: the call was sent after the task's last order was answered, or it bars all starts that were sent to
// the worker's previous incarnation, because its fence is higher than theirs.
func (w *worker) settles(t *task, sent time.Time) bool {
	if t.fromPreviousIncarnation && w.fenceSent {
		return true
	}
	return !t.answeredAt.IsZero() && sent.After(t.answeredAt)
}
