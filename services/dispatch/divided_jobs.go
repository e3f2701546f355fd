// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// forgetIfElsewhere drops a job when all of its tasks are in other cells.
func (c *Core) forgetIfElsewhere(j *job) {
	if len(j.occurrences) == 0 {
		return
	}
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if s.tasks[i].state != taskElsewhere {
				return
			}
		}
	}
	c.drop(j)
	c.dirty = slices.DeleteFunc(c.dirty, func(other *job) bool { return other == j })
	c.movedOut[j.spec.ID] = movedOutJob{version: j.recordVersion, additionalCells: j.additionalCells}
}

// applyRecord applies a newer record of a known job: tasks have been moved here from another cell, or the store has
// carried out a move whose outcome was unknown.
func (c *Core) applyRecord(j *job, record jobs.Record) {
	if record.Version <= j.recordVersion {
		return
	}
	j.recordVersion = record.Version
	j.home, j.additionalCells, j.movesClosed = record.Home, record.AdditionalCells, record.MovesClosed
	j.highestRun = max(j.highestRun, record.HighestRun)
	arrived, departed := 0, 0
	for s := range j.heldSteps() {
		flat := s.flat()
		for i := range s.tasks {
			t := &s.tasks[i]
			switch holds := record.Holds(flat, i); {
			case holds && t.state == taskElsewhere:
				t.run = max(t.run, record.HighestRun)
				t.suspicion, t.unobservedAtTakeover = record.Suspected[flat][i], 0
				t.trialWait, t.idleSince, t.cameWaiting = trialWait{}, c.now, true
				c.trackLosses(t)
				t.state = taskWaiting
				s.waiting++
				arrived++
				c.touchChunkOf(t)
			case !holds && t.state == taskMoving:
				t.state = taskElsewhere
				departed++
				c.touchChunkOf(t)
			}
		}
		c.listWaiting(s)
	}
	c.config.Logger.Info("work has moved between cells", zap.String("job", string(j.spec.ID)), zap.Int("came", arrived), zap.Int("went", departed))
	c.forgetIfElsewhere(j)
}

// markElsewhere marks the tasks of a new job that are in another cell. Only jobs that run once are divided.
func (c *Core) markElsewhere(j *job, record jobs.Record) {
	o := c.occurrence(j, 0)
	if o == nil {
		return
	}
	for number, s := range o.steps {
		for i := range s.tasks {
			if !record.Holds(number, i) {
				s.tasks[i].state = taskElsewhere
			}
		}
	}
}

// firstTaskIsElsewhere reports whether the job's first task is in another cell.
func (j *job) firstTaskIsElsewhere() bool {
	s := j.heldStep(0)
	return s != nil && s.tasks[0].state == taskElsewhere
}

// AdditionalCells reports whether other cells may have tasks of a job, and returns those of them that the job's record in
// this cell names.
func (c *Core) AdditionalCells(id jobs.ID) (cells []jobs.CellName, divided bool) {
	if j, ok := c.jobs[id]; ok {
		return j.additionalCells, j.isDivided()
	}
	moved, divided := c.movedOut[id]
	return moved.additionalCells, divided
}

// isDivided reports whether other cells may have tasks of the job.
func (j *job) isDivided() bool {
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if state := s.tasks[i].state; state == taskElsewhere || state == taskMoving {
				return true
			}
		}
	}
	return false
}

// Dropped records that the store no longer holds a job.
func (c *Core) Dropped(id jobs.ID) { delete(c.movedOut, id) }
