// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// TaskKind tells latency-critical replicas from batch tasks.
type TaskKind string

// The kinds of task.
const (
	TaskService TaskKind = "service"
	TaskBatch   TaskKind = "batch"
)

// TaskState is where a task stands in its life; see Step for the moves.
type TaskState string

// The states of a task. Queued, stopped and done hold no room on any VM; offered
// and moved hold none in this cell.
const (
	TaskQueued   TaskState = "queued"
	TaskPlaced   TaskState = "placed"   // journalled, may be starting
	TaskRunning  TaskState = "running"  // the worker said so
	TaskEvicting TaskState = "evicting" // a stop is on its way
	TaskLost     TaskState = "lost"     // the worker is silent, it may still run
	TaskOffered  TaskState = "offered"  // offered to another cell, answer open
	TaskMoved    TaskState = "moved"    // another cell runs it
	TaskStopped  TaskState = "stopped"  // cancelled or retired, proved not running
	TaskDone     TaskState = "done"
)

// TaskOutcome is how a done task ended.
type TaskOutcome string

// The outcomes of a task.
const (
	OutcomeSucceeded  TaskOutcome = "succeeded"
	OutcomeFailed     TaskOutcome = "failed"
	OutcomeMayHaveRun TaskOutcome = "may-have-run" // unrepeatable and not proved unstarted
)

// MaxTaskFailures is after how many failed attempts a batch task is given up.
const MaxTaskFailures = 3

// Task is the journalled record of one task. The owner of its cell writes it.
type Task struct {
	ID           TaskID            `json:"id"`
	Kind         TaskKind          `json:"kind"`
	Job          JobID             `json:"job,omitempty"`
	Index        int               `json:"index,omitempty"`
	Service      ServiceName       `json:"service,omitempty"`
	Replica      int               `json:"replica,omitempty"`
	Generation   int               `json:"generation,omitempty"` // of a replica
	Team         TeamName          `json:"team"`
	Labels       map[string]string `json:"labels,omitempty"`
	Size         Resources         `json:"size"`
	Urgent       bool              `json:"urgent,omitempty"`
	Unrepeatable bool              `json:"unrepeatable,omitempty"`
	Work         Milli             `json:"work_ms,omitempty"` // declared run time; 0 runs until stopped
	Queued       UnixMilli         `json:"queued"`

	State       TaskState   `json:"state"`
	Attempt     Attempt     `json:"attempt"`
	Worker      VMID        `json:"worker,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"` // of the worker, as named at the start
	Checkpoint  string      `json:"checkpoint,omitempty"`
	Cancelled   bool        `json:"cancelled,omitempty"`
	Evictions   int         `json:"evictions,omitempty"`
	Failures    int         `json:"failures,omitempty"`
	FailedOn    []VMID      `json:"failed_on,omitempty"`
	Outcome     TaskOutcome `json:"outcome,omitempty"`
	Reason      string      `json:"reason,omitempty"`

	Home      CellID `json:"home,omitempty"`       // the cell that offered it to us
	Peer      CellID `json:"peer,omitempty"`       // the cell it is offered or moved to
	PeerEpoch Epoch  `json:"peer_epoch,omitempty"` // the epoch the offer names
}

// Check rejects a record that names no task or holds impossible amounts.
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

// HoldsRoom tells whether the task may be running in this cell, so that its size
// counts against its worker.
func (t Task) HoldsRoom() bool {
	switch t.State {
	case TaskPlaced, TaskRunning, TaskEvicting, TaskLost:
		return true
	default:
		return false
	}
}

// Ended tells whether nothing more will happen to the task.
func (t Task) Ended() bool { return t.State == TaskDone || t.State == TaskStopped }

// Foreign tells whether the task was taken over from another cell.
func (t Task) Foreign() bool { return t.Home != "" }

// ToReport tells whether a foreign task waits to be reported to its home cell.
func (t Task) ToReport() bool {
	return t.Foreign() && (t.Ended() || t.State == TaskQueued)
}

// JobTaskID is the id of the index-th task of a job.
func JobTaskID(job JobID, index int) TaskID {
	return TaskID("job/" + string(job) + "/" + strconv.Itoa(index))
}

// ReplicaTaskID is the id of one generation of a replica of a service.
func ReplicaTaskID(service ServiceName, replica, generation int) TaskID {
	return TaskID("svc/" + string(service) + "/" + strconv.Itoa(replica) + "/" + strconv.Itoa(generation))
}
