// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// A task may crash the process of every worker that starts it, which ends all other runs there. Runs that are lost with
// their workers are therefore counted, as failed runs are, but a loss proves little: most tasks on a lost
// worker have nothing to do with the loss, and workers are lost for other reasons. So:
//
//   - Each loss is weighed (evidence.go): a task that had just been started, with no other recent start on the
//     worker, is likely to be the cause; a task that had run for long is not.
//   - A task with evidence against it starts where nothing else starts meanwhile (trial.go), so that the next loss
//     shows whether the task was the cause, and costs other tasks least.
//   - A task is abandoned, and its job fails, once the task is as good as certain to crash workers. A run that
//     goes on for long enough clears the task.
//
// Suspicions outlive the owner: see suspicion_store.go.

// abandonThresholds are the sums of EvidenceVsAll at which a task is abandoned, by the number of its losses, including
// the losses that no owner observed. The evidence is a logarithm of odds: a task that crashes nothing reaches x with a
// probability of at most e to the minus x. Users allow five starts of a task that crashes every worker, so less
// evidence is enough once five runs may have been lost. Two losses need more evidence, because they coincide with other
// events more easily than independent losses would: a lost task starts again at once.
var abandonThresholds = [...]float64{2: 12, 3: 10, 4: 10, maxLosses: 5}

// maxLosses is how many runs a task may lose: the users' bound on its starts.
const maxLosses = 5

// minLosses is how many workers a task must have lost before it is abandoned: the users' condition for its job to
// fail for that reason.
const minLosses = 2

// suspectEvidence is the sum of EvidenceVsChance from which a task is suspected: with nothing else on the worker, the
// task would be as likely as not to be the cause. Where tasks of a step start together and are lost together, there is
// little evidence against each task, but all of them have to be tried.
var suspectEvidence = math.Log(1 / crasherPrior)

// suspectLosses is the number of losses that makes a task a suspect, whatever their evidence: several tasks that
// crash workers and start at the same moments are lost at the same moments, as if to a common cause.
const suspectLosses = 2

// suspected reports whether the task is suspected of crashing its workers.
func (t *task) suspected() bool {
	if len(t.suspicion.Lost) == 0 {
		return false
	}
	return t.losses() >= suspectLosses || t.suspicion.EvidenceVsChance() >= suspectEvidence
}

// losses is how many runs of the task may have been lost with their workers.
func (t *task) losses() int { return t.observedLosses() + t.unobservedLosses() }

// observedLosses is how many of the task's losses an owner observed and the task may have caused: losses with more
// evidence against the task than for chance, and losses of young runs, however little their evidence.
func (t *task) observedLosses() int {
	observed := 0
	for _, lost := range t.suspicion.Lost {
		if lost.EvidenceVsChance > 0 || lost.RanAtMost.Duration() < youngRunLimit {
			observed++
		}
	}
	return observed
}

// unobservedLosses is how many runs of the task may have been lost without any owner observing the loss.
func (t *task) unobservedLosses() int { return t.suspicion.Unobserved + t.unobservedAtTakeover }

// countWorkerLoss counts the runs that were lost with a worker against their tasks, and logs them. The loss of a
// draining worker at the time that it had announced is no evidence against its tasks, but may be a crash all the same.
func (c *Core) countWorkerLoss(w *worker, now time.Time) {
	if w.leftAsAnnounced(now) {
		c.countSilentRuns(w, now)
	} else {
		c.weighLoss(w, now)
	}
	for _, t := range c.unresolvedRuns[w.info.ID] {
		c.countUnresolvedRun(t)
	}
	delete(c.unresolvedRuns, w.info.ID)
}

// weighLoss computes the evidence of a loss for all tasks on the worker before it is counted for any of them. The
// loss of a worker without tasks tells most about the rate of losses by chance.
func (c *Core) weighLoss(w *worker, now time.Time) {
	c.recordWorkerLoss(w, now)
	if len(w.tasks) == 0 {
		return
	}
	c.counts.WorkersLost++
	lost := lostWorkerOf(w, now)
	history := c.lossHistoryOf(lost, now)
	rates := c.crashRatesOn(w, now)
	contexts := map[*task]lossContext{}
	recent := recentLoss{lostWorker: lost}
	for _, t := range w.tasks {
		if ran, known := c.runtimeAtLoss(w, t, now); known && ran < maxTimeToCrash {
			e := lossContextOf(w, t, ran, history, rates)
			contexts[t] = e
			recent.runs = append(recent.runs, weighedRun{task: t, run: t.run, lossContext: e})
		}
	}
	c.scheduleReevaluation(recent, now)
	for _, t := range w.tasks {
		e, weighed := contexts[t]
		if !weighed {
			c.logLostRun(w, t, jobs.LostRun{}, history.chance)
			if c.startUnobserved(w, t, now) {
				c.countUnobservedRun(t, t.run)
			}
			continue
		}
		loss := e.lostRun(w, t)
		c.logLostRun(w, t, loss, e.chanceRate)
		if loss.EvidenceVsChance > 0 || len(t.suspicion.Lost) > 0 {
			c.countLoss(t, loss)
		} else {
			t.chanceLosses = append(t.chanceLosses, loss)
		}
	}
}

// logLostRun logs a run that was lost with its worker, and the evidence against its task.
func (c *Core) logLostRun(w *worker, t *task, loss jobs.LostRun, chance float64) {
	c.config.Logger.Info("run is lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int64("ran_ms", int64(loss.RanAtMost)), zap.Int("beside", len(w.tasks)-1),
		zap.Float64("chance", chance), zap.Float64("doubt", loss.EvidenceVsChance), zap.Float64("weight", loss.EvidenceVsAll),
		zap.Int("lost_before", len(t.suspicion.Lost)))
}

// countLoss counts a lost run against its task, and lets the task be judged.
func (c *Core) countLoss(t *task, loss jobs.LostRun) {
	if t.suspicion.HasRun(loss.Run) || t.isOver() {
		return
	}
	t.suspicion.Lost = append(append(t.suspicion.Lost, t.chanceLosses...), loss)
	t.chanceLosses = nil
	c.trackLosses(t)
	c.storeBeforeNextStart(t)
	c.queueVerdict(t)
}

// abandonJobOf fails the job of a task that crashes its workers.
func (c *Core) abandonJobOf(t *task) {
	j := t.step.job
	c.explainSharedLosses(t)
	c.counts.GivenUp++
	c.config.Logger.Warn("job failed: one of its tasks repeatedly crashed its workers", zap.String("job", string(j.spec.ID)),
		zap.Stringer("task", t.id()), zap.Int("workers_lost", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()), zap.Float64("weight", t.suspicion.EvidenceVsAll()))
	c.endJob(j, jobs.StateFailed)
	c.stopJob(j, "its job has failed")
}

// storeBeforeNextStart has the losses counted against a task stored before the task starts again, together with the
// epoch up to which takeovers are counted: a successor would count these takeovers again, also where the loss was
// observed.
func (c *Core) storeBeforeNextStart(t *task) {
	t.suspicion.Unobserved += t.unobservedAtTakeover
	t.suspicion.CountedEpoch, t.unobservedAtTakeover = c.config.Epoch, 0
	c.markTaskChangedUrgently(t)
	j := t.step.job
	t.lossVersion, j.lossVersion = j.version, j.version
}

// crashesWorkers reports whether the task is as good as certain to crash its workers.
func (t *task) crashesWorkers() bool {
	return t.observedLosses() >= minLosses && t.suspicion.EvidenceVsAll() >= t.abandonThreshold()
}

// abandonThreshold is the sum of EvidenceVsAll at which the task is abandoned.
func (t *task) abandonThreshold() float64 { return abandonThresholds[min(t.losses(), maxLosses)] }

// recordSurvival clears a task whose run has lasted long enough, and lets other tasks start beside a task that has
// outlived its trial. A run on standby does nothing that could crash its worker.
func (c *Core) recordSurvival(w *worker, t *task, now time.Time) {
	if t.standby {
		return
	}
	ran := now.Sub(t.startedAt)
	if ran >= maxTimeToCrash {
		t.chanceLosses = nil
	}
	if t.suspicion.Clean() && t.unobservedAtTakeover == 0 {
		w.endTrial(t) // its losses may have been retracted
		return
	}
	if t.onTrial && ran >= t.trialTime() {
		w.endTrial(t)
		c.clearUnresolvedRun(t)
	}
	if ran < maxTimeToCrash {
		return
	}
	c.config.Logger.Info("task is no longer suspected of crashing workers", zap.Stringer("task", t.id()), zap.Int("lost_before", len(t.suspicion.Lost)))
	t.suspicion, t.unobservedAtTakeover = jobs.Suspicion{ClearedEpoch: c.config.Epoch}, 0
	c.counts.Cleared++
	c.markTaskChanged(t)
}
