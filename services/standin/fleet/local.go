// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// Local implements platform.Workers by direct calls to the fleet's workers, for tests that run many daemons in one
// process.
type Local struct {
	Fleet *Fleet
	// Fault is called before and after each call and may block.
	Fault func(ctx context.Context, after bool, address string) error
	// Duplicate returns whether a call arrives twice.
	Duplicate func() bool
	// StartDelay returns how long after its caller has received an error a start arrives, or 0 if the start is not delayed.
	StartDelay func() time.Duration
}

// errUnreachable is the error of a call to a VM that is cut or down.
var errUnreachable = errors.New("worker can't be reached")

// Start implements platform.Workers.
func (l *Local) Start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error) {
	if late := l.StartDelay(); late > 0 {
		time.AfterFunc(late, func() { _, _ = localCall(ctx, l, address, call, (*worker).start) })
		return models.StartAnswer{}, errUnreachable
	}
	return localCall(ctx, l, address, call, (*worker).start)
}

// Renew implements platform.Workers.
func (l *Local) Renew(ctx context.Context, address string, call models.RenewCall) (models.RenewAnswer, error) {
	return localCall(ctx, l, address, call, (*worker).renew)
}

// Stop implements platform.Workers.
func (l *Local) Stop(ctx context.Context, address string, call models.StopCall) (models.StopAnswer, error) {
	return localCall(ctx, l, address, call, (*worker).stop)
}

func localCall[C, A any](ctx context.Context, l *Local, address string, call C, perform func(*worker, C) A) (A, error) {
	var zero A
	if err := l.Fault(ctx, false, address); err != nil {
		return zero, err
	}
	w, err := l.find(address)
	if err != nil {
		return zero, err
	}
	answer := perform(w, call)
	if l.Duplicate() {
		answer = perform(w, call)
	}
	return answer, l.Fault(ctx, true, address)
}

func (l *Local) find(address string) (*worker, error) {
	for _, w := range l.Fleet.workers {
		if w.vm.Address != address {
			continue
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down || w.cut {
			return nil, errUnreachable
		}
		return w, nil
	}
	return nil, errUnreachable
}

// FinishedRuns returns how often a task has succeeded on any worker: all successes, and those whose result was not
// lost with the worker.
func (f *Fleet) FinishedRuns(task models.TaskID) (all, kept int) {
	f.audit.mu.Lock()
	defer f.audit.mu.Unlock()
	return f.audit.successes[task], f.audit.keptSuccesses[task]
}

// StartsOf returns the number of attempts of a task that were started on any worker.
func (f *Fleet) StartsOf(task models.TaskID) int {
	f.audit.mu.Lock()
	defer f.audit.mu.Unlock()
	return f.audit.starts[task]
}

// Advance advances all tasks until the context ends. It replaces Run for a fleet without listeners.
func (f *Fleet) Advance(ctx context.Context) { f.loop(ctx) }
