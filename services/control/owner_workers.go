// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// workersLoop follows the list of workers and gives each new one a loop.
func (o *Owner) workersLoop(ctx context.Context) {
	o.callWorkers(ctx)
	for ctx.Err() == nil {
		sent := time.Now()
		list, err := o.config.List.JobWorkers(ctx)
		o.cells.health.note(err)
		layout := o.cells.layout()
		if err == nil && layout != nil {
			o.mu.Lock()
			o.core.SetWorkers(workersOf(o.cell, layout, list), time.Now())
			o.core.WorkersKnown(sent)
			o.mu.Unlock()
			o.callWorkers(ctx)
			wake(o.wakeDecide)
			wake(o.wakeStore)
		}
		sleep(ctx, o.config.Settings.ListEvery)
	}
}

// callWorkers gives each worker that has none a loop.
func (o *Owner) callWorkers(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, worker := range o.core.Workers() {
		if !o.calling[worker.ID] {
			o.calling[worker.ID] = true
			o.group.Go(func() { o.workerLoop(ctx, worker) })
		}
	}
}

// workerRetry is the pause after a call to a worker that failed.
const workerRetry = 200 * time.Millisecond

// workerLoop prolongs a worker's lease and takes its reports until the worker is gone.
func (o *Owner) workerLoop(ctx context.Context, worker jobs.Worker) {
	for ctx.Err() == nil {
		o.mu.Lock()
		call, known := o.core.LeaseCall(worker.ID, o.config.Settings.ReportWait, time.Now())
		if !known {
			delete(o.calling, worker.ID)
		}
		o.mu.Unlock()
		if !known {
			return
		}
		sent := o.beginCall()
		report, err := o.config.Workers.ProlongLease(ctx, worker, call)
		o.endCall(sent, call.Wait, resultOf(err).Outcome)
		o.takeReport(worker.ID, sent, report, err)
		pause := o.config.Settings.ReportPause
		if err != nil && !errors.Is(err, platform.ErrUnknown) {
			pause = workerRetry
		}
		sleep(ctx, pause)
	}
}

// takeReport tells the core what a call that prolongs a lease has brought.
func (o *Owner) takeReport(id jobs.WorkerID, sent time.Time, report jobs.Report, err error) {
	result := resultOf(err)
	o.mu.Lock()
	changed := true
	switch {
	case err == nil:
		changed = o.core.Reported(id, sent, report, time.Now())
	case result.Outcome == dispatch.OutcomeIncarnation:
		o.core.Replaced(id)
	case result.Refusal == jobs.RefusedEpoch:
		o.core.Supersede()
	case result.Outcome == dispatch.OutcomeUnreached: // one that answers that it is not well has not left
		o.core.Unreached(id, errors.Is(err, platform.ErrNobodyListens), time.Now())
	default:
		o.core.Overdue(id)
		changed = false
	}
	ends := o.core.HasEnds()
	o.mu.Unlock()
	if changed {
		wake(o.wakeDecide)
	}
	if ends {
		wake(o.wakeStore)
	}
	o.config.Scope.Counter("reports").Inc(1)
}
