// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
)

// When many workers leave at once, the tasks that last and were there all look for another
// place, before any short job that comes later. They take all the room that is left, and short
// work of the same priority waits for seconds, until other workers come. A task that lasts waits at no
// more cost than its own time; a short job that waits as long is late as a whole. So tasks that
// last leave room to short work for some seconds.

const (
	// shortReserveTime is for how long a task that lasts leaves room, from when it waits: until
	// workers that replace others are there, and less than callers allow it to be away (6 s).
	shortReserveTime = 5 * time.Second
	// shortReserveFactor is how many times its demand short work is left: it comes in bursts, and what
	// is free lies in pieces.
	shortReserveFactor = 1.5
	// maxShortReserve bounds it, as a part of the cell's processor time.
	maxShortReserve = 0.25
	// demandWindow is the time over which the demand is remembered.
	demandWindow = 3 * time.Second
)

// shortWork is what short work, which neither lasts nor fills, needs of the cell's declared room.
type shortWork struct {
	demand   float64 // thousandths of a core, remembered
	at       time.Time
	free     models.MilliCPU // that is free, or taken by it, as of at
	capacity models.MilliCPU // of all workers that may be used, as of at
}

// updateShortWork takes the room that there is for short work, and what it takes and waits for.
func (c *Core) updateShortWork(now time.Time) {
	s := &c.shortWork
	passed := now.Sub(s.at)
	s.free, s.capacity = 0, 0
	taken := models.MilliCPU(0)
	for _, w := range c.order {
		if !c.usable(w, now) {
			continue
		}
		s.capacity += w.info.Capacity.CPU
		s.free += w.info.Capacity.CPU - w.longRunningCPU
		taken += w.used.CPU - w.longRunningCPU
	}
	current := float64(taken + c.waitingShortCPU())
	fades := min(1, passed.Seconds()/demandWindow.Seconds())
	s.demand = max(current, s.demand+fades*(current-s.demand))
	s.at = now
}

// waitingShortCPU is the processor time that waiting tasks of short steps declare.
func (c *Core) waitingShortCPU() models.MilliCPU {
	sum := models.MilliCPU(0)
	for _, s := range c.waitingSteps {
		if !s.spec.Lasts && !s.spec.Fills {
			sum += models.MilliCPU(s.waiting) * s.spec.Size.CPU
		}
	}
	return sum
}

// leavesRoom tells whether a task that lasts may start now: it has waited for long enough, or
// short work has room enough beside it. Tasks that come from another cell have waited there.
func (c *Core) leavesRoom(t *task, now time.Time) bool {
	if now.Sub(t.waits) >= shortReserveTime {
		return true
	}
	left := min(shortReserveFactor*c.shortWork.demand, maxShortReserve*float64(c.shortWork.capacity))
	return float64(c.shortWork.free-t.step.spec.Size.CPU) >= left
}

// takeShortCapacity notes that a task that lasts takes room.
func (c *Core) takeShortCapacity(t *task) {
	if t.step.spec.Lasts {
		c.shortWork.free -= t.step.spec.Size.CPU
	}
}
