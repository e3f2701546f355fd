// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], twoStepJob(1, time.Second))
		for _, d := range w.daemons {
			w.eventually(10*time.Second, "every daemon reports success", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}

func TestJobHandedInTwiceIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], twoStepJob(1, time.Second))
		w.submit(w.daemons[1], twoStepJob(1, time.Second))
		w.eventually(10*time.Second, "success", func() bool { return w.state(w.daemons[2], jobID(1)) == jobs.StateSucceeded })
		w.submit(w.daemons[2], twoStepJob(1, time.Second))
		time.Sleep(5 * time.Second)
		require.Equal(t, jobs.StateSucceeded, w.state(w.daemons[0], jobID(1)))
		w.requireNoBreaches()
	})
}

func TestCancelledJobStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		require.Equal(t, platform.Done{}, w.daemons[1].Cancel(w.ctx, jobID(1)))
		w.eventually(2*time.Second, "tasks are stopped", func() bool { return w.grid.Running(jobID(1)) == 0 })
		require.Equal(t, jobs.StateCancelled, w.state(w.daemons[2], jobID(1)))
		require.Equal(t, noSuchJob, w.daemons[1].Cancel(w.ctx, jobID(2)))
		w.requireNoBreaches()
	})
}

func TestTaskThatFailsAlwaysFailsItsJob(t *testing.T) {
	runs := 0
	fails := func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) {
		runs++
		return 100 * time.Millisecond, jobs.EndFailed
	}
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 2, fails)
		spec := twoStepJob(1, time.Second)
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].Count = 1
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "job fails", func() bool { return w.state(w.daemons[1], jobID(1)) == jobs.StateFailed })
		time.Sleep(3 * time.Second)
		require.Equal(t, testAttempts, runs)
		w.requireNoBreaches()
	})
}

func TestOwnerKilledLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.submit(w.daemons[0], twoStepJob(2, 4*time.Second))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 && w.grid.Running(jobID(2)) == 3 })
		first := w.owner()
		first.kill()
		w.eventually(5*time.Second, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		require.Equal(t, 4, w.grid.Running(jobID(1)), "long-running tasks kept running meanwhile")
		w.eventually(15*time.Second, "success", func() bool { return w.state(w.owner(), jobID(2)) == jobs.StateSucceeded })
		require.Equal(t, 4, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

func TestFrozenOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], twoStepJob(1, 2*time.Second))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 3 })
		first := w.owner()
		first.freeze()
		w.eventually(6*time.Second, "another daemon owns the cell", func() bool {
			for _, d := range w.daemons {
				if d != first && d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner {
					return true
				}
			}
			return false
		})
		first.thaw()
		w.eventually(5*time.Second, "the previous owner drops the cell", func() bool { return !first.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner })
		w.eventually(15*time.Second, "success", func() bool { return w.state(w.owner(), jobID(1)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

func TestSilentWorkerDelaysOnlyItsTasksAtATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		w.owner().kill()
		w.grid.SetFaults(0, faultsCut)
		w.grid.SetListed(0, false) // also removed from the list: only the stored roster names the worker
		w.eventually(5*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
		w.submit(w.owner(), twoStepJob(2, time.Second))
		w.eventually(5*time.Second, "a job accepted after the takeover is not delayed", func() bool { return w.state(w.owner(), jobID(2)) == jobs.StateSucceeded })
		w.eventually(15*time.Second, "the lost task runs elsewhere", func() bool { return w.grid.Running(jobID(1)) == 4 })
		time.Sleep(5 * time.Second)
		w.requireNoBreaches()
	})
}

func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], twoStepJob(1, 2*time.Second))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 3 })
		w.setOutage(true)
		time.Sleep(time.Second)
		began := time.Now()
		refused := w.daemons[1].Submit(w.ctx, twoStepJob(2, time.Second), jobs.Queue{Name: testQueue, Terms: testTerms})
		require.IsType(t, platform.NotDone{}, refused)
		require.Positive(t, refused.(platform.NotDone).RetryAfter)
		require.Less(t, time.Since(began), 100*time.Millisecond, "refused without waiting for the store")
		w.eventually(5*time.Second, "the next step starts without the store", func() bool { return w.grid.Running(jobID(1)) == 2 })
		time.Sleep(4 * time.Second)
		require.NotEqual(t, jobs.StateSucceeded, w.state(w.daemons[0], jobID(1)), "a state that is not stored is not reported")
		w.setOutage(false)
		w.eventually(8*time.Second, "success", func() bool { return w.state(w.daemons[0], jobID(1)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

func TestLateStartsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 1))
		w.eventually(10*time.Second, "the cell is up", func() bool { return w.grid.Running(jobID(1)) == 1 })
		for place := range 3 {
			w.grid.SetFaults(place, faultsLate)
		}
		w.submit(w.daemons[0], twoStepJob(2, 3*time.Second))
		time.Sleep(2 * time.Second)
		for place := range 3 {
			w.grid.SetFaults(place, noFaults)
		}
		w.eventually(60*time.Second, "success", func() bool { return w.state(w.daemons[0], jobID(2)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

func TestCrashedWorkerIsKnownByItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 2))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 2 })
		w.grid.Crash(0)
		w.grid.Crash(1)
		w.eventually(3*time.Second, "tasks run again", func() bool { return w.grid.Running(jobID(1)) == 2 })
		w.requireNoBreaches()
	})
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 1))
		w.eventually(10*time.Second, "the cell is up", func() bool { return w.grid.Running(jobID(1)) == 1 })
		w.grid.Drain(0, time.Minute)
		w.grid.Drain(1, time.Minute)
		time.Sleep(time.Second)
		w.submit(w.daemons[0], longRunningJob(2, 1))
		time.Sleep(3 * time.Second)
		require.Zero(t, w.grid.Running(jobID(2)))
		w.grid.StopDraining(1)
		w.eventually(3*time.Second, "the task starts on the worker that no longer drains", func() bool { return w.grid.Running(jobID(2)) == 1 })
		w.requireNoBreaches()
	})
}

func TestLostAnswersOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 1))
		for i, d := range w.daemons {
			d.mu.Lock()
			d.lostAnswerDraw = rand.New(rand.NewPCG(1, uint64(i)))
			d.mu.Unlock()
		}
		for n := range 8 {
			w.submit(w.daemons[n%3], twoStepJob(10+n, 200*time.Millisecond))
		}
		for n := range 8 {
			w.eventually(60*time.Second, "success", func() bool { return w.state(w.daemons[n%3], jobID(10+n)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}

func TestRefusalIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		w.submit(w.daemons[0], longRunningJob(1, 1))
		gang := twoStepJob(2, time.Second)
		gang.Steps[0].Gang = true
		refused := w.daemons[0].Submit(context.Background(), gang, jobs.Queue{Name: testQueue, Terms: testTerms})
		require.IsType(t, platform.NotDone{}, refused)
		require.Equal(t, platform.RefusedInvalid, refused.(platform.NotDone).Refusal)
		time.Sleep(3 * time.Second)
		require.Zero(t, w.grid.Running(jobID(2)))
		_, err := w.daemons[0].State(w.ctx, jobID(2))
		require.ErrorIs(t, err, platform.ErrNotFound)
	})
}

func TestWorkerThatLeavesIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 2))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 2 })
		w.grid.Drain(0, 5*time.Second)
		time.Sleep(5 * time.Second)
		require.Zero(t, w.grid.RunningOn(0), "no run is left on the worker at its deadline")
		require.Equal(t, 2, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

func TestWorkerGoneForGoodIsReplacedOnceItsLeaseIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 2))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 2 })
		w.grid.SetFaults(0, faultsCut)
		w.grid.SetListed(0, false)
		lost := w.grid.RunningOn(0)
		require.Positive(t, lost)
		w.eventually(testSettings.WorkerLease+3*time.Second, "its tasks run elsewhere", func() bool { return w.grid.RunningOn(1) == 2 })
		w.requireNoBreaches()
	})
}

func TestJobsInSeveralCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 8, 3, 2, nil) // four cells
		time.Sleep(5 * time.Second)
		require.Equal(t, 4, w.daemons[0].Cells.layout().Cells)
		for n := range 12 {
			w.submit(w.daemons[n%3], twoStepJob(1+n, 200*time.Millisecond))
			w.submit(w.daemons[(n+1)%3], twoStepJob(1+n, 200*time.Millisecond)) // conflicts with the key of the first submission
		}
		for n := range 12 {
			w.eventually(20*time.Second, "success", func() bool { return w.state(w.daemons[(n+1)%3], jobID(1+n)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}

func TestJobsGoToTheLessLoadedCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 4, 2, 2, nil) // two cells of two workers, with free capacity for four such tasks each
		for n := range 8 {
			w.submit(w.daemons[0], longRunningJob(1+n, 1))
			time.Sleep(2 * loadInterval)
		}
		for n := range 8 {
			w.eventually(5*time.Second, "task runs", func() bool { return w.grid.Running(jobID(1+n)) == 1 })
		}
		w.requireNoBreaches()
	})
}

func TestWriteThatIsHeldUpIsNotDoneAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.submit(w.daemons[0], longRunningJob(1, 1))
		cut := w.daemons[1]
		if w.owner() == cut {
			cut = w.daemons[0]
		}
		w.eventually(5*time.Second, "the daemon accepts jobs", func() bool { return cut.Ready() && cut.Cells.registrationVersion() != 0 })
		cut.mu.Lock()
		cut.storeWriteDelay = 8 * time.Second
		cut.mu.Unlock()
		spec := twoStepJob(2, time.Second)
		spec.Queue = testQueue
		w.grid.Expect(spec, testAttempts)
		queue := jobs.Queue{Name: testQueue, Terms: testTerms}
		require.IsType(t, platform.MaybeDone{}, cut.Submit(w.ctx, spec, queue))
		require.IsType(t, platform.MaybeDone{}, cut.Submit(w.ctx, spec, queue), "not refused while the write may still be applied")
		require.IsType(t, platform.NotDone{}, cut.Submit(w.ctx, twoStepJob(3, time.Second), queue), "another job is refused")
		cut.mu.Lock()
		cut.storeWriteDelay = 0
		cut.mu.Unlock()
		w.eventually(3*time.Second, "the daemon is registered again", func() bool { return cut.Cells.registrationVersion() != 0 })
		time.Sleep(15 * time.Second)
		_, err := w.daemons[0].State(w.ctx, spec.ID)
		require.ErrorIs(t, err, platform.ErrNotFound, "the delayed write is not applied")
	})
}

// TestFiguresOfACellTakenAgain guards against a daemon that claims a cell for the second time and publishes
// negative counts to its metrics, which ended the process (soak test, seed 1005).
func TestFiguresOfACellTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 1, nil)
		d := w.daemons[0]
		ctx, cancel := context.WithCancel(w.ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.Cells.RunMetrics(ctx)
		}()
		w.eventually(10*time.Second, "the cell is owned", func() bool { return w.owner() != nil })
		short := twoStepJob(1, 100*time.Millisecond)
		w.submit(d, short)
		w.eventually(10*time.Second, "the first job ends", func() bool { return w.state(d, short.ID) == jobs.StateSucceeded })
		time.Sleep(2 * metricsInterval)
		w.setOutage(true)
		w.eventually(20*time.Second, "the cell is lost", func() bool { return w.owner() == nil || w.store.KeysWithPrefix(ownerPrefix) == nil })
		w.setOutage(false)
		w.eventually(10*time.Second, "the cell is owned again", func() bool { return w.owner() != nil })
		long := longRunningJob(2, 5)
		w.submit(d, long)
		w.eventually(10*time.Second, "the second job runs", func() bool { return w.grid.Running(long.ID) == 5 })
		time.Sleep(2 * metricsInterval)
		cancel()
		<-ended
		succeeded := int64(0)
		for _, counter := range w.scope.Snapshot().Counters() {
			if counter.Name() == "runs_succeeded" {
				succeeded += counter.Value()
			}
		}
		require.EqualValues(t, 5, succeeded)
	})
}

// TestOwnerWhoseKeyIsMissingTakesNothing guards against an owner that goes on after the store compacted its
// history: the owner then reads all keys again, and no watch reports that its own key was removed in between.
func TestOwnerWhoseKeyIsMissingTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 1, 1, nil)
		o := newOwner(w.daemons[0].Cells, cellName(0), 7, time.Now())
		spec := twoStepJob(1, time.Second)
		spec.Queue = testQueue
		value, err := json.Marshal(jobs.Record{Spec: spec, Terms: testTerms})
		require.NoError(t, err)
		job := platform.Record{Key: jobKey(cellName(0), jobID(1)), Value: value, Version: 9}
		marker := platform.Record{Key: markerKey(cellName(0)), Version: 7}
		require.False(t, o.applyAll([]platform.Record{job}, nil, time.Now()))
		_, known := o.core.State(jobID(1))
		require.False(t, known)
		require.True(t, o.applyAll([]platform.Record{job, marker}, nil, time.Now()))
		_, known = o.core.State(jobID(1))
		require.True(t, known)
	})
}

func TestCellIsNotClaimedWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		time.Sleep(2100 * time.Millisecond) // between two renewals of the lease
		c := w.daemons[0].Cells
		c.mu.Lock()
		c.lease = 0 // as when the lease expires during the claim delay
		c.mu.Unlock()
		require.False(t, c.claim(w.ctx, "other"))
		_, err := w.daemons[0].config.Store.Get(w.ctx, ownerKey("other"))
		require.ErrorIs(t, err, platform.ErrNotFound, "a key without lease would never be removed")
	})
}

func TestJobsAreCountedByQueueAndOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 1, nil)
		d := w.daemons[0]
		go d.Cells.RunMetrics(w.ctx)
		// The first start of a job that is accepted before the cell is claimed is not counted.
		w.eventually(10*time.Second, "the cell is owned", func() bool { return w.owner() != nil })
		w.submit(d, twoStepJob(1, 100*time.Millisecond))
		w.submit(d, longRunningJob(2, 1))
		w.eventually(10*time.Second, "the first job ends", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		require.Equal(t, platform.Done{}, d.Cancel(w.ctx, jobID(2)))
		w.eventually(10*time.Second, "the second job ends", func() bool { return w.state(d, jobID(2)) == jobs.StateCancelled })
		time.Sleep(3 * metricsInterval)
		ended := map[string]int64{}
		for _, counter := range w.scope.Snapshot().Counters() {
			if counter.Name() == "jobs_ended" && counter.Tags()["queue"] == testQueue {
				ended[counter.Tags()["outcome"]] += counter.Value()
			}
		}
		require.Equal(t, map[string]int64{"in_time": 1, "cancelled": 1}, ended)
		starts := int64(0)
		for _, histogram := range w.scope.Snapshot().Histograms() {
			if histogram.Name() == "job_first_start_time" {
				for _, count := range histogram.Durations() {
					starts += count
				}
			}
		}
		require.EqualValues(t, 2, starts)
	})
}
