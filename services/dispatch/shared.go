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

// A worker's loss has one cause, but speaks against all tasks that ran there. So losses that several tasks
// share are judged together:
//
//   - a task is not given up on shared losses, nor started again, while another task that shares one may
//     still turn out to be the cause: it is to be tried, on trial, or on a worker that is silent;
//   - where several wait for each other, the one that has lost the fewest runs is tried first;
//   - once a task is given up, what it has caused speaks no more against those beside it.

// maxSharedLossWait is for how long a task waits for what becomes of others: two workers that go one after the
// other, and come back.
const maxSharedLossWait = 8 * time.Second

// verdict is what is known of a task that has lost runs.
type verdict uint8

const (
	verdictOpen      verdict = iota // too little is known
	verdictContested                // enough, unless another task was the cause of a loss that both share
	verdictCrashes                  // it ends its workers
)

// noteLosses remembers a task that has lost runs.
func (c *Core) noteLosses(t *task) {
	if len(t.suspicion.Lost) > 0 {
		c.withLosses[t] = struct{}{}
	}
}

// forgetLosses forgets those that can't end workers any more.
func (c *Core) forgetLosses() {
	maps.DeleteFunc(c.withLosses, func(t *task, _ struct{}) bool { return !t.mayBeCause() })
}

// queueVerdict lets a task be judged once all that its worker's loss says has been counted.
func (c *Core) queueVerdict(t *task) { c.toJudge = append(c.toJudge, t) }

// judge gives up the tasks against which enough has been counted.
func (c *Core) judge(now time.Time) {
	tasks := c.toJudge
	c.toJudge = nil
	for _, t := range tasks {
		if !t.isOver() && c.verdictOn(t, now) == verdictCrashes {
			c.abandonJobOf(t)
		}
	}
}

// verdictOn judges a task by its own losses, and by those that it shares if no other task may be their cause.
func (c *Core) verdictOn(t *task, now time.Time) verdict {
	if !t.crashesWorkers() {
		return verdictOpen
	}
	if now.Before(t.weighedAt) {
		return verdictContested
	}
	others := c.undecidedSharers(t, now)
	if len(others) == 0 || t.crashesWithout(others) {
		return verdictCrashes
	}
	waited := t.state == taskWaiting && !t.waits.IsZero() && now.Sub(t.waits) >= maxSharedLossWait
	switch {
	case t.losses() < maxLosses && (waited || t.isTriedBefore(others)):
		return verdictOpen // its next run tells
	case waited:
		return verdictCrashes
	default:
		return verdictContested
	}
}

// undecidedSharers are the other tasks that share a loss with the task, of which it is not known yet whether
// they end their workers.
func (c *Core) undecidedSharers(t *task, now time.Time) []*task {
	var sharers []*task
	for other := range c.withLosses {
		if other.step.job != t.step.job && other.mayBeCause() && t.sharesLoss(other) && !other.hasOutlivedTrial(now) {
			sharers = append(sharers, other)
		}
	}
	return sharers
}

// mayBeCause tells whether the task may still end workers, or have to be told from those that do.
func (t *task) mayBeCause() bool {
	return len(t.suspicion.Lost) > 0 && t.state != taskElsewhere && !t.isOver()
}

// isOver tells whether the task is done, or its job has ended or is cancelled.
func (t *task) isOver() bool {
	j := t.step.job
	return t.state == taskDone || j.end != "" || j.cancelled
}

// hasOutlivedTrial tells whether the task's run goes on for longer than those that were lost, on a worker that is
// there.
func (t *task) hasOutlivedTrial(now time.Time) bool {
	return t.state == taskRunning && t.worker.failed.IsZero() && now.Sub(t.began) >= t.trialTime()
}

// sharesLoss tells whether both have lost a run in the same loss of a worker.
func (t *task) sharesLoss(other *task) bool {
	return slices.ContainsFunc(t.suspicion.Lost, func(lost jobs.LostRun) bool { return other.lossIndex(lost.With) >= 0 })
}

// lossIndex is the index of the task's part in the loss of a worker; below zero: it has none.
func (t *task) lossIndex(with jobs.WorkerLoss) int {
	if with == 0 {
		return -1
	}
	return slices.IndexFunc(t.suspicion.Lost, func(lost jobs.LostRun) bool { return lost.With == with })
}

// crashesWithout tells whether the task's losses are enough without those that it shares with others.
func (t *task) crashesWithout(others []*task) bool {
	weight := 0.0
	for _, lost := range t.suspicion.Lost {
		if !slices.ContainsFunc(others, func(other *task) bool { return other.lossIndex(lost.With) >= 0 }) {
			weight += lost.Weight
		}
	}
	return weight >= t.abandonWeight()
}

// isTriedBefore tells whether the task is tried before those of the others that wait too.
func (t *task) isTriedBefore(others []*task) bool {
	return !slices.ContainsFunc(others, func(other *task) bool { return other.compareTrialOrder(t) < 0 })
}

// compareTrialOrder compares which of two tasks is tried first: the one that has lost fewer runs.
func (t *task) compareTrialOrder(other *task) int {
	return cmp.Or(cmp.Compare(t.losses(), other.losses()), cmp.Compare(t.id().String(), other.id().String()))
}

// explainSharedLosses takes what a task has caused off those that have shared its losses: with it as a cause that is
// known, a loss says of another task how much likelier that one was to cause it.
func (c *Core) explainSharedLosses(t *task) {
	for other := range c.withLosses {
		if other.step.job == t.step.job || !other.mayBeCause() {
			continue
		}
		for _, lost := range t.suspicion.Lost {
			c.explainLoss(other, lost)
		}
	}
}

// explainLoss weighs a task's share of a loss anew whose cause is known.
func (c *Core) explainLoss(t *task, cause jobs.LostRun) {
	at := t.lossIndex(cause.With)
	if at < 0 {
		return
	}
	lost := t.suspicion.Lost[at]
	left := roundToHundredths(-math.Log(math.Exp(-lost.Doubt) + math.Exp(cause.Doubt-lost.Doubt)))
	t.suspicion.Lost = withLoweredEvidence(t.suspicion.Lost, at, left, left)
	c.changeSoon(t.step.job)
	c.config.Logger.Info("loss is explained by another task", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(lost.Run)),
		zap.Float64("weight", t.suspicion.Lost[at].Weight))
}

// withLoweredEvidence gives losses of which one says no more than this.
func withLoweredEvidence(losses []jobs.LostRun, at int, doubt, weight float64) []jobs.LostRun {
	losses = slices.Clone(losses)
	losses[at].Doubt, losses[at].Weight = min(losses[at].Doubt, doubt), min(losses[at].Weight, weight)
	return losses
}
