// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// The pattern: workers leave at short notice, all tasks that last and were there look for
// another place at once, and short jobs go on coming. The figures are those of the users' days
// in small: of each worker's room tasks that last take three quarters, short work an eighth, and a
// quarter of the workers leaves.

// shortage is a core of four workers with tasks that last on all of them and short work.
type shortage struct {
	*bench
	t         *testing.T
	shortJobs int
}

const (
	lastingID = testJob
	// each worker of the bench has 4000 thousandths of a core
	lastingCPU = 1000
	shortCPU   = 1000
)

func newShortage(t *testing.T) *shortage {
	s := &shortage{bench: newBench(t, 4), t: t}
	for n := range 4 {
		s.report(n, jobs.Report{})
	}
	lasting := servingStep
	lasting.Count, lasting.Size.CPU, lasting.Target = 12, lastingCPU, 0
	s.AddJob(s.job(lasting), jobs.Progress{}, true, s.now)
	for _, start := range s.storedStarts() {
		s.Started(start, Result{Outcome: OutcomeDone}, s.now)
	}
	require.Equal(t, 12, s.running(lastingID))
	return s
}

// running counts the tasks of a job that are on workers.
func (s *shortage) running(id jobs.ID) int {
	n := 0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.step.job.spec.ID == id {
				n++
			}
		}
	}
	return n
}

// addShortJob adds a short job of so many tasks.
func (s *shortage) addShortJob(tasks int) jobs.ID {
	s.shortJobs++
	record := s.job(jobs.Step{Count: tasks, Size: models.Resources{CPU: shortCPU, Memory: 10}, Estimate: 800})
	record.Spec.ID = jobs.ID(string(testJob[:14]) + []string{"b0", "b1", "b2", "b3"}[s.shortJobs])
	s.AddJob(record, jobs.Progress{}, true, s.now)
	return record.Spec.ID
}

// advance lets time pass in which the workers report what runs, and places what waits.
func (s *shortage) advance(passed time.Duration) {
	for end := s.now.Add(passed); s.now.Before(end); {
		for n := range s.ids {
			if w := s.workers[s.ids[n]]; w != nil {
				s.report(n, jobs.Report{Running: s.rows(w)})
			}
		}
		for _, start := range s.storedStarts() {
			s.Started(start, Result{Outcome: OutcomeDone}, s.now)
		}
	}
}

// rows are the runs on a worker as it reports them.
func (s *shortage) rows(w *worker) []jobs.Run {
	var rows []jobs.Run
	for _, t := range w.tasks {
		rows = append(rows, jobs.Run{Task: t.id(), Run: t.run})
	}
	return rows
}

// TestTasksThatLostTheirWorkerLeaveRoomToShortWork lets a worker go that tasks that last had
// filled. Of the three that are left two are full of them, and short work has half of the third.
func TestTasksThatLostTheirWorkerLeaveRoomToShortWork(t *testing.T) {
	s := newShortage(t)
	first := s.addShortJob(2)
	s.advance(400 * time.Millisecond)
	require.Equal(t, 2, s.running(first))
	s.Replaced(s.ids[0], s.now)
	lost := 12 - s.running(lastingID)
	require.Positive(t, lost)
	s.advance(time.Second)
	require.Less(t, s.running(lastingID), 12, "they don't take all room that is left")
	second := s.addShortJob(1)
	s.advance(400 * time.Millisecond)
	require.Equal(t, 1, s.running(second), "short work that comes finds a place")
	s.advance(shortReserveTime)
	require.Greater(t, s.running(lastingID), 12-lost, "they have waited for long enough")
}

// TestTasksThatLastTakeRoomThatNobodyElseNeeds loses a worker when there is no short work.
func TestTasksThatLastTakeRoomThatNobodyElseNeeds(t *testing.T) {
	s := newShortage(t)
	s.Replaced(s.ids[0], s.now)
	s.advance(400 * time.Millisecond)
	require.Equal(t, 12, s.running(lastingID))
}

// TestDemandOfShortWorkIsForgotten: room is left for as long as it may be needed again.
func TestDemandOfShortWorkIsForgotten(t *testing.T) {
	s := newShortage(t)
	s.shortWork.demand = 4000
	for range 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.updateShortWork(s.now)
	}
	require.Less(t, s.shortWork.demand, 200.0)
}

// TestRoomLeftToShortWorkIsOfferedToOtherCells: a task of another cell that found no place there
// has waited, and may not be kept from the only room that there is. With the room kept back from
// it as well, tasks that had lost their workers waited for 15 s.
func TestRoomLeftToShortWorkIsOfferedToOtherCells(t *testing.T) {
	s := newShortage(t)
	s.addShortJob(2)
	s.advance(400 * time.Millisecond)
	s.shortWork.demand = 16_000
	step := servingStep
	step.Size.CPU = lastingCPU
	demand := jobs.Demand{Job: "00000000000000cc", Pool: testPool, Step: step}
	require.Equal(t, []int{1}, s.Places([]jobs.Demand{demand}, s.now))
}

// TestTaskThatLeavesRoomIsNotOfferedToOtherCells: it has a place here, once it has waited.
func TestTaskThatLeavesRoomIsNotOfferedToOtherCells(t *testing.T) {
	s := newShortage(t)
	s.addShortJob(2)
	s.advance(400 * time.Millisecond)
	s.Replaced(s.ids[0], s.now)
	s.advance(time.Second)
	require.Less(t, s.running(lastingID), 12)
	for _, step := range s.jobs[lastingID].steps {
		require.Zero(t, step.stuck)
	}
}

// TestTaskFromAnotherCellDoesNotWaitAnew tells of a task that lasts and had lost its worker. Its cell
// was full for 11 s; another one that had room left to short work said that it had a place, and got
// the task, which waited there for 5 s more. Callers saw it not run while there was room for it. Why:
// a task that lasts leaves room to short work for 5 s from when it begins to wait, and one that came
// with the first record of its job in a cell was taken for new there. What showed it: "work is handed
// to another cell" and the task's "run starts", 5.004 s later, with no line between.
func TestTaskFromAnotherCellDoesNotWaitAnew(t *testing.T) {
	s := newShortage(t)
	s.addShortJob(2)
	s.advance(400 * time.Millisecond)
	s.shortWork.demand = 16_000
	step := servingStep
	step.Size.CPU = lastingCPU
	step.Count = 2
	record := s.job(step)
	record.Spec.ID = "00000000000000cc"
	part := record.NewPart(jobs.TaskSet{0: {1}}, 7)
	s.AddJob(part, jobs.Progress{}, true, s.now)
	s.advance(100 * time.Millisecond)
	require.Equal(t, 1, s.running(part.Spec.ID))
}
