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

// Move is work that finds no place here and may go to another cell: waiting tasks of a job
// that lasts, or a whole job that has not begun.
type Move struct {
	Job    jobs.ID
	Demand jobs.Demand   // of those that need a place now
	Whole  bool          // all tasks of the job go, or none
	Stuck  time.Duration // for how long no place was found
	To     jobs.CellName // the cell that has places; filled in when the move begins
	Home   jobs.CellName // whose record names this cell; empty: it follows from the job's id
	Tasks  jobs.TaskSet
	// LeastRun is the highest number that a run of the tasks has had.
	LeastRun jobs.RunID
	// Suspected is what is known against them.
	Suspected jobs.Suspicions
}

// offerAfter is how long a step must have found no place before its work is offered to other
// cells, and the least time between two offers of a job: a task that lasts must run again within
// some seconds, and most others find a place before.
const offerAfter = 400 * time.Millisecond

// maxHold is how long a job that hasn't begun is held back when there are not places for all
// tasks of its first step: its owner asks the other cells meanwhile, which takes two calls
// of some milliseconds, and a job that has begun can't be moved as a whole.
const maxHold = 100 * time.Millisecond

// holdsForOffer tells whether the step's job is better offered to other cells before any of it
// starts here.
func (c *Core) holdsForOffer(s *step, now time.Time) bool {
	if c.blind || !c.config.OtherCells || s.spec.Fills || !s.stuck.IsZero() && now.Sub(s.stuck) > maxHold {
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

// TakeHeld tells whether jobs have been held back since it was last asked.
func (c *Core) TakeHeld() bool {
	held := c.jobsHeld
	c.jobsHeld = false
	return held
}

// Movable lists work that other cells may take, at most limit jobs: those first that were listed
// longest ago, of these the most urgent. With the most urgent first of all, those that found no place
// anywhere were listed again and again before the others, which one might have taken.
func (c *Core) Movable(limit int, now time.Time) []Move {
	if c.blind {
		return nil
	}
	var stuck []candidate
	for _, s := range c.waitingSteps {
		if s.waiting > 0 && !s.stuck.IsZero() && (now.Sub(s.stuck) >= offerAfter || s.job.neverStarted()) &&
			now.Sub(s.job.offeredAt) >= offerAfter {
			stuck = append(stuck, c.candidate(s, now))
		}
	}
	slices.SortFunc(stuck, func(a, b candidate) int {
		return cmp.Or(a.step.job.offeredAt.Compare(b.step.job.offeredAt), a.before(b))
	})
	var moves []Move
	for _, candidate := range stuck {
		j := candidate.step.job
		if len(moves) == limit || j.offeredAt.Equal(now) { // listed with another of its steps
			continue
		}
		if move, ok := c.moveOf(candidate.step); ok {
			j.offeredAt = now
			move.Stuck = now.Sub(candidate.step.stuck)
			moves = append(moves, move)
		}
	}
	return moves
}

// moveOf is what may be moved of a step's job.
func (c *Core) moveOf(s *step) (Move, bool) {
	move := Move{Job: s.job.spec.ID, Demand: jobs.Demand{Job: s.job.spec.ID, Number: s.flat(), Pool: c.terms(s.job).Pool, Step: *s.spec}, Tasks: jobs.TaskSet{}, Suspected: jobs.Suspicions{}, LeastRun: c.leastRunOf(s.job), Home: s.job.home}
	move.Demand.Step.Count = s.waiting
	switch {
	case s.job.spec.Divisible():
		move.add(s)
		return move, true
	case s.movableAsWhole():
		move.Whole = true
		for _, each := range s.job.steps {
			move.add(each)
		}
		return move, true
	default:
		return move, false
	}
}

// leastRunOf is no lower than any number that former owners have given to runs of a job: what they
// gave to tasks whose worker has gone is not known here.
func (c *Core) leastRunOf(j *job) jobs.RunID {
	if j.fresh {
		return j.leastRun
	}
	return c.firstRun(j)
}

// movableAsWhole tells whether the step's job may be moved as a whole.
func (s *step) movableAsWhole() bool {
	return !s.job.spec.Divisible() && s.job.spec.Repeat.Count == 0 && !s.spec.SameRack && s.job.neverStarted()
}

// add adds a step's waiting tasks.
func (m *Move) add(s *step) {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskWaiting {
			m.Tasks[s.flat()] = append(m.Tasks[s.flat()], i)
			m.LeastRun = max(m.LeastRun, t.run)
			if known := t.knownElsewhere(); !known.Empty() {
				m.Suspected.Set(s.flat(), i, known)
			}
		}
	}
}

// Limit reduces a move to at most so many tasks.
func (m *Move) Limit(count int) {
	for flat, indexes := range m.Tasks {
		m.Tasks[flat] = indexes[:min(count, len(indexes))]
	}
	m.Demand.Step.Count = min(m.Demand.Step.Count, count)
}

// neverStarted tells whether no task of the job has ever been started, by this owner or a
// former one. A run that was started may have succeeded on a worker that is silent now, and
// this cell must know the job when that worker reports it.
func (j *job) neverStarted() bool {
	if j.immovable || !j.fresh || j.begun || j.running > 0 {
		return false
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			if t := &s.tasks[i]; s.spec.Lasts || t.state != taskWaiting || t.starts > 0 {
				return false
			}
		}
	}
	return true
}
