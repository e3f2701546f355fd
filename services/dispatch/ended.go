// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// endedJob is what is kept of an ended job.
type endedJob struct {
	state jobs.State
	until time.Time
}

// EndedRetention is the minimum time for which the state of an ended job is kept.
const EndedRetention = 150 * time.Second

// rememberEnd keeps the state of a job that has ended.
func (c *Core) rememberEnd(id jobs.ID, state jobs.State, now time.Time) {
	c.ended[id] = endedJob{state: state, until: now.Add(EndedRetention)}
}

// forgetInterval is how often expired ended jobs are removed.
const forgetInterval = time.Second

// forgetEnded removes ended jobs that have been kept long enough.
func (c *Core) forgetEnded(now time.Time) {
	if now.Sub(c.endedSweptAt) < forgetInterval {
		return
	}
	c.endedSweptAt = now
	c.pruneLosses()
	for id, e := range c.ended {
		if now.After(e.until) {
			delete(c.ended, id)
			c.forgotten = append(c.forgotten, id)
		}
	}
}

// State returns the state of a job as far as it is stored.
func (c *Core) State(id jobs.ID) (jobs.State, bool) {
	if e, ok := c.ended[id]; ok {
		return e.state, e.state != jobs.StateBarred
	}
	j, ok := c.jobs[id]
	switch {
	case !ok:
		return "", false
	case j.cancelled:
		return jobs.StateCancelled, true
	case j.begun:
		return jobs.StateRunning, true
	default:
		return jobs.StateQueued, true
	}
}

// Pending counts the jobs of each queue of which no task has begun. A job divided between cells is counted in
// the cell that has its first task.
func (c *Core) Pending() map[jobs.QueueName]int {
	pending := map[jobs.QueueName]int{}
	for _, j := range c.jobs {
		if !j.begun && !j.cancelled && j.end == "" && !j.firstTaskIsElsewhere() {
			pending[j.spec.Queue]++
		}
	}
	return pending
}
