// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
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
