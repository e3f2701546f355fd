// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// fillerAllowed is how long callers allow a job to have nothing running while there is room for it and most of the capacity
// is free.
const fillerAllowed = 3 * time.Second

// fillerWaitBench is a core with two workers, each of which runs a serving task of the given size that a filler task would push over
// its target.
type fillerWaitBench struct {
	*bench
	running [2][]jobs.Run
}

func newFillerWaitBench(t *testing.T, servingCPU models.MilliCPU) *fillerWaitBench {
	t.Helper()
	b := &fillerWaitBench{bench: newBench(t, 2)}
	b.setInterference(fillerStep.Image, 20)
	serving := servingStep
	serving.Count, serving.Size.CPU, serving.PerWorker = 2, servingCPU, 1
	record := b.job(serving)
	record.Spec.ID = otherJob
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.pass(time.Second)
	require.Len(t, b.running[0], 1)
	require.Len(t, b.running[1], 1)
	return b
}

// pass lets time pass, and returns how many starts of the filler job were ordered and how long after the beginning the first
// one was. All starts are carried out.
func (b *fillerWaitBench) pass(passed time.Duration) (starts int, first time.Duration) {
	begin := b.now
	for b.now.Sub(begin) < passed {
		for _, start := range b.storedStarts() {
			if start.Call.Task.Job == testJob {
				starts++
				first = b.now.Sub(begin)
			}
			b.Started(start, Result{Outcome: OutcomeDone}, b.now)
			for n, id := range b.ids {
				if id == start.Worker.ID {
					b.running[n] = append(b.running[n], jobs.Run{Task: start.Call.Task, Run: start.Call.Run, Figure: 40})
				}
			}
		}
		for n := range b.ids {
			b.report(n, jobs.Report{Running: b.running[n]})
		}
	}
	return starts, first
}

// TestFillerJobsStartBesideServingTasks guards against jobs of filler tasks of which nothing runs for as long as each worker has a
// serving task that they would push over its target, although most of the capacity is free.
func TestFillerJobsStartBesideServingTasks(t *testing.T) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	for name, progress := range map[string]jobs.Progress{
		"new":       {},
		"a suspect": {Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost}}, 1: {Lost: []jobs.LostRun{lost}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFillerWaitBench(t, 1000)
			step := fillerStep
			step.Count = 2
			b.AddJob(b.job(step), progress, true, b.now)
			starts, first := b.pass(2 * fillerAllowed)
			require.Equal(t, 1, starts, "one of its tasks, and no more beside the serving tasks")
			require.Less(t, first, fillerAllowed)
		})
	}
}

// TestFillerJobsWaitInFullCells guards against filler tasks that harm serving tasks where little capacity is free.
func TestFillerJobsWaitInFullCells(t *testing.T) {
	b := newFillerWaitBench(t, 3000)
	b.AddJob(b.job(fillerStep), jobs.Progress{}, true, b.now)
	starts, _ := b.pass(2 * fillerAllowed)
	require.Zero(t, starts)
}

// TestFillerJobsTakeTurns guards against jobs of filler tasks of which nothing runs while jobs that are placed before them take all
// the CPU that is unused, although most of the capacity is free; and against more of them at work than there is CPU for.
func TestFillerJobsTakeTurns(t *testing.T) {
	const (
		fillerJobs = 6
		settled    = 200 * time.Millisecond // within which the pace of a new run is in force
	)
	b := newStandbyBench(t, 2)
	step := fillerStep
	step.Count, step.Size.CPU, step.Estimate = 8, 4000, 500
	idleSince := map[jobs.ID]time.Time{}
	for n := range fillerJobs {
		id := jobs.ID(fmt.Sprintf("%016x", n+1))
		b.submit(id, step)
		idleSince[id] = b.now
	}
	crowdedSince := [2]time.Time{}
	b.pass(20*time.Second, func() {
		for id, since := range idleSince {
			if len(b.runsOf(id)) > 0 || b.succeeded[id] == step.Count {
				idleSince[id] = b.now
				continue
			}
			require.Less(t, b.now.Sub(since), fillerAllowed, "%s after %d tasks", id, b.succeeded[id])
		}
		for n, runs := range b.runs {
			working := 0
			for _, r := range runs {
				if r.pace > 0 {
					working++
				}
			}
			if working <= 1 {
				crowdedSince[n] = b.now
			}
			require.LessOrEqual(t, b.now.Sub(crowdedSince[n]), settled, "%d tasks work on worker %d, which has CPU for one", working, n)
		}
	})
	for id := range idleSince {
		require.Equal(t, step.Count, b.succeeded[id], "%s", id)
	}
}
