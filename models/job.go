// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// MaxJobTasks bounds the tasks of one job.
const MaxJobTasks = 100_000

// JobSpec is what an operator submits. Amounts are for each task.
type JobSpec struct {
	ID           JobID             `json:"id"`
	Team         TeamName          `json:"team"`
	Labels       map[string]string `json:"labels,omitempty"`
	Tasks        int               `json:"tasks"`
	Size         Resources         `json:"size"`
	Work         Milli             `json:"work_ms"`
	Urgent       bool              `json:"urgent,omitempty"`
	Unrepeatable bool              `json:"unrepeatable,omitempty"`
}

// Check rejects a job that names nothing or asks for impossible amounts.
func (s JobSpec) Check() error {
	if err := checkName("job id", string(s.ID)); err != nil {
		return err
	}
	if err := checkName("team", string(s.Team)); err != nil {
		return errors.Wrapf(err, "job %s", s.ID)
	}
	if s.Tasks < 1 || s.Tasks > MaxJobTasks {
		return errors.Newf("job %s: tasks %d is outside 1..%d", s.ID, s.Tasks, MaxJobTasks)
	}
	if s.Work < 1 {
		return errors.Newf("job %s: work_ms %d must be at least 1", s.ID, s.Work)
	}
	if s.Size.IsZero() {
		return errors.Newf("job %s: size asks for nothing", s.ID)
	}
	if err := checkLabels(s.Labels); err != nil {
		return errors.Wrapf(err, "job %s", s.ID)
	}
	return errors.Wrapf(s.Size.Check(), "job %s", s.ID)
}

// JobState sums up a job.
type JobState string

// The states of a job.
const (
	JobActive    JobState = "active"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Job is the journalled record of a job, kept in its home cell. Tasks from index
// Next on have no record of their own yet: they are queued and have never run, so
// a job of thousands of tasks costs one record until they start.
type Job struct {
	JobSpec
	Submitted  UnixMilli `json:"submitted"`
	State      JobState  `json:"state"`
	Next       int       `json:"next"`
	Succeeded  int       `json:"succeeded,omitempty"`
	Failed     int       `json:"failed,omitempty"`
	MayHaveRun int       `json:"may_have_run,omitempty"`
	Stopped    int       `json:"stopped,omitempty"`
	Evictions  int       `json:"evictions,omitempty"`
	Ended      UnixMilli `json:"ended,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Check checks the spec and that the counts can be true.
func (j Job) Check() error {
	if err := j.JobSpec.Check(); err != nil {
		return err
	}
	if j.Next < 0 || j.Next > j.Tasks || j.endedTasks() > j.Next {
		return errors.Newf("job %s: counts don't add up", j.ID)
	}
	return nil
}

func (j Job) endedTasks() int { return j.Succeeded + j.Failed + j.MayHaveRun + j.Stopped }

// Remaining is how many tasks have not ended, those without a record included.
func (j Job) Remaining() int { return j.Tasks - j.endedTasks() }

// NewTask makes the record of the job's next task; the caller raises Next with it.
func (j Job) NewTask(index int) Task {
	return Task{
		ID: JobTaskID(j.ID, index), Kind: TaskBatch, Job: j.ID, Index: index, Team: j.Team, Labels: j.Labels,
		Size: j.Size, Urgent: j.Urgent, Unrepeatable: j.Unrepeatable, Work: j.Work, Queued: j.Submitted,
		State: TaskQueued,
	}
}

// Count adds an ended task to the job's counts and ends the job with its last task.
func (j Job) Count(t Task, now UnixMilli) Job {
	switch {
	case t.State == TaskStopped:
		j.Stopped++
	case t.Outcome == OutcomeSucceeded:
		j.Succeeded++
	case t.Outcome == OutcomeMayHaveRun:
		j.MayHaveRun++
	default:
		j.Failed++
	}
	j.Evictions += t.Evictions
	if t.Outcome != OutcomeSucceeded && t.Reason != "" {
		j.Reason = t.Reason
	}
	return j.endIfComplete(now)
}

// Cancel ends every task that has no record yet; those with one are stopped apart.
func (j Job) Cancel(now UnixMilli) Job {
	if j.State != JobActive {
		return j
	}
	j.State = JobCancelled
	j.Stopped += j.Tasks - j.Next
	j.Next = j.Tasks
	return j.endIfComplete(now)
}

func (j Job) endIfComplete(now UnixMilli) Job {
	if j.Remaining() > 0 || j.Ended != 0 {
		return j
	}
	j.Ended = now
	if j.State == JobActive {
		j.State = JobDone
	}
	return j
}
