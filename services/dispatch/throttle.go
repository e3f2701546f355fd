// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// By how many standard deviations a serving task's load is taken to be higher than expected,
// so that 0.8 allows for a chance of a fifth to get over the target, and 0.3 for two fifths.
const (
	placeCaution    = 0.8  // filling tasks are placed while the load stays below the target's
	laterCaution    = 0.3  // the same at the end of the task's run, when it may be throttled
	throttleCaution = 0.3  // from there on filling tasks are throttled
	aimCaution      = 0.8  // what throttling aims at, and up to which speed is given back
	shownMargin     = 0.10 // by which a load that is seen is over the target's to count as such: two standard deviations of a figure
)

// settleTime is how long the figures take to show a change of pace: they are of the last
// half second, and a pace is in force a tenth of a second later.
const settleTime = 700 * time.Millisecond

// throttle changes the pace of filling tasks where loads are too high, and gives speed
// back where they are low.
func (c *Core) throttle(now time.Time) {
	for _, w := range c.order {
		if w.fillerCPU == 0 || !w.hasSettled(now) {
			continue
		}
		if !w.overTargetSince.IsZero() && now.Sub(w.overTargetSince) > maxOverTarget {
			c.haltFillers(w, now)
		} else if _, excess := c.mostOverTarget(w, throttleCaution); excess >= 0 {
			c.slowDown(w, now)
		} else if _, excess := c.mostOverTarget(w, aimCaution); excess < 0 && w.hasThrottledTasks() {
			c.speedUp(w, now)
		}
	}
}

// hasSettled tells whether the worker's figures are fresh and show the latest paces.
func (w *worker) hasSettled(now time.Time) bool {
	return w.answered && now.Sub(w.throttledAt) >= settleTime && now.Sub(w.heard) <= settleTime
}

// hasThrottledTasks tells whether a task on the worker is below full pace.
func (w *worker) hasThrottledTasks() bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.pace < jobs.FullSpeed })
}

// filler is a filling task with the load it adds to a serving task at full pace.
type filler struct {
	*task
	adds float64
}

// addsNow is the load that the task adds at its pace.
func (f filler) addsNow() float64 { return f.adds * float64(f.pace) / float64(jobs.FullSpeed) }

// paceWithout is the pace at which the task adds so much less; 0 when it adds no more.
func (f filler) paceWithout(excess float64) jobs.Percent {
	adds := f.addsNow()
	if adds <= excess {
		return 0
	}
	return jobs.Percent(float64(f.pace) * (1 - excess/adds))
}

// gainWithin is by how much the task's pace may rise where so much load may be added.
func (f filler) gainWithin(left float64) jobs.Percent {
	if f.adds <= 0 {
		return jobs.FullSpeed
	}
	return jobs.Percent(min(1, max(0, left/f.adds)) * float64(jobs.FullSpeed))
}

// fillers are the worker's running filling tasks with what they add to a serving image,
// those that add most first.
func (c *Core) fillers(w *worker, serving jobs.ImageName) []filler {
	var list []filler
	service := c.model.Service(serving)
	for _, t := range w.tasks {
		if t.step.spec.Fills && t.state == taskRunning {
			list = append(list, filler{t, w.fullShare(t.step) * service.Factor(c.model.Index(t.step.spec.Image))})
		}
	}
	slices.SortFunc(list, func(a, b filler) int {
		return cmp.Or(cmp.Compare(b.adds, a.adds), cmp.Compare(a.id().String(), b.id().String()))
	})
	return list
}

// mostOverTarget gives the worker's serving image whose load, seen or expected, is most over that
// at its target, and by how much; below zero it is under it.
func (c *Core) mostOverTarget(w *worker, caution float64) (image jobs.ImageName, excess float64) {
	excess = math.Inf(-1)
	for _, s := range c.expectedLoads(w) {
		if e := max(s.excess(caution, 0, 0), s.shownLoad-shownMargin-s.service.TargetLoad()); e > excess {
			image, excess = s.image, e
		}
	}
	return image, excess
}

// maxOverTarget is for how long a tail may be seen over its target before all filling beside
// it is throttled to a standstill. The users count harm after four seconds; a report may
// show it one second late, and the next one, and the pace it leads to, take half a second
// each.
const maxOverTarget = 1200 * time.Millisecond

// haltFillers throttles all filling tasks of the worker to a standstill.
func (c *Core) haltFillers(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.step.spec.Fills && t.state == taskRunning {
			c.setPace(w, t, 0, now)
		}
	}
}

// minRelief is the least load at full pace for which a task is worth throttling.
const minRelief = 0.01

// slowDown throttles or moves filling tasks, those that add most first, until the highest
// load is what throttling aims at.
func (c *Core) slowDown(w *worker, now time.Time) {
	image, excess := c.mostOverTarget(w, aimCaution)
	list := c.fillers(w, image)
	for _, f := range list {
		if excess <= 0 || f.adds < minRelief {
			return
		}
		pace := f.paceWithout(excess)
		excess -= f.addsNow()
		if pace < moveBelow && c.canMove(w, f.task, now) {
			c.moveTask(w, f.task, now)
			continue
		}
		c.setPace(w, f.task, pace, now)
	}
}

// moveTask stops a task that has a place on another worker.
func (c *Core) moveTask(w *worker, t *task, now time.Time) {
	c.stop(t, "it goes on on a worker with room")
	w.throttledAt = now
	w.expectedValid = false
}

const (
	// moveBelow is a pace at which a task is better moved: a stop, a report and the restart
	// from a checkpoint take about a second.
	moveBelow jobs.Percent = 40
	// moveAfter is how long a task must have run to be moved, so that none goes in circles.
	moveAfter = 700 * time.Millisecond
)

// canMove tells whether a task can go on at full pace on another worker.
func (c *Core) canMove(w *worker, t *task, now time.Time) bool {
	if !t.step.spec.Checkpoints || now.Sub(t.began) < moveAfter {
		return false
	}
	for _, other := range c.order {
		if other != w && c.mayTake(other, t.step, now) {
			return true
		}
	}
	return false
}

// speedUp gives speed back to throttled tasks, those that add least first.
func (c *Core) speedUp(w *worker, now time.Time) {
	image, _ := c.mostOverTarget(w, aimCaution)
	for _, f := range slices.Backward(c.fillers(w, image)) {
		if f.pace >= jobs.FullSpeed {
			continue
		}
		_, excess := c.mostOverTarget(w, aimCaution) // as raised so far
		pace := f.pace + f.gainWithin(-excess)
		c.setPace(w, f.task, min(jobs.FullSpeed, pace), now)
	}
}
