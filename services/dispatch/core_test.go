// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

func TestDependentStepWaits(t *testing.T) {
	b := newBench(t, 1)
	second := singleTaskStep
	second.After = []int{0}
	b.AddJob(b.job(singleTaskStep, second), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Zero(t, starts[0].Call.Task.Step)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: starts[0].Call.Task, Run: starts[0].Call.Run, How: jobs.EndSucceeded}}})
	starts = b.starts()
	require.Len(t, starts, 1)
	require.Equal(t, 1, starts[0].Call.Task.Step)
}

func TestRoomPerWorkerAndPerStep(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(jobs.Step{Count: 10, Size: models.Resources{CPU: 1500, Memory: 10}, Estimate: 500}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 4, "two of 1.5 cores fit on each worker of 4")

	b = newBench(t, 2)
	b.AddJob(b.job(jobs.Step{Count: 10, Size: models.Resources{CPU: 100, Memory: 10}, Estimate: 500, PerWorker: 3}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 6)
}

func TestStartThatWasLateIsNotRepeatedAtOnce(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	b.now = b.now.Add(time.Second)
	b.Started(starts[0], Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedLate}, b.now)
	require.Empty(t, b.starts(), "a repetition would be as late: the worker's clock is known from the same report")
	b.now = b.now.Add(fullPause)
	b.report(0, jobs.Report{})
	require.Len(t, b.starts(), 1)
}

func TestStalledWorkerIsLeftAlone(t *testing.T) {
	b := newBench(t, 3)
	b.AddJob(b.job(jobs.Step{Count: 3, Size: models.Resources{CPU: 3000, Memory: 10}, Estimate: 20_000, Checkpoints: true}), jobs.Progress{}, true, b.now)
	for n := range 3 {
		b.report(n, jobs.Report{})
	}
	starts := b.starts()
	require.Len(t, starts, 3)
	var stopped []jobs.WorkerID
	for tick := range 60 {
		for _, s := range starts {
			progress := jobs.Percent(2 * tick)
			if s.Worker.ID == b.ids[0] {
				progress = 1 // the worker has stalled
			}
			index := map[jobs.WorkerID]int{b.ids[0]: 0, b.ids[1]: 1, b.ids[2]: 2}[s.Worker.ID]
			b.report(index, jobs.Report{Running: []jobs.Run{{Task: s.Call.Task, Run: s.Call.Run, Progress: min(99, progress), Figure: 3000}}})
		}
		for _, order := range b.Decide(b.now) {
			if stop, ok := order.(StopOrder); ok {
				stopped = append(stopped, stop.Worker.ID)
			}
		}
		if len(stopped) > 0 {
			break
		}
	}
	require.Equal(t, []jobs.WorkerID{b.ids[0]}, stopped)
	require.False(t, b.usable(b.workers[b.ids[0]], b.now))
	require.True(t, b.usable(b.workers[b.ids[1]], b.now))
}

func TestWorkerIsNotJudgedByAFewSamples(t *testing.T) {
	b := newBench(t, 1)
	w := b.workers[b.ids[0]]
	for sample := range minWorkerSamples {
		require.True(t, w.stalledUntil.IsZero(), "after %d samples", sample)
		w.speed.add(0, workerSpeedWeight)
		b.checkStalled(w, b.now)
	}
	require.False(t, w.stalledUntil.IsZero(), "the worker has stalled all the time")

	w.speed, w.stalledUntil = speed{mean: 1, samples: 2 * minWorkerSamples}, time.Time{}
	for range 7 { // samples of nearly three seconds of one task
		w.speed.add(0, workerSpeedWeight)
		b.checkStalled(w, b.now)
	}
	require.True(t, w.stalledUntil.IsZero(), "the worker was sound until then")
}

// TestSlowWorkerKeepsItsTasks checks that a worker that is merely slow is left alone: moving its tasks costs
// more than it gains.
func TestSlowWorkerKeepsItsTasks(t *testing.T) {
	b := newBench(t, 1)
	w := b.workers[b.ids[0]]
	for range 10 * minWorkerSamples {
		w.speed.add(1.0/7, workerSpeedWeight)
		b.checkStalled(w, b.now)
		require.True(t, w.stalledUntil.IsZero())
	}
}

func TestRepeatedStartThatIsNotDoneIsBarred(t *testing.T) {
	for _, second := range []Result{{Outcome: OutcomeNotDone}, {Outcome: OutcomeRefused, Refusal: jobs.RefusedCapacity}} {
		b := newBench(t, 2)
		b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		first := b.starts()
		require.Len(t, first, 1)
		b.Started(first[0], Result{Outcome: OutcomeUnknown}, b.now)
		again := b.starts()
		require.Len(t, again, 1)
		require.Equal(t, first[0], again[0], "the start of the same run is repeated")
		b.Started(again[0], second, b.now)
		for _, order := range b.Decide(b.now) {
			stop, ok := order.(StopOrder)
			require.True(t, ok, "the first call may still be carried out: nothing starts elsewhere")
			require.Equal(t, first[0].Call.Run, stop.Call.Run)
		}
	}
}

// TestTaskMovesOnFromAWorkerThatRefusesIt guards against a task that waits for ever beside idle workers: the worker that
// was the best for it refused each start for a reason that is not known here, and was asked again each second.
func TestTaskMovesOnFromAWorkerThatRefusesIt(t *testing.T) {
	b := newBench(t, 3)
	for n := range b.ids {
		b.report(n, jobs.Report{})
	}
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	var refusing jobs.WorkerID
	for began, n := b.now, 0; ; n++ {
		require.Less(t, b.now.Sub(began), 3*time.Second, "one worker of three refuses starts")
		for _, start := range b.starts() {
			if refusing == "" {
				refusing = start.Worker.ID
			}
			if start.Worker.ID != refusing {
				return
			}
			b.Started(start, Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedOther}, b.now)
		}
		b.report(n%len(b.ids), jobs.Report{})
	}
}
