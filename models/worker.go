// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// AttemptRef names one attempt of a task at a worker.
type AttemptRef struct {
	Task    TaskID  `json:"task"`
	Attempt Attempt `json:"attempt"`
}

// Guard is the part of every call to a worker that lets it refuse what is stale.
// The owner of the worker's cell sends it.
type Guard struct {
	Cell        CellID      `json:"cell"`
	Epoch       Epoch       `json:"epoch"`
	Incarnation Incarnation `json:"incarnation"` // of the worker; empty only when it isn't known yet
}

// Refusal is why a worker did nothing.
type Refusal string

// The refusals of a worker.
const (
	RefusedEpoch       Refusal = "epoch"       // a later owner has spoken
	RefusedIncarnation Refusal = "incarnation" // meant for the worker's former self
	RefusedBarred      Refusal = "barred"      // this attempt was stopped before it came
	RefusedRoom        Refusal = "room"        // the worker's own count is full; the attempt is barred from now on
	RefusedAttempt     Refusal = "attempt"     // a later attempt of the task was seen
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

// Check rejects a call without lease.
func (c StartCall) Check() error {
	if c.Lease <= 0 {
		return errors.Newf("start %s: lease_ms %d must be positive", c.Task, c.Lease)
	}
	return c.Size.Check()
}

// StartAnswer says whether the attempt runs. Repeating a start that runs is accepted.
type StartAnswer struct {
	Refused     Refusal     `json:"refused,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	Epoch       Epoch       `json:"epoch"` // highest seen, when Refused is epoch
}

// RenewCall prolongs the lease of all that runs on the worker, lets it forget
// ended attempts, and sets the share of processor time of throttled tasks.
type RenewCall struct {
	Guard
	Lease       Milli          `json:"lease_ms"`
	Acknowledge []AttemptRef   `json:"acknowledge,omitempty"`
	Throttle    map[TaskID]int `json:"throttle,omitempty"` // percent; absent tasks run at 100
}

// Check rejects a call without lease and shares that are no percentage.
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

// AttemptStatus is what a worker knows of an attempt.
type AttemptStatus string

// The statuses of an attempt at a worker. Ended ones are kept until acknowledged.
const (
	StatusRunning    AttemptStatus = "running"
	StatusFinished   AttemptStatus = "finished"
	StatusFailed     AttemptStatus = "failed"
	StatusStopped    AttemptStatus = "stopped"
	StatusNeverBegan AttemptStatus = "never-began" // and is barred from now on
)

// AttemptReport is one attempt in a worker's answer.
type AttemptReport struct {
	AttemptRef
	Status     AttemptStatus `json:"status"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Usage      Resources     `json:"usage"`              // observed, lags
	P99        Milli         `json:"p99_ms,omitempty"`   // services only, lags
	Observed   uint64        `json:"observed,omitempty"` // number of the report the lagging figures are from
	Progress   int           `json:"progress,omitempty"` // percent of the work
}

// Check rejects unknown statuses and impossible usage.
func (r AttemptReport) Check() error {
	switch r.Status {
	case StatusRunning, StatusFinished, StatusFailed, StatusStopped, StatusNeverBegan:
	default:
		return errors.Newf("report of %s: unknown status %q", r.Task, r.Status)
	}
	return errors.Wrapf(r.Usage.Check(), "report of %s", r.Task)
}

// RenewAnswer is a worker's report.
type RenewAnswer struct {
	Refused     Refusal         `json:"refused,omitempty"`
	Incarnation Incarnation     `json:"incarnation"`
	Epoch       Epoch           `json:"epoch"`
	Attempts    []AttemptReport `json:"attempts,omitempty"`
}

// Check checks every report.
func (a RenewAnswer) Check() error {
	return checkAll(a.Attempts)
}

// StopCall stops an attempt, or bars it for good if it has not come yet.
type StopCall struct {
	Guard
	AttemptRef
	Checkpoint bool `json:"checkpoint"` // take one first
}

// Check is there for the decoder; every value is allowed.
func (c StopCall) Check() error { return nil }

// StopAnswer is the proof that the attempt doesn't run and never will again.
type StopAnswer struct {
	Refused     Refusal       `json:"refused,omitempty"`
	Incarnation Incarnation   `json:"incarnation"`
	Report      AttemptReport `json:"report"`
}

// Check checks the report of an answer that is no refusal.
func (a StopAnswer) Check() error {
	if a.Refused != "" {
		return nil
	}
	return a.Report.Check()
}

// Check is there for the decoder; every value is allowed.
func (a StartAnswer) Check() error { return nil }
