// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// JobOutcome is the outcome of a job from its caller's point of view.
type JobOutcome string

// Outcomes of jobs.
const (
	JobInTime    JobOutcome = "in_time"
	JobLate      JobOutcome = "late" // succeeded after its objective
	JobFailed    JobOutcome = "failed"
	JobCancelled JobOutcome = "cancelled"
)

// JobEnd is the end of a job.
type JobEnd struct {
	Queue   jobs.QueueName
	Outcome JobOutcome
	Age     time.Duration // since it was accepted
}

// FirstStart is the first start of any task of a job.
type FirstStart struct {
	Queue jobs.QueueName
	Age   time.Duration // since the job was accepted
}

// JobFigures are the job ends and first starts since TakeJobFigures was last called.
type JobFigures struct {
	Ends   []JobEnd
	Starts []FirstStart
}

// maxJobFigures bounds the figures kept for an operator's metrics in case TakeJobFigures is not called: a few minutes
// of jobs at the size for which one cell is planned.
const maxJobFigures = 10_000

// TakeJobFigures returns the figures recorded since it was last called.
func (c *Core) TakeJobFigures() JobFigures {
	figures := c.figures
	c.figures = JobFigures{}
	return figures
}

// recordFirstStart records the first start of a job's tasks by this owner. Jobs accepted before this owner took
// the cell are left out, because a previous owner may have started them.
func (c *Core) recordFirstStart(j *job, now time.Time) {
	if !j.fresh || j.firstStartRecorded || len(c.figures.Starts) >= maxJobFigures {
		return
	}
	j.firstStartRecorded = true
	c.figures.Starts = append(c.figures.Starts, FirstStart{j.spec.Queue, ageOf(j, c.timeOfDay(now))})
}

// recordJobEnd records the end of a job.
func (c *Core) recordJobEnd(j *job, state jobs.State, now time.Time) {
	if len(c.figures.Ends) >= maxJobFigures {
		return
	}
	outcome := JobInTime
	switch {
	case state == jobs.StateFailed:
		outcome = JobFailed
	case state == jobs.StateCancelled:
		outcome = JobCancelled
	case c.timeOfDay(now) > c.deadline(j):
		outcome = JobLate
	}
	c.figures.Ends = append(c.figures.Ends, JobEnd{j.spec.Queue, outcome, ageOf(j, c.timeOfDay(now))})
}

// ageOf returns how long ago a job was accepted; the time of acceptance may be by another daemon's clock.
func ageOf(j *job, now models.UnixMilli) time.Duration {
	return max(0, time.Duration(now-j.accepted)*time.Millisecond)
}
