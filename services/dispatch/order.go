// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Order is an order to a worker.
type Order interface{ order() }

// StartOrder starts a run.
type StartOrder struct {
	Worker jobs.Worker
	Call   jobs.StartCall
}

// StopOrder stops a run, or bars it from starting.
type StopOrder struct {
	Worker jobs.Worker
	Call   jobs.StopCall
}

// PaceOrder changes the pace of a run.
type PaceOrder struct {
	Worker jobs.Worker
	Call   jobs.PaceCall
	Before jobs.Percent // the pace so far
}

func (StartOrder) order() {}
func (StopOrder) order()  {}
func (PaceOrder) order()  {}

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of an order.
const (
	OutcomeDone             Outcome = iota
	OutcomeRefused                  // see Result.Refusal
	OutcomeNotDone                  // the worker answered that it did nothing, because it is not well
	OutcomeUnreached                // no connection was established; nothing was done
	OutcomeOtherIncarnation         // another incarnation of the worker answered and did nothing
	OutcomeUnknown                  // no answer; the order may have been carried out, or may still be
	OutcomeNotSent                  // the order was never sent
)

// Result is the outcome of an order with its details.
type Result struct {
	Outcome Outcome
	Refusal jobs.Refusal
	Born    models.UnixMilli // start time of the other incarnation that answered; 0: not known
}
