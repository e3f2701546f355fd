// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// OfferCall offers tasks of one cell to another cell. Epoch is the latest epoch
// of the other cell that the sender knows.
type OfferCall struct {
	From  CellID `json:"from"`
	To    CellID `json:"to"`
	Epoch Epoch  `json:"epoch"`
	Tasks []Task `json:"tasks"`
}

// Check validates every task and that its state is offered.
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

// OfferAnswer holds the final decision on each task. A task that is missing is not decided yet.
type OfferAnswer struct {
	Accepted map[TaskID]bool `json:"accepted"`
}

// Check implements wire.Checker; every value is valid.
func (a OfferAnswer) Check() error { return nil }

// ReportCall reports to a home cell the outcome of tasks that it moved to another cell, or asks that other cell
// to cancel tasks.
type ReportCall struct {
	To     CellID   `json:"to"`
	Tasks  []Task   `json:"tasks,omitempty"`
	Cancel []TaskID `json:"cancel,omitempty"`
}

// Check validates every reported task.
func (c ReportCall) Check() error {
	return checkAll(c.Tasks)
}

// ReportAnswer lists the tasks whose report is journalled, and the tasks that the receiver does not know.
type ReportAnswer struct {
	Settled []TaskID `json:"settled"`
}

// Check implements wire.Checker; every value is valid.
func (a ReportAnswer) Check() error { return nil }

// ClaimAction is the operation that a ClaimCall requests.
type ClaimAction string

// The actions of a claim call.
const (
	ClaimAcquire  ClaimAction = "take"  // acquire the key and with it the right to send the request
	ClaimComplete ClaimAction = "end"   // the request has ended
	ClaimRelease  ClaimAction = "free"  // the request was not run; the key may be claimed again
	ClaimTransfer ClaimAction = "carry" // a home daemon that leaves transfers its records
)

// ClaimRecord is the record of one idempotency key at a home daemon of the key.
type ClaimRecord struct {
	Key    string `json:"key"`
	Holder string `json:"holder"` // ID of the request that holds the key
	Ended  bool   `json:"ended,omitempty"`
}

// ClaimCall asks a home daemon of an idempotency key for the right to send the request, or reports the end of
// the request to it. Only a call with ClaimTransfer has several records.
type ClaimCall struct {
	Action  ClaimAction   `json:"action"`
	Records []ClaimRecord `json:"records"`
}

// MaxIdempotencyKeyLength bounds the length of an idempotency key in bytes.
const MaxIdempotencyKeyLength = 200

// MaxClaimRecords bounds the records of one ClaimCall.
const MaxClaimRecords = 1000

// Check rejects unknown actions, a wrong number of records, and records without a valid key and holder.
func (c ClaimCall) Check() error {
	switch c.Action {
	case ClaimAcquire, ClaimComplete, ClaimRelease, ClaimTransfer:
	default:
		return errors.Newf("claim: unknown action %q", c.Action)
	}
	if len(c.Records) == 0 || len(c.Records) > MaxClaimRecords || c.Action != ClaimTransfer && len(c.Records) != 1 {
		return errors.Newf("claim: %s with %d records", c.Action, len(c.Records))
	}
	for _, r := range c.Records {
		if err := checkName("holder", r.Holder); err != nil {
			return err
		}
		if r.Key == "" || len(r.Key) > MaxIdempotencyKeyLength {
			return errors.Newf("idempotency key must have 1 to %d bytes", MaxIdempotencyKeyLength)
		}
	}
	return nil
}

// ClaimState is the state of an idempotency key at a home daemon.
type ClaimState string

// The states of a key at a home daemon.
const (
	ClaimGranted ClaimState = "granted" // the requesting holder holds the key
	ClaimTaken   ClaimState = "taken"   // another request holds the key or has run
	ClaimUnknown ClaimState = "unknown" // the home daemons that may have known the key were all lost
)

// ClaimAnswer is a home daemon's response to a ClaimCall.
type ClaimAnswer struct {
	State ClaimState `json:"state"`
	Ended bool       `json:"ended,omitempty"` // the request that holds the key has ended
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

// ForwardCall forwards an operator's call to the owner of a cell, such as the home cell of a job.
type ForwardCall struct {
	Cell        CellID    `json:"cell"`
	Submit      []JobSpec `json:"submit,omitempty"`
	Cancel      []JobID   `json:"cancel,omitempty"`
	ListJobs    bool      `json:"jobs,omitempty"`    // list jobs
	ListTasks   bool      `json:"tasks,omitempty"`   // list tasks
	ExplainTask TaskID    `json:"task,omitempty"`    // explain one task
	ListWorkers bool      `json:"workers,omitempty"` // list workers
}

// HasChanges reports whether the call submits or cancels jobs.
func (c ForwardCall) HasChanges() bool { return len(c.Submit)+len(c.Cancel) > 0 }

// Check validates every submitted job.
func (c ForwardCall) Check() error {
	return checkAll(c.Submit)
}

// WorkerStatus is the state of a worker as seen by the owner of the worker's cell.
type WorkerStatus struct {
	VM          VMID        `json:"vm"`
	Cell        CellID      `json:"cell"`
	Rack        RackID      `json:"rack"`
	Capacity    Resources   `json:"capacity"`
	Committed   Resources   `json:"committed"`
	Usage       Resources   `json:"usage"`
	Tasks       int         `json:"tasks"`
	Incarnation Incarnation `json:"incarnation"`
	State       string      `json:"state"` // live, leaving, draining, silent, quarantined or unknown
}

// ForwardAnswer is the owner's response to a ForwardCall. It holds only the parts that the call asked for. If a
// job of the call is neither submitted, cancelled nor refused in it, the outcome for that job is unknown.
type ForwardAnswer struct {
	Submitted []Job                `json:"submitted,omitempty"`
	Cancelled []Job                `json:"cancelled,omitempty"`
	Refused   map[JobID]JobRefusal `json:"refused,omitempty"`
	Jobs      []Job                `json:"jobs,omitempty"`
	Tasks     []Task               `json:"tasks,omitempty"`
	Workers   []WorkerStatus       `json:"workers,omitempty"`
	Decisions []Decision           `json:"decisions,omitempty"`
}

// JobRefusal is the reason for which an owner refuses to submit or cancel a job. Kind is the text of one of the
// owner's errors, Reason the same error with its context.
type JobRefusal struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
}

// Check implements wire.Checker; every value is valid, because the owner fills it from validated records.
func (a ForwardAnswer) Check() error { return nil }

// Decision is a decision of the scheduler, kept with its reason for operators.
type Decision struct {
	At     UnixMilli `json:"at"`
	Task   TaskID    `json:"task"`
	Action string    `json:"action"`
	Worker VMID      `json:"worker,omitempty"`
	Reason string    `json:"reason"`
}
