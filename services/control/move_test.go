// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// newTwoCellCluster makes a cluster of two cells with two workers each. A long-running job fills one of the cells; full
// is the number of that cell.
func newTwoCellCluster(t *testing.T) (w *testCluster, full int) {
	t.Helper()
	w = newTestClusterWithCells(t, 4, 3, 2, nil)
	w.submit(w.daemons[0], longRunningJob(1, 4))
	w.eventually(10*time.Second, "tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
	if w.busyWorkers(cellName(0)) == 0 {
		full = 1
	}
	require.Len(t, w.workersOfCell(full), 2)
	return w, full
}

// ownerOfCell returns the daemon that owns a cell; nil if none does.
func (w *testCluster) ownerOfCell(cell jobs.CellName) *testDaemon {
	for _, d := range w.daemons {
		if d.Cells.Answer(jobs.Query{Cell: cell}).IsOwner {
			return d
		}
	}
	return nil
}

// busyWorkers counts the workers of a cell on which its owner has placed tasks.
func (w *testCluster) busyWorkers(cell jobs.CellName) int {
	busy := 0
	for _, state := range w.ownerOfCell(cell).Cells.owned[cell].core.WorkerStates(time.Now()) {
		if len(state.Tasks) > 0 {
			busy++
		}
	}
	return busy
}

// workersOfCell returns the places in the grid of a cell's workers.
func (w *testCluster) workersOfCell(number int) []int {
	list, _, err := w.grid.JobWorkers(w.ctx)
	require.NoError(w.t, err)
	var places []int
	for place, worker := range list {
		if w.daemons[0].Cells.layout().Racks[worker.Rack] == number {
			places = append(places, place)
		}
	}
	return places
}

// loseWorker disconnects a worker with two tasks of the first job permanently.
func (w *testCluster) loseWorker(place int) {
	w.grid.SetFaults(place, faultsCut)
	w.grid.SetListed(place, false)
	w.eventually(8*time.Second, "the tasks on the lost worker have lapsed", func() bool { return w.grid.Running(jobID(1)) == 2 })
}

// requireLostTasksMoved waits until the tasks of the first job that ran on a lost worker run elsewhere.
func (w *testCluster) requireLostTasksMoved() {
	w.t.Helper()
	w.eventually(5*time.Second, "lost tasks are running in the other cell", func() bool { return w.grid.Running(jobID(1)) == 4 })
	time.Sleep(3 * time.Second)
	require.Equal(w.t, 4, w.grid.Running(jobID(1)))
	for _, d := range w.daemons {
		require.Equal(w.t, jobs.StateRunning, w.state(d, jobID(1)))
	}
}

func TestLostTasksOfAFullCellRunInAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, full := newTwoCellCluster(t)
		w.loseWorker(w.workersOfCell(full)[0])
		w.requireLostTasksMoved()
		require.Equal(t, platform.Done{}, w.daemons[2].Cancel(w.ctx, jobID(1)))
		w.eventually(2*time.Second, "tasks of both cells are stopped", func() bool { return w.grid.Running(jobID(1)) == 0 })
		for _, d := range w.daemons {
			require.Equal(t, jobs.StateCancelled, w.state(d, jobID(1)))
		}
		w.requireNoBreaches()
	})
}

// submitTo accepts a job for a given one of its cells, regardless of the loads.
func (w *testCluster) submitTo(number int, spec jobs.Spec) {
	w.t.Helper()
	spec.Queue = testQueue
	w.grid.Expect(spec, testAttempts)
	record := jobs.Record{Spec: spec, Terms: testTerms, Accepted: models.UnixMilliOf(time.Now())}
	d := w.daemons[0]
	cells := cellsForJob(spec.ID, d.Cells.layout())
	accepted := d.accept(w.ctx, spec.ID, jobKeys(cells, spec.ID), keyValue{jobKey(cellName(number), spec.ID), record})
	require.Equal(w.t, platform.Done{}, accepted.outcome)
}

// largeJob returns a job of two steps whose tasks don't fit on a worker that runs two long-running tasks.
func largeJob(n int) jobs.Spec {
	spec := twoStepJob(n, time.Second)
	for i := range spec.Steps {
		spec.Steps[i].Size = models.Resources{CPU: 1100, Memory: 500}
	}
	return spec
}

func TestJobThatFindsNoPlaceMovesAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, full := newTwoCellCluster(t)
		w.submitTo(full, largeJob(2))
		w.eventually(5*time.Second, "job succeeds in the other cell", func() bool { return w.state(w.daemons[1], jobID(2)) == jobs.StateSucceeded })
		w.submit(w.daemons[2], largeJob(2)) // already accepted, so the second submission has no effect
		time.Sleep(5 * time.Second)
		for _, d := range w.daemons {
			require.Equal(t, jobs.StateSucceeded, w.state(d, jobID(2)))
		}
		_, err := w.daemons[0].config.Store.Get(w.ctx, jobKey(cellName(full), jobID(2)))
		require.NoError(t, err, "the record stays, so that no daemon reports the job as unknown during a move")
		time.Sleep(170 * time.Second)
		for n := range 2 {
			_, err := w.daemons[0].config.Store.Get(w.ctx, jobKey(cellName(n), jobID(2)))
			require.ErrorIs(t, err, platform.ErrNotFound, "the job is forgotten in both cells")
		}
		require.Equal(t, platform.Done{}, w.daemons[0].Cancel(w.ctx, jobID(1)))
		w.requireNoBreaches()
	})
}

func TestMovedJobCanBeCancelledBeforeItStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, full := newTwoCellCluster(t)
		w.submitTo(full, largeJob(2))
		w.eventually(5*time.Second, "job is running", func() bool { return w.grid.Running(jobID(2)) == 3 })
		require.Equal(t, platform.Done{}, w.daemons[1].Cancel(w.ctx, jobID(2)))
		w.eventually(2*time.Second, "tasks are stopped", func() bool { return w.grid.Running(jobID(2)) == 0 })
		for _, d := range w.daemons {
			require.Equal(t, jobs.StateCancelled, w.state(d, jobID(2)))
		}
		w.requireNoBreaches()
	})
}

func TestMovedTasksOutliveTheOwners(t *testing.T) {
	for _, lost := range []string{"owner that handed over", "owner that took over", "all daemons"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, full := newTwoCellCluster(t)
				w.loseWorker(w.workersOfCell(full)[0])
				w.requireLostTasksMoved()
				w.loseDaemons(lost, full)
				w.eventually(15*time.Second, "both cells have owners", func() bool {
					return w.ownerOfCell(cellName(0)) != nil && w.ownerOfCell(cellName(1)) != nil
				})
				w.eventually(15*time.Second, "all tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
				time.Sleep(10 * time.Second)
				require.Equal(t, 4, w.grid.Running(jobID(1)))
				d := w.lastLiveDaemon()
				require.Equal(t, jobs.StateRunning, w.state(d, jobID(1)))
				require.Equal(t, platform.Done{}, d.Cancel(w.ctx, jobID(1)))
				w.eventually(2*time.Second, "tasks of both cells are stopped", func() bool { return w.grid.Running(jobID(1)) == 0 })
				w.requireNoBreaches()
			})
		})
	}
}

// loseDaemons kills the given daemons, and starts new ones if none would be left.
func (w *testCluster) loseDaemons(which string, full int) {
	switch which {
	case "owner that handed over":
		w.ownerOfCell(cellName(full)).kill()
	case "owner that took over":
		w.ownerOfCell(cellName(1 - full)).kill()
	default:
		for _, d := range w.daemons {
			d.kill()
		}
		w.startDaemon()
		w.startDaemon()
	}
}

// silentWorkerWait is somewhat longer than an owner waits, after a takeover, for workers that don't answer.
const silentWorkerWait = 40 * time.Second

func TestMoveWithoutAnswerIsDoneOnce(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, full := newTwoCellCluster(t)
				owner := w.ownerOfCell(cellName(full))
				w.loseWorker(w.workersOfCell(full)[0])
				owner.mu.Lock()
				owner.storeWriteDelay = late // from now on its transactions take effect with this delay
				owner.mu.Unlock()
				time.Sleep(late)
				owner.mu.Lock()
				owner.storeWriteDelay = 0
				owner.mu.Unlock()
				// With the longer delays the owner loses its lease; the next owner waits for the lost worker.
				w.eventually(silentWorkerWait, "all tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
				time.Sleep(10 * time.Second)
				require.Equal(t, 4, w.grid.Running(jobID(1)))
				w.requireNoBreaches()
			})
		})
	}
}

func TestJobMovesBeforeAPartOfItStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, full := newTwoCellCluster(t)
		w.submitTo(full, twoStepJob(2, 5*time.Second)) // two of its three tasks would fit there
		w.eventually(time.Second, "all tasks of the first step are running", func() bool { return w.grid.Running(jobID(2)) == 3 })
		w.requireNoBreaches()
	})
}

// TestWaitingTasksThatLastGetTheRoomThatComesFree fills two cells with long-running and short tasks, lets further
// long-running tasks wait in both, and then frees capacity in one of them. Within a second all tasks that fit are
// running, whichever cell they waited in.
func TestWaitingTasksThatLastGetTheRoomThatComesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 4, 3, 2, func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) {
			return 300 * time.Millisecond, jobs.EndSucceeded
		})
		d := w.daemons[0]
		w.submit(d, longRunningJob(1, 4))
		w.submit(d, longRunningJob(2, 4))
		running := func() int {
			sum := 0
			for n := 1; n <= 6; n++ {
				sum += w.grid.Running(jobID(n))
			}
			return sum
		}
		w.eventually(10*time.Second, "both cells are full", func() bool { return running() == 8 })
		for n := 3; n <= 6; n++ {
			w.submit(d, longRunningJob(n, 1))
		}
		for n := range 12 { // short jobs; one of their tasks fits beside two long-running ones
			w.submit(d, twoStepJob(100+n, 300*time.Millisecond))
			time.Sleep(600 * time.Millisecond)
		}
		require.Equal(t, 8, running())
		require.Equal(t, platform.Done{}, d.Cancel(w.ctx, jobID(1)))
		w.eventually(2*time.Second, "the cancelled tasks are stopped", func() bool { return w.grid.Running(jobID(1)) == 0 })
		w.eventually(time.Second, "the waiting tasks are running", func() bool { return running() == 8 })
		w.requireNoBreaches()
	})
}

// TestTasksOfOneWorkerEachFindRoomInAnyCell guards against a job that is confined to two of three cells of two workers
// each: of its five long-running tasks, at most one on a worker, four ran and the fifth waited for ever beside two
// idle workers.
func TestTasksOfOneWorkerEachFindRoomInAnyCell(t *testing.T) { testOneTaskPerWorker(t, 3, 5) }

// TestTasksOfOneWorkerEachFindRoomInManyCells guards against the same with a job that is confined to three of four
// cells.
func TestTasksOfOneWorkerEachFindRoomInManyCells(t *testing.T) { testOneTaskPerWorker(t, 4, 7) }

// testOneTaskPerWorker submits a long-running job with the given number of tasks, at most one on a worker, to cells of
// two workers each.
func testOneTaskPerWorker(t *testing.T, cells, tasks int) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 2*cells, cells, 2, nil)
		spec := longRunningJob(1, tasks)
		spec.Steps[0].PerWorker = 1
		w.submit(w.daemons[0], spec)
		w.eventually(20*time.Second, "all tasks are running", func() bool { return w.grid.Running(jobID(1)) == tasks })
		w.requireNoBreaches()
	})
}
