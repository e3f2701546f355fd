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

// A task on standby is a filler task whose run is on a worker and stands at pace 0: it holds memory, slows nothing down, and goes on
// when its turn comes and the loads allow it. So a cell that is mostly free has something of each job on a worker, however
// many jobs there are and whatever the loads, and the order in which jobs get the CPU is that of all waiting tasks.

// standbyAfter is how long nothing of a job runs until one of its tasks starts on standby. Callers allow 3 s, and see a run once
// its start has been sent.
const standbyAfter = 1500 * time.Millisecond

// A run on standby works at full pace until it is throttled, and where such runs follow one another, serving tasks could be over
// their targets without a break. So starts on standby come in bursts.
const (
	// standbyBurst is the time within which a worker gets starts on standby in a row.
	standbyBurst = 500 * time.Millisecond
	// standbyPause is the time after a burst without such starts, in which the figures of the worker show it undisturbed.
	standbyPause = time.Second
	// burstWeight is how much less of a worker's memory may be free, as a share, for a start to go on a burst that has begun.
	burstWeight = 0.25
)

// startIdleFillers starts one filler task on standby of each job of which nothing has run for standbyAfter, the longest first,
// while the cell is mostly free.
func (c *Core) startIdleFillers(candidates []candidate, now time.Time) {
	c.updateSilentJobs()
	var idle []*step
	for _, each := range candidates {
		if each.step.spec.Filler && each.step.waiting > 0 && each.step.idleTime(now) >= standbyAfter {
			idle = append(idle, each.step)
		}
	}
	slices.SortStableFunc(idle, func(a, b *step) int { return cmp.Compare(b.idleTime(now), a.idleTime(now)) })
	for _, s := range idle {
		if c.startsLeft <= 0 || !c.isMostlyFree() {
			return
		}
		if s.idleTime(now) >= standbyAfter { // no other step of its job has just started a task
			c.startOnStandby(s, now)
		}
	}
}

// startOnStandby starts a waiting task of the step on standby if a worker can take it. Suspects do not stand by: that nothing
// happens to their worker meanwhile would be no evidence.
func (c *Core) startOnStandby(s *step, now time.Time) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.suspected() || !t.lossesAreStored() {
			continue
		}
		if _, only := c.awaitsLateStartWorker(t, now); only {
			continue
		}
		if w := c.standbyWorker(t, now); w != nil {
			s.stuckSince = time.Time{}
			w.noteStandbyStart(now)
			c.orderStart(t, w, now)
			c.beginStandby(t)
			t.pace, t.pacedAt, t.paceUncertain = 0, time.Time{}, true // the run begins at full pace
		}
		return
	}
}

// standbyWorker returns the best worker for a task on standby; nil: none can take it.
func (c *Core) standbyWorker(t *task, now time.Time) *worker {
	var best place
	for _, w := range c.sortedWorkers {
		if w.isReserved(now) && !t.hasWaitedBesideRoom(now) || !c.hasStandbyRoom(w, t.step, now) {
			continue
		}
		if score := c.standbyScore(w, t.step); best.worker == nil || score > best.score {
			best = place{w, score}
		}
	}
	return best.worker
}

// standbyScore returns how good a place the worker is for a task on standby: the more of its memory is free, and the less harm
// the task does there until it stands and once it goes on, the better.
func (c *Core) standbyScore(w *worker, s *step) float64 {
	score := float64(w.free().Memory) / float64(max(1, w.info.Capacity.Memory))
	if w.isInBurst(c.now) {
		return score + burstWeight + c.positionScore(w, s)
	}
	return score - c.addedHarm(w, s) + c.positionScore(w, s)
}

// isInBurst reports whether the worker gets starts on standby in a row.
func (w *worker) isInBurst(now time.Time) bool { return now.Sub(w.standbyFrom) < standbyBurst }

// noteStandbyStart records a start on standby.
func (w *worker) noteStandbyStart(now time.Time) {
	if !w.isInBurst(now) {
		w.standbyFrom = now
	}
}

// hasStandbyRoom reports whether a task of the step may start on standby on the worker: it is usable, has what the task declares
// beside what others declare, and does not rest from a burst.
func (c *Core) hasStandbyRoom(w *worker, s *step, now time.Time) bool {
	rests := !w.isInBurst(now) && now.Sub(w.standbyFrom) < standbyBurst+standbyPause
	return !rests && c.usable(w, now) && c.fits(w, s) && s.spec.Size.CPU <= w.free().CPU && w.countFitting(s, 1, models.Resources{}) > 0
}

// beginStandby records that the run of a task on a worker stands by.
func (c *Core) beginStandby(t *task) {
	t.standby = true
	t.step.standby++
	t.worker.standbyCPU += t.step.spec.Size.CPU
	c.listWaiting(t.step)
}

// endStandby records that a run on standby goes on or ends.
func (c *Core) endStandby(t *task) {
	if !t.standby {
		return
	}
	t.standby = false
	t.step.standby--
	t.worker.standbyCPU -= t.step.spec.Size.CPU
}

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
		if mayMove = len(c.findPlaces(s, now)) > 0; mayMove {
			c.stop(t, "it stands by, and another worker can run it")
			continue
		}
		s.backoff = now.Add(scanBackoff)
	}
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
	for _, t := range w.tasks {
		if t.standby && t.state == taskRunning && (best == nil || c.candidate(t.step, now).before(c.candidate(best.step, now)) < 0) {
			best = t
		}
	}
	return best
}

// haltStandby orders pace 0 for the runs that stand by, until the order is answered.
func (c *Core) haltStandby(now time.Time) {
	for _, s := range c.waitingSteps {
		if s.standby == 0 {
			continue
		}
		for i := range s.tasks {
			if t := &s.tasks[i]; t.mayNotStandYet() && now.Sub(t.pacedAt) >= settleTime {
				t.paceUncertain = true
				c.orderPace(t.worker, t, jobs.FullSpeed, 0, now)
			}
		}
	}
}

// mayNotStandYet reports whether the run of a task that stands by may be at another pace than 0.
func (t *task) mayNotStandYet() bool {
	return t.standby && t.state == taskRunning && (t.paceUncertain || t.pace > 0)
}
