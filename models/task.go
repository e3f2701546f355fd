// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// TaskKind distinguishes replicas of latency-critical services from batch tasks.
type TaskKind string

// The kinds of tasks.
const (
	TaskService TaskKind = "service"
	TaskBatch   TaskKind = "batch"
)

// TaskState is the state of a task in its state machine; see Step for the transitions.
type TaskState string

// The states of a task. A task that is queued, stopped or done holds no capacity on any VM; a task that is
// offered or moved holds none in this cell.
const (
	TaskQueued   TaskState = "queued"
	TaskPlaced   TaskState = "placed"   // the placement is journalled; the task may be starting
	TaskRunning  TaskState = "running"  // the worker has reported that the task runs
	TaskEvicting TaskState = "evicting" // a stop call is being sent
	TaskLost     TaskState = "lost"     // the worker does not answer; the task may still run
	TaskOffered  TaskState = "offered"  // offered to another cell, which has not decided yet
	TaskMoved    TaskState = "moved"    // another cell has accepted the task
	TaskStopped  TaskState = "stopped"  // cancelled or retired, and proved not to be running
	TaskDone     TaskState = "done"
)

// TaskOutcome is the way in which a done task ended.
type TaskOutcome string

// The outcomes of a task.
const (
	OutcomeSucceeded  TaskOutcome = "succeeded"
	OutcomeFailed     TaskOutcome = "failed"
	OutcomeMayHaveRun TaskOutcome = "may-have-run" // unrepeatable, and not proved that it never started
)

// MaxTaskFailures is the number of failed attempts after which a batch task has failed for good.
const MaxTaskFailures = 3

// Task is the journalled record of one task. The owner of the task's cell writes it.
type Task struct {
	ID           TaskID            `json:"id"`
	Kind         TaskKind          `json:"kind"`
	Job          JobID             `json:"job,omitempty"`
	Index        int               `json:"index,omitempty"`
	Service      ServiceName       `json:"service,omitempty"`
	Replica      int               `json:"replica,omitempty"`
	Generation   int               `json:"generation,omitempty"` // of the replica; a new task for the replica gets the next one
	Team         TeamName          `json:"team"`
	Labels       map[string]string `json:"labels,omitempty"`
	Size         Resources         `json:"size"`
	Urgent       bool              `json:"urgent,omitempty"`
	Unrepeatable bool              `json:"unrepeatable,omitempty"`
	Work         Milli             `json:"work_ms,omitempty"` // declared run time; 0: the task runs until it is stopped
	QueuedAt     UnixMilli         `json:"queued"`

	State       TaskState   `json:"state"`
	Attempt     Attempt     `json:"attempt"`
	Worker      VMID        `json:"worker,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"` // of the worker, as known when the attempt was placed
	Checkpoint  string      `json:"checkpoint,omitempty"`
	Cancelled   bool        `json:"cancelled,omitempty"`
	Evictions   int         `json:"evictions,omitempty"`
	Failures    int         `json:"failures,omitempty"`
	FailedOn    []VMID      `json:"failed_on,omitempty"`
	Outcome     TaskOutcome `json:"outcome,omitempty"`
	Reason      string      `json:"reason,omitempty"`

	Home      CellID `json:"home,omitempty"`       // cell that offered the task to this cell
	Peer      CellID `json:"peer,omitempty"`       // cell to which the task is offered or moved
	PeerEpoch Epoch  `json:"peer_epoch,omitempty"` // epoch of that cell that the offer names
}

// Check rejects a record with an invalid ID, kind or state, or with amounts or labels that are out of range.
func (t Task) Check() error {
	if err := checkName("task id", string(t.ID)); err != nil {
		return err
	}
	if t.Kind != TaskService && t.Kind != TaskBatch {
		return errors.Newf("task %s: kind %q is neither %q nor %q", t.ID, t.Kind, TaskService, TaskBatch)
	}
	switch t.State {
	case TaskQueued, TaskPlaced, TaskRunning, TaskEvicting, TaskLost, TaskOffered, TaskMoved, TaskStopped, TaskDone:
	default:
		return errors.Newf("task %s: unknown state %q", t.ID, t.State)
	}
	if t.Work < 0 || t.Index < 0 || t.Replica < 0 || t.Generation < 0 {
		return errors.Newf("task %s: negative work, index, replica or generation", t.ID)
	}
	if err := checkLabels(t.Labels); err != nil {
		return errors.Wrapf(err, "task %s", t.ID)
	}
	return errors.Wrapf(t.Size.Check(), "task %s", t.ID)
}

// HoldsCapacity reports whether the task may be running in this cell. If so, its size counts against the capacity
// of its worker.
func (t Task) HoldsCapacity() bool {
	switch t.State {
	case TaskPlaced, TaskRunning, TaskEvicting, TaskLost:
		return true
	default:
		return false
	}
}

// Ended reports whether the task is in a final state.
func (t Task) Ended() bool { return t.State == TaskDone || t.State == TaskStopped }

// Foreign reports whether the task was taken over from another cell, its home cell.
func (t Task) Foreign() bool { return t.Home != "" }

// NeedsReport reports whether the task is a foreign task whose outcome or return must be reported to its home cell.
func (t Task) NeedsReport() bool {
	return t.Foreign() && (t.Ended() || t.State == TaskQueued)
}

// JobTaskID returns the ID of the job's task with the given index.
func JobTaskID(job JobID, index int) TaskID {
	return TaskID("job/" + string(job) + "/" + strconv.Itoa(index))
}

// ReplicaTaskID returns the ID of the task for one generation of a service's replica.
func ReplicaTaskID(service ServiceName, replica, generation int) TaskID {
	return TaskID("svc/" + string(service) + "/" + strconv.Itoa(replica) + "/" + strconv.Itoa(generation))
}
