// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// The tests below guard against tasks that crash every worker on which they start. A crash puts the tasks of a worker
// back into the queue, and they start on the next worker. Failed runs were counted, but runs lost with their workers
// were not, so that two tasks were started three more times after three crashes each; all starts were of one owner in
// one epoch. Each crash came 4 to 10 ms after a start, cost the 6 to 12 other tasks of the worker their work, and kept
// the worker away for 3.3 s, after which it returned as a new incarnation.

// workerDowntime is how long a crashed worker is down, as on the users' platform.
const workerDowntime = 3300 * time.Millisecond

// newCrashCluster makes a cluster in which the first task of each of the given jobs crashes its worker.
func newCrashCluster(t *testing.T, workers, daemons int, after time.Duration, crashing ...jobs.ID) *testCluster {
	t.Helper()
	w := newTestClusterWithGrid(t, daemons, testSettings.WorkersPerCell, grid.Config{
		Workers: workers, RestartDelay: workerDowntime,
		Crash: func(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
			return after, slices.Contains(crashing, task.Job) && task.Step == 0 && task.Index == 0
		},
	})
	w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
	time.Sleep(time.Second)
	return w
}

// TestTaskThatCrashesItsWorkersIsGivenUp checks that the job of a crashing task fails within the limit on its starts,
// and that all other jobs succeed. The crash comes before the start is answered, right after it, or late in the run.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"at once": 0, "after 10 ms": 10 * time.Millisecond, "after 0.2 s": 200 * time.Millisecond, "after 1 s": time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashing := jobID(1)
				w := newCrashCluster(t, 8, 2, after, crashing)
				d := w.daemons[0]
				w.submit(d, twoStepJob(1, 2*time.Second))
				for n := 2; n <= 7; n++ {
					w.submit(d, twoStepJob(n, 2*time.Second))
				}
				w.submit(d, longRunningJob(8, 3))
				w.eventually(40*time.Second, "crashing job has failed", func() bool { return w.state(d, crashing) == jobs.StateFailed })
				require.Equal(t, jobs.StateFailed, w.state(w.daemons[1], crashing), "each daemon reports the failure")
				for n := 2; n <= 7; n++ {
					w.eventually(20*time.Second, "other job has succeeded", func() bool { return w.state(d, jobID(n)) == jobs.StateSucceeded })
				}
				w.eventually(20*time.Second, "long-running job is running", func() bool { return w.grid.Running(jobID(8)) == 3 })
				time.Sleep(20 * time.Second)
				require.Equal(t, jobs.StateRunning, w.state(d, jobID(8)))
				require.Zero(t, w.grid.Running(crashing))
				w.requireNoBreaches()
			})
		})
	}
	t.Run("task that lasts", testLongRunningTaskIsAbandoned)
}

// testLongRunningTaskIsAbandoned checks the same for long-running tasks, whose runs have no other limit.
func testLongRunningTaskIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashing := jobID(1)
		w := newCrashCluster(t, 6, 1, 10*time.Millisecond, crashing)
		d := w.daemons[0]
		w.submit(d, longRunningJob(2, 4))
		w.submit(d, longRunningJob(1, 3))
		w.eventually(40*time.Second, "crashing job has failed", func() bool { return w.state(d, crashing) == jobs.StateFailed })
		w.eventually(20*time.Second, "the other job is running", func() bool { return w.grid.Running(jobID(2)) == 4 })
		w.requireNoBreaches()
	})
}

// TestTasksBesideACrashAreNotGivenUp guards against jobs that fail because their tasks are lost together with a crashing
// task of a wide step. Only the job of the crashing task fails.
func TestTasksBesideACrashAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashing := jobID(1)
		w := newCrashCluster(t, 4, 1, 10*time.Millisecond, crashing)
		d := w.daemons[0]
		small := func(n, tasks int) jobs.Spec {
			return jobs.Spec{ID: jobID(n), Payload: "small", Steps: []jobs.Step{{
				Count: tasks, Size: models.Resources{CPU: 200, Memory: 100}, Estimate: 1500,
			}}}
		}
		for n := 1; n <= 6; n++ {
			w.submit(d, small(n, 12))
		}
		w.eventually(40*time.Second, "crashing job has failed", func() bool { return w.state(d, crashing) == jobs.StateFailed })
		for n := 2; n <= 6; n++ {
			w.eventually(30*time.Second, "other job has succeeded", func() bool { return w.state(d, jobID(n)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}

// TestWorkersThatCrashByThemselvesCostNoJob crashes half of the workers every few seconds, while short and long-running
// tasks run. No job fails.
func TestWorkersThatCrashByThemselvesCostNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashCluster(t, 8, 1, 0)
		d := w.daemons[0]
		w.submit(d, longRunningJob(100, 4))
		for n := 1; n <= 24; n++ {
			w.submit(d, twoStepJob(n, 1500*time.Millisecond))
			for place := n % 2; place < 8 && n%3 == 0; place += 2 {
				w.grid.CrashWithDowntime(place)
			}
			time.Sleep(700 * time.Millisecond)
		}
		for n := 1; n <= 24; n++ {
			w.eventually(40*time.Second, "job has succeeded", func() bool { return w.state(d, jobID(n)) == jobs.StateSucceeded })
		}
		w.eventually(20*time.Second, "long-running job is running", func() bool { return w.grid.Running(jobID(100)) == 4 })
		require.Equal(t, jobs.StateRunning, w.state(d, jobID(100)))
		w.requireNoBreaches()
	})
}

// TestCrashesAreRememberedOverTakeovers kills the owner after each crash: the successor must know the recorded losses of
// a task.
func TestCrashesAreRememberedOverTakeovers(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 20 * time.Millisecond, "soon": time.Second, "once it is known": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashing := jobID(1)
				w := newCrashCluster(t, 6, 2, 10*time.Millisecond, crashing)
				w.submit(w.daemons[0], twoStepJob(1, 2*time.Second))
				for crashes := 1; crashes <= 3; crashes++ {
					w.eventually(30*time.Second, "crash, or failure of the job", func() bool {
						return w.grid.Crashes(crashing) >= crashes || w.state(w.daemons[len(w.daemons)-1], crashing) == jobs.StateFailed
					})
					if w.grid.Crashes(crashing) < crashes {
						break
					}
					time.Sleep(pause)
					if owner := w.owner(); owner != nil {
						owner.killProcess()
						w.startDaemon()
					}
				}
				last := w.daemons[len(w.daemons)-1]
				w.eventually(60*time.Second, "crashing job has failed", func() bool { return w.state(last, crashing) == jobs.StateFailed })
				w.requireNoBreaches()
			})
		})
	}
}
