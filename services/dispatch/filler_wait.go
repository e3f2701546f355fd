// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Filler tasks start only where the predicted loads of the serving tasks allow it. Where each worker has a serving task, the
// jobs that are placed first can take all that the loads allow, or the loads allow nothing for as long as they are high.
// But callers expect of each job that something of it runs soon while most of the capacity is free. So a job of filler
// tasks of which nothing has run for some time starts one task on standby; see standby.go. A suspect, which has to work for
// its trial, starts all the same a little later, where it does the least harm, and is throttled like others.

const (
	// maxFillerWait is how long nothing of a job runs until one of its filler tasks starts whatever the loads: less than the 3 s for
	// which callers allow a job to have nothing running.
	maxFillerWait = 2500 * time.Millisecond
	// mostlyFreeBelow is the share of the CPU declared by other than filler tasks, and of the memory declared by all, below which
	// capacity is mostly free. Callers count half; what they see is older or newer than what the owner knows.
	mostlyFreeBelow = 0.6
)

// idleTime returns for how long nothing of the job has run, while the step could.
func (s *step) idleTime(now time.Time) time.Duration {
	if s.job == nil || !s.job.isIdle() {
		return 0
	}
	return now.Sub(latest(latest(s.job.lastRunEndedAt, s.openedAt), s.job.silentSince)) + s.job.waitedElsewhere
}

// isIdle reports whether nothing of the job can be running, but on workers that do not answer, or by starts that have had no answer for
// long.
func (j *job) isIdle() bool { return j.running == 0 || j.uncertain }

// SetOtherCells takes the use of the other cells, as last known.
func (c *Core) SetOtherCells(use jobs.UseOfPools) { c.otherCells = use }

// isMostlyFree reports whether callers may expect that each job of a pool runs: most of the CPU and of the memory is free on the
// workers of the pool in all cells, by the count that finds the least in use. Workers that get no starts for a moment count, as
// callers do not know of that.
func (c *Core) isMostlyFree(pool jobs.PoolName) bool {
	return c.shortWork.use[pool].Add(c.otherCells[pool]).IsBelow(mostlyFreeBelow)
}

// startsWhateverTheLoads reports whether a task of the step, of which a suspect waits, may be placed on the worker although the loads
// of the serving tasks there are too high: nothing of its job has run for long, the CPU that others have not declared is enough,
// no other task has just been placed there so, and no serving task there is over its target beside filler tasks at work. Filler
// tasks that the loads allow do not count: where these are short, they come and go all the time.
func (c *Core) startsWhateverTheLoads(w *worker, s *step) bool {
	return c.hasDeclaredRoom(w, s) && c.now.Sub(w.loadsIgnoredAt) >= settleTime && !w.isHarmed(c.now) && c.mayIgnoreLoads(s)
}

// isHarmed reports whether a serving task on the worker is over its target, and filler tasks that work there, or did a moment ago, may be
// the cause.
func (w *worker) isHarmed(now time.Time) bool {
	if w.overTargetSince.IsZero() {
		return false
	}
	return now.Sub(w.throttledAt) < settleTime || slices.ContainsFunc(w.tasks, func(t *task) bool { return t.step.spec.Filler && !t.standby && t.pace > 0 })
}

// mayIgnoreLoads reports whether nothing of the step's job runs, and nothing has run for long enough to be seen for so long that a
// suspect of the step starts whatever the loads.
func (c *Core) mayIgnoreLoads(s *step) bool {
	return s.job != nil && s.job.isIdle() && s.unseenTime(c.now) >= maxFillerWait && s.hasWaitingSuspect()
}

// hasWaitingSuspect reports whether a task of the step that waits is a suspect.
func (s *step) hasWaitingSuspect() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskWaiting && t.suspected() {
			return true
		}
	}
	return false
}

// hasDeclaredRoom reports whether the worker's pool is mostly free, and the worker has the CPU that a filler task of the step declares
// beside what others declare.
func (c *Core) hasDeclaredRoom(w *worker, s *step) bool {
	return c.isMostlyFree(w.info.Pool) && s.spec.Size.CPU <= w.free().CPU
}

// mayWaitForLoads reports whether the loads on a worker may keep a waiting task of the step from starting for no longer than maxFillerWait.
func (c *Core) mayWaitForLoads(s *step, now time.Time) bool {
	return s.spec.Filler && c.isMostlyFree(c.terms(s.job).Pool) && s.idleTime(now) > 0
}

// waitsForLoadsOn reports whether nothing but the loads of the serving tasks on a usable worker keeps the step's first task from
// starting there, which they do for maxFillerWait at most.
func (c *Core) waitsForLoadsOn(w *worker, s *step, now time.Time) bool {
	return c.hasDeclaredRoom(w, s) && c.usable(w, now) && c.fits(w, s) &&
		w.countFitting(s, 1, models.Resources{}) > 0
}
