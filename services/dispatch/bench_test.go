// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	testJob  = jobs.ID("00000000000000aa")
	testPool = jobs.PoolName("pool")
)

// servingStep is a step of one serving task, which uses half of a worker.
var servingStep = jobs.Step{Count: 1, Size: models.Resources{CPU: 2000, Memory: 10}, LongRunning: true, Image: "serving", Target: 100}

// fillerStep is a step of one filler task with an estimate of a minute.
var fillerStep = jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Filler: true}

// bench is a core with workers that have answered, and a clock.
type bench struct {
	*Core
	now time.Time
	ids []jobs.WorkerID
}

func newBench(t testing.TB, workers int) *bench {
	t.Helper()
	b := &bench{now: time.Unix(1_000_000, 0)}
	b.Core = New(Config{
		Epoch: 5, Taken: b.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop(),
	})
	for n := range workers {
		b.ids = append(b.ids, jobs.WorkerID(fmt.Sprintf("w%d", n)))
	}
	b.setAnsweringWorkers(b.workerList(), b.now)
	b.Stored(b.TakeChanges(10, b.now), b.now) // the roster
	return b
}

// workerList returns the workers in the order of their ids in the bench.
func (b *bench) workerList() []jobs.Worker {
	list := make([]jobs.Worker, 0, len(b.ids))
	for _, id := range b.ids {
		list = append(list, jobs.Worker{ID: id, Pool: testPool, Address: string(id), Capacity: models.Resources{CPU: 4000, Memory: 8000}})
	}
	return list
}

// listWorkers lets the platform list the workers of the bench.
func (b *bench) listWorkers() { b.SetWorkers(b.workerList(), b.now) }

func (b *bench) report(n int, report jobs.Report) {
	b.now = b.now.Add(100 * time.Millisecond)
	report.Clock = models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0)))
	b.call(n, report)
	if w := b.workers[b.ids[n]]; w != nil && !w.renewed {
		b.call(n, report) // the first answer told the worker's clock, so this call renews the lease
	}
}

// call asks a worker for a report and renews its lease, as an owner does continuously.
func (b *bench) call(n int, report jobs.Report) {
	sent := b.now.Add(-time.Millisecond)
	b.LeaseCall(b.ids[n], time.Second, sent)
	b.Reported(b.ids[n], sent, report, b.now)
}

func (b *bench) job(steps ...jobs.Step) jobs.Record {
	return jobs.Record{
		Spec:  jobs.Spec{ID: testJob, Queue: "q", Steps: steps},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(b.now),
	}
}

func (b *bench) starts() []StartOrder {
	var starts []StartOrder
	for _, order := range b.Decide(b.now) {
		if start, ok := order.(StartOrder); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// storedStarts returns the starts of an owner whose store accepts all changes at once.
func (b *bench) storedStarts() []StartOrder {
	starts := b.starts()
	b.Stored(b.TakeChanges(10, b.now), b.now)
	return append(starts, b.starts()...)
}

var singleTaskStep = jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 100}, Estimate: 500}

func taskOf(index int) jobs.TaskID { return jobs.TaskID{Job: testJob, Index: index} }

// setInterference makes the core certain of the interference factor of a filler image on the serving image.
func (b *bench) setInterference(filling jobs.ImageName, factor float64) {
	b.Core.model.Restore(jobs.LearnedParameters{FillerImages: []jobs.ImageName{filling}, Factors: []jobs.ImageParameters{{
		Serving: servingStep.Image, IdleTail: 0.2, TargetRatioSum: 1000, ObservedSeconds: 1000 * 0.2 / 0.55, Mean: []float64{factor}, Covariance: []float64{0},
	}}}, 0)
}
