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
	// lastsLeaves is for how long a task that lasts leaves room, from when it waits: until
	// workers that replace others are there, and less than callers allow it to be away (6 s).
	lastsLeaves = 5 * time.Second
	// shortRoom is how many times its demand short work is left: it comes in bursts, and what
	// is free lies in pieces.
	shortRoom = 1.5
	// mostShortRoom bounds it, as a part of the cell's processor time.
	mostShortRoom = 0.25
	// demandSpan is the time over which the demand is remembered.
	demandSpan = 3 * time.Second
)

// shortWork is what short work, which neither lasts nor fills, needs of the cell's declared room.
type shortWork struct {
	demand float64 // thousandths of a core, remembered
	at     time.Time
	room   models.MilliCPU // that is free, or taken by it, as of at
	whole  models.MilliCPU // of all workers that may be used, as of at
}

// lookAtShortWork takes the room that there is for short work, and what it takes and waits for.
func (c *Core) lookAtShortWork(now time.Time) {
	s := &c.short
	passed := now.Sub(s.at)
	s.room, s.whole = 0, 0
	taken := models.MilliCPU(0)
	for _, w := range c.order {
		if !c.usable(w, now) {
			continue
		}
		s.whole += w.info.Capacity.CPU
		s.room += w.info.Capacity.CPU - w.lasting
		taken += w.used.CPU - w.lasting
	}
	current := float64(taken + c.waitingShort())
	fades := min(1, passed.Seconds()/demandSpan.Seconds())
	s.demand = max(current, s.demand+fades*(current-s.demand))
	s.at = now
}

// waitingShort is the processor time that waiting tasks of short steps declare.
func (c *Core) waitingShort() models.MilliCPU {
	sum := models.MilliCPU(0)
	for _, s := range c.open {
		if !s.spec.Lasts && !s.spec.Fills {
			sum += models.MilliCPU(s.waiting) * s.spec.Size.CPU
		}
	}
	return sum
}

// leavesRoom tells whether a task that lasts may start now: it has waited for long enough, or
// short work has room enough beside it. Tasks that come from another cell have waited there.
func (c *Core) leavesRoom(t *task, now time.Time) bool {
	if now.Sub(t.waits) >= lastsLeaves {
		return true
	}
	left := min(shortRoom*c.short.demand, mostShortRoom*float64(c.short.whole))
	return float64(c.short.room-t.step.spec.Size.CPU) >= left
}

// takeRoom notes that a task that lasts takes room.
func (c *Core) takeRoom(t *task) {
	if t.step.spec.Lasts {
		c.short.room -= t.step.spec.Size.CPU
	}
}
