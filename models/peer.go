// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// OfferCall offers tasks of one cell to another, in the epoch the sender knows.
type OfferCall struct {
	From  CellID `json:"from"`
	To    CellID `json:"to"`
	Epoch Epoch  `json:"epoch"`
	Tasks []Task `json:"tasks"`
}

// Check checks every task offered.
func (c OfferCall) Check() error {
	for _, t := range c.Tasks {
		if err := t.Check(); err != nil {
			return err
		}
		if t.State != TaskOffered {
			return errors.Newf("offer of %s: state is %s", t.ID, t.State)
		}
	}
	return nil
}

// OfferAnswer holds the final answer for each task; one that is missing is open.
type OfferAnswer struct {
	Accepted map[TaskID]bool `json:"accepted"`
}

// Check is there for the decoder; every value is allowed.
func (a OfferAnswer) Check() error { return nil }

// ReportCall tells a home cell what became of tasks it moved away, or asks the
// other cell to cancel them.
type ReportCall struct {
	To     CellID   `json:"to"`
	Tasks  []Task   `json:"tasks,omitempty"`
	Cancel []TaskID `json:"cancel,omitempty"`
}

// Check checks every task reported.
func (c ReportCall) Check() error {
	return checkAll(c.Tasks)
}

// ReportAnswer lists the tasks whose report is journalled, or that are not known.
type ReportAnswer struct {
	Settled []TaskID `json:"settled"`
}

// Check is there for the decoder; every value is allowed.
func (a ReportAnswer) Check() error { return nil }

// ClaimAction is what a ClaimCall wants.
type ClaimAction string

// The actions of a claim call.
const (
	ClaimTake  ClaimAction = "take"  // the right to send
	ClaimEnd   ClaimAction = "end"   // the request is over
	ClaimFree  ClaimAction = "free"  // the request was not run, the key may be taken again
	ClaimCarry ClaimAction = "carry" // a home that leaves passes on what it knows
)

// ClaimRecord is what a home keeps of one key.
type ClaimRecord struct {
	Key    string `json:"key"`
	Holder string `json:"holder"` // the request that holds it
	Ended  bool   `json:"ended,omitempty"`
}

// ClaimCall asks a home daemon of an idempotency key for the right to send, or
// tells it what became of the request. Only ClaimCarry names several keys.
type ClaimCall struct {
	Action  ClaimAction   `json:"action"`
	Records []ClaimRecord `json:"records"`
}

// MaxIdempotencyKey bounds an idempotency key, in bytes.
const MaxIdempotencyKey = 200

// MaxCarried bounds the records of one call.
const MaxCarried = 1000

// Check rejects unknown actions and claims without key or holder.
func (c ClaimCall) Check() error {
	switch c.Action {
	case ClaimTake, ClaimEnd, ClaimFree, ClaimCarry:
	default:
		return errors.Newf("claim: unknown action %q", c.Action)
	}
	if len(c.Records) == 0 || len(c.Records) > MaxCarried || c.Action != ClaimCarry && len(c.Records) != 1 {
		return errors.Newf("claim: %s with %d records", c.Action, len(c.Records))
	}
	for _, r := range c.Records {
		if err := checkName("holder", r.Holder); err != nil {
			return err
		}
		if r.Key == "" || len(r.Key) > MaxIdempotencyKey {
			return errors.Newf("idempotency key must have 1 to %d bytes", MaxIdempotencyKey)
		}
	}
	return nil
}

// ClaimState is what a home knows of a key.
type ClaimState string

// The states of a key at a home.
const (
	ClaimGranted ClaimState = "granted" // to this holder
	ClaimTaken   ClaimState = "taken"   // another request holds it or has run
	ClaimUnknown ClaimState = "unknown" // all who knew of the key are gone
)

// ClaimAnswer is a home's answer.
type ClaimAnswer struct {
	State ClaimState `json:"state"`
	Ended bool       `json:"ended,omitempty"` // the request that holds it is over
}

// Check rejects an unknown state.
func (a ClaimAnswer) Check() error {
	switch a.State {
	case ClaimGranted, ClaimTaken, ClaimUnknown:
		return nil
	default:
		return errors.Newf("claim: unknown state %q", a.State)
	}
}

// ForwardCall carries an operator's job call to the owner of the job's home cell.
type ForwardCall struct {
	Cell   CellID    `json:"cell"`
	Submit []JobSpec `json:"submit,omitempty"`
	Cancel []JobID   `json:"cancel,omitempty"`
	Jobs   bool      `json:"jobs,omitempty"`    // list jobs
	Tasks  bool      `json:"tasks,omitempty"`   // list tasks
	Task   TaskID    `json:"task,omitempty"`    // explain one task
	Worker bool      `json:"workers,omitempty"` // list workers
}

// Changes tells whether the call asks for a change.
func (c ForwardCall) Changes() bool { return len(c.Submit)+len(c.Cancel) > 0 }

// Check checks every job submitted.
func (c ForwardCall) Check() error {
	return checkAll(c.Submit)
}

// WorkerStatus is a worker as its owner sees it.
type WorkerStatus struct {
	VM          VMID        `json:"vm"`
	Cell        CellID      `json:"cell"`
	Rack        RackID      `json:"rack"`
	Capacity    Resources   `json:"capacity"`
	Committed   Resources   `json:"committed"`
	Usage       Resources   `json:"usage"`
	Tasks       int         `json:"tasks"`
	Incarnation Incarnation `json:"incarnation"`
	State       string      `json:"state"` // live, leaving, draining, silent, quarantined, unknown
}

// ForwardAnswer is the owner's answer; only the parts asked for are filled. Of a job of the
// call that is neither submitted, cancelled nor refused, the owner doesn't know.
type ForwardAnswer struct {
	Submitted []Job                `json:"submitted,omitempty"`
	Cancelled []Job                `json:"cancelled,omitempty"`
	Refused   map[JobID]JobRefusal `json:"refused,omitempty"`
	Jobs      []Job                `json:"jobs,omitempty"`
	Tasks     []Task               `json:"tasks,omitempty"`
	Workers   []WorkerStatus       `json:"workers,omitempty"`
	Decisions []Decision           `json:"decisions,omitempty"`
}

// JobRefusal says why an owner doesn't do what is asked of a job. Kind is the text of one of
// its errors, Reason that with what led to it.
type JobRefusal struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
}

// Check is there for the decoder; the owner fills it from checked records.
func (a ForwardAnswer) Check() error { return nil }

// Decision is a choice of the scheduler's, kept with its reason for operators.
type Decision struct {
	At     UnixMilli `json:"at"`
	Task   TaskID    `json:"task"`
	Action string    `json:"action"`
	Worker VMID      `json:"worker,omitempty"`
	Reason string    `json:"reason"`
}
