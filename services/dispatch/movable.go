// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Move is work that can't be placed here and may go to another cell: waiting tasks of a long-running job, or a
// whole job that has not begun.
type Move struct {
	Job    jobs.ID
	Demand jobs.Demand   // of the tasks to be placed now
	Whole  bool          // all tasks of the job move, or none
	Stuck  time.Duration // for how long no worker could take a task
	To     jobs.CellName // the cell that can place the tasks; set when the move begins
	Home   jobs.CellName // the cell whose record names this one; empty: it follows from the job's id
	Tasks  jobs.TaskSet
	// HighestRun is no lower than any run id that the tasks have had.
	HighestRun jobs.RunID
	// Suspected are the suspicions against the tasks.
	Suspected     jobs.Suspicions
	suspectedSize int // of Suspected as it is stored, in bytes; an upper bound
}

// offerAfter is how long a step must have been stuck before its work is offered to other cells, and the minimum
// time between two offers of one job. A long-running task must run again within some seconds, and most other
// tasks are placed before that.
const offerAfter = 400 * time.Millisecond

// maxHold is how long a job that has not begun is held back when only some tasks of its first step can be
// placed. Meanwhile the owner asks the other cells, which takes two calls of some milliseconds; a job that has
// begun can't be moved as a whole.
const maxHold = 100 * time.Millisecond

// holdsForOffer reports whether the step's job should be offered to other cells before any of its tasks starts
// here.
func (c *Core) holdsForOffer(s *step, now time.Time) bool {
	if c.recovering || !c.config.OtherCells || s.spec.Filler || !s.stuckSince.IsZero() && now.Sub(s.stuckSince) > maxHold {
		return false
	}
	if !s.movableAsWhole() {
		return false
	}
	if c.countPlaces(c.terms(s.job).Pool, s, s.waiting, map[*worker]models.Resources{}, now) >= s.waiting {
		return false
	}
	c.jobsHeld = true
	return true
}

// TakeJobsHeld reports whether jobs have been held back since it was last called.
func (c *Core) TakeJobsHeld() bool {
	held := c.jobsHeld
	c.jobsHeld = false
	return held
}

// Movable returns work that other cells may take, of at most limit jobs: first the jobs that were listed longest ago,
// among them the most urgent. If the most urgent jobs were always listed first, jobs that no cell can place would be
// listed again and again before jobs that a cell might have taken.
func (c *Core) Movable(limit int, now time.Time) []Move {
	if c.recovering {
		return nil
	}
	var stuck []candidate
	for _, s := range c.waitingSteps {
		if s.waiting > 0 && !s.stuckSince.IsZero() && (now.Sub(s.stuckSince) >= offerAfter || s.job.neverStarted()) &&
			now.Sub(s.job.offeredAt) >= offerAfter {
			stuck = append(stuck, c.candidate(s, now))
		}
	}
	assignTurns(stuck)
	slices.SortFunc(stuck, func(a, b candidate) int {
		return cmp.Or(a.step.job.offeredAt.Compare(b.step.job.offeredAt), a.before(b))
	})
	var moves []Move
	for _, candidate := range stuck {
		j := candidate.step.job
		if len(moves) == limit || j.offeredAt.Equal(now) { // already listed with another of its steps
			continue
		}
		if move, ok := c.moveFor(candidate.step); ok {
			j.offeredAt = now
			move.Stuck = now.Sub(candidate.step.stuckSince)
			moves = append(moves, move)
		}
	}
	return moves
}

// moveFor returns what may be moved of the step's job.
func (c *Core) moveFor(s *step) (Move, bool) {
	move := Move{Job: s.job.spec.ID, Demand: jobs.Demand{Job: s.job.spec.ID, Number: s.flat(), Pool: c.terms(s.job).Pool, Step: *s.spec}, Tasks: jobs.TaskSet{}, Suspected: jobs.Suspicions{}, HighestRun: c.highestRunOf(s.job), Home: s.job.home}
	move.Demand.Step.Count = s.waiting
	switch {
	case s.job.spec.Divisible():
		c.addWaiting(&move, s)
		move.Demand.Step.Count = move.Tasks.Len()
		return move, move.Demand.Step.Count > 0
	case s.movableAsWhole():
		move.Whole = true
		for each := range s.job.heldSteps() {
			c.addWaiting(&move, each)
		}
		return move, true
	default:
		return move, false
	}
}

// highestRunOf returns a number no lower than any run id that previous owners have assigned to the job's tasks.
// The run ids of tasks whose worker was lost are not known here.
func (c *Core) highestRunOf(j *job) jobs.RunID {
	if j.fresh {
		return j.highestRun
	}
	return c.baseRun(j)
}

// movableAsWhole reports whether the step's job may be moved as a whole.
func (s *step) movableAsWhole() bool {
	return !s.job.spec.Divisible() && s.job.spec.Repeat.Count == 0 && !s.spec.SameRack && s.job.neverStarted()
}

// addWaiting adds the step's waiting tasks to a move, without those that may start only on a certain worker of this cell
// now, and suspects whose wait for a trial would begin anew.
func (c *Core) addWaiting(move *Move, s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if _, only := c.awaitsLateStartWorker(t, c.now); only || c.awaitsTrialHere(t) {
			continue
		}
		suspicion := t.suspicionForMove()
		if !suspicion.Empty() && move.suspectedSize > c.config.MaxValueSize/movedSuspicionsPart {
			continue
		}
		move.add(t, suspicion)
	}
}

// movedSuspicionsPart is the part of the largest value that the suspicions may take which one move hands over: one in so many. They
// are stored in the record of the job, which the suspicions of several moves share.
const movedSuspicionsPart = 16

// awaitsTrialHere reports whether a waiting suspect is tried in this cell: a worker has room for it, and it came from
// another cell, or has waited for a worker without other suspects as long as it may. In each cell that it is handed to it
// would wait as long once more, while a worker with another suspect counts as a place there.
func (c *Core) awaitsTrialHere(t *task) bool {
	if !t.suspected() || !t.cameWaiting && !t.hasWaitedForWorker(c.now) {
		return false
	}
	return slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return c.mayTakeSuspect(w, t.step, c.now) })
}

// add adds a waiting task with the suspicion against it.
func (m *Move) add(t *task, suspicion jobs.Suspicion) {
	flat := t.step.flat()
	m.Tasks[flat] = append(m.Tasks[flat], t.index)
	m.HighestRun = max(m.HighestRun, t.run)
	if !suspicion.Empty() {
		m.Suspected.Set(flat, t.index, suspicion)
		m.suspectedSize += suspicion.EncodedSize()
	}
}

// Limit reduces the move to at most count tasks.
func (m *Move) Limit(count int) {
	for flat, indexes := range m.Tasks {
		m.Tasks[flat] = indexes[:min(count, len(indexes))]
	}
	m.Demand.Step.Count = min(m.Demand.Step.Count, count)
}

// neverStarted reports whether no task of the job was ever started, by this owner or a previous one. A run that
// was started may have succeeded on a worker that is silent now, and this cell must still know the job when
// that worker reports the run.
func (j *job) neverStarted() bool {
	if j.immovable || !j.fresh || j.begun || j.running > 0 {
		return false
	}
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if t := &s.tasks[i]; s.spec.LongRunning || t.state != taskWaiting || t.starts > 0 {
				return false
			}
		}
	}
	return true
}
