// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/grid"
)

// newSameIDCluster makes a cluster whose workers restart under the same IDs.
func newSameIDCluster(t *testing.T, workers, daemons int) *testCluster {
	t.Helper()
	return newTestClusterWithGrid(t, daemons, testSettings.WorkersPerCell, grid.Config{Workers: workers, Naming: grid.SameID, RestartDelay: workerDowntime})
}

// shortTasks returns a job of independent tasks that run for the given time each.
func shortTasks(n, count int, work time.Duration) jobs.Spec {
	return jobs.Spec{ID: jobID(n), Payload: "payload", Steps: []jobs.Step{{
		Count: count, Size: models.Resources{CPU: 500, Memory: 100}, Estimate: models.MilliOf(work),
	}}}
}

// TestWorkerThatStartsAgainUnderItsIDRunsNothingTwice guards against ends of runs that a worker forgets unreported,
// because the end numbers of its previous incarnation are acknowledged to the current one.
func TestWorkerThatStartsAgainUnderItsIDRunsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSameIDCluster(t, 2, 1)
		time.Sleep(3 * time.Second)
		for n := range 4 {
			w.submit(w.daemons[0], shortTasks(1+n, 12, 200*time.Millisecond))
		}
		time.Sleep(3 * time.Second)
		for n := range 6 {
			w.grid.Crash(n % 2)
			spec := shortTasks(5+n, 8, 400*time.Millisecond)
			w.submit(w.daemons[0], spec)
			time.Sleep(1500 * time.Millisecond)
		}
		for n := range 10 {
			w.eventually(20*time.Second, "all jobs succeed", func() bool { return w.state(w.daemons[0], jobID(1+n)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}

// TestLateAcknowledgementReachesTheNextIncarnation guards against an acknowledgement that arrives late, at the next
// incarnation of a worker, before the first call to that incarnation: ends count as acknowledged that no owner has read.
func TestLateAcknowledgementReachesTheNextIncarnation(t *testing.T) {
	in := twoCellScenario.sameIDs()
	in.ackFutureEnds = true
	casefile.Each(t, "testdata/restarts/*.json", func(t *testing.T, script []scriptStep) {
		for range 20 {
			require.Empty(t, runScript(t, script, in))
		}
	})
}

// TestAnswerThatWaitsAcknowledgesNothingAnew guards against ends that are forgotten unreported after a start that the
// next incarnation executes late, when an earlier call has arrived already and only its answer is in flight.
func TestAnswerThatWaitsAcknowledgesNothingAnew(t *testing.T) {
	casefile.Each(t, "testdata/restarts_acknowledged/*.json", func(t *testing.T, script []scriptStep) {
		for range 10 {
			require.Empty(t, runScript(t, script, twoCellScenario.sameIDs()))
		}
	})
}

// maxRestartDelay is how long after the crash of a worker its lost tasks may take to run again, on any worker.
const maxRestartDelay = time.Second

// TestWorkIsTakenUpAtOnceFromAWorkerThatStartsAgainUnderItsID guards against tasks that wait for the lease of an ended
// incarnation to expire, and against workers that stay unused until the new incarnation's clock has passed that of the
// previous one.
func TestWorkIsTakenUpAtOnceFromAWorkerThatStartsAgainUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSameIDCluster(t, 4, 1)
		time.Sleep(3 * time.Second)
		spec := longRunningJob(1, maxLongRunningTasks)
		w.submit(w.daemons[0], spec)
		w.eventually(5*time.Second, "all tasks are running", func() bool { return w.grid.Running(spec.ID) == maxLongRunningTasks })
		time.Sleep(20 * time.Second)
		for range 3 {
			for place := range 4 {
				w.grid.Crash(place)
			}
			require.Zero(t, w.grid.Running(spec.ID))
			w.eventually(maxRestartDelay, "all tasks are running again", func() bool { return w.grid.Running(spec.ID) == maxLongRunningTasks })
			time.Sleep(8 * time.Second)
		}
		w.requireNoBreaches()
	})
}

// TestRandomFaultsUnderSameIDs runs random scripts of faults with workers that restart under the same IDs.
func TestRandomFaultsUnderSameIDs(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario.sameIDs(), drawFaultStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario.sameIDs(), drawFaultStep) })
}

// TestRandomCrashesUnderSameIDs does the same with tasks that crash their workers.
func TestRandomCrashesUnderSameIDs(t *testing.T) {
	t.Run("one cell", func(t *testing.T) {
		checkRandomScripts(t, oneCellScenario.sameIDs().uncheckedProgress(), drawCrashStep)
	})
	t.Run("two cells", func(t *testing.T) {
		checkRandomScripts(t, twoCellScenario.sameIDs().uncheckedProgress(), drawCrashStep)
	})
}

// restartStepKinds are faultStepKinds, and workers that restart while calls to them fail.
var restartStepKinds = append([]string{"restart worker"}, faultStepKinds...)

// TestRandomRestarts runs scripts in which workers restart under the same IDs, along with all other faults.
func TestRandomRestarts(t *testing.T) { checkRandomRestarts(t, restartStepKinds) }

// frequentRestartStepKinds are crashStepKinds and frequent restarts, also of all workers at once.
var frequentRestartStepKinds = append([]string{"restart worker", "restart worker", "restart worker", "restart all workers"}, crashStepKinds...)

// TestRandomRestartsOften guards against jobs that fail although they crash no worker, because workers restart shortly
// after the start of their tasks, twice, and idle workers restart all the time.
func TestRandomRestartsOften(t *testing.T) { checkRandomRestarts(t, frequentRestartStepKinds) }

// TestJobsThatCrashNothingOutliveRestarts guards against jobs that fail although they crash no worker. In
// one_vm_restarts_again, the only worker with free capacity in its cell restarts four times within some seconds, and each
// loss of the task that starts there each time was weighed as if workers restarted as rarely as on average. In
// all_restart_*, three tasks of a job start on trial at the same moment, and a restart of all workers was taken for three
// crashes; one of them is lost with two more workers then.
func TestJobsThatCrashNothingOutliveRestarts(t *testing.T) {
	const plays = 10
	casefile.Each(t, "testdata/restarts_innocent/*.json", func(t *testing.T, script []scriptStep) {
		for range plays {
			require.Empty(t, runScript(t, script, oneCellScenario.sameIDs()))
			require.Empty(t, runScript(t, script, twoCellScenario.sameIDs()))
		}
	})
}

func checkRandomRestarts(t *testing.T, kinds []string) {
	draw := func(rt *rapid.T) scriptStep { return drawStep(rt, kinds) }
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario.sameIDs(), draw) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario.sameIDs(), draw) })
}

// TestRestartedWorkersAreUsedSoon guards against new incarnations that stay unused: half of them must run a task within
// half a second after the list names them, and 19 of 20 within a second, also when all workers restart at once.
func TestRestartedWorkersAreUsedSoon(t *testing.T) {
	for name, together := range map[string]int{"one by one": 1, "all at once": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testReuseAfterRestart(t, together) })
		})
	}
}

// testReuseAfterRestart restarts the workers in groups of the given size, one group after the other, while there is work
// for all workers.
func testReuseAfterRestart(t *testing.T, together int) {
	const (
		workers = 20
		down    = 500 * time.Millisecond
	)
	w := newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{Workers: workers, Naming: grid.SameID, RestartDelay: down})
	time.Sleep(3 * time.Second)
	spec := shortTasks(1, 8000, 300*time.Millisecond)
	spec.Steps[0].Size.CPU = 2000 // two tasks on a worker at a time, so that the work lasts longer than the test
	w.submit(w.daemons[0], spec)
	w.eventually(5*time.Second, "all workers are used", func() bool { return w.allBusy(0, workers) })
	var after []time.Duration
	for first := 0; first+together <= workers; first += together {
		for place := first; place < first+together; place++ {
			w.grid.CrashWithDowntime(place)
		}
		began := time.Now().Add(down)
		time.Sleep(down)
		used := map[int]bool{}
		w.eventually(4*time.Second, "the new incarnations are used", func() bool {
			for place := first; place < first+together; place++ {
				if !used[place] && w.grid.RunningOn(place) > 0 {
					used[place] = true
					after = append(after, time.Since(began))
				}
			}
			return len(used) == together
		})
		time.Sleep(time.Second)
	}
	slices.Sort(after)
	require.Less(t, after[len(after)/2], 500*time.Millisecond, "%v", after)
	require.Less(t, after[len(after)*19/20], time.Second, "%v", after)
	w.requireNoBreaches()
}

// allBusy reports whether each worker in the places from first up to, not including, after runs a task.
func (w *testCluster) allBusy(first, after int) bool {
	for place := first; place < after; place++ {
		if w.grid.RunningOn(place) == 0 {
			return false
		}
	}
	return true
}

// TestNewIncarnationIsAskedWhenTheListNamesIt guards against calls that wait for an incarnation that has ended without
// breaking its connections.
func TestNewIncarnationIsAskedWhenTheListNamesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSameIDCluster(t, 1, 1)
		time.Sleep(3 * time.Second)
		spec := longRunningJob(1, 1)
		w.submit(w.daemons[0], spec)
		w.eventually(5*time.Second, "the task is running", func() bool { return w.grid.Running(spec.ID) == 1 })
		for n := range 6 {
			time.Sleep(11*time.Second + time.Duration(n)*150*time.Millisecond) // at varying times within a call, and far enough apart that no loss counts
			w.grid.CrashSilently(0)
			w.eventually(400*time.Millisecond, "the task is running again", func() bool { return w.grid.Running(spec.ID) == 1 })
		}
		w.requireNoBreaches()
	})
}

// TestNewIncarnationRefusesEarlierCallsAtOnce guards against a late start that the next incarnation carries out because
// its owner pauses between the moment it learns of that incarnation and its first call to it.
func TestNewIncarnationRefusesEarlierCallsAtOnce(t *testing.T) {
	const (
		down     = 500 * time.Millisecond
		calledBy = 25 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{Workers: 1, Naming: grid.SameID, RestartDelay: down})
		time.Sleep(3 * time.Second)
		w.grid.SetFaults(0, grid.Faults{LoseAnswers: true})
		w.submit(w.daemons[0], shortTasks(1, 8, 300*time.Millisecond)) // some starts have no answer
		time.Sleep(time.Second)
		w.grid.SetFaults(0, noFaults)
		time.Sleep(time.Second)
		for n := range 8 {
			previous := w.grid.Worker(0)
			if n%2 == 0 {
				w.grid.Crash(0)
			} else {
				w.grid.CrashWithDowntime(0)
				time.Sleep(down)
			}
			time.Sleep(calledBy)
			require.NotEqual(t, previous.Born, w.grid.Worker(0).Born)
			require.Equal(t, jobs.RefusedFence, w.refusalOfEarlierStop(0), "restart %d", n)
			time.Sleep(400*time.Millisecond + time.Duration(n)*30*time.Millisecond) // at varying times within a call
		}
		w.requireNoBreaches()
	})
}

// refusalOfEarlierStop sends a stop with the lowest fence to the worker in a place, and returns why it is refused.
func (w *testCluster) refusalOfEarlierStop(place int) jobs.Refusal {
	_, err := w.grid.StopRun(w.t.Context(), w.grid.Worker(place), jobs.StopCall{Task: jobs.TaskID{Job: jobID(99)}, Run: 1, Fence: 1})
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return ""
	}
	return refused.Reason
}

// TestLateStartReachesTheIncarnationAfterTheNext guards against a task that runs twice: a start without answer is
// executed late by an incarnation that has not been called yet, after the incarnation before it had barred the run and
// the task was started elsewhere.
func TestLateStartReachesTheIncarnationAfterTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{Workers: 2, Naming: grid.SameID})
		time.Sleep(3 * time.Second)
		w.grid.SetFaults(1, faultsCut) // so that the task is started on the other worker
		time.Sleep(4 * time.Second)
		w.grid.SetFaults(0, grid.Faults{LateOrders: 1500 * time.Millisecond})
		spec := shortTasks(1, 1, 2*time.Second)
		w.submit(w.daemons[0], spec)
		began := time.Now()
		time.Sleep(800 * time.Millisecond)
		w.grid.SetFaults(1, noFaults)
		time.Sleep(720 * time.Millisecond)
		w.grid.SetFaults(0, noFaults)
		w.grid.CrashKeepingFaults(0) // the first start has just been executed, the second follows after 2.2 s
		w.grid.SetListed(0, false)   // the new entry in the list is delayed
		w.eventually(650*time.Millisecond, "the task is running on the other worker", func() bool { return w.grid.RunningOn(1) == 1 })
		time.Sleep(time.Until(began.Add(2190 * time.Millisecond)))
		w.grid.CrashKeepingFaults(0)
		w.eventually(20*time.Second, "the job succeeds", func() bool { return w.state(w.daemons[0], spec.ID) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

// TestLateStartAfterASuccess guards against a task that runs again although its success was acknowledged: a start without
// answer, which the next incarnation has barred, is executed late by the incarnation after that one, before its first call.
func TestLateStartAfterASuccess(t *testing.T) {
	const late, work = 2500 * time.Millisecond, 300 * time.Millisecond
	for _, after := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint(after, " after the restart"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{
					Workers: 2, Naming: grid.SameID,
					Work: func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) { return work, jobs.EndSucceeded },
				})
				time.Sleep(3 * time.Second)
				w.grid.SetFaults(1, faultsCut) // so that the task is started on the other worker
				time.Sleep(4 * time.Second)
				w.grid.SetFaults(0, grid.Faults{LateOrders: late})
				spec := shortTasks(1, 1, work)
				w.submit(w.daemons[0], spec)
				began := time.Now()
				time.Sleep(400 * time.Millisecond)
				w.grid.SetFaults(1, noFaults)
				w.grid.Crash(0)
				w.eventually(1500*time.Millisecond, "the job succeeds", func() bool { return w.state(w.daemons[0], spec.ID) == jobs.StateSucceeded })
				time.Sleep(time.Until(began.Add(late - after)))
				w.grid.Crash(0)
				time.Sleep(5 * time.Second)
				w.requireNoBreaches()
			})
		})
	}
}

// TestWorkerThatStartsAgainAllTheTimeHarmsNoJob guards against a worker that gets work after each of its restarts,
// although it crashes again at once: its tasks are lost repeatedly until their jobs fail.
func TestWorkerThatStartsAgainAllTheTimeHarmsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSameIDCluster(t, 4, 1)
		time.Sleep(3 * time.Second)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		const count = 25
		for n := range count {
			w.submit(w.daemons[0], shortTasks(2+n, 6, 400*time.Millisecond))
			for range 3 {
				w.grid.Crash(0)
				time.Sleep(300 * time.Millisecond)
			}
		}
		for n := range count {
			w.eventually(20*time.Second, "the job succeeds", func() bool { return w.state(w.daemons[0], jobID(2+n)) == jobs.StateSucceeded })
		}
		w.eventually(5*time.Second, "all long-running tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
		w.requireNoBreaches()
	})
}

// TestRestartBehindLateOrders guards against a task that runs twice: a start without answer is executed by the next
// incarnation, which does not answer either, and the task starts elsewhere after some silence, before the lease that the
// late start brought has expired.
func TestRestartBehindLateOrders(t *testing.T) {
	casefile.Each(t, "testdata/restarts_open/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScriptRepeatedly(t, script, oneCellScenario.sameIDs()))
	})
}
