// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// candidate is an open step with its urgency.
type candidate struct {
	step *step
	urgency
}

// placeAll gives waiting tasks their places, the most urgent first.
func (c *Core) placeAll(now time.Time) {
	candidates := c.candidates(now)
	if len(candidates) > 0 {
		c.updateShortWork(now)
	}
	for _, candidate := range candidates {
		if c.startsLeft <= 0 {
			return
		}
		c.placeStep(candidate.step, now)
	}
}

// candidates gives the open steps whose tasks may be placed now, the most urgent first, and
// takes those off the list that have none left.
func (c *Core) candidates(now time.Time) []candidate {
	candidates := make([]candidate, 0, len(c.waitingSteps))
	kept := c.waitingSteps[:0]
	for _, s := range c.waitingSteps {
		if s.waiting == 0 || s.job.end != "" || s.job.cancelled {
			s.listed = false
			continue
		}
		kept = append(kept, s)
		if now.After(s.backoff) && !c.takeovers.bars(s.job) {
			candidates = append(candidates, c.candidate(s, now))
		}
	}
	c.waitingSteps = kept
	slices.SortFunc(candidates, candidate.before)
	return candidates
}

// candidate is the step with its urgency now.
func (c *Core) candidate(s *step, now time.Time) candidate {
	return candidate{s, c.urgency(s, c.timeOfDay(now))}
}

// before orders candidates, the most urgent first.
func (a candidate) before(b candidate) int {
	return cmp.Or(a.compare(b.urgency), cmp.Compare(a.step.job.spec.ID, b.step.job.spec.ID), cmp.Compare(a.step.flat(), b.step.flat()))
}

// scanPause is how long a step that found no place for a task waits for the next look at
// all workers: with many steps waiting, most of the processor time would go there.
const scanPause = 20 * time.Millisecond

// placeStep gives the step's waiting tasks their places. They are all alike, so the places
// are looked up once; only a place that was taken is looked at again.
func (c *Core) placeStep(s *step, now time.Time) {
	if c.holdsForOffer(s, now) {
		s.findNone(now)
		return
	}
	c.placeSuspects(s, now)
	places := c.findPlaces(s, now)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.suspected() || !t.countIsStored() {
			continue
		}
		if c.startsLeft <= 0 {
			return
		}
		if len(places) == 0 {
			s.findNone(now)
			return
		}
		if s.spec.Lasts && !c.leavesRoom(t, now) {
			s.backoff = now.Add(scanPause) // it has a place, and isn't stuck
			continue                       // others of the step may have waited for longer
		}
		s.stuck = time.Time{}
		c.start(t, places[0].worker, now)
		if s.spec.SameRack {
			places = c.findPlaces(s, now) // the first task makes its rack the best one
			continue
		}
		c.rescoreFirst(&places, s, now)
	}
}

// findNone notes that there is no place for a waiting task of the step.
func (s *step) findNone(now time.Time) {
	s.backoff = now.Add(scanPause)
	if s.stuck.IsZero() {
		s.stuck = now
	}
}

// start puts a task on a worker and orders its run.
func (c *Core) start(t *task, w *worker, now time.Time) {
	c.beginRun(t, now)
	if t.step.spec.Fills {
		w.fillersChangedAt = now
	}
	w.add(t)
	c.takeShortCapacity(t)
	c.startsLeft--
	c.counts.Starts++
	if t.saved != nil {
		c.counts.StartsFromText++
	}
	c.recordFirstStart(t.step.job, now)
	c.logStart(t, w, now)
	c.orders = append(c.orders, StartOrder{Worker: w.info, Call: jobs.StartCall{
		Task: t.id(), Run: t.run, Fence: w.fence, Payload: t.step.job.spec.Payload,
		Until: c.startDeadline(w, now), Checkpoint: t.text(),
	}})
}

// logStart logs a start with what decided it, and what its run goes on from.
func (c *Core) logStart(t *task, w *worker, now time.Time) {
	c.config.Logger.Info("run starts", t.logOrigin([]zap.Field{
		zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int64("job_age_ms", int64(c.timeOfDay(now)-t.step.job.accepted)),
		zap.Int64("report_age_ms", now.Sub(w.heard).Milliseconds()), zap.Float64("load", w.maxLoad),
		zap.Int("lost_before", len(t.suspicion.Lost)),
	}, now)...)
}

// beginRun makes a waiting task one with a run whose start is not answered yet.
func (c *Core) beginRun(t *task, now time.Time) {
	t.step.waiting--
	t.step.job.running++
	t.starts++
	t.ordered = true
	t.run = c.nextRun(t)
	t.state = taskStarting
	t.answeredAt, t.sampledAt = time.Time{}, time.Time{}
	t.orderedAt, t.startSentAt, t.began, t.pacedAt = now, now, now, now
	t.retried, t.open, t.barred, t.paceUncertain = false, true, false, false
	t.pace = jobs.FullSpeed
	t.loadOffset, t.shownLoad, t.averageLoad, t.figure = 0, 0, 0, 0
}

// nextRun numbers a run above all runs of this and of former owners.
func (c *Core) nextRun(t *task) jobs.RunID {
	return max(t.run+1, c.firstRun(t.step.job)+jobs.RunID(t.starts))
}

// firstRun is below all numbers that this owner gives to runs of a job, and above those of
// former owners. What other cells had given is added, not only exceeded: where it is above this
// cell's epochs, one owner after the other would begin with the same number, and neither a
// worker nor an owner could tell which run is newer.
func (c *Core) firstRun(j *job) jobs.RunID {
	return j.leastRun + jobs.RunID(c.config.Epoch)*runsPerEpoch
}
