// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Tasks on standby go on in the order of urgency of all waiting tasks, where the loads allow it.

// claimTime is how long a worker is the place for one task that stood by elsewhere: until that task has been stopped and started there,
// if its worker answers soon.
const claimTime = 300 * time.Millisecond

// resumeStandby lets tasks of the step that stand by go on where the loads allow it. If no task of the step waits, one that
// can't go on moves to a worker where it can.
func (c *Core) resumeStandby(s *step, now time.Time) {
	if s.standby == 0 {
		return
	}
	mayMove := s.waiting == 0 && now.After(s.backoff)
	for i := range s.tasks {
		t := &s.tasks[i]
		if c.startsLeft <= 0 {
			return
		}
		if !t.standby || t.state != taskRunning {
			continue
		}
		if c.mayResume(t.worker, s, now) {
			c.resume(t, jobs.FullSpeed, now)
			continue
		}
		if !mayMove || now.Sub(t.startedAt) < moveAfter {
			continue
		}
		if mayMove = c.claimPlace(s, now); mayMove {
			c.stop(t, "it stands by, and another worker can run it")
			continue
		}
		s.backoff = now.Add(scanBackoff)
	}
}

// holdCPU keeps other filler tasks from the worker of a task of the step that stands by and lacks nothing but CPU, until it goes on:
// a large one would not go on beside small ones that follow one another. The step is the most urgent one that has tasks to
// place.
func (c *Core) holdCPU(s *step) {
	if held := c.cpuHeldFor; held != nil {
		if held.lacksCPU() {
			return
		}
		c.cpuHeldFor = nil
		c.recordChange(held.worker)
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.lacksCPU() {
			c.cpuHeldFor = t
			return
		}
	}
}

// lacksCPU reports whether a task stands by and its worker lacks the CPU for it as long as other filler tasks work there.
func (t *task) lacksCPU() bool {
	if !t.standby || t.state != taskRunning {
		return false
	}
	unused, size := t.worker.unusedCPU(), t.step.spec.Size.CPU
	return size <= unused && t.worker.activeFillerCPU()+size > unused
}

// isCPUHeld reports whether the worker's CPU is kept for a task of another step that stands by there.
func (c *Core) isCPUHeld(w *worker, s *step) bool {
	held := c.cpuHeldFor
	return held != nil && held.worker == w && held.step != s
}

// claimPlace reports whether a worker can run a task of the step that stands by elsewhere, and is not the place for which another
// one has just been stopped: if all that stand by went for the same place, most of their jobs would have nothing running.
func (c *Core) claimPlace(s *step, now time.Time) bool {
	for _, p := range c.findPlaces(s, now) {
		if now.Sub(p.worker.claimedAt) >= claimTime {
			p.worker.claimedAt = now
			return true
		}
	}
	return false
}

// mayResume reports whether a task of the step that stands by on the worker may go on.
func (c *Core) mayResume(w *worker, s *step, now time.Time) bool {
	return c.loadsAllow(w, s) && c.usable(w, now) && !w.isReserved(now)
}

// resume lets a task that stands by go on. Its run counts from now on, because it has done nothing before.
func (c *Core) resume(t *task, pace jobs.Percent, now time.Time) {
	c.endStandby(t)
	t.startedAt = now
	c.startsLeft--
	c.orderPace(t.worker, t, t.pace, pace, now)
}

// resumePartly lets the most urgent task that stands by on a worker go on as fast as the loads allow, if no other filler task
// works there: where they never allow a whole one, it would stand by without end.
func (c *Core) resumePartly(w *worker, now time.Time) {
	if w.standbyCPU == 0 || w.activeFillerCPU() > 0 || !c.usable(w, now) || w.isReserved(now) {
		return
	}
	t := c.mostUrgentOnStandby(w, now)
	if t == nil {
		return
	}
	image, excess := c.mostOverTarget(w, aimCaution)
	pace := c.filler(w, t, image).gainWithin(-excess)
	pace = min(pace, jobs.Percent(max(0, w.unusedCPU())*models.MilliCPU(jobs.FullSpeed)/max(1, t.step.spec.Size.CPU)))
	if pace >= minPaceChange {
		c.resume(t, pace, now)
		w.throttledAt = now
	}
}

// mostUrgentOnStandby returns the most urgent task that stands by on a worker; nil: none does.
func (c *Core) mostUrgentOnStandby(w *worker, now time.Time) *task {
	var best *task
	var first candidate
	for _, t := range w.tasks {
		if !t.standby || t.state != taskRunning {
			continue
		}
		if next := c.candidate(t.step, now); best == nil || next.before(first) < 0 {
			best, first = t, next
		}
	}
	return best
}
