// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
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
}

// updateShortWork updates the capacity available to short work and the demand of short work, which is what it
// uses and what it waits for.
func (c *Core) updateShortWork(now time.Time) {
	s := &c.shortWork
	elapsed := now.Sub(s.at)
	s.free, s.capacity = 0, 0
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
	if now.Sub(t.lastRunAt) >= shortReserveTime {
		return true
	}
	reserve := min(shortReserveFactor*c.shortWork.demand, maxShortReserve*float64(c.shortWork.capacity))
	return float64(c.shortWork.free-t.step.spec.Size.CPU) >= reserve
}

// takeShortCapacity deducts a starting long-running task from the capacity available to short work.
func (c *Core) takeShortCapacity(t *task) {
	if t.step.spec.LongRunning {
		c.shortWork.free -= t.step.spec.Size.CPU
	}
}
