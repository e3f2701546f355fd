// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// forgottenWorkEvents are the events of TestNoWorkIsForgotten; an event that is listed several times is drawn more
// often.
var forgottenWorkEvents = []string{
	"settle", "settle", "settle", "settle without the store", "submit chain", "submit fork", "submit lasting", "cancel",
	"lose the owner and what it knows", "lose the owner and what it knows",
	"call", "call", "call", "deliver", "deliver", "decide", "decide", "carry", "carry", "carry", "store", "store fails", "begin to store", "begin to store", "pass", "pass long",
	"succeed", "succeed", "succeed", "fail", "cut", "heal", "replace", "restart", "restart", "unlist", "relist", "drain", "take over",
	"move away and back", "answers pass each other",
}

// TestNoWorkIsForgotten simulates owners among workers that are cut off, restart and are lost, while the store fails.
// After each event an owner's lists and counters must agree with the states of its tasks, and after a calm time all
// work must have run or be running.
func TestNoWorkIsForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &forgottenWorkWorld{checkpointWorld: newCheckpointWorld(rt)}
		for _, worker := range w.workers {
			worker.info.Born = models.UnixMilliOf(w.now)
		}
		w.takeOver()
		w.play("submit chain")
		w.play("submit fork")
		w.settle()
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			w.play(rapid.SampledFrom(forgottenWorkEvents).Draw(rt, "what"))
			w.checkBookkeeping()
		}
		w.calmDown()
		w.checkNothingWaits()
	})
}

// forgottenWorkWorld is a cell whose workers also restart under their ids, and whose writes to the store take time.
type forgottenWorkWorld struct {
	*checkpointWorld
	storing *Changes // the changes in flight to the store; nil: none
}

// storingEvents are the events that store something or end the owner, before which the write in flight has an outcome.
var storingEvents = []string{
	"settle", "settle without the store", "lose the owner and what it knows", "take over", "store", "store fails", "begin to store",
}

// play carries out one event.
func (w *forgottenWorkWorld) play(what string) {
	if slices.Contains(storingEvents, what) {
		w.endStoring()
	}
	short := jobs.Step{Count: 1, Size: models.Resources{CPU: 500, Memory: 10}, Estimate: 5000}
	lasting := jobs.Step{Count: 1, Size: short.Size, LongRunning: true}
	switch what {
	case "submit chain":
		w.submitIfFew(short, after(short, 0), after(short, 1))
	case "submit fork":
		w.submitIfFew(short, after(lasting, 0), after(short, 0), after(short, 0, 2))
	case "submit lasting":
		w.submitIfFew(lasting)
	case "store fails":
		w.core.Unstored(w.core.TakeChanges(100, w.now))
	case "begin to store":
		if changes := w.core.TakeChanges(100, w.now); !changes.Empty() {
			w.storing = &changes
		}
	case "settle without the store":
		w.settleUnstored()
	case "lose the owner and what it knows":
		w.changeRun(w.drawWorker(), "succeed")
		w.settleUnstored()
		w.takeOver()
	case "restart":
		w.restart(w.drawWorker())
	default:
		w.playEvent(what)
	}
}

// after returns the step, twice as large, that waits for earlier steps.
func after(s jobs.Step, earlier ...int) jobs.Step {
	s.Count, s.After = 2, earlier
	return s
}

func (w *forgottenWorkWorld) submitIfFew(steps ...jobs.Step) {
	if w.jobs < maxJobs {
		w.submitSteps(steps)
	}
}

// endStoring gives the write in flight an outcome.
func (w *forgottenWorkWorld) endStoring() {
	if w.storing == nil {
		return
	}
	changes := *w.storing
	w.storing = nil
	if rapid.Bool().Draw(w.T, "stored") {
		w.write(changes)
		return
	}
	w.core.Unstored(changes)
}

// isStoring reports whether changes of the job are in flight to the store.
func (w *forgottenWorkWorld) isStoring(j *job) bool {
	return w.storing != nil && slices.ContainsFunc(w.storing.Jobs, func(change JobChange) bool { return change.job == j })
}

// settleUnstored lets reports come through and orders have any outcome while the store is away.
func (w *forgottenWorkWorld) settleUnstored() {
	w.advance(100 * time.Millisecond)
	for _, worker := range w.workers {
		w.call(worker)
	}
	for len(w.flights) > 0 {
		w.deliver(rapid.IntRange(0, len(w.flights)-1).Draw(w.T, "flight"))
	}
	w.core.Unstored(w.core.TakeChanges(100, w.now))
	w.decide()
	for len(w.orders) > 0 {
		w.resolveOrder(0, rapid.SampledFrom(orderOutcomes).Draw(w.T, "fate"))
	}
}

// restart starts a worker again under its id: it knows nothing of its runs and their ends.
func (w *forgottenWorkWorld) restart(worker *checkpointWorker) {
	if worker.replaced {
		return
	}
	next := newCheckpointWorker(worker.info.ID, worker.info.Address, w.now)
	next.info.Born = max(models.UnixMilliOf(w.now), worker.info.Born+1)
	next.cut, next.listed = worker.cut, worker.listed
	*worker = *next
	w.list()
}

// calmTime is longer than all waits for leases, pauses of workers and trials of suspects together.
const calmTime = 90 * time.Second

// calmDown adds workers, heals the others but those that stay silent for good, and lets time pass in which all runs that
// do not last succeed.
func (w *forgottenWorkWorld) calmDown() {
	w.endStoring()
	for _, worker := range w.workers {
		worker.cut = rapid.IntRange(0, 3).Draw(w.T, "silent for good") == 0
		worker.listed = !worker.replaced
	}
	for n := range 2 * checkpointWorkers {
		id := jobs.WorkerID(fmt.Sprint("n", n))
		w.workers = append(w.workers, newCheckpointWorker(id, string(id), w.now))
	}
	for end := w.now.Add(calmTime); w.now.Before(end); {
		w.list()
		w.settle()
		w.endShortRuns()
	}
	w.checkBookkeeping()
}

// endShortRuns lets all runs succeed that do not last.
func (w *forgottenWorkWorld) endShortRuns() {
	for _, worker := range w.workers {
		for _, run := range worker.runs() {
			if t := w.core.find(run.task); t != nil && !t.step.spec.LongRunning {
				worker.end(run, jobs.EndSucceeded)
			}
		}
	}
}

// checkNothingWaits checks that all work has run or is running.
func (w *forgottenWorkWorld) checkNothingWaits() {
	require.False(w.T, w.core.recovering, "the cell has not recovered")
	for id, j := range w.core.jobs {
		require.False(w.T, j.cancelled, "job %s is cancelled and has not ended", id)
		for s := range j.heldSteps() {
			for i := range s.tasks {
				want := taskDone
				if s.spec.LongRunning {
					want = taskRunning
				}
				require.Equal(w.T, want, s.tasks[i].state, "state of task %s", s.tasks[i].id())
			}
		}
	}
}

// checkBookkeeping checks that the owner's lists and counters agree with the states of its tasks.
func (w *forgottenWorkWorld) checkBookkeeping() {
	willStoreRoster := w.core.rosterChanged || w.storing != nil && w.storing.Roster != nil
	for id, j := range w.core.jobs {
		w.checkJob(id, j)
	}
	for _, worker := range w.core.workers {
		for n, t := range worker.tasks {
			require.Same(w.T, worker, t.worker, "task %s", t.id())
			require.Equal(w.T, n, t.position, "task %s", t.id())
		}
		require.True(w.T, worker.inRoster || worker.retired || willStoreRoster || !worker.everAnswered, "worker %s never gets starts", worker.info.ID)
		require.True(w.T, worker.everAnswered || len(worker.tasks) == 0 && !worker.inRoster, "no roster may leave out worker %s", worker.info.ID)
	}
	if w.core.takeovers.unstored {
		require.True(w.T, willStoreRoster, "starts wait for a roster that is not going to be stored")
	}
}

// checkJob checks the owner's data of one job.
func (w *forgottenWorkWorld) checkJob(id jobs.ID, j *job) {
	require.Equal(w.T, j.dirty, slices.Contains(w.core.dirty, j), "job %s", id)
	if j.version > j.storedVersion {
		require.True(w.T, j.dirty || w.isStoring(j), "changes of job %s are not going to be stored", id)
	}
	running, remaining := 0, map[*occurrence]int{}
	for s := range j.heldSteps() {
		counts := map[taskState]int{}
		for i := range s.tasks {
			w.checkTask(&s.tasks[i])
			counts[s.tasks[i].state]++
			if s.tasks[i].worker != nil {
				running++
			}
		}
		if counts[taskDone] < len(s.tasks) {
			remaining[s.occurrence]++
		}
		w.checkStep(s, counts)
	}
	require.Equal(w.T, running, j.running, "running tasks of job %s", id)
	for _, o := range j.occurrences {
		require.Equal(w.T, remaining[o], o.remainingSteps, "remaining steps of job %s, occurrence %d", id, o.number)
	}
}

// checkStep checks the owner's data of one step against the number of its tasks in each state.
func (w *forgottenWorkWorld) checkStep(s *step, counts map[taskState]int) {
	name := s.tasks[0].id()
	require.Equal(w.T, counts[taskWaiting], s.waiting, "waiting tasks of the step of %s", name)
	require.Equal(w.T, counts[taskDone], s.done, "finished tasks of the step of %s", name)
	require.Equal(w.T, s.inWaitingSteps, slices.Contains(w.core.waitingSteps, s), "step of %s", name)
	if s.job.end != "" || s.job.cancelled {
		return
	}
	require.True(w.T, s.opened || !s.mayOpen(), "the step of %s never opens", name)
	require.True(w.T, !s.opened || s.waiting == 0 || s.inWaitingSteps, "the waiting tasks of the step of %s are never placed", name)
}

// checkTask checks the owner's data of one task.
func (w *forgottenWorkWorld) checkTask(t *task) {
	assigned := t.state == taskStarting || t.state == taskRunning || t.state == taskStopping
	require.Equal(w.T, assigned, t.worker != nil, "task %s in state %d", t.id(), t.state)
	if t.worker != nil {
		require.Same(w.T, t.worker, w.core.workers[t.worker.info.ID], "the worker of task %s is known", t.id())
		require.Contains(w.T, t.worker.tasks, t, "task %s", t.id())
	}
	if t.state == taskStopping {
		require.Contains(w.T, w.core.stopping, t, "the stop of task %s is not repeated", t.id())
	}
	if t.state == taskUnknown {
		require.True(w.T, w.core.recovering, "nobody looks for a run of task %s", t.id())
	}
}
