// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// TestFillerTasksStartAsIfAllWorkersWereSearched guards against filler tasks that start elsewhere, later or not at all because a worker that has
// room for them is not searched. The tasks of the second cell have a limit for each worker, which they never reach, so that all
// workers are searched for each of its steps.
func TestFillerTasksStartAsIfAllWorkersWereSearched(t *testing.T) {
	const (
		workers, fillerJobs = 9, 60
		decisions           = 400
	)
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var cells [2]*costBench
			for n, perWorker := range []int{0, costTasks} {
				cells[n] = newCostBench(t, workers, fillerJobs, perWorker, seed)
				cells[n].addSuspects(perWorker)
			}
			starts := 0
			for range decisions {
				var orders [2][]Order
				for n, cell := range cells {
					cell.disturb()
					orders[n], _ = cell.decide()
				}
				require.Equal(t, orders[1], orders[0])
				starts += len(orders[0])
				require.Equal(t, cells[1].shortWork, cells[0].shortWork)
			}
			t.Logf("%d orders", starts)
			require.Greater(t, starts, fillerJobs)
		})
	}
}

// newNoRoomBench returns a cell of one worker, and two steps of one filler task each, of which the first runs and leaves no room
// for the second.
func newNoRoomBench(t *testing.T) (b *bench, running, waiting *step) {
	t.Helper()
	b = newBench(t, 1)
	b.report(0, jobs.Report{})
	for _, id := range []jobs.ID{testJob, otherJob} {
		step := fillerStep
		step.Size.CPU = 3000
		record := b.job(step)
		record.Spec.ID = id
		b.AddJob(record, jobs.Progress{}, true, b.now)
		b.storedStarts()
	}
	running, waiting = b.jobs[testJob].occurrences[0].steps[0], b.jobs[otherJob].occurrences[0].steps[0]
	require.Zero(t, running.waiting)
	require.Equal(t, 1, waiting.waiting)
	return b, running, waiting
}

// TestWorkersThatChangeAreSearchedAgain guards against tasks that do not start on a worker on which a run has ended since it was searched.
func TestWorkersThatChangeAreSearchedAgain(t *testing.T) {
	b, running, waiting := newNoRoomBench(t)
	require.Empty(t, b.findPlaces(waiting, b.now))
	require.Equal(t, b.workerChanges, b.noRoomAsOf(waiting), "no worker is searched again")
	b.requeue(&running.tasks[0])
	require.Len(t, b.findPlaces(waiting, b.now), 1)
}

// TestWorkersKeptForSuspectsCountAsNotSearched guards against tasks whose wait beside room on a worker that is kept for suspects is not noticed,
// because they may not start there.
func TestWorkersKeptForSuspectsCountAsNotSearched(t *testing.T) {
	b, running, waiting := newNoRoomBench(t)
	b.requeue(&running.tasks[0])
	b.sortedWorkers[0].reserveForTrial(&running.tasks[0], b.now)
	require.Empty(t, b.findPlaces(waiting, b.now))
	b.noteRoom(waiting, b.now)
	require.Equal(t, b.now, waiting.roomSince)
}

// TestIdleJobsAreSearchedForByThemselves guards against idle jobs that do not start whatever the loads, because the loads do not allow a task of
// another job.
func TestIdleJobsAreSearchedForByThemselves(t *testing.T) {
	b, running, waiting := newNoRoomBench(t)
	b.shortWork.use = jobs.UseOfPools{testPool: {Present: models.Resources{CPU: 4000, Memory: 8000}}}
	waiting.tasks[0].suspicion.Lost = []jobs.LostRun{{Run: 1}, {Run: 2}} // only suspects start so
	waiting.job.runSpan.lastSeenAt, waiting.occurrence.openedAt = b.now, b.now
	require.Empty(t, b.findPlaces(waiting, b.now))
	waiting.job.runSpan.lastSeenAt, waiting.occurrence.openedAt = b.now.Add(-maxFillerWait), b.now.Add(-maxFillerWait)
	require.Len(t, b.findPlaces(waiting, b.now), 1, "beside %s", running.job.spec.ID)
}

// addSuspects adds jobs of filler tasks that are suspected of crashing their workers.
func (b *costBench) addSuspects(perWorker int) {
	lost := jobs.LostRun{Run: 1, EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	for n := range 4 {
		step := fillerStep
		step.Count, step.PerWorker, step.Image = 2, perWorker, "filling-1"
		step.Size = models.Resources{CPU: models.MilliCPU(2000 + b.random.IntN(9000)), Memory: 5000}
		record := b.job(step)
		record.Spec.ID, record.Spec.Queue = jobs.ID(fmt.Sprintf("%016x", 0x2000+n)), "pool-1"
		b.AddJob(record, jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: []jobs.LostRun{lost}}}}}, true, b.now)
	}
}

// disturb changes the tail latencies of serving tasks, limits the starts, and sometimes cancels a job, silences a worker or lets time pass.
func (b *costBench) disturb() {
	for n := range b.simulated {
		for i := range min(costServing, len(b.simulated[n].running)) {
			b.simulated[n].running[i].Figure = 50 + int(30*math.Sin(float64(b.decisions+7*n+13*i)/20)) + b.random.IntN(10)
		}
	}
	b.AllowStarts(1 + b.random.IntN(20))
	switch b.random.IntN(40) {
	case 0:
		b.Cancel(jobs.ID(fmt.Sprintf("%016x", 0x1000+b.random.IntN(60))))
	case 1:
		b.silent = b.random.IntN(len(b.simulated))
	case 2:
		b.silent = -1
	case 3:
		b.now = b.now.Add(time.Duration(b.random.IntN(300)) * time.Millisecond)
	}
}
