// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// AttemptRef identifies one attempt of a task at a worker.
type AttemptRef struct {
	Task    TaskID  `json:"task"`
	Attempt Attempt `json:"attempt"`
}

// Guard is the part of every call to a worker by which the worker recognizes and refuses stale calls. The owner
// of the worker's cell sends it.
type Guard struct {
	Cell        CellID      `json:"cell"`
	Epoch       Epoch       `json:"epoch"`
	Incarnation Incarnation `json:"incarnation"` // of the worker; empty only while the sender does not know it
}

// Refusal is the reason for which a worker refused a call.
type Refusal string

// The reasons for which a worker refuses a call.
const (
	RefusedEpoch        Refusal = "epoch"       // an owner with a later epoch has called the worker
	RefusedIncarnation  Refusal = "incarnation" // the call is for another incarnation of the worker
	RefusedBarred       Refusal = "barred"      // the attempt was stopped before its start call arrived
	RefusedCapacity     Refusal = "room"        // the worker counts too little free capacity; it bars the attempt
	RefusedStaleAttempt Refusal = "attempt"     // the worker has seen a later attempt of the task
)

// StartCall asks a worker to run an attempt under a lease.
type StartCall struct {
	Guard
	AttemptRef
	Kind       TaskKind          `json:"kind"`
	Labels     map[string]string `json:"labels,omitempty"`
	Size       Resources         `json:"size"`
	Work       Milli             `json:"work_ms"`
	Target     Milli             `json:"target_p99_ms,omitempty"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Lease      Milli             `json:"lease_ms"`
}

// Check rejects a call without a lease.
func (c StartCall) Check() error {
	if c.Lease <= 0 {
		return errors.Newf("start %s: lease_ms %d must be positive", c.Task, c.Lease)
	}
	return c.Size.Check()
}

// StartAnswer tells whether the attempt runs. A repeated start call for a running attempt is accepted.
type StartAnswer struct {
	Refused     Refusal     `json:"refused,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	Epoch       Epoch       `json:"epoch"` // highest epoch that the worker has seen, if Refused is epoch
}

// RenewCall renews the leases of all attempts that run on the worker, lets the worker forget ended attempts, and
// sets the share of processor time of throttled tasks.
type RenewCall struct {
	Guard
	Lease       Milli          `json:"lease_ms"`
	Acknowledge []AttemptRef   `json:"acknowledge,omitempty"`
	Throttle    map[TaskID]int `json:"throttle,omitempty"` // percent of processor time; 100 for tasks not listed
}

// Check rejects a call without a lease or with a share outside 1 to 100 percent.
func (c RenewCall) Check() error {
	if c.Lease <= 0 {
		return errors.Newf("renew: lease_ms %d must be positive", c.Lease)
	}
	for id, share := range c.Throttle {
		if share < 1 || share > 100 {
			return errors.Newf("renew: throttle of %s is %d, must be 1..100", id, share)
		}
	}
	return nil
}

// AttemptStatus is the status of an attempt at a worker.
type AttemptStatus string

// The statuses of an attempt at a worker. The worker keeps ended attempts until they are acknowledged.
const (
	StatusRunning    AttemptStatus = "running"
	StatusFinished   AttemptStatus = "finished"
	StatusFailed     AttemptStatus = "failed"
	StatusStopped    AttemptStatus = "stopped"
	StatusNeverBegan AttemptStatus = "never-began" // and the worker will refuse to start it
)

// AttemptReport is the report on one attempt in a worker's answer.
type AttemptReport struct {
	AttemptRef
	Status       AttemptStatus `json:"status"`
	Checkpoint   string        `json:"checkpoint,omitempty"`
	Reason       string        `json:"reason,omitempty"`
	Usage        Resources     `json:"usage"`              // measured, with a delay
	P99          Milli         `json:"p99_ms,omitempty"`   // measured, with a delay; services only
	SampleNumber uint64        `json:"observed,omitempty"` // number of the measurement that the delayed values are from
	Progress     int           `json:"progress,omitempty"` // percent of the task's work
}

// Check rejects an unknown status and a usage that is out of range.
func (r AttemptReport) Check() error {
	switch r.Status {
	case StatusRunning, StatusFinished, StatusFailed, StatusStopped, StatusNeverBegan:
	default:
		return errors.Newf("report of %s: unknown status %q", r.Task, r.Status)
	}
	return errors.Wrapf(r.Usage.Check(), "report of %s", r.Task)
}

// RenewAnswer is a worker's response to a RenewCall: the report on its attempts.
type RenewAnswer struct {
	Refused     Refusal         `json:"refused,omitempty"`
	Incarnation Incarnation     `json:"incarnation"`
	Epoch       Epoch           `json:"epoch"`
	Attempts    []AttemptReport `json:"attempts,omitempty"`
}

// Check validates the report on every attempt.
func (a RenewAnswer) Check() error {
	return checkAll(a.Attempts)
}

// StopCall stops an attempt. If the attempt has not arrived yet, the worker bars it permanently.
type StopCall struct {
	Guard
	AttemptRef
	TakeCheckpoint bool `json:"checkpoint"` // take a checkpoint first
}

// Check implements wire.Checker; every value is valid.
func (c StopCall) Check() error { return nil }

// StopAnswer is, unless it is a refusal, the proof that the attempt does not run and never will again.
type StopAnswer struct {
	Refused     Refusal       `json:"refused,omitempty"`
	Incarnation Incarnation   `json:"incarnation"`
	Report      AttemptReport `json:"report"`
}

// Check validates the report unless the call was refused.
func (a StopAnswer) Check() error {
	if a.Refused != "" {
		return nil
	}
	return a.Report.Check()
}

// Check implements wire.Checker; every value is valid.
func (a StartAnswer) Check() error { return nil }
