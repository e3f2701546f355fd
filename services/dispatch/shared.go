// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// The loss of a worker has one cause, but is evidence against every task that ran there. So losses that several
// tasks share are judged together:
//
//   - A task is neither abandoned on shared losses nor started again while another task that shares such a loss may
//     still turn out to be the cause: the other task is yet to be tried, on trial, or on a silent worker.
//   - Where several tasks wait for each other, the one with the fewest lost runs is tried first. One of them is always
//     tried, whatever its number of losses: otherwise tasks that may have lost as many runs as are allowed would wait for
//     each other without end.
//   - No task waits for longer than maxLastTrialWait, counted by its present owner, whatever the others do.
//   - Once a task is abandoned, the losses that it caused no longer count against its neighbours.

// maxLastTrialWait is how long a task that may have lost maxLosses runs waits for the outcome of others: the time in which
// two workers are lost one after the other and come back. Other tasks wait for maxTrialWait.
const maxLastTrialWait = 8 * time.Second

// verdict is what is concluded about a task that has lost runs.
type verdict uint8

const (
	verdictOpen      verdict = iota // too little evidence
	verdictContested                // enough evidence, unless another task was the cause of a loss that both share
	verdictCrashes                  // the task crashes its workers
)

// trackLosses adds a task that has lost runs to tasksWithLosses.
func (c *Core) trackLosses(t *task) {
	if len(t.suspicion.Lost) > 0 {
		c.tasksWithLosses[t] = struct{}{}
	}
}

// pruneLosses drops the tasks that can no longer crash workers from tasksWithLosses.
func (c *Core) pruneLosses() {
	maps.DeleteFunc(c.tasksWithLosses, func(t *task, _ struct{}) bool { return !t.mayBeCause() })
}

// queueVerdict lets a task be judged once all evidence of its worker's loss has been counted.
func (c *Core) queueVerdict(t *task) { c.tasksToJudge = append(c.tasksToJudge, t) }

// judge abandons the queued tasks whose evidence is sufficient.
func (c *Core) judge(now time.Time) {
	tasks := c.tasksToJudge
	c.tasksToJudge = nil
	for _, t := range tasks {
		if !t.isOver() && c.verdictOn(t, now) == verdictCrashes {
			c.abandonJobOf(t)
		}
	}
}

// verdictOn judges a task by its own losses, and also by its shared losses if no other task may be their cause.
func (c *Core) verdictOn(t *task, now time.Time) verdict {
	if !t.crashesWorkers() {
		return verdictOpen
	}
	if now.Before(t.lossFinalAt) {
		return verdictContested
	}
	others := c.undecidedSharers(t, now)
	switch {
	case len(others) == 0 || t.crashesWithout(others):
		return verdictCrashes
	case c.isTriedBefore(t, others) || t.hasWaitedForOthers(now) || t.waitsInVain(others):
		return verdictOpen // the next run decides
	default:
		return verdictContested
	}
}

// hasWaitedForOthers reports whether the task has waited for the outcome of other tasks for as long as it may.
func (t *task) hasWaitedForOthers(now time.Time) bool {
	if t.losses() >= maxLosses {
		return lasted(t.trialWait.contestedSince, now, maxLastTrialWait)
	}
	return lasted(t.trialWait.contestedSince, now, maxTrialWait) || t.hasWaitedBesideRoom(now)
}

// waitsInVain reports whether a task that may have lost maxLosses runs can't be abandoned any more before it has waited for as
// long as it may: the trials of others last longer than that, and the losses that it does not share with them do not
// suffice. If one of these others crashes its worker meanwhile, that speaks for the task.
func (t *task) waitsInVain(others []*task) bool {
	if t.losses() < maxLosses || t.trialWait.contestedSince.IsZero() {
		return false
	}
	until := t.trialWait.contestedSince.Add(maxLastTrialWait)
	var undecided []*task
	for _, other := range others {
		started := other.state == taskStarting || other.state == taskRunning
		if started && other.startedAt.Add(other.trialTime()).After(until) {
			undecided = append(undecided, other)
		}
	}
	return len(undecided) > 0 && !t.crashesWithout(undecided)
}

// undecidedSharers returns the other tasks that share a loss with the task and that may or may not crash their
// workers.
func (c *Core) undecidedSharers(t *task, now time.Time) []*task {
	var sharers []*task
	for other := range c.tasksWithLosses {
		if other.step.job != t.step.job && other.mayBeCause() && t.sharesLoss(other) && !other.hasOutlivedTrial(now) {
			sharers = append(sharers, other)
		}
	}
	return sharers
}

// mayBeCause reports whether the task may still crash workers, or has to be told from tasks that do.
func (t *task) mayBeCause() bool {
	return len(t.suspicion.Lost) > 0 && t.state != taskElsewhere && !t.isOver()
}

// isOver reports whether the task is done, or its job has ended or is cancelled.
func (t *task) isOver() bool {
	j := t.step.job
	return t.state == taskDone || j.end != "" || j.cancelled
}

// hasOutlivedTrial reports whether the task runs on a worker that answers, and has done so for longer than the runs
// that were lost.
func (t *task) hasOutlivedTrial(now time.Time) bool {
	return t.state == taskRunning && t.worker.unansweredSince.IsZero() && now.Sub(t.startedAt) >= t.trialTime()
}

// sharesLoss reports whether both tasks have lost a run in the same loss of a worker.
func (t *task) sharesLoss(other *task) bool {
	return slices.ContainsFunc(t.suspicion.Lost, func(lost jobs.LostRun) bool { return other.lossIndex(lost.LossID) >= 0 })
}

// lossIndex returns the index of the task's run that was lost with the given loss of a worker, or -1.
func (t *task) lossIndex(with jobs.WorkerLossID) int {
	if with == 0 {
		return -1
	}
	return slices.IndexFunc(t.suspicion.Lost, func(lost jobs.LostRun) bool { return lost.LossID == with })
}

// crashesWithout reports whether the task's losses suffice without those that it shares with the others.
func (t *task) crashesWithout(others []*task) bool {
	evidence := 0.0
	for _, lost := range t.suspicion.Lost {
		if !slices.ContainsFunc(others, func(other *task) bool { return other.lossIndex(lost.LossID) >= 0 }) {
			evidence += lost.EvidenceVsAll
		}
	}
	return evidence >= t.abandonThreshold()
}

// isTriedBefore reports whether the task is tried before the others. A task that may have lost maxLosses runs waits for
// the end of all trials of the others that have begun. No task waits for one for which there is no room.
func (c *Core) isTriedBefore(t *task, others []*task) bool {
	return !slices.ContainsFunc(others, func(other *task) bool {
		if other.state != taskWaiting {
			return t.losses() >= maxLosses || other.compareTrialOrder(t) < 0
		}
		return other.compareTrialOrder(t) < 0 && c.hasRoom(other.step)
	})
}

// compareTrialOrder compares two tasks by the order of their trials: the one that has lost fewer runs comes first. Of
// tasks that may have lost maxLosses runs it is the one with less evidence against it, because one more start is allowed
// only to a task that does not crash its workers.
func (t *task) compareTrialOrder(other *task) int {
	order := cmp.Compare(t.losses(), other.losses())
	if order == 0 && t.losses() >= maxLosses {
		order = cmp.Compare(t.suspicion.EvidenceVsAll(), other.suspicion.EvidenceVsAll())
	}
	return cmp.Or(order, cmp.Compare(t.id().String(), other.id().String()))
}

// explainSharedLosses lowers the evidence of the losses that a task has caused for the tasks that share them: with a
// known cause, the evidence against another task is how much likelier that task was to cause the loss.
func (c *Core) explainSharedLosses(t *task) {
	for other := range c.tasksWithLosses {
		if other.step.job == t.step.job || !other.mayBeCause() {
			continue
		}
		for _, lost := range t.suspicion.Lost {
			c.explainLoss(other, lost)
		}
	}
}

// explainLoss lowers the evidence of a task's share of a loss whose cause is known.
func (c *Core) explainLoss(t *task, cause jobs.LostRun) {
	at := t.lossIndex(cause.LossID)
	if at < 0 {
		return
	}
	lost := t.suspicion.Lost[at]
	left := roundToHundredths(-math.Log(math.Exp(-lost.EvidenceVsChance) + math.Exp(cause.EvidenceVsChance-lost.EvidenceVsChance)))
	t.suspicion.Lost = withLoweredEvidence(t.suspicion.Lost, at, left, left)
	c.markTaskChangedUrgently(t)
	c.config.Logger.Info("loss is explained by another task", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(lost.Run)),
		zap.Float64("weight", t.suspicion.Lost[at].EvidenceVsAll))
}

// withLoweredEvidence returns a copy of the losses, in which the evidence of the loss at the index is at most the given
// evidence.
func withLoweredEvidence(losses []jobs.LostRun, at int, vsChance, vsAll float64) []jobs.LostRun {
	losses = slices.Clone(losses)
	losses[at].EvidenceVsChance, losses[at].EvidenceVsAll = min(losses[at].EvidenceVsChance, vsChance), min(losses[at].EvidenceVsAll, vsAll)
	return losses
}
