// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// A suspect starts on the worker with the fewest tasks, where nothing has just been started, and nothing but suspects
// starts there until the suspect has run for longer than before. So a loss is evidence against the suspect alone, and
// costs the least work. A suspect that crashes nothing does not wait long for this: where free capacity is short,
// suspects with a single loss are tried together, and so are weak suspects, whose losses chance explains. Another
// suspect with several losses waits until it has a worker to itself, because a loss beside others would be no evidence,
// and the task may lose few more runs. It spares workers with a suspect of several losses that has outlived its trial:
// where many tasks are tried, one that crashes nothing would be lost with each of them. It does so for a short time
// only, because such a suspect is cleared only maxTimeToCrash after its start, and there may be one on each worker.

const (
	// minTrialTime is how long a suspect has its worker to itself at least: the time of several calls by the owner,
	// which tell whether the worker still answers.
	minTrialTime = 300 * time.Millisecond
	// maxTrialTime bounds the time of a trial: other tasks of the same size wait for the capacity meanwhile.
	maxTrialTime = 3 * time.Second
	// trialReservation is how long nothing else starts on a worker that a suspect waits for; it is renewed each time
	// the suspect is considered, about every scanBackoff.
	trialReservation = 100 * time.Millisecond
	// maxApartWait is how long a suspect waits so as not to be tried beside a task that was lost with it: as long as
	// the shortest trial. Most lost tasks did not cause the loss, and long-running tasks must run again soon.
	maxApartWait = minTrialTime
	// trialReportWait is how long a report may wait for an end while a suspect is on trial.
	trialReportWait = 100 * time.Millisecond
)

// trialTime is how long a suspect's run has its worker to itself.
func (t *task) trialTime() time.Duration {
	longest := time.Duration(0)
	for _, lost := range t.suspicion.Lost {
		ran := lost.RanAtMost.Duration()
		if ran == 0 {
			ran = assumedUnobservedRuntime
		}
		longest = max(longest, ran)
	}
	return min(max(minTrialTime, 2*longest), maxTrialTime)
}

// placeSuspects assigns workers to the step's suspects. If no worker takes a suspect, none takes another one that is as
// weak, has lost several runs or one as well, and has waited for a worker as long as it may, or not, as well. All of them
// wait from then on.
func (c *Core) placeSuspects(s *step, now time.Time) {
	type kind struct{ weak, severalLosses, hasWaited bool }
	var noWorker []kind
	hasRoom := false // once noWorker holds a kind
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || !t.suspected() || c.startsLeft <= 0 || !t.lossesAreStored() {
			continue
		}
		switch c.verdictOn(t, now) {
		case verdictCrashes: // with losses that previous owners or other cells have counted
			c.abandonJobOf(t)
			return
		case verdictContested:
			c.recordContested(t, now)
			continue
		}
		k := kind{weak: t.isWeakSuspect(), severalLosses: t.losses() >= minLosses, hasWaited: t.hasWaitedForWorker(now)}
		if slices.Contains(noWorker, k) {
			c.recordNoWorker(t, hasRoom, now)
			continue
		}
		workers := c.sortedWorkers
		bound, only := c.awaitsLateStartWorker(t, now)
		if only {
			workers = []*worker{bound}
		}
		w := c.trialWorker(workers, t, now)
		if w == nil && only {
			c.noteRoom(s, now)
			s.backoff = now.Add(scanBackoff)
			continue
		}
		if w == nil {
			s.recordNoPlace(now)
			c.noteRoom(s, now)
			hasRoom = c.hasRoom(s)
			c.recordNoWorker(t, hasRoom, now)
			noWorker = append(noWorker, k)
			continue
		}
		if s.spec.LongRunning && !c.leavesCapacity(t, now) {
			beginWait(&s.roomSince, true, now)
			continue
		}
		s.stuckSince = time.Time{}
		c.startTrial(t, w, now)
	}
}

// lossesAreStored reports whether all counted losses of the task are stored. The task does not start before: if its
// owner is lost, so is what only that owner knows. So at most one run of each task is unknown to a successor at any
// time, and the successor counts that run as unobserved.
func (t *task) lossesAreStored() bool { return t.step.job.storedVersion >= t.lossVersion }

// trialWorker returns the one of the given workers for a suspect, or nil when there is none now. Where something has just
// been started on each of them, one is reserved until it is ready.
func (c *Core) trialWorker(workers []*worker, t *task, now time.Time) *worker {
	weak := t.isWeakSuspect()
	var ready, busy, shared, spared, avoided *worker
	for _, w := range workers {
		if !c.mayTakeSuspect(w, t.step, now) || w.isReservedForOther(t, now) || w.hasUndecidedSharer(t, now) {
			continue
		}
		losses := w.maxSuspectLosses()
		switch {
		case now.Before(w.avoidUntil):
			avoided = withFewerTasks(avoided, w)
		case losses > 0 && weak && w.hasOnlyYoungWeakTrials(now):
			shared = withFewerTasks(shared, w)
		case losses >= minLosses && w.trials > 0: // do not disturb the trial of a suspect with several losses
		case losses >= minLosses:
			spared = withFewerTasks(spared, w)
		case losses > 0:
			shared = withFewerTasks(shared, w)
		case w.hasYoungRun(now):
			busy = withFewerTasks(busy, w)
		default:
			ready = withFewerTasks(ready, w)
		}
	}
	if !t.hasWaitedForWorker(now) {
		spared = nil
	}
	switch {
	case ready != nil:
		return ready
	case (weak || t.losses() < minLosses) && cmp.Or(shared, busy) != nil:
		return cmp.Or(shared, busy)
	case shared.isPastTrials(now):
		return shared
	case spared.isPastTrials(now):
		return spared
	case cmp.Or(busy, shared, spared) == nil && avoided.isPastTrials(now):
		return avoided
	}
	if t.hasWaitedBesideRoom(now) {
		return c.workerBesideTrials(workers, t.step, now)
	}
	if next := cmp.Or(busy, shared, spared); next != nil {
		next.reserveForTrial(t, now)
	}
	return nil
}

// hasWaitedForWorker reports whether the suspect has waited for a worker without other suspects for as long as it may.
func (t *task) hasWaitedForWorker(now time.Time) bool {
	return lasted(t.trialWait.noWorkerSince, now, maxTrialWait)
}

// isWeakSuspect reports whether chance explains the losses of a suspect: it is suspected for their number alone.
func (t *task) isWeakSuspect() bool { return t.suspicion.EvidenceVsChance() < suspectEvidence }

// hasOnlyYoungWeakTrials reports whether no suspects but weak ones are on trial on the worker, and their trials have begun
// at about the same time: if others joined later and later, the worker would take nothing else.
func (w *worker) hasOnlyYoungWeakTrials(now time.Time) bool {
	strongTrial := func(t *task) bool { return t.onTrial && !t.isWeakSuspect() }
	young := w.trials == 0 || now.Sub(w.trialsSince) < minTrialTime
	return young && !slices.ContainsFunc(w.tasks, strongTrial)
}

// isPastTrials reports whether all suspects on the worker have outlived their trials, and nothing has just been started
// there. It reports false for nil.
func (w *worker) isPastTrials(now time.Time) bool {
	return w != nil && w.trials == 0 && !w.hasYoungRun(now)
}

// hasUndecidedSharer reports whether a task on the worker was lost together with the suspect before and has not
// outlived its own trial yet: the loss of both once more would give no further evidence.
func (w *worker) hasUndecidedSharer(t *task, now time.Time) bool {
	if now.Sub(t.waitingSince) >= maxApartWait {
		return false
	}
	return slices.ContainsFunc(w.tasks, func(other *task) bool { return t.sharesLoss(other) && !other.hasOutlivedTrial(now) })
}

// reserveForTrial reserves a worker for a suspect for a short time.
func (w *worker) reserveForTrial(t *task, now time.Time) {
	w.reservedUntil = now.Add(trialReservation)
	w.reservedFor = t
}

// isReservedForOther reports whether the worker is reserved for another suspect. The suspect that has waited there
// goes first; otherwise suspects with one loss would always go before those with several.
func (w *worker) isReservedForOther(t *task, now time.Time) bool {
	return w.reservedFor != t && !now.After(w.reservedUntil)
}

// withFewerTasks returns the worker with fewer tasks; best may be nil.
func withFewerTasks(best, w *worker) *worker {
	if best == nil || len(w.tasks) < len(best.tasks) {
		return w
	}
	return best
}

// maxSuspectLosses is the highest number of losses of a suspect on the worker, whether the suspect is on trial or
// has outlived its trial; 0 when there is none.
func (w *worker) maxSuspectLosses() int {
	most := 0
	for _, t := range w.tasks {
		if t.suspected() {
			most = max(most, len(t.suspicion.Lost))
		}
	}
	return most
}

// hasYoungRun reports whether something has just been started on the worker.
func (w *worker) hasYoungRun(now time.Time) bool {
	for _, t := range w.tasks {
		if t.state == taskStarting || now.Sub(t.startedAt) < minTrialTime {
			return true
		}
	}
	return false
}

// startTrial starts a suspect, and has the run stored as unresolved for a successor.
func (c *Core) startTrial(t *task, w *worker, now time.Time) {
	c.startTask(t, w, now)
	w.beginTrial(t)
	c.counts.Trials++
	c.storeUnresolvedTrial(t, now)
	c.config.Logger.Info("suspect starts on trial", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int("beside", len(w.tasks)-1), zap.Int("lost_before", len(t.suspicion.Lost)),
		zap.Float64("doubt", t.suspicion.EvidenceVsChance()), zap.Float64("weight", t.suspicion.EvidenceVsAll()), zap.Duration("for", t.trialTime()))
}

// beginTrial keeps other tasks from starting beside a suspect.
func (w *worker) beginTrial(t *task) {
	if w.trials == 0 {
		w.trialsSince = t.startedAt
	}
	t.onTrial = true
	w.trials++
}

// endTrial lets other tasks start on the worker again.
func (w *worker) endTrial(t *task) {
	if t.onTrial {
		t.onTrial = false
		w.trials--
	}
}
