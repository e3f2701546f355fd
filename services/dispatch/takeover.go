// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Enrol takes the stored roster: the workers on which previous owners may have started something, whether the
// platform's list names them now or not.
func (c *Core) Enrol(roster jobs.Roster, now time.Time) {
	c.takeovers.epochs = roster.Unseen
	switch {
	case len(roster.Workers) == 0: // nobody has started anything
		c.formerLease = c.config.Lease
	case roster.Lease > 0:
		c.formerLease = min(roster.Lease.Duration(), c.config.LongestLease)
	}
	for _, info := range roster.Workers {
		w, known := c.workers[info.ID]
		if !known {
			// A lease longer than the roster's is granted only once the stored roster names it.
			w = c.addWorker(info, now)
			w.enrolled = c.formerLease >= c.config.Lease
			if info.Leaves != 0 {
				w.leaves = c.timeAt(info.Leaves, now)
			}
		}
		w.former = true
	}
}

// roster returns what has to be stored about the workers that may get starts. Its lease never becomes shorter,
// because leases of previous owners may still be running.
func (c *Core) roster() *jobs.Roster {
	roster := &jobs.Roster{Lease: models.MilliOf(max(c.config.Lease, c.formerLease)), Unseen: c.takeovers.epochs}
	for _, w := range c.order {
		if !w.retired {
			roster.Workers = append(roster.Workers, w.info)
		}
	}
	return roster
}

// previousOwnerMargin is how long a previous owner may go on after the takeover: it calls all workers within about
// 2 s, and learns of the new epoch from the first one that has it.
const previousOwnerMargin = 3 * time.Second

// maxBlindTime ends the time after a takeover in which unreported runs may exist also when most workers never
// answer, as in an outage of most of a fleet.
const maxBlindTime = 30 * time.Second

// formerLapsed returns when everything that previous owners started on workers that do not answer has certainly
// ended.
func (c *Core) formerLapsed() time.Time {
	if c.fenced.IsZero() {
		return c.config.Taken.Add(maxBlindTime)
	}
	return c.fenced.Add(time.Duration(float64(c.formerLease)*slowClock) + previousOwnerMargin)
}

// noteAnswered records when most workers have sent their first report in this epoch. A worker that has started again
// since its report has not seen the epoch.
func (c *Core) noteAnswered(now time.Time) {
	if !c.fenced.IsZero() {
		return
	}
	answered := 0
	for _, w := range c.order {
		if w.answered {
			answered++
		}
	}
	if 2*answered > len(c.order) {
		c.fenced = now
	}
}

// checkBlind ends the time after a takeover in which unreported runs may exist: every worker that previous owners
// may have used has reported, or has certainly ended its runs.
func (c *Core) checkBlind(now time.Time) {
	if !c.blind || len(c.order) == 0 && c.now.Before(c.formerLapsed()) {
		return
	}
	for _, w := range c.order {
		if w.former && !w.answered && !c.hasLapsed(w) {
			return
		}
	}
	c.blind = false
	c.countOpenRuns()
	c.recordTakeoverLosses()
	waiting := 0
	for _, j := range c.jobs {
		waiting += c.recoverJob(j)
	}
	c.config.Logger.Info("cell is recovered", zap.Int("workers", len(c.order)), zap.Int("jobs", len(c.jobs)),
		zap.Int("tasks_not_running", waiting), zap.Duration("after", now.Sub(c.config.Taken)))
}

// recoverJob lets the tasks of a job wait for placement that no worker has reported, and counts them.
func (c *Core) recoverJob(j *job) int {
	waiting := 0
	for _, s := range j.steps {
		for i := range s.tasks {
			if s.tasks[i].state == taskUnknown {
				c.countTakeoverLoss(&s.tasks[i])
				s.tasks[i].state = taskWaiting
				s.waiting++
				waiting++
			}
		}
		c.listOpen(s)
	}
	c.settle(j)
	return waiting
}
