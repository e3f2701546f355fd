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

// candidate is an opened step with its urgency.
type candidate struct {
	step *step
	urgency
}

// placeAll starts waiting tasks on workers, the most urgent first.
func (c *Core) placeAll(now time.Time) {
	c.logCapacityTaken(now)
	candidates := c.candidates(now)
	if len(candidates) == 0 {
		return
	}
	c.updateShortWork(now)
	c.placeOverdue(candidates, now)
	idle := c.idleFillers(candidates, now)
	c.startIdleFillersFirst(idle, now)
	c.placeCandidates(candidates, now)
	c.startIdleFillers(idle, now)
	c.startMoreFillers(idle, now)
}

// placeCandidates places tasks of the steps in their order.
func (c *Core) placeCandidates(candidates []candidate, now time.Time) {
	urgentFiller := true
	for _, candidate := range candidates {
		if c.startsLeft <= 0 {
			return
		}
		s := candidate.step
		c.serveStep(s, now)
		if urgentFiller && s.spec.Filler && s.hasTasksToPlace() {
			urgentFiller = false
			c.holdCPU(s)
		}
	}
}

// serveStep lets the step's tasks that stand by go on, and starts those that wait, unless no worker was found for one a moment
// ago.
func (c *Core) serveStep(s *step, now time.Time) {
	c.resumeStandby(s, now)
	if s.waiting > 0 && !now.Before(s.backoff) {
		c.placeStep(s, now)
	}
}

// candidates returns the opened steps whose tasks may be placed now, the most urgent first, and removes steps
// without waiting tasks from the list.
func (c *Core) candidates(now time.Time) []candidate {
	candidates := make([]candidate, 0, len(c.waitingSteps))
	kept := c.waitingSteps[:0]
	for _, s := range c.waitingSteps {
		if !s.hasTasksToPlace() || s.job.end != "" || s.job.cancelled {
			s.inWaitingSteps = false
			continue
		}
		kept = append(kept, s)
		if (s.standby > 0 || now.After(s.backoff)) && !c.takeovers.blocksStarts(s.job) {
			candidates = append(candidates, c.candidate(s, now))
		}
	}
	c.waitingSteps = kept
	assignTurns(candidates)
	slices.SortFunc(candidates, candidate.before)
	return candidates
}

// candidate returns the step with its urgency now.
func (c *Core) candidate(s *step, now time.Time) candidate {
	return candidate{s, c.urgency(s, c.timeOfDay(now))}
}

// before compares candidates, the most urgent first.
func (a candidate) before(b candidate) int {
	if order := a.compare(b.urgency); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(a.step.job.spec.ID, b.step.job.spec.ID), cmp.Compare(a.step.flat(), b.step.flat()))
}

// scanBackoff is how long a step for whose task no worker was found waits before all workers are examined again.
// Without it, most of the processor time would go into these scans when many steps wait.
const scanBackoff = 20 * time.Millisecond

// placeStep starts the step's waiting tasks. The tasks are all alike, so the workers are scored once; only a
// worker that got a task is scored again.
func (c *Core) placeStep(s *step, now time.Time) {
	if c.holdsForOffer(s, now) {
		s.recordNoPlace(now)
		return
	}
	c.placeSuspects(s, now)
	c.placeAtLateStarts(s, now)
	places := c.findPlaces(s, now)
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.isOrdinary() {
			continue
		}
		if _, only := c.awaitsLateStartWorker(t, now); only {
			c.noteRoom(s, now)
			continue
		}
		if c.startsLeft <= 0 {
			return
		}
		if len(places) == 0 {
			places = c.placeAfterWait(t, now)
		}
		if len(places) == 0 {
			s.recordNoPlace(now)
			c.logCordonWait(s, now)
			return
		}
		if s.spec.LongRunning && !c.leavesCapacity(t, now) {
			beginWait(&s.roomSince, true, now)
			s.backoff = now.Add(scanBackoff) // a worker could take the task, so the step is not stuck
			continue                         // other tasks of the step may have waited longer
		}
		s.stuckSince = time.Time{}
		c.startTask(t, places[0].worker, now)
		if s.spec.SameRack {
			places = c.findPlaces(s, now) // the first task makes its rack the preferred one
			continue
		}
		c.rescoreFirst(&places, s, now)
	}
}

// isOrdinary reports whether the task waits, is no suspect, and may start as far as its losses are concerned.
func (t *task) isOrdinary() bool {
	return t.state == taskWaiting && !t.suspected() && t.lossesAreStored()
}

// recordNoPlace records that no worker can take a waiting task of the step.
func (s *step) recordNoPlace(now time.Time) {
	s.backoff = now.Add(scanBackoff)
	if s.stuckSince.IsZero() {
		s.stuckSince = now
	}
}

// startTask assigns a task to a worker and orders its run, which works from the beginning.
func (c *Core) startTask(t *task, w *worker, now time.Time) {
	if t.step.spec.Filler && !c.loadsAllow(w, t.step) {
		w.loadsIgnoredAt = now
	}
	c.orderStart(t, w, now)
}

// orderStart assigns a task to a worker and orders its run.
func (c *Core) orderStart(t *task, w *worker, now time.Time) {
	c.beginRun(t, now)
	if w.info.ID != t.lateStart.worker {
		t.leaveLateStartWorker()
	}
	if t.step.spec.Filler {
		w.fillersChangedAt = now
	}
	w.add(t)
	c.recordChange(w)
	c.takeShortCapacity(t)
	c.startsLeft--
	c.counts.Starts++
	c.addOverdueCredit()
	if t.checkpoint != nil {
		c.counts.StartsFromText++
	}
	c.recordFirstStart(t.step.job, now)
	c.logStart(t, w, now)
	c.orders = append(c.orders, StartOrder{Worker: w.info, Call: jobs.StartCall{
		Task: t.id(), Run: t.run, Fence: w.fence, Payload: t.step.job.spec.Payload,
		Until: c.startDeadline(w, now), Checkpoint: t.checkpointText(),
	}})
}

// logStart logs a start with the figures that decided it, and the checkpoint that the run resumes from.
func (c *Core) logStart(t *task, w *worker, now time.Time) {
	c.config.Logger.Info("run starts", t.appendCheckpointFields([]zap.Field{
		zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int64("job_age_ms", int64(c.timeOfDay(now)-t.step.job.accepted)),
		zap.Int64("report_age_ms", now.Sub(w.reportedAt).Milliseconds()), zap.Float64("load", w.maxLoad),
		zap.Int("lost_before", len(t.suspicion.Lost)),
	}, now)...)
}

// beginRun gives a waiting task a new run whose start has no answer yet.
func (c *Core) beginRun(t *task, now time.Time) {
	t.step.waiting--
	t.step.job.running++
	t.step.job.uncertain, t.step.job.silentSince = false, time.Time{}
	c.awaitAnswer(t)
	t.starts++
	t.trialWait = trialWait{}
	t.orderedHere = true
	t.run = c.nextRun(t)
	t.state = taskStarting
	t.answeredAt, t.sampledAt = time.Time{}, time.Time{}
	t.orderedAt, t.startSentAt, t.startedAt, t.pacedAt = now, now, now, now
	t.startRepeated, t.startUnanswered, t.fromPreviousIncarnation, t.paceUncertain = false, true, false, false
	t.confirmed = false
	t.pace = jobs.FullSpeed
	t.loadOffset, t.shownLoad, t.averageLoad, t.figure = 0, 0, 0, 0
}

// nextRun returns a run id above those of all runs of the task by this and by previous owners.
func (c *Core) nextRun(t *task) jobs.RunID {
	return max(t.run+1, c.baseRun(t.step.job)+jobs.RunID(t.starts))
}

// baseRun returns a number below all run ids that this owner assigns to the job's tasks and above those of
// previous owners. The run ids assigned by other cells are added rather than merely exceeded: if they were
// above this cell's epochs, successive owners would start from the same number, and neither a worker nor an
// owner could tell which run is newer.
func (c *Core) baseRun(j *job) jobs.RunID {
	return j.highestRun + jobs.RunID(c.config.Epoch)*runsPerEpoch
}
