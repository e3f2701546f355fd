// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// When many workers leave at once, the long-running tasks on them all look for another worker, before any short
// job that is submitted later. They take all the remaining free capacity, and short work of the same priority
// waits for seconds until replacement workers arrive. For a long-running task the cost of waiting is only the
// time itself; a short job that waits as long misses its objective as a whole. Therefore long-running tasks
// leave free capacity to short work for some seconds. These count from when the task was last known to run: callers
// count so too, whether its worker was silent meanwhile or a start was not carried out.

const (
	// shortReserveTime is how long after its last run a long-running task leaves capacity to short work: long enough
	// for replacement workers to arrive, and less than callers allow it to be away (6 s).
	shortReserveTime = 5 * time.Second
	// shortReserveFactor is the multiple of its demand that is left to short work, because short work comes in
	// bursts and free capacity is fragmented over the workers.
	shortReserveFactor = 1.5
	// maxShortReserve bounds the capacity left to short work, as a part of the cell's CPU.
	maxShortReserve = 0.25
	// demandWindow is the time over which a past demand fades.
	demandWindow = 3 * time.Second
)

// shortWork is the demand of short work, which is neither long-running nor filler, and the declared capacity
// that it can use.
type shortWork struct {
	demand   float64 // thousandths of a core; its peaks fade over demandWindow
	at       time.Time
	free     models.MilliCPU // capacity that is free or used by short work, as of at
	capacity models.MilliCPU // of all usable workers, as of at
	use      jobs.UseOfPools // the least that callers may count as in use, as of at and by starts since then

	leftSince time.Time // since when long-running tasks leave capacity to it, as logged; zero: they don't
	leftAt    time.Time // when one last did
}

// updateShortWork updates the capacity available to short work and the demand of short work, which is what it
// uses and what it waits for.
func (c *Core) updateShortWork(now time.Time) {
	s := &c.shortWork
	elapsed := now.Sub(s.at)
	s.free, s.capacity = 0, 0
	s.use = c.use(now)
	taken := models.MilliCPU(0)
	for _, w := range c.sortedWorkers {
		if !c.usable(w, now) {
			continue
		}
		s.capacity += w.info.Capacity.CPU
		s.free += w.info.Capacity.CPU - w.longRunningCPU
		taken += w.used.CPU - w.longRunningCPU
	}
	current := float64(taken + c.waitingShortCPU())
	fade := min(1, elapsed.Seconds()/demandWindow.Seconds())
	s.demand = max(current, s.demand+fade*(current-s.demand))
	s.at = now
}

// waitingShortCPU returns the CPU declared by the waiting tasks of short steps.
func (c *Core) waitingShortCPU() models.MilliCPU {
	sum := models.MilliCPU(0)
	for _, s := range c.waitingSteps {
		if !s.spec.LongRunning && !s.spec.Filler {
			sum += models.MilliCPU(s.waiting) * s.spec.Size.CPU
		}
	}
	return sum
}

// leavesCapacity reports whether a long-running task may start now: it has been without a run for long enough, or enough
// capacity remains for short work. A task that came from another cell has already waited there.
func (c *Core) leavesCapacity(t *task, now time.Time) bool {
	reserve := min(shortReserveFactor*c.shortWork.demand, maxShortReserve*float64(c.shortWork.capacity))
	mayStart := now.Sub(t.lastRunAt) >= shortReserveTime || float64(c.shortWork.free-t.step.spec.Size.CPU) >= reserve
	if !mayStart {
		c.recordCapacityLeft(t, reserve, now)
	}
	return mayStart
}

// capacityLeftFor is how long tasks count as leaving capacity to short work since one last did: a step is not examined
// in each decision.
const capacityLeftFor = time.Second

// recordCapacityLeft records that a task leaves capacity to short work, and logs the first one of a time in which tasks
// do.
func (c *Core) recordCapacityLeft(t *task, reserve float64, now time.Time) {
	s := &c.shortWork
	s.leftAt, t.leftCapacityAt = now, now
	if !s.leftSince.IsZero() {
		return
	}
	s.leftSince = now
	c.config.Logger.Info("long-running tasks leave capacity to short work", zap.Stringer("first", t.id()),
		zap.Int64("free", int64(s.free)), zap.Int64("reserve", int64(reserve)), zap.Int64("demand", int64(s.demand)))
}

// logCapacityTaken logs that no long-running task leaves capacity to short work any more.
func (c *Core) logCapacityTaken(now time.Time) {
	s := &c.shortWork
	if s.leftSince.IsZero() || now.Sub(s.leftAt) < capacityLeftFor {
		return
	}
	c.config.Logger.Info("long-running tasks leave no more capacity to short work", zap.Duration("after", s.leftAt.Sub(s.leftSince)))
	s.leftSince = time.Time{}
}

// countLeavingCapacity counts the waiting tasks that leave capacity to short work.
func (c *Core) countLeavingCapacity(now time.Time) int {
	count := 0
	for _, s := range c.waitingSteps {
		for i := range s.tasks {
			if t := &s.tasks[i]; t.state == taskWaiting && now.Sub(t.leftCapacityAt) < capacityLeftFor {
				count++
			}
		}
	}
	return count
}

// takeShortCapacity deducts a starting task from the capacity available to others.
func (c *Core) takeShortCapacity(t *task) {
	pool := t.worker.info.Pool
	c.shortWork.use[pool] = c.shortWork.use[pool].Add(jobs.Use{Used: t.step.footprint()})
	if t.step.spec.LongRunning {
		c.shortWork.free -= t.step.spec.Size.CPU
	}
}
