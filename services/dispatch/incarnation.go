// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// A worker may start again under its previous id. All state of a worker belongs to one incarnation, so each incarnation
// has a worker value of its own, which replaces that of the previous incarnation. The incarnation that answers calls is
// the present one. The list does not decide, because its entries may be late, nor does the order of the incarnations'
// start times, because the time of day may be set back. Calls that ask for reports are made one after the other, so the
// incarnation that answers the later call is the later one.

// OtherIncarnationAnswered records that a call meant for one incarnation reached another one, which did not carry out
// the call; born is the start time of the incarnation that answered, 0 when it is not known.
func (c *Core) OtherIncarnationAnswered(meant jobs.Incarnation, born models.UnixMilli, now time.Time) {
	w, ok := c.workers[meant.ID]
	switch {
	case !ok || w.info.Born != meant.Born: // already known
	case born == 0 || born == meant.Born:
		c.Replaced(meant.ID, now)
	default:
		c.counts.RestartsMet++
		c.replaceIncarnation(w, born, now, now)
	}
}

// reportingIncarnation returns the incarnation that has sent a report, and whether no later report was applied before.
func (c *Core) reportingIncarnation(w *worker, sent time.Time, report jobs.Report, now time.Time) (sender *worker, isLatest bool) {
	c.logUnreadableStartTime(w, report)
	switch {
	case !w.isOtherIncarnation(report):
		c.learnStartTime(w, report)
		return w, report.Clock >= w.reportClock
	case sent.Before(w.incarnationSince):
		return w, false
	default:
		c.counts.RestartsReported++
		return c.replaceIncarnation(w, report.Born, sent, now), true
	}
}

// isOtherIncarnation reports whether the report is of another incarnation. A worker that begins to report its start
// time is another incarnation if its clock has begun anew.
func (w *worker) isOtherIncarnation(report jobs.Report) bool {
	switch {
	case report.Born == 0:
		return false
	case w.info.Born == 0:
		return w.answered && report.Clock < w.reportClock
	default:
		return report.Born != w.info.Born
	}
}

// learnStartTime takes the incarnation's start time from a report if it is not known yet. The roster has to be stored
// with it.
func (c *Core) learnStartTime(w *worker, report jobs.Report) {
	if w.info.Born == 0 && report.Born != 0 {
		w.info.Born = report.Born
		c.rosterChanged = true
	}
}

// logUnreadableStartTime logs once that the start time in a worker's reports is not valid.
func (c *Core) logUnreadableStartTime(w *worker, report jobs.Report) {
	if report.BornUnreadable && !w.unreadableStartTimeLogged {
		w.unreadableStartTimeLogged = true
		c.config.Logger.Warn("worker's reports have no valid start time", zap.String("worker", string(w.info.ID)))
	}
}

// recordListEntry records the list's entry for another incarnation. That incarnation may have ended, or may not have
// answered yet; a new entry makes the owner request the next report at once.
func (c *Core) recordListEntry(w *worker, entry jobs.Worker) {
	w.otherEntry = &entry
	if w.reportUrgentFor == entry.Born {
		return
	}
	w.reportUrgent, w.reportUrgentFor = true, entry.Born
	c.urgentWorkers = append(c.urgentWorkers, w.info.ID)
}

// TakeImmediatePolls returns the workers to be asked for a report at once instead of waiting for the answer to the
// outstanding call: the list names another incarnation, or another one has answered. A call to an incarnation that has
// ended may stay unanswered, and the next one refuses no earlier calls before it has been called itself.
func (c *Core) TakeImmediatePolls() []jobs.WorkerID {
	workers := c.urgentWorkers
	c.urgentWorkers = nil
	return workers
}

// replaceIncarnation replaces an incarnation that has ended, and whose runs are lost, by the worker's next one. The new
// incarnation is called at once, and gets starts when the roster and the list name it. Calls that were sent before the
// time since were meant for an earlier incarnation.
func (c *Core) replaceIncarnation(w *worker, born models.UnixMilli, since, now time.Time) *worker {
	c.config.Logger.Info("worker has started again under its id", zap.String("worker", string(w.info.ID)),
		zap.Int64("before", int64(w.info.Born)), zap.Int64("born", int64(born)), zap.Bool("listed", w.otherEntry != nil && w.otherEntry.Born == born))
	c.urgentWorkers = append(c.urgentWorkers, w.info.ID)
	unanswered := w.unansweredStarts()
	c.removeWorker(w, "it has started again under its id", now)
	info := w.info
	info.Born, info.Draining, info.Remaining, info.LeavesAt = born, false, 0, 0
	next := c.addWorker(info, now)
	c.recordFirstAnswer(next)
	next.incarnationSince = since
	next.inStoredRoster, next.inPendingRoster = w.inStoredRoster, w.inPendingRoster
	next.inPreviousRoster = w.inPreviousRoster && !w.answered
	next.missingSince = now
	switch {
	case w.otherEntry == nil:
		next.otherEntry = w.listEntry()
	case w.otherEntry.Born == born:
		c.applyListEntry(next, *w.otherEntry, now)
	default:
		next.otherEntry = w.otherEntry
	}
	c.barStarts(next, unanswered)
	return next
}

// listEntry returns the list's entry for this incarnation; nil if the list does not name it.
func (w *worker) listEntry() *jobs.Worker {
	if !w.listed {
		return nil
	}
	entry := w.info
	return &entry
}

// unansweredStarts returns the tasks on the worker whose start is not answered and may still be carried out.
func (w *worker) unansweredStarts() []*task {
	var unanswered []*task
	for _, t := range w.tasks {
		if t.startUnanswered {
			unanswered = append(unanswered, t)
		}
	}
	return unanswered
}

// barStarts keeps tasks from starting elsewhere until a worker's new incarnation has barred their runs or shown that
// they run there: the new incarnation may carry out a start that was meant for the previous one.
func (c *Core) barStarts(w *worker, unanswered []*task) {
	for _, t := range unanswered {
		if t.state != taskWaiting {
			continue // its job has ended
		}
		t.step.waiting--
		t.step.job.running++
		t.state, t.confirmed = taskRunning, false
		t.fromPreviousIncarnation = true
		c.awaitAnswer(t)
		t.bindToLateStart(w.info.ID)
		c.recordLateStart(t, w.info.ID)
		w.add(t)
		c.recordChange(w)
		c.stop(t, "its worker's next incarnation may carry out its start")
	}
}
