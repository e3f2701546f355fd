// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// JobOutcome is the outcome of a job, as its caller sees it.
type JobOutcome string

// The outcomes of jobs.
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

// FirstStart is the first start of any of a job's tasks.
type FirstStart struct {
	Queue jobs.QueueName
	Age   time.Duration // since the job was accepted
}

// JobFigures is what has become of jobs since it was last asked.
type JobFigures struct {
	Ends   []JobEnd
	Starts []FirstStart
}

// maxJobFigures bounds what is kept for an operator's metrics, should nobody ask: some minutes
// of jobs at the size that one cell is planned for.
const maxJobFigures = 10_000

// TakeJobFigures gives what has become of jobs since it was last asked.
func (c *Core) TakeJobFigures() JobFigures {
	figures := c.figures
	c.figures = JobFigures{}
	return figures
}

// recordFirstStart notes the first start of a job's tasks by this owner. Jobs accepted before
// it took the cell may have been started by a former one, and are left out.
func (c *Core) recordFirstStart(j *job, now time.Time) {
	if !j.fresh || j.firstStartNoted || len(c.figures.Starts) >= maxJobFigures {
		return
	}
	j.firstStartNoted = true
	c.figures.Starts = append(c.figures.Starts, FirstStart{j.spec.Queue, ageOf(j, c.timeOfDay(now))})
}

// recordJobEnd notes the end of a job.
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

// ageOf is how long ago a job was accepted, by another daemon's clock perhaps.
func ageOf(j *job, now models.UnixMilli) time.Duration {
	return max(0, time.Duration(now-j.accepted)*time.Millisecond)
}
