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

// workerListPause lets some changes of the list gather between two looks at them; it delays the
// news that a worker drains by half of it on average.
const workerListPause = 50 * time.Millisecond

// workersLoop follows the list of workers and gives each new one a loop.
func (o *Owner) workersLoop(ctx context.Context) {
	o.startWorkerLoops(ctx)
	list := newWorkerList(o.config.List)
	for ctx.Err() == nil {
		sent := o.config.Clock.Now()
		err := list.update(ctx)
		o.cells.health.note(err)
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

// updateWorkers tells the core what the list said then. Without a configuration no pool is
// known; then nothing may start, and workers that former owners used are called anyway.
func (o *Owner) updateWorkers(list *workerList, known time.Time) {
	configuration := o.cells.configurations.current.Load()
	layout := o.cells.layout()
	if configuration == nil || layout == nil {
		return
	}
	workers := workersInCell(o.cell, layout, workersInKnownPools(configuration, list.all()))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.SetWorkers(workers, o.config.Clock.Now())
	for _, id := range o.core.TakeHurried() {
		if cancel, ok := o.calling[id]; ok {
			cancel()
		}
	}
	o.core.WorkersKnown(known)
}

// workersInKnownPools picks the workers whose pools the configuration names: an entry that names another
// pool may not be a worker's own, and its address is not called.
func workersInKnownPools(configuration *jobs.Configuration, workers []jobs.Worker) []jobs.Worker {
	pools := map[jobs.PoolName]bool{}
	for _, pool := range configuration.Pools {
		pools[pool.Name] = true
	}
	return slices.DeleteFunc(workers, func(w jobs.Worker) bool { return !pools[w.Pool] })
}

// startWorkerLoops gives each worker that has none a loop.
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

// workerRetryPause is the pause after a call to a worker that failed.
const workerRetryPause = 200 * time.Millisecond

// workerLoop prolongs a worker's lease and takes its reports, also those of later incarnations, until
// no worker has the id. It makes one call after the other: so the order of answers is that of the
// incarnations.
func (o *Owner) workerLoop(ctx context.Context, id jobs.WorkerID) {
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
		err := o.pollWorker(callCtx, worker, call)
		hurried := callCtx.Err() != nil
		cancel()
		if hurried {
			continue
		}
		pause := o.reportPause()
		if err != nil && !errors.Is(err, platform.ErrUnknown) {
			pause = workerRetryPause
		}
		sleep(ctx, pause)
	}
}

// pollWorker asks a worker for a report and takes it. A call that was ended because its answer is not
// waited for any more says nothing of the worker.
func (o *Owner) pollWorker(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) error {
	sent := o.beginCall()
	report, err := o.config.Workers.ProlongLease(ctx, worker, call)
	if ctx.Err() != nil {
		o.cells.workerCalls.Add(-1)
		return err
	}
	o.endCall(sent, call.Wait, classifyCall(err).Outcome)
	o.config.Scope.Counter("checkpoints_unreadable").Inc(int64(report.Unreadable))
	o.takeReport(worker, call.Fence, sent, report, err)
	return err
}

// takeReport tells the core what a call that prolongs a lease has brought.
func (o *Owner) takeReport(worker jobs.Worker, fence jobs.Fence, sent time.Time, report jobs.Report, err error) {
	result := classifyCall(err)
	// An answer may have waited in its socket while the VM was suspended: taken for one of before
	// that, it would let the worker's lease count as over too early, and starts be valid too long.
	now := o.config.Clock.Read()
	o.mu.Lock()
	changed := true
	there := o.core.Worker(worker.ID).Incarnation()
	switch {
	case err != nil && there.Differs(worker.Incarnation()): // it says nothing of the one that is there now
	case err == nil:
		changed = o.core.Reported(worker.ID, sent, report, now)
	case result.Outcome == dispatch.OutcomeIncarnation:
		o.core.OtherAnswers(worker.Incarnation(), result.Born, now)
	case result.Refusal == jobs.RefusedFence:
		o.core.FenceRefused(worker.ID, fence)
	case result.Outcome == dispatch.OutcomeUnreached: // one that answers that it is not well has not left
		o.core.Unreached(worker.ID, errors.Is(err, platform.ErrNobodyListens), now)
	default:
		o.core.Overdue(worker.ID, now)
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
