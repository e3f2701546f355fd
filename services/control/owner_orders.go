// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/inflight"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// Pauses between two decisions of an owner: at least minDecidePause, so that changes that arrive together
// lead to a single decision, and at most about maxDecidePause.
const (
	minDecidePause = 5 * time.Millisecond
	maxDecidePause = 100 * time.Millisecond
)

// decideLoop executes the orders that the core decides.
func (o *Owner) decideLoop(ctx context.Context) {
	ticker := time.NewTicker(maxDecidePause)
	defer ticker.Stop()
	for ctx.Err() == nil {
		others := o.cells.useOfOthers(o.cell)
		o.mu.Lock()
		o.core.SetOtherCells(others)
		o.core.StoreAnswered(o.cells.health.answeredAt())
		o.core.AllowStarts(o.cells.startLimit.Free())
		decided := o.config.Clock.Read()
		orders := o.core.Decide(decided)
		o.logSlowDecision(o.config.Clock.Since(decided), decided)
		superseded := o.core.Superseded()
		urgent := o.core.HasUrgentChanges()
		held := o.core.TakeJobsHeld()
		o.mu.Unlock()
		if held {
			wake(o.wakeMove)
		}
		if superseded {
			o.cells.dropOwner(o.cell, o, "a worker has seen a later owner")
			return
		}
		if urgent {
			wake(o.wakeStore)
		}
		for _, order := range orders {
			if isLimited(order) {
				o.cells.startLimit.Begin()
			}
			o.group.Go(func() { o.executeOrder(ctx, order, decided) })
		}
		sleep(ctx, minDecidePause)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeDecide:
		}
	}
}

const (
	// slowDecision is from which duration on decisions delay the starts that they order noticeably.
	slowDecision = 100 * time.Millisecond
	// slowDecisionInterval is the time between two lines about slow decisions.
	slowDecisionInterval = time.Second
)

// logSlowDecision logs a decision that took long, at most one each slowDecisionInterval. The caller holds o.mu.
func (o *Owner) logSlowDecision(took time.Duration, decided time.Time) {
	if took < slowDecision || decided.Sub(o.slowDecisionAt) < slowDecisionInterval {
		return
	}
	o.slowDecisionAt = decided
	o.config.Logger.Info("decision takes long", zap.String("cell", string(o.cell)), zap.Duration("took", took), zap.Int("free", o.cells.startLimit.Free()))
}

// executeOrder sends one order, which the core decided at the given time, and records its result in the
// core.
func (o *Owner) executeOrder(ctx context.Context, order dispatch.Order, decided time.Time) {
	sent := o.beginCall()
	if o.startExpired(order, decided) {
		o.recordNotSent(order.(dispatch.StartOrder), sent)
		return
	}
	var err error
	var record func(result dispatch.Result, now time.Time)
	switch order := order.(type) {
	case dispatch.StartOrder:
		_, err = o.config.Workers.StartRun(ctx, order.Worker, order.Call)
		record = func(result dispatch.Result, now time.Time) { o.core.Started(order, result, now) }
	case dispatch.StopOrder:
		_, err = o.config.Workers.StopRun(ctx, order.Worker, order.Call)
		record = func(result dispatch.Result, now time.Time) { o.core.Stopped(order, result, now) }
	case dispatch.PaceOrder:
		_, err = o.config.Workers.SetPace(ctx, order.Worker, order.Call)
		record = func(result dispatch.Result, now time.Time) { o.core.Paced(order, result, now) }
	}
	result := classifyCall(err)
	if isLimited(order) {
		answered := result.Outcome != dispatch.OutcomeUnknown
		o.cells.startLimit.End(inflight.Call{Took: o.config.Clock.Since(decided), Answered: answered})
	}
	o.recordResult(sent, result, record)
}

// recordNotSent records in the core that a start was not sent because it had expired.
func (o *Owner) recordNotSent(order dispatch.StartOrder, now time.Time) {
	o.config.Scope.Counter("starts_not_sent").Inc(1)
	o.cells.workerCalls.Add(-1)
	o.cells.startLimit.End(inflight.Call{Took: maxStartAge, Answered: true}) // an expired start means that this daemon lags behind
	o.mu.Lock()
	o.core.Started(order, dispatch.Result{Outcome: dispatch.OutcomeNotSent}, now)
	o.mu.Unlock()
	wake(o.wakeDecide)
}

// isLimited reports whether an order counts against the limit of orders in flight. A stop does not: stops are never held
// back, and those for workers that do not answer are repeated until the workers' leases are over. When they counted, a
// burst of them held back all starts on the workers that answered.
func isLimited(order dispatch.Order) bool {
	_, stop := order.(dispatch.StopOrder)
	return !stop
}

// recordResult records in the core what became of an order that was sent at the given time, and wakes decideLoop.
func (o *Owner) recordResult(sent time.Time, result dispatch.Result, record func(result dispatch.Result, now time.Time)) {
	o.endCall(sent, 0, result.Outcome)
	now := o.config.Clock.Read()
	o.mu.Lock()
	record(result, now)
	o.interruptPolls()
	o.mu.Unlock()
	wake(o.wakeDecide)
}

// classifyCall maps the error of a call to a worker to the result of an order.
func classifyCall(err error) dispatch.Result {
	var refused *platform.RefusedError
	var other *platform.IncarnationMismatchError
	switch {
	case err == nil:
		return dispatch.Result{Outcome: dispatch.OutcomeDone}
	case errors.Is(err, platform.ErrUnknownOutcome): // checked first: the error may wrap others as well
		return dispatch.Result{Outcome: dispatch.OutcomeUnknown}
	case errors.As(err, &refused):
		return dispatch.Result{Outcome: dispatch.OutcomeRefused, Refusal: refused.Reason}
	case errors.As(err, &other):
		return dispatch.Result{Outcome: dispatch.OutcomeOtherIncarnation, Born: other.StartTime}
	case errors.Is(err, platform.ErrIncarnationMismatch):
		return dispatch.Result{Outcome: dispatch.OutcomeOtherIncarnation}
	case errors.Is(err, platform.ErrOverloaded):
		return dispatch.Result{Outcome: dispatch.OutcomeNotDone}
	case errors.Is(err, platform.ErrUnreachable):
		return dispatch.Result{Outcome: dispatch.OutcomeUnreached}
	default:
		return dispatch.Result{Outcome: dispatch.OutcomeUnknown}
	}
}
