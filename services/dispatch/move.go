// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// BeginMove keeps the tasks of a move from being placed, and returns whether all of them were still waiting.
// The move ends with Moved, CancelMove or MoveJobMissing.
func (c *Core) BeginMove(move Move) bool {
	tasks := c.tasksOf(move.Job, move.Tasks)
	if len(tasks) < move.Tasks.Len() {
		return false
	}
	for _, t := range tasks {
		if t.state != taskWaiting || t.step.job.cancelled || t.step.job.end != "" {
			return false
		}
	}
	for _, t := range tasks {
		t.state = taskMoving
		t.step.waiting--
	}
	return true
}

// StillMoving applies a job's record as read just before a move is attempted, and returns whether the tasks
// still have to be moved: an earlier attempt with an unknown outcome may have moved them.
func (c *Core) StillMoving(move Move, record jobs.Record) bool {
	j, ok := c.jobs[move.Job]
	if !ok {
		return false
	}
	c.applyRecord(j, record)
	for _, t := range c.tasksOf(move.Job, move.Tasks) {
		if t.state != taskMoving {
			return false
		}
	}
	return c.jobs[move.Job] == j
}

// CancelMove ends a move that certainly was not stored: its tasks wait here again. With forGood, the job is not offered
// as a whole again.
func (c *Core) CancelMove(move Move, forGood bool) {
	for _, t := range c.tasksOf(move.Job, move.Tasks) {
		t.step.job.immovable = t.step.job.immovable || forGood
		t.step.stuckSince = time.Time{}
		if t.state == taskMoving {
			t.state = taskWaiting
			t.step.waiting++
			c.listWaiting(t.step)
		}
	}
}

// MoveJobMissing records that the store no longer holds the job of a move: the job has ended and was forgotten in the
// meantime, so its tasks must not start here.
func (c *Core) MoveJobMissing(move Move) {
	j, ok := c.jobs[move.Job]
	if !ok {
		return
	}
	for _, t := range c.tasksOf(move.Job, move.Tasks) {
		if t.state == taskMoving {
			t.state = taskElsewhere
		}
	}
	c.config.Logger.Warn("job that was being handed to another cell is no longer in the store; its tasks are dropped", zap.String("job", string(move.Job)),
		zap.String("to", string(move.To)), zap.Int("tasks", move.Tasks.Len()))
	c.forgetIfElsewhere(j)
}

// Moved records that a move is stored; version is the new version of the job's key.
func (c *Core) Moved(move Move, version uint64) {
	j, ok := c.jobs[move.Job]
	if !ok || j.recordVersion >= version {
		return // already learned from the watch
	}
	j.recordVersion = version
	for _, t := range c.tasksOf(move.Job, move.Tasks) {
		if t.state == taskMoving {
			t.state = taskElsewhere
		}
	}
	c.config.Logger.Info("work is handed to another cell", zap.String("job", string(move.Job)), zap.String("to", string(move.To)),
		zap.Int("tasks", move.Tasks.Len()), zap.Int64("no_place_ms", move.Stuck.Milliseconds()))
	c.forgetIfElsewhere(j)
}

// tasksOf returns the tasks of a job that this cell knows.
func (c *Core) tasksOf(id jobs.ID, set jobs.TaskSet) []*task {
	j, ok := c.jobs[id]
	if !ok {
		return nil
	}
	var tasks []*task
	for flat, indexes := range set {
		for _, index := range indexes {
			if s := j.heldStep(flat); s != nil && index < len(s.tasks) {
				tasks = append(tasks, &s.tasks[index])
			}
		}
	}
	return tasks
}
