// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	// allowedWithoutRun is how long callers allow a long-running task not to run while there is room for it.
	allowedWithoutRun = 6 * time.Second
	// longRunningTasks is how many long-running tasks a shortage has.
	longRunningTasks = 12
)

// addWaitingShortWork adds short work that waits all the time, because no worker suits it.
func (s *shortage) addWaitingShortWork() {
	record := s.job(jobs.Step{Count: 8, Size: models.Resources{CPU: shortCPU, Memory: 10}, Estimate: 800, Requires: "label of no worker"})
	record.Spec.ID = "00000000000000dd"
	s.AddJob(record, jobs.Progress{}, true, s.now)
}

// awaitAllRunning lets time pass until all long-running tasks run, and requires that this takes no longer than allowed
// from the given time on. Each start has the outcome that answer returns.
func (s *shortage) awaitAllRunning(since time.Time, silent []int, answer func(StartOrder) Result) {
	s.t.Helper()
	for s.runningKnown(longRunningID) < longRunningTasks {
		for n := range s.ids {
			if w := s.workers[s.ids[n]]; w != nil && !slices.Contains(silent, n) {
				s.report(n, jobs.Report{Running: s.known(w)})
			}
		}
		for _, order := range s.storedOrders() {
			switch order := order.(type) {
			case StartOrder:
				s.Started(order, answer(order), s.now)
			case StopOrder:
				s.Stopped(order, Result{Outcome: OutcomeDone}, s.now)
			}
		}
		require.LessOrEqual(s.t, s.now.Sub(since), allowedWithoutRun, "tasks don't run beside free room")
	}
}

// storedOrders returns the orders of an owner whose store accepts all changes at once.
func (s *shortage) storedOrders() []Order {
	orders := s.Decide(s.now)
	s.Stored(s.TakeChanges(10, s.now), s.now)
	return append(orders, s.Decide(s.now)...)
}

// runningKnown counts the tasks of a job that are known to run.
func (s *shortage) runningKnown(id jobs.ID) int {
	n := 0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.step.job.spec.ID == id && t.state == taskRunning && w.unansweredSince.IsZero() {
				n++
			}
		}
	}
	return n
}

// known returns the runs that are known to be on a worker as the worker reports them.
func (s *shortage) known(w *worker) []jobs.Run {
	var rows []jobs.Run
	for _, t := range w.tasks {
		if t.state == taskRunning {
			rows = append(rows, jobs.Run{Task: t.id(), Run: t.run})
		}
	}
	return rows
}

// knownBut returns the same without a task.
func (s *shortage) knownBut(w *worker, but jobs.TaskID) []jobs.Run {
	return slices.DeleteFunc(s.known(w), func(run jobs.Run) bool { return run.Task == but })
}

func startIsDone(StartOrder) Result { return Result{Outcome: OutcomeDone} }

// TestSilenceCountsAsTimeWithoutRun guards against long-running tasks of a silent worker that leave capacity to short work
// for 5 s more after the lease of the worker is over: they were without a run for 10 s beside free room.
func TestSilenceCountsAsTimeWithoutRun(t *testing.T) {
	s := newShortage(t)
	s.addWaitingShortWork()
	s.advance(400 * time.Millisecond)
	lastRun := s.workers[s.ids[0]].reportedAt
	s.Overdue(s.ids[0], s.now)
	s.awaitAllRunning(lastRun, []int{0}, startIsDone)
}

// TestStartThatDoesNotRunBeginsNoNewWait guards against a long-running task that leaves capacity to short work for 5 s
// anew after each start that is not carried out.
func TestStartThatDoesNotRunBeginsNoNewWait(t *testing.T) {
	for name, results := range map[string][]Result{
		"not sent":        {{Outcome: OutcomeNotSent}},
		"not reached":     {{Outcome: OutcomeUnreached}},
		"not done":        {{Outcome: OutcomeNotDone}},
		"refused, full":   {{Outcome: OutcomeRefused, Refusal: jobs.RefusedCapacity}},
		"no answer twice": {{Outcome: OutcomeUnknown}, {Outcome: OutcomeUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShortage(t)
			s.addWaitingShortWork()
			s.advance(400 * time.Millisecond)
			lastRun := s.workers[s.ids[0]].reportedAt
			s.Replaced(s.ids[0], s.now)
			tries := map[jobs.TaskID]int{}
			s.awaitAllRunning(lastRun, nil, func(order StartOrder) Result {
				n := tries[order.Call.Task]
				tries[order.Call.Task]++
				if n < len(results) {
					return results[n]
				}
				return Result{Outcome: OutcomeDone}
			})
			require.NotEmpty(t, tries)
		})
	}
}

// TestShortRunBeginsNoNewWait guards against a long-running task that leaves capacity to short work for 5 s anew after a run of a tenth of a
// second, which callers may not have seen.
func TestShortRunBeginsNoNewWait(t *testing.T) {
	s := newShortage(t)
	s.addWaitingShortWork()
	s.advance(400 * time.Millisecond)
	lastRun := s.workers[s.ids[0]].reportedAt
	s.Replaced(s.ids[0], s.now)
	short, ended := map[jobs.TaskID]jobs.Ended{}, map[jobs.WorkerID][]jobs.Ended{}
	s.awaitAllRunning(lastRun, nil, func(order StartOrder) Result {
		task, to := order.Call.Task, order.Worker.ID
		if _, again := short[task]; !again {
			short[task] = jobs.Ended{Number: uint64(len(ended[to]) + 1), Task: task, Run: order.Call.Run, How: jobs.EndFailed}
			ended[to] = append(ended[to], short[task])
			s.Started(order, startIsDone(order), s.now)
			s.report(slices.Index(s.ids, to), jobs.Report{Running: s.known(s.workers[to]), Ended: ended[to][:len(ended[to])-1]})
			s.report(slices.Index(s.ids, to), jobs.Report{Running: s.knownBut(s.workers[to], task), Ended: ended[to]})
		}
		return startIsDone(order)
	})
	require.NotEmpty(t, short)
}

// TestCapacityLeftToShortWorkIsTold guards against long-running tasks that wait beside free room while neither the log nor
// the state dump tells why.
func TestCapacityLeftToShortWorkIsTold(t *testing.T) {
	s := newShortage(t)
	core, logged := observer.New(zap.InfoLevel)
	s.config.Logger = zap.New(core)
	s.addWaitingShortWork()
	s.advance(400 * time.Millisecond)
	require.Zero(t, s.Summary(s.now).LeavingCapacity)

	s.Replaced(s.ids[0], s.now)
	s.advance(time.Second)
	waiting := longRunningTasks - s.running(longRunningID)
	require.Positive(t, waiting)
	require.Equal(t, waiting, s.Summary(s.now).LeavingCapacity)
	begin := logged.FilterMessage("long-running tasks leave capacity to short work").All()
	require.Len(t, begin, 1, "once for all tasks")
	require.Contains(t, begin[0].ContextMap()["first"], string(longRunningID))
	const end = "long-running tasks leave no more capacity to short work"
	require.Empty(t, logged.FilterMessage(end).All())

	s.advance(shortReserveTime + capacityLeftFor)
	require.Equal(t, longRunningTasks, s.running(longRunningID))
	require.Zero(t, s.Summary(s.now).LeavingCapacity)
	require.Len(t, logged.FilterMessage(end).All(), 1)
}
