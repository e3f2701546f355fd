// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// A suspect starts on the worker that has the fewest tasks, where nothing has just been started,
// and nothing but suspects starts there until it has run for longer than before. So a loss speaks
// against it alone, and costs the least work. One that crashes nothing does not wait long for
// this: where room is short, suspects of a single loss are tried together. One of several waits
// until a worker is its own: a loss beside others would say nothing, and few are left to be had.

const (
	// minTrialTime is for how long a suspect has its worker for itself at least: some calls of
	// the owner, which tell whether the worker is still there.
	minTrialTime = 300 * time.Millisecond
	// maxTrialTime bounds it: others of the same size wait for the room meanwhile.
	maxTrialTime = 3 * time.Second
	// trialReservation is for how long nothing else starts on a worker that a suspect waits for; it is
	// prolonged with each look at the suspect, which come some scanPause apart.
	trialReservation = 100 * time.Millisecond
	// maxApartWait is for how long a suspect waits not to be tried beside one that was lost with it: a trial of
	// the shortest length. Most tasks that are lost have nothing to do with it, and those that last must run again soon.
	maxApartWait = minTrialTime
	// trialWait is how long a report may wait for an end while a suspect is on trial.
	trialWait = 100 * time.Millisecond
)

// trialTime is for how long a suspect's run has its worker for itself.
func (t *task) trialTime() time.Duration {
	longest := time.Duration(0)
	for _, lost := range t.suspicion.Lost {
		ran := lost.Ran.Duration()
		if ran == 0 {
			ran = assumedUnobservedRuntime
		}
		longest = max(longest, ran)
	}
	return min(max(minTrialTime, 2*longest), maxTrialTime)
}

// placeSuspects gives the step's suspects their places.
func (c *Core) placeSuspects(s *step, now time.Time) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || !t.suspected() || c.startsLeft <= 0 || !t.countIsStored() {
			continue
		}
		switch c.verdictOn(t, now) {
		case verdictCrashes: // with what former owners, or other cells, have lost
			c.abandonJobOf(t)
			return
		case verdictContested:
			continue
		}
		w := c.trialWorker(t, now)
		if w == nil {
			s.findNone(now)
			return
		}
		if s.spec.Lasts && !c.leavesRoom(t, now) {
			continue
		}
		s.stuck = time.Time{}
		c.startTrial(t, w, now)
	}
}

// countIsStored tells whether all that was counted of the task's lost runs is stored. It starts no
// sooner: its owner may go, and what only that one knows with it. So at most one run of each task is
// unknown to a successor at any time, and that one it counts as unseen.
func (t *task) countIsStored() bool { return t.step.job.stored >= t.counted }

// trialWorker is the worker for a suspect; nil when there is none now. Where something has just
// been started everywhere, nothing else starts on one of the workers until it is ready.
func (c *Core) trialWorker(t *task, now time.Time) *worker {
	var ready, busy, shared *worker
	for _, w := range c.order {
		switch {
		case !c.mayTry(w, t.step, now) || w.isReservedForOther(t, now) || w.hasUndecidedSharer(t, now):
		case w.maxSuspectLosses() >= minLosses: // another one's trial is not to be spoiled
		case w.maxSuspectLosses() > 0:
			shared = withFewerTasks(shared, w)
		case w.hasYoungRun(now):
			busy = withFewerTasks(busy, w)
		default:
			ready = withFewerTasks(ready, w)
		}
	}
	switch {
	case ready != nil:
		return ready
	case t.losses() < minLosses:
		return cmp.Or(shared, busy)
	case shared != nil && shared.trials == 0 && !shared.hasYoungRun(now):
		return shared // its suspects have outlived their trials
	}
	if next := cmp.Or(busy, shared); next != nil {
		next.reserveForTrial(t, now)
	}
	return nil
}

// hasUndecidedSharer tells whether a task on the worker was lost with the suspect before and has not outlived that yet: with
// both lost once more, nobody would know more than before.
func (w *worker) hasUndecidedSharer(t *task, now time.Time) bool {
	if now.Sub(t.waits) >= maxApartWait {
		return false
	}
	return slices.ContainsFunc(w.tasks, func(other *task) bool { return t.sharesLoss(other) && !other.hasOutlivedTrial(now) })
}

// reserveForTrial keeps a worker for a suspect for a short time.
func (w *worker) reserveForTrial(t *task, now time.Time) {
	w.keptUntil = now.Add(trialReservation)
	w.keptFor = t
}

// isReservedForOther tells whether the worker is kept for another suspect: whichever has waited there
// goes first, or those that lost one run would go before those that lost several for ever.
func (w *worker) isReservedForOther(t *task, now time.Time) bool {
	return w.keptFor != t && !now.After(w.keptUntil)
}

// withFewerTasks is the worker with fewer tasks.
func withFewerTasks(best, w *worker) *worker {
	if best == nil || len(w.tasks) < len(best.tasks) {
		return w
	}
	return best
}

// maxSuspectLosses is the most losses that a suspect on the worker has seen, whether it is on
// trial or has outlived that; zero: none is there.
func (w *worker) maxSuspectLosses() int {
	most := 0
	for _, t := range w.tasks {
		if t.suspected() {
			most = max(most, len(t.suspicion.Lost))
		}
	}
	return most
}

// hasYoungRun tells whether something has just been started on the worker.
func (w *worker) hasYoungRun(now time.Time) bool {
	for _, t := range w.tasks {
		if t.state == taskStarting || now.Sub(t.began) < minTrialTime {
			return true
		}
	}
	return false
}

// startTrial starts a suspect. That it runs there is stored beside the start, for a successor.
func (c *Core) startTrial(t *task, w *worker, now time.Time) {
	c.start(t, w, now)
	w.beginTrial(t)
	c.counts.Trials++
	c.storeOpenTrial(t, now)
	c.config.Logger.Info("suspect is tried alone", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int("beside", len(w.tasks)-1), zap.Int("lost_before", len(t.suspicion.Lost)),
		zap.Float64("doubt", t.suspicion.Doubt()), zap.Float64("weight", t.suspicion.Weight()), zap.Duration("for", t.trialTime()))
}

// beginTrial keeps others from starting beside a suspect.
func (w *worker) beginTrial(t *task) {
	t.onTrial = true
	w.trials++
}

// endTrial lets others start there again.
func (w *worker) endTrial(t *task) {
	if t.onTrial {
		t.onTrial = false
		w.trials--
	}
}
