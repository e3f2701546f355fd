// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// step is one step of one occurrence of a job.
type step struct {
	job             *job
	occurrence      int
	number          int
	spec            *jobs.Step
	tasks           []task
	done            int
	waiting         int
	opened          bool            // its earlier steps are done and its time has come
	listed          bool            // in the core's open steps
	backoff         time.Time       // no look for places before
	stuck           time.Time       // since when no place is found for a waiting task; zero: one was
	baseline        contention.Load // of a step that serves
	aloneReportedAt time.Time       // when a task of it was last heard of that has nothing beside
}

// flat is the number of a step over all occurrences, as Progress counts.
func (s *step) flat() int { return s.occurrence*len(s.job.spec.Steps) + s.number }

// predecessors are the steps that must be done before this one.
func (s *step) predecessors() []*step {
	first := s.occurrence * len(s.job.spec.Steps)
	list := make([]*step, 0, len(s.spec.After))
	for _, number := range s.spec.After {
		list = append(list, s.job.steps[first+number])
	}
	return list
}

// mayOpen tells whether all earlier steps are done.
func (s *step) mayOpen() bool {
	for _, earlier := range s.predecessors() {
		if earlier.done < len(earlier.tasks) {
			return false
		}
	}
	return true
}

// openSteps opens the steps whose earlier steps are done.
func (c *Core) openSteps(j *job, now time.Time) {
	for _, s := range j.steps {
		if s.opened {
			c.listOpen(s)
			continue
		}
		if due := j.spec.DueAt(s.occurrence); c.timeOfDay(now) < due {
			continue
		}
		s.opened = s.mayOpen()
		c.listOpen(s)
	}
}

// listOpen puts an open step with waiting tasks among those to be placed.
func (c *Core) listOpen(s *step) {
	if s.listed || !s.opened || s.waiting == 0 || s.job.end != "" || s.job.cancelled {
		return
	}
	s.listed = true
	c.waitingSteps = append(c.waitingSteps, s)
}

// openDueOccurrences opens occurrences whose time has come.
func (c *Core) openDueOccurrences(now time.Time) {
	for _, j := range c.repeating {
		c.openSteps(j, now)
	}
}
