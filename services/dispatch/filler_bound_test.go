// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// harmlessImage is a filler image that adds nothing to the loads of serving tasks.
const harmlessImage = jobs.ImageName("harmless")

// setHarmless makes the core certain that one filler image would push serving tasks over their targets and the other one adds
// nothing to their loads.
func (b *bench) setHarmless() {
	b.Core.model.Restore(jobs.LearnedParameters{FillerImages: []jobs.ImageName{fillerStep.Image, harmlessImage}, Factors: []jobs.ImageParameters{{
		Serving: servingStep.Image, IdleTail: 0.2, TargetRatioSum: 1000, ObservedSeconds: 1000 * 0.2 / 0.55, Mean: []float64{20, 0}, Covariance: []float64{0, 0, 0, 0},
	}}}, 0)
}

// endRuns ends the runs of a job that began at least the given time ago.
func (b *fillerWaitBench) endRuns(id jobs.ID, after time.Duration, began map[jobs.TaskID]time.Time, ended *[2][]jobs.Ended) {
	for n := range b.running {
		b.running[n] = slices.DeleteFunc(b.running[n], func(r jobs.Run) bool {
			if r.Task.Job != id || b.now.Sub(began[r.Task]) < after {
				return false
			}
			ended[n] = append(ended[n], jobs.Ended{Number: uint64(len(ended[n]) + 1), Task: r.Task, Run: r.Run, How: jobs.EndSucceeded})
			return true
		})
	}
}

// TestFillerJobsStartBesideOtherFillerTasks guards against jobs of filler tasks of which nothing runs for as long as short filler tasks
// of other jobs, which the loads allow, begin and end on each worker again and again.
func TestFillerJobsStartBesideOtherFillerTasks(t *testing.T) {
	const (
		otherFillerJob = jobs.ID("00000000000000cc")
		runtime        = 300 * time.Millisecond
	)
	b := newFillerWaitBench(t, 1000)
	b.setHarmless()
	other := fillerStep
	other.Count, other.Image, other.Estimate = 200, harmlessImage, 300
	record := b.job(other)
	record.Spec.ID = otherFillerJob
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.pass(time.Second)
	b.AddJob(b.job(fillerStep), jobs.Progress{}, true, b.now)
	began, ended := map[jobs.TaskID]time.Time{}, [2][]jobs.Ended{}
	for begin := b.now; b.now.Sub(begin) < fillerAllowed; {
		for _, start := range b.storedStarts() {
			if start.Call.Task.Job == testJob {
				return
			}
			b.Started(start, Result{Outcome: OutcomeDone}, b.now)
			n := slices.Index(b.ids, start.Worker.ID)
			b.running[n] = append(b.running[n], jobs.Run{Task: start.Call.Task, Run: start.Call.Run, Figure: 900})
			began[start.Call.Task] = b.now
		}
		b.endRuns(otherFillerJob, runtime, began, &ended)
		for n := range b.ids {
			b.report(n, jobs.Report{Running: b.running[n], Ended: ended[n]})
		}
	}
	require.Fail(t, "nothing of the job runs", "%d tasks of the other job have run", len(ended[0])+len(ended[1]))
}

// TestFillerJobsStartOnWorkersKeptForSuspects guards against jobs of filler tasks whose wait for a worker that is kept for suspects begins
// only once the wait for the loads is over.
func TestFillerJobsStartOnWorkersKeptForSuspects(t *testing.T) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	for name, progress := range map[string]jobs.Progress{
		"new":       {},
		"a suspect": {Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost, lost}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFillerWaitBench(t, 1000)
			b.AddJob(b.job(fillerStep), progress, true, b.now)
			other := &task{}
			for begin := b.now; b.now.Sub(begin) < fillerAllowed; {
				for _, w := range b.sortedWorkers {
					w.reserveForTrial(other, b.now)
				}
				if starts, _ := b.pass(100 * time.Millisecond); starts > 0 {
					return
				}
			}
			require.Fail(t, "nothing of the job runs")
		})
	}
}

// TestFillerJobsStartBesideASilentWorker guards against jobs of filler tasks of which something counts as running until the lease of a
// worker that has gone is over, and which then wait for the loads once more.
func TestFillerJobsStartBesideASilentWorker(t *testing.T) {
	const calm = 4 * time.Second // after the worker has gone
	b := newFillerWaitBench(t, 1000)
	b.config.Lease = 6 * time.Second
	step := fillerStep
	step.Count = 2
	b.AddJob(b.job(step), jobs.Progress{}, true, b.now)
	starts, _ := b.pass(fillerAllowed)
	require.Equal(t, 1, starts)
	gone := slices.IndexFunc(b.running[:], func(rows []jobs.Run) bool { return len(rows) > 1 })
	for begin := b.now; b.now.Sub(begin) < calm+fillerAllowed; {
		b.Unreached(b.ids[gone], true, b.now)
		b.report(1-gone, jobs.Report{Running: b.running[1-gone]})
		for _, start := range b.storedStarts() {
			if start.Call.Task.Job == testJob && start.Worker.ID == b.ids[1-gone] {
				return
			}
		}
	}
	require.Fail(t, "nothing of the job runs")
}

// TestFillerJobsFromOtherCellsHaveWaitedThere guards against jobs of filler tasks whose wait begins anew in each cell that they are
// handed to.
func TestFillerJobsFromOtherCellsHaveWaitedThere(t *testing.T) {
	const waited = 2 * time.Second
	b := newFillerWaitBench(t, 1000)
	record := b.job(fillerStep)
	record.Transferred, record.Accepted = true, models.UnixMilliOf(b.now.Add(-waited))
	b.AddJob(record, jobs.Progress{}, true, b.now)
	starts, _ := b.pass(fillerAllowed - waited)
	require.Equal(t, 1, starts)
}

// TestFillerJobsStartBesidePausedWorkers guards against jobs of filler tasks that wait without end beside the only worker that gets starts
// and is mostly in use, while empty workers get none: callers count these as well.
func TestFillerJobsStartBesidePausedWorkers(t *testing.T) {
	b := &fillerWaitBench{bench: newBench(t, 2)}
	b.setInterference(fillerStep.Image, 20)
	serving := servingStep
	serving.Size.CPU = 2500
	record := b.job(serving)
	record.Spec.ID = otherJob
	b.AddJob(record, jobs.Progress{}, true, b.now)
	b.pass(time.Second)
	empty := slices.IndexFunc(b.running[:], func(rows []jobs.Run) bool { return len(rows) == 0 })
	b.AddJob(b.job(fillerStep), jobs.Progress{}, true, b.now)
	for begin := b.now; b.now.Sub(begin) < fillerAllowed; {
		b.workers[b.ids[empty]].noStartsUntil = b.now.Add(notDonePause)
		if starts, _ := b.pass(100 * time.Millisecond); starts > 0 {
			return
		}
	}
	require.Fail(t, "nothing of the job runs")
}
