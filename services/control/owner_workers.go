// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// workerListPause is the pause between two watches of the list of workers, which batches changes. It
// delays the notice that a worker drains by half of the pause on average.
const workerListPause = 50 * time.Millisecond

// workersLoop watches the list of workers and starts a loop for each new worker.
func (o *Owner) workersLoop(ctx context.Context) {
	o.startWorkerLoops(ctx)
	list := newWorkerList(o.config.List)
	for ctx.Err() == nil {
		sent := o.config.Clock.Now()
		err := list.update(ctx)
		o.cells.health.record(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		o.updateWorkers(list, sent)
		o.startWorkerLoops(ctx)
		wake(o.wakeDecide)
		wake(o.wakeStore)
		sleep(ctx, workerListPause)
	}
}

// updateWorkers passes the list of workers as of the given time to the core. Without a configuration no
// pool is known and nothing may start; the workers of previous owners are called nevertheless.
func (o *Owner) updateWorkers(list *workerList, asOf time.Time) {
	configuration := o.cells.configurations.current.Load()
	layout := o.cells.layout()
	if configuration == nil || layout == nil {
		return
	}
	workers := workersInCell(o.cell, layout, workersInKnownPools(configuration, list.all()))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.SetWorkers(workers, o.config.Clock.Now())
	o.interruptPolls()
	o.core.WorkersReadAsOf(asOf)
}

// interruptPolls cancels the calls for reports of the workers that are to be asked at once. The caller holds o.mu.
func (o *Owner) interruptPolls() {
	for _, id := range o.core.TakeImmediatePolls() {
		if cancel, ok := o.calling[id]; ok {
			cancel()
		}
	}
}

// workersInKnownPools returns the workers whose pools the configuration names. An entry with another pool
// may not have been written by a worker, and its address is not called.
func workersInKnownPools(configuration *jobs.Configuration, workers []jobs.Worker) []jobs.Worker {
	pools := map[jobs.PoolName]bool{}
	for _, pool := range configuration.Pools {
		pools[pool.Name] = true
	}
	return slices.DeleteFunc(workers, func(w jobs.Worker) bool { return !pools[w.Pool] })
}

// startWorkerLoops starts a loop for each worker that has none.
func (o *Owner) startWorkerLoops(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, worker := range o.core.Workers() {
		if _, ok := o.calling[worker.ID]; !ok {
			o.calling[worker.ID] = func() {}
			o.group.Go(func() { o.workerLoop(ctx, worker.ID) })
		}
	}
}

// workerLoop renews the lease of a worker and records its reports, also those of later incarnations, until
// no worker has the id. It makes one call at a time, so that answers arrive in the order of the
// incarnations. It calls an incarnation that has just become known without pause.
func (o *Owner) workerLoop(ctx context.Context, id jobs.WorkerID) {
	var results pollResults
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		o.mu.Lock()
		call, known := o.core.LeaseCall(id, o.config.Settings.ReportWait, o.config.Clock.Read())
		worker := o.core.Worker(id)
		o.calling[id] = cancel
		if !known {
			delete(o.calling, id)
		}
		o.mu.Unlock()
		if !known {
			cancel()
			return
		}
		sent := o.config.Clock.Now()
		err := o.pollWorker(callCtx, worker, call)
		interrupted := callCtx.Err() != nil
		cancel()
		if interrupted {
			results.addInterruption()
			sleep(ctx, results.interruptionPause())
			continue
		}
		results.add(err, o.config.Clock.Since(sent)-call.Wait)
		sleep(ctx, o.pollPause(id, results))
	}
}

// pollWorker renews the lease of a worker and records the report in the answer. The result of a call that
// this daemon cancelled is not recorded, because it does not show the state of the worker.
func (o *Owner) pollWorker(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) error {
	sent := o.beginCall()
	report, err := o.renewLease(ctx, worker, call)
	if ctx.Err() != nil {
		o.cells.workerCalls.Add(-1)
		return err
	}
	o.endCall(sent, call.Wait, classifyCall(err).Outcome)
	o.config.Scope.Counter("checkpoints_unreadable").Inc(int64(report.Unreadable))
	o.recordReport(worker, call.Fence, sent, report, err)
	return err
}

// renewLease calls a worker. unknownWorker has no address.
func (o *Owner) renewLease(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) (jobs.Report, error) {
	if worker.ID == unknownWorker {
		return jobs.Report{}, platform.ErrUnreachable
	}
	return o.config.Workers.RenewLease(ctx, worker, call)
}

// recordReport passes the result of a call that renews a lease to the core.
func (o *Owner) recordReport(worker jobs.Worker, fence jobs.Fence, sent time.Time, report jobs.Report, err error) {
	result := classifyCall(err)
	// An answer may have waited in its socket while the VM was suspended. If it were stamped with a time
	// before the suspension, the worker's lease would count as expired too early, and starts would stay
	// valid for too long.
	now := o.config.Clock.Read()
	o.mu.Lock()
	changed := true
	current := o.core.Worker(worker.ID).Incarnation()
	switch {
	case err != nil && current.Differs(worker.Incarnation()): // the error says nothing about the current incarnation
	case err == nil:
		changed = o.core.Reported(worker.ID, sent, report, now)
	case result.Outcome == dispatch.OutcomeOtherIncarnation:
		o.core.OtherIncarnationAnswered(worker.Incarnation(), result.Born, now)
	case result.Refusal == jobs.RefusedFence:
		o.core.FenceRefused(worker.ID, fence)
	case result.Outcome == dispatch.OutcomeUnreached: // a worker that answers that it is unhealthy has not left
		o.core.Unreached(worker.ID, errors.Is(err, platform.ErrConnectionRefused), now)
	default:
		o.core.Overdue(worker.ID, now)
		changed = false
	}
	o.interruptPolls()
	urgent := o.core.HasUrgentChanges()
	o.mu.Unlock()
	if changed {
		wake(o.wakeDecide)
	}
	if urgent {
		wake(o.wakeStore)
	}
	o.config.Scope.Counter("reports").Inc(1)
}
