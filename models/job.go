// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// MaxJobTasks bounds the number of tasks of a job.
const MaxJobTasks = 100_000

// JobSpec is a job as an operator submits it. Size and Work are per task.
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

// Check rejects a job without an ID or a team, and a job whose amounts or labels are out of range.
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

// JobState is the overall state of a job.
type JobState string

// The states of a job.
const (
	JobActive    JobState = "active"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Job is the journalled record of a job in the job's home cell. Tasks without a record of their own are queued
// and have never run, so a job of thousands of tasks takes only one record until its tasks start.
type Job struct {
	JobSpec
	SubmittedAt UnixMilli `json:"submitted"`
	State       JobState  `json:"state"`
	NextIndex   int       `json:"next"` // index of the first task without a record; no later task has one
	Succeeded   int       `json:"succeeded,omitempty"`
	Failed      int       `json:"failed,omitempty"`
	MayHaveRun  int       `json:"may_have_run,omitempty"`
	Stopped     int       `json:"stopped,omitempty"`
	Evictions   int       `json:"evictions,omitempty"`
	EndedAt     UnixMilli `json:"ended,omitempty"`
	Reason      string    `json:"reason,omitempty"`
}

// Check validates the spec and that the task counts are consistent.
func (j Job) Check() error {
	if err := j.JobSpec.Check(); err != nil {
		return err
	}
	if j.NextIndex < 0 || j.NextIndex > j.Tasks || j.endedTasks() > j.NextIndex {
		return errors.Newf("job %s: counts don't add up", j.ID)
	}
	return nil
}

// endedTasks returns the number of tasks that have ended.
func (j Job) endedTasks() int { return j.Succeeded + j.Failed + j.MayHaveRun + j.Stopped }

// Remaining returns the number of tasks that have not ended, including the tasks without a record.
func (j Job) Remaining() int { return j.Tasks - j.endedTasks() }

// NewTask returns a queued record for the job's task with the given index. The caller that stores the
// record must also advance NextIndex, the index of the job's first task without a record.
func (j Job) NewTask(index int) Task {
	return Task{
		ID: JobTaskID(j.ID, index), Kind: TaskBatch, Job: j.ID, Index: index, Team: j.Team, Labels: j.Labels,
		Size: j.Size, Urgent: j.Urgent, Unrepeatable: j.Unrepeatable, Work: j.Work, QueuedAt: j.SubmittedAt,
		State: TaskQueued,
	}
}

// CountEnded adds an ended task to the job's counts, and ends the job if this was its last task.
func (j Job) CountEnded(t Task, now UnixMilli) Job {
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

// Cancel cancels the job and counts every task without a record as stopped. The owner of the cell stops the
// tasks that have a record.
func (j Job) Cancel(now UnixMilli) Job {
	if j.State != JobActive {
		return j
	}
	j.State = JobCancelled
	j.Stopped += j.Tasks - j.NextIndex
	j.NextIndex = j.Tasks
	return j.endIfComplete(now)
}

// endIfComplete sets the end time and the final state once no task remains.
func (j Job) endIfComplete(now UnixMilli) Job {
	if j.Remaining() > 0 || j.EndedAt != 0 {
		return j
	}
	j.EndedAt = now
	if j.State == JobActive {
		j.State = JobDone
	}
	return j
}
