// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// step is one step in one occurrence of a job.
type step struct {
	job             *job
	occurrence      *occurrence
	number          int
	spec            *jobs.Step
	tasks           []task
	done            int                     // tasks that have succeeded
	waiting         int                     // tasks that are waiting
	standby         int                     // tasks on standby
	briefRuns       briefRuns               // see recentBriefRuns
	opened          bool                    // the steps that it depends on are done, and its time has come
	openedAt        time.Time               // when that was so
	inWaitingSteps  bool                    // is among the core's steps with waiting tasks
	backoff         time.Time               // workers are not searched for its tasks before then
	stuckSince      time.Time               // since when no worker can take a waiting task; zero: the last search found one
	roomSince       time.Time               // since when some usable worker has had room for a task of it, checked each time a waiting task is not started; zero: none has
	baseline        contention.BaselineLoad // baseline load of a serving step
	aloneReportedAt time.Time               // when a task of it without filler tasks beside it was last reported
}

// flat returns the step's number counted over all occurrences, as jobs.Progress counts steps.
func (s *step) flat() int { return s.occurrence.number*len(s.job.spec.Steps) + s.number }

// predecessors returns the steps that must be done before this one.
func (s *step) predecessors() []*step {
	list := make([]*step, 0, len(s.spec.After))
	for _, number := range s.spec.After {
		list = append(list, s.occurrence.steps[number])
	}
	return list
}

// mayOpen reports whether all predecessors are done.
func (s *step) mayOpen() bool {
	for _, earlier := range s.predecessors() {
		if earlier.done < len(earlier.tasks) {
			return false
		}
	}
	return true
}

// openSteps opens the occurrence's steps whose predecessors are done, once its time has come.
func (c *Core) openSteps(o *occurrence, now time.Time) {
	due := c.isDue(o.job, o.number)
	for _, s := range o.steps {
		if !s.opened && due && s.mayOpen() {
			s.opened, s.openedAt = true, now
			o.open(now)
		}
		c.listWaiting(s)
	}
}

// hasTasksToPlace reports whether tasks of the step wait, or stand by for their turn.
func (s *step) hasTasksToPlace() bool { return s.waiting+s.standby > 0 }

// listWaiting adds an opened step with such tasks to the steps to be placed.
func (c *Core) listWaiting(s *step) {
	if s.inWaitingSteps || !s.opened || !s.hasTasksToPlace() || s.job.end != "" || s.job.cancelled {
		return
	}
	s.inWaitingSteps = true
	c.waitingSteps = append(c.waitingSteps, s)
}
