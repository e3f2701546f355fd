// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// State is the state of a job that callers are told.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed" // a task has failed as often as its queue allows
	StateCancelled State = "cancelled"
)

// StateBarred is the final state of a job that was cancelled before it was stored. Callers are never
// told the state. The record bars a write of the job that is still in flight.
const StateBarred State = "barred"

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled || s == StateBarred
}

// Terms are the queue's settings when a job was accepted. They stay in force when
// the queue is removed from the configuration.
type Terms struct {
	Pool        PoolName     `json:"pool"`
	Priority    int          `json:"priority,omitempty"` // 0 is the most urgent
	MaxAttempts int          `json:"max_attempts,omitempty"`
	Slack       models.Milli `json:"slack_ms,omitempty"` // constant part of the latency objective
	Stretch     float64      `json:"stretch,omitempty"`  // the objective is Stretch times the job's critical path, plus Slack
	HasAdviser  bool         `json:"adviser,omitempty"`  // only an adviser knows which workers may run a step
}

// Record is the stored record of a job in one of its cells. The daemon that accepts the job
// writes the record, and the owner of the cell replaces it with an ended record. An owner that
// moves tasks to another cell writes the records of both cells in one transaction.
type Record struct {
	Spec     Spec             `json:"spec"`
	Terms    Terms            `json:"terms"`
	Accepted models.UnixMilli `json:"accepted"`
	Ended    State            `json:"ended,omitempty"`    // empty while the job is active
	EndedAt  models.UnixMilli `json:"end_time,omitempty"` // by the owner's clock

	// Part is set if the cell has only the tasks of the job that are listed in Tasks.
	Part  bool    `json:"part,omitempty"`
	Tasks TaskSet `json:"tasks,omitempty"`
	// Rewritten is set if an active record has been rewritten. The age of such a record does not tell
	// which owners may have started the tasks.
	Rewritten bool `json:"moved,omitempty"`
	// Transferred is set if the tasks come from another cell, where they have already waited.
	Transferred bool `json:"came,omitempty"`
	// HighestRun is the highest run number that a cell had assigned before it moved tasks away. Later runs
	// get higher numbers.
	HighestRun RunID `json:"least_run,omitempty"`
	// Suspected holds the suspicions against tasks when they came from another cell.
	Suspected Suspicions `json:"suspected,omitempty"`

	// AdditionalCells lists cells that have tasks of the job and to which the job's id does not lead. A cell is listed if
	// it received its tasks by way of this record, and is listed in one record only.
	AdditionalCells []CellName `json:"further,omitempty"`
	// Home is set in the record of a cell to which the job's id does not lead: the cell whose record lists it.
	Home CellName `json:"home,omitempty"`
	// MovesClosed is set if the job is cancelled while it has tasks in more cells than one transaction can change. From
	// then on none of its tasks moves between cells.
	MovesClosed bool `json:"closed,omitempty"`

	// Version is the version of the record's key, set when the record is read; 0: not known.
	Version uint64 `json:"-"`
}

// Check rejects a record with an invalid job or with an end that is not a final state. Of an ended job only
// the id is checked, as ended records keep just the id and the queue of the specification.
func (r Record) Check() error {
	if r.Ended == "" {
		return r.Spec.Check()
	}
	if !r.Ended.Ended() {
		return errors.Newf("job %s: %q is no end", r.Spec.ID, r.Ended)
	}
	return r.Spec.ID.Check()
}

// EndedAs returns the record after the job has ended. Of the specification, only the id and the queue are kept.
func (r Record) EndedAs(state State, at models.UnixMilli) Record {
	return Record{
		Spec: Spec{ID: r.Spec.ID, Queue: r.Spec.Queue}, Accepted: r.Accepted, Ended: state, EndedAt: at,
		AdditionalCells: r.AdditionalCells, MovesClosed: r.MovesClosed,
	}
}

// Cancellation is the stored request to cancel a job.
type Cancellation struct {
	At models.UnixMilli `json:"at"`
}

// Check accepts all values; the decoder requires the method.
func (c Cancellation) Check() error { return nil }
