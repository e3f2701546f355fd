// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// alternatingWorker is a worker of which two incarnations answer by turns.
type alternatingWorker struct {
	platform.JobWorkers
	calls int
}

func (w *alternatingWorker) RenewLease(context.Context, jobs.Worker, jobs.LeaseCall) (jobs.Report, error) {
	time.Sleep(time.Millisecond)
	w.calls++
	return jobs.Report{Born: models.UnixMilli(1 + w.calls%2), Clock: models.Milli(w.calls)}, nil
}

// newTestOwner makes an owner of cellHere that calls the given workers, without its loops.
func newTestOwner(workers platform.JobWorkers) *Owner {
	service := New(Config{
		Self: "daemon", Settings: testSettings, Logger: zap.NewNop(), Scope: tally.NoopScope, Workers: workers,
		Store: &hookStore{Local: &kv.Local{Service: kv.New(kv.Config{}), Fault: kv.NoFault}},
	})
	return newOwner(service.Cells, cellHere, 1, time.Now())
}

// TestWorkerOfTwoIncarnationsIsNotCalledWithoutPause guards against calls without any pause to a worker under whose id
// and address two incarnations answer by turns: each answer names another incarnation, which is called at once.
func TestWorkerOfTwoIncarnationsIsNotCalledWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &alternatingWorker{}
		owner := newTestOwner(worker)
		owner.core.SetWorkers([]jobs.Worker{{ID: "worker", Pool: testPool, Born: 1}}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		owner.workerLoop(ctx, "worker")
		require.Less(t, worker.calls, 3*int(time.Second/lateStartRetryPause))
	})
}

// TestManyUnreachableWorkersAreCalledLessOften guards against an owner that spends its processor time on connections to
// refusing addresses, when it has lost many workers with starts without answer at once.
func TestManyUnreachableWorkersAreCalledLessOften(t *testing.T) {
	for workers, pause := range map[int]time.Duration{1: lateStartRetryPause, 40: lateStartRetryPause, 300: 150 * time.Millisecond, 1000: workerRetryPause} {
		synctest.Test(t, func(t *testing.T) {
			owner := newTestOwner(nil)
			owner.loseStarts(t, workers)
			require.Equal(t, pause, owner.pollPause("w0", pollResults{err: platform.ErrUnreachable, failures: 2}))
		})
	}
}

// loseStarts starts a task on each of the given number of workers and gets no answer.
func (o *Owner) loseStarts(t *testing.T, workers int) {
	now := time.Now()
	var list []jobs.Worker
	for n := range workers {
		list = append(list, jobs.Worker{ID: jobs.WorkerID(fmt.Sprint("w", n)), Pool: testPool, Capacity: models.Resources{CPU: 1000, Memory: 1000}})
	}
	o.core.SetWorkers(list, now)
	for range 2 { // the second call renews the lease
		for _, w := range list {
			o.core.LeaseCall(w.ID, 0, now)
			o.core.Reported(w.ID, now, jobs.Report{Clock: 1000}, now)
		}
		o.core.Stored(o.core.TakeChanges(workers, now), now) // a roster names workers that have answered
	}
	spec := shortTasks(1, workers, time.Second)
	spec.Steps[0].PerWorker = 1
	o.core.AddJob(jobs.Record{Spec: spec, Terms: testTerms, Accepted: models.UnixMilliOf(now)}, jobs.Progress{}, true, now)
	starts := 0
	for _, order := range o.core.Decide(now) {
		o.core.Started(order.(dispatch.StartOrder), dispatch.Result{Outcome: dispatch.OutcomeUnknown}, now)
		starts++
	}
	require.Equal(t, workers, starts)
}
