// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"slices"
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
// the CPU that is unused, although most of the capacity is free.
func TestFillerJobsTakeTurns(t *testing.T) {
	const (
		fillerJobs = 6
		runtime    = 500 * time.Millisecond
	)
	b := newBench(t, 2)
	step := fillerStep
	step.Count, step.Size.CPU, step.Estimate = 8, 4000, models.MilliOf(runtime)
	idleSince := map[jobs.ID]time.Time{}
	for n := range fillerJobs {
		record := b.job(step)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", n+1))
		b.AddJob(record, jobs.Progress{}, true, b.now)
		idleSince[record.Spec.ID] = b.now
	}
	running, began := [2]*jobs.Run{}, [2]time.Time{}
	ended, succeeded := [2][]jobs.Ended{}, map[jobs.ID]int{}
	for end := b.now.Add(20 * time.Second); b.now.Before(end); {
		for n, id := range b.ids {
			if run := running[n]; run != nil && b.now.Sub(began[n]) >= runtime {
				ended[n] = append(ended[n], jobs.Ended{Number: uint64(len(ended[n]) + 1), Task: run.Task, Run: run.Run, How: jobs.EndSucceeded})
				running[n] = nil
				idleSince[run.Task.Job] = b.now
				succeeded[run.Task.Job]++
			}
			report := jobs.Report{Ended: ended[n]}
			if running[n] != nil {
				report.Running = []jobs.Run{*running[n]}
			}
			b.report(n, report)
			for _, start := range b.storedStarts() {
				at := slices.Index(b.ids, start.Worker.ID)
				require.Nil(t, running[at], "no CPU is unused on %s", id)
				running[at], began[at] = &jobs.Run{Task: start.Call.Task, Run: start.Call.Run, Figure: 3600}, b.now
				b.Started(start, Result{Outcome: OutcomeDone}, b.now)
				delete(idleSince, start.Call.Task.Job)
			}
		}
		for job, since := range idleSince {
			require.Less(t, b.now.Sub(since), fillerAllowed, "%s after %d tasks", job, succeeded[job])
			if succeeded[job] == step.Count {
				delete(idleSince, job)
			}
		}
	}
}
