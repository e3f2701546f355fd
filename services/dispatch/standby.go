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
			c.startTask(t, w, now)
			c.beginStandby(t)
			t.pace, t.pacedAt, t.paceUncertain = 0, time.Time{}, true
		}
		return
	}
}

// standbyWorker returns the worker with the largest share of free memory of those that can take the task; nil: none can.
func (c *Core) standbyWorker(t *task, now time.Time) *worker {
	var best *worker
	mostFree := 0.0
	for _, w := range c.sortedWorkers {
		if w.isReserved(now) && !t.hasWaitedBesideRoom(now) || !c.hasStandbyRoom(w, t.step, now) {
			continue
		}
		free := float64(w.free().Memory) / float64(max(1, w.info.Capacity.Memory))
		if now.Before(w.avoidUntil) {
			free -= avoidWeight
		}
		if best == nil || free > mostFree {
			best, mostFree = w, free
		}
	}
	return best
}

// hasStandbyRoom reports whether the worker is usable and has what a task of the step declares, beside what others declare.
func (c *Core) hasStandbyRoom(w *worker, s *step, now time.Time) bool {
	return c.usable(w, now) && c.fits(w, s) && s.spec.Size.CPU <= w.free().CPU && w.countFitting(s, 1, models.Resources{}) > 0
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

// resumeStandby lets tasks of the step that stand by go on where the loads allow it.
func (c *Core) resumeStandby(s *step, now time.Time) {
	if s.standby == 0 {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if c.startsLeft <= 0 {
			return
		}
		if !t.standby || t.state != taskRunning {
			continue
		}
		if w := t.worker; c.loadsAllow(w, s) && c.usable(w, now) && !w.isReserved(now) {
			c.endStandby(t)
			t.startedAt = now
			c.startsLeft--
			c.orderPace(w, t, t.pace, jobs.FullSpeed, now)
		}
	}
}

// haltStandby orders pace 0 for runs that stand by and may not stand yet.
func (c *Core) haltStandby(now time.Time) {
	for _, s := range c.waitingSteps {
		if s.standby == 0 {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.standby && t.state == taskRunning && (t.paceUncertain || t.pace > 0) && now.Sub(t.pacedAt) >= settleTime {
				t.paceUncertain = true
				c.orderPace(t.worker, t, jobs.FullSpeed, 0, now)
			}
		}
	}
}
