// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// newWideBench makes a core with a job of two steps of many small tasks, all of which run on the first of two workers.
func newWideBench(t testing.TB, tasks int) *bench {
	t.Helper()
	b := newBench(t, 2)
	step := jobs.Step{Count: tasks / 2, Size: models.Resources{Memory: 0}, Estimate: 60_000}
	b.AddJob(b.job(step, step), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	for _, start := range b.starts() {
		b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	}
	require.Len(t, b.workers[b.ids[0]].tasks, tasks)
	return b
}

// loseWorker loses a worker with what runs there: another incarnation answers at its address.
func (b *bench) loseWorker(n int) {
	b.now = b.now.Add(300 * time.Millisecond)
	b.Unreached(b.ids[n], true, b.now)
	b.now = b.now.Add(time.Second)
	b.Replaced(b.ids[n], b.now)
}

// TestLossOfAWorkerWithManyTasksTakesLittleMemory guards against an owner whose memory grows with the square of the tasks
// on a worker that is lost: with as many as a job may have, its process would end.
func TestLossOfAWorkerWithManyTasksTakesLittleMemory(t *testing.T) {
	const (
		tasks        = 4_000
		bytesPerTask = 8 << 10 // that the loss of a task's run may take in all
	)
	b := newWideBench(t, tasks)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.loseWorker(0)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(tasks*bytesPerTask), "bytes")
}

// reportRunning lets a worker report the runs of its tasks.
func (b *bench) reportRunning(n int) {
	var running []jobs.Run
	for _, t := range b.workers[b.ids[n]].tasks {
		running = append(running, jobs.Run{Task: t.id(), Run: t.run})
	}
	b.report(n, jobs.Report{Running: running})
}

// TestWidestJobGoesOnAfterLosses loses the worker of as many tasks as a job may have, time and again: what is stored fits
// into the store's values, and the tasks start again.
func TestWidestJobGoesOnAfterLosses(t *testing.T) {
	b, store := newWideBench(t, jobs.MaxTasks), newChunkStore()
	for loss := range 3 {
		b.storeAllIn(t, &store, defaultMaxValueSize)
		lost := 0
		if len(b.workers[b.ids[1]].tasks) > len(b.workers[b.ids[0]].tasks) {
			lost = 1
		}
		b.loseWorker(lost)
		b.storeAllIn(t, &store, defaultMaxValueSize)
		b.ids[lost] = jobs.WorkerID(fmt.Sprintf("w%d-%d", lost, loss))
		b.listWorkers()
		b.report(lost, jobs.Report{})
		b.requireStarts(t, &store)
	}
}

// requireStarts lets time pass until something starts, at most as long as a suspect waits for a trial.
func (b *bench) requireStarts(t testing.TB, store *chunkStore) {
	t.Helper()
	for until := b.now.Add(maxTrialWait); b.now.Before(until); {
		for n := range b.ids {
			b.reportRunning(n)
		}
		b.storeAllIn(t, store, defaultMaxValueSize)
		starts := b.starts()
		for _, start := range starts {
			b.Started(start, Result{Outcome: OutcomeDone}, b.now)
		}
		if len(starts) > 0 {
			return
		}
	}
	require.Fail(t, "nothing starts")
}
