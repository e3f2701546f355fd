// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// State is what a caller is told of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed" // a task failed as often as its queue allows
	StateCancelled State = "cancelled"
)

// StateBarred is the end of a job that was cancelled before it was stored: nobody is shown it,
// and a write of the job that is still on its way meets its record.
const StateBarred State = "barred"

// Ended tells whether nothing more will happen to the job.
func (s State) Ended() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled || s == StateBarred
}

// Terms are the queue's terms at the time a job was accepted. They stay in force when
// the queue is dropped from the configuration.
type Terms struct {
	Pool        PoolName     `json:"pool"`
	Priority    int          `json:"priority,omitempty"` // 0 comes first
	MaxAttempts int          `json:"max_attempts,omitempty"`
	Slack       models.Milli `json:"slack_ms,omitempty"` // part of the latency objective that doesn't depend on the work
	Stretch     float64      `json:"stretch,omitempty"`  // the objective is Stretch times the longest chain, and Slack
	HasAdviser  bool         `json:"adviser,omitempty"`  // only an adviser knows which workers may run a step
}

// Record is what the store holds of a job in one of its cells. The daemon that accepts the
// job writes it; the owner of the cell replaces it by an ended one. When an owner hands
// tasks to another cell, it writes the records of both cells in one transaction.
type Record struct {
	Spec     Spec             `json:"spec"`
	Terms    Terms            `json:"terms"`
	Accepted models.UnixMilli `json:"accepted"`
	Ended    State            `json:"ended,omitempty"`    // empty while the job is active
	EndedAt  models.UnixMilli `json:"end_time,omitempty"` // by the owner's clock

	// Part says that the cell has only those of the job's tasks that Tasks names.
	Part  bool    `json:"part,omitempty"`
	Tasks TaskSet `json:"tasks,omitempty"`
	// Moved says that an active record was written again, so that its age doesn't tell which
	// owner may have started its tasks.
	Moved bool `json:"moved,omitempty"`
	// Came says that the tasks come from another cell, where they have waited already.
	Came bool `json:"came,omitempty"`
	// LeastRun is the highest number of a run that a cell had given before it handed tasks over.
	LeastRun RunID `json:"least_run,omitempty"`
	// Suspected is what was known against tasks when they came from another cell.
	Suspected Suspicions `json:"suspected,omitempty"`

	// Further are the further cells that have tasks of the job, beside those that follow from its id, as far as
	// they got them by this record; each is named once.
	Further []CellName `json:"further,omitempty"`
	// Home is, in the record of such a further cell, the cell whose record names it.
	Home CellName `json:"home,omitempty"`
	// Closed says that the job is cancelled, in more cells than one transaction can change: none of its tasks
	// moves any more.
	Closed bool `json:"closed,omitempty"`

	// Version is that of the record's key, filled in when it is read; 0: not known.
	Version uint64 `json:"-"`
}

// Check rejects a record that holds no valid job, or an end that is none. Ended records
// keep the id and the queue only.
func (r Record) Check() error {
	if r.Ended == "" {
		return r.Spec.Check()
	}
	if !r.Ended.Ended() {
		return errors.Newf("job %s: %q is no end", r.Spec.ID, r.Ended)
	}
	return r.Spec.ID.Check()
}

// Progress is what the store holds of an active job's ended tasks, so that a worker may
// forget them. Tasks that last have no ends in it.
type Progress struct {
	Done   map[int][]int            `json:"done,omitempty"`   // by step, over all occurrences: indexes of tasks that succeeded
	Failed map[int]map[int]Failures `json:"failed,omitempty"` // by step and index
	// Suspected are tasks under which workers were lost, also of those that last.
	Suspected Suspicions `json:"suspected,omitempty"`
}

// Empty tells whether there is nothing to store.
func (p Progress) Empty() bool { return len(p.Done)+len(p.Failed)+len(p.Suspected) == 0 }

// Failures are the failed runs of a task that were counted. They are kept one by one,
// because after a takeover the reports of several workers come in any order.
type Failures []RunID

// Check is there for the decoder; indexes outside the job are ignored when applied.
func (p Progress) Check() error { return nil }

// Cancellation is the stored wish to end a job.
type Cancellation struct {
	At models.UnixMilli `json:"at"`
}

// Check is there for the decoder; every value is allowed.
func (c Cancellation) Check() error { return nil }
