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

// standbyAfter is how long nothing of a job is seen until one of its tasks starts on standby. Callers allow 3 s.
const standbyAfter = time.Second

// maxStandbyMemory is the share of a worker's memory in use up to which tasks start on standby there, so that other tasks find
// room beside them.
const maxStandbyMemory = 0.75

// A run on standby works at full pace until it is throttled, and where such runs follow one another, serving tasks could be over
// their targets without a break. So starts on standby come in bursts.
const (
	// standbyBurst is the time within which a worker gets starts on standby in a row.
	standbyBurst = 500 * time.Millisecond
	// standbyPause is the time after a burst without such starts, in which the figures of the worker show it undisturbed.
	standbyPause = time.Second
)

// idleFillers returns the steps of which a filler task is to start on standby, the longest idle first.
func (c *Core) idleFillers(candidates []candidate, now time.Time) []*step {
	c.updateIdleJobs(now)
	var idle []*step
	for _, each := range candidates {
		if c.mayStartIdle(each.step, now) {
			idle = append(idle, each.step)
		}
	}
	slices.SortStableFunc(idle, func(a, b *step) int { return cmp.Compare(b.idleTime(now), a.idleTime(now)) })
	return idle
}

// startIdleFillersFirst starts one task on standby of each of the steps before other tasks are placed, as far as that leaves these their
// share of the starts.
func (c *Core) startIdleFillersFirst(idle []*step, now time.Time) {
	withheld := c.startsOfOthers()
	c.startsLeft -= withheld
	c.startIdleFillers(idle, now)
	c.startsLeft += withheld
}

// startIdleFillers starts one task on standby of each of the steps of whose job none stands by.
func (c *Core) startIdleFillers(idle []*step, now time.Time) {
	for _, s := range idle {
		if c.startsLeft <= 0 {
			return
		}
		if c.mayStartIdle(s, now) { // neither has a start just taken the memory, nor does a task of its job stand by since then
			c.startOnStandby(s, 1, now)
		}
	}
}

// startsOfOthers returns how many of the starts left are for other tasks: one half, of an odd number the larger and the smaller one in
// turn.
func (c *Core) startsOfOthers() int {
	c.oddStartToOthers = !c.oddStartToOthers
	if c.oddStartToOthers {
		return c.startsLeft - c.startsLeft/2
	}
	return c.startsLeft / 2
}

// startMoreFillers starts as many more tasks on standby of each of the steps as have ended there since something of its job was last
// seen: those that are shorter than the time until they stand leave nothing to be seen, so that such a step has to end soon. They
// take no starts from other tasks.
func (c *Core) startMoreFillers(idle []*step, now time.Time) {
	for _, s := range idle {
		if c.startsLeft <= 0 {
			return
		}
		if brief := s.recentBriefRuns(); brief > 0 && c.isMostlyFree(c.terms(s.job).Pool) {
			c.startOnStandby(s, brief, now)
		}
	}
}

// mayStartIdle reports whether a filler task of the step is to start on standby: its pool is mostly free, nothing of its job has been seen
// for standbyAfter, and nothing of it runs. Beside one that works, which may end before it is seen as others did, another one stands by.
func (c *Core) mayStartIdle(s *step, now time.Time) bool {
	return s.spec.Filler && s.waiting > 0 && c.isMostlyFree(c.terms(s.job).Pool) && s.unseenTime(now) >= standbyAfter &&
		(s.job.isIdle() || s.job.runSpan.ran > 0 && !s.job.hasStandby())
}

// hasStandby reports whether a task of the job stands by.
func (j *job) hasStandby() bool {
	for s := range j.heldSteps() {
		if s.standby > 0 {
			return true
		}
	}
	return false
}

// startOnStandby starts up to count waiting tasks of the step on standby if workers can take them. Suspects do not stand by: that
// nothing happens to their worker meanwhile would be no evidence.
func (c *Core) startOnStandby(s *step, count int, now time.Time) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.isOrdinary() {
			continue
		}
		if _, only := c.awaitsLateStartWorker(t, now); only {
			continue
		}
		w := c.standbyWorker(t, now)
		if w == nil {
			return
		}
		s.stuckSince = time.Time{}
		w.noteStandbyStart(now)
		c.orderStart(t, w, now)
		c.beginStandby(t)
		if count--; count == 0 || c.startsLeft <= 0 {
			return
		}
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
	score := float64(w.free().Memory)/float64(max(1, w.info.Capacity.Memory)) + c.positionScore(w, s)
	if w.startOverdueAt.Equal(c.now) {
		score -= avoidWeight
	}
	if !w.isInBurst(c.now) { // else its serving tasks are disturbed already
		score -= c.addedHarm(w, s)
	}
	return score
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
// beside what others declare, and memory to spare, and does not rest from a burst.
func (c *Core) hasStandbyRoom(w *worker, s *step, now time.Time) bool {
	rests := !w.isInBurst(now) && now.Sub(w.standbyFrom) < standbyBurst+standbyPause && len(c.expectedLoads(w)) > 0
	memory := float64(w.used.Memory + s.spec.Size.Memory)
	return !rests && memory <= maxStandbyMemory*float64(w.info.Capacity.Memory) && c.usable(w, now) && c.fits(w, s) &&
		s.spec.Size.CPU <= w.free().CPU && w.countFitting(s, 1, models.Resources{}) > 0
}

// beginStandby records that the run of a task on a worker stands by. It may work at full pace, and is ordered to stand at once.
func (c *Core) beginStandby(t *task) {
	t.standby = true
	t.pace, t.pacedAt, t.paceUncertain = 0, time.Time{}, true
	t.step.standby++
	t.worker.standbyCPU += t.step.spec.Size.CPU
	c.recordChange(t.worker)
	c.listWaiting(t.step)
}

// endStandby records that a run on standby goes on or ends.
func (c *Core) endStandby(t *task) {
	if !t.standby {
		return
	}
	if c.cpuHeldFor == t {
		c.cpuHeldFor = nil
	}
	t.standby = false
	t.step.standby--
	t.worker.standbyCPU -= t.step.spec.Size.CPU
	c.recordChange(t.worker)
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

// hasWorkingFillers reports whether a filler task on the worker may be working: one that does not stand by for certain.
func (w *worker) hasWorkingFillers() bool {
	return w.activeFillerCPU() > 0 || w.standbyCPU > 0 && slices.ContainsFunc(w.tasks, func(t *task) bool {
		return t.standby && (t.state != taskRunning || t.mayNotStandYet())
	})
}
