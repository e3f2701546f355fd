// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// A task may end the process of every worker that starts it, and takes all that runs beside it
// along. Runs that are lost with their workers are therefore counted, as failed ones are, but a
// loss proves little: most tasks on a lost worker have nothing to do with it, and workers are
// lost for other reasons. So
//
//   - each loss is weighed (evidence.go): a task that had just been started, with nothing beside
//     it that had, is likely to be the cause; one that had run for long is not;
//   - a task with something against it starts where nothing else starts meanwhile (trial.go), so
//     that the next loss says whether it was the cause, and costs others least;
//   - a task is given up, and its job with it, once that is as good as certain. A run that goes
//     on for long enough clears it.
//
// What is known outlives the owner: see suspicion_store.go.

// abandonWeight is the weight at which a task is given up, by the number of its losses, those that
// nobody saw included. It is a logarithm of odds: a task that crashes nothing gets to x with a probability of at
// most e to the minus x. Users allow five starts of a task that ends every worker, so less is enough once
// five may have been lost. Two may coincide with what goes on around them more easily than independent ones: what
// is lost starts again at once.
var abandonWeights = [...]float64{2: 12, 3: 10, 4: 10, maxLosses: 5}

// maxLosses is how many runs a task may lose at most: the users' bound on its starts.
const maxLosses = 5

// minLosses is how many workers must have been lost under a task before it is given up: the
// users' condition for a job to fail for it.
const minLosses = 2

// suspectDoubt is the doubt from which a task is suspected: if nothing else had run there, it
// would be as likely as not to be the cause. The tasks of a step that start together and are lost
// together have little against each one, but all of them are to be tried.
var suspectDoubt = math.Log(1 / crasherPrior)

// suspectLosses is how many losses make a suspect whatever they say: several tasks that crash
// workers and are started at the same moments are lost at the same moments, as if by one cause.
const suspectLosses = 2

// suspected tells whether the task may be one that ends its workers.
func (t *task) suspected() bool {
	if len(t.suspicion.Lost) == 0 {
		return false
	}
	return t.losses() >= suspectLosses || t.suspicion.Doubt() >= suspectDoubt
}

// losses is how many runs of the task may have been lost with their workers.
func (t *task) losses() int { return t.observedLosses() + t.unobservedLosses() }

// observedLosses is how many of them were seen and may be the task's doing: those that say more against it
// than for chance, and those of young runs, however little they say.
func (t *task) observedLosses() int {
	seen := 0
	for _, lost := range t.suspicion.Lost {
		if lost.Doubt > 0 || lost.Ran.Duration() < youngRunLimit {
			seen++
		}
	}
	return seen
}

// unobservedLosses is how many of them nobody saw.
func (t *task) unobservedLosses() int { return t.suspicion.Unseen + t.unseen }

// countWorkerLoss counts the runs that were lost with a worker against their tasks, and logs them. One
// that left when it had said says nothing against them, but may have crashed all the same.
func (c *Core) countWorkerLoss(w *worker, now time.Time) {
	switch {
	case w.leaves.IsZero() || w.leftEarly(now):
		c.weighLoss(w, now)
	default:
		c.countRunsOnLeftWorker(w, now)
	}
	for _, t := range c.openRuns[w.info.ID] {
		c.countOpenRun(t)
	}
	delete(c.openRuns, w.info.ID)
}

// weighLoss weighs a loss for all tasks on the worker before it is counted for any of them. One with no task
// says most of how often workers go by chance.
func (c *Core) weighLoss(w *worker, now time.Time) {
	c.recordWorkerLoss(w, now)
	if len(w.tasks) == 0 {
		return
	}
	c.counts.WorkersLost++
	chance := c.chanceRate(w, now)
	losses := map[*task]jobs.LostRun{}
	recent := recentLoss{incarnation: w.info.Incarnation(), at: w.lastAlive(now)}
	for _, t := range w.tasks {
		if ran, known := c.runtimeAtLoss(w, t, now); known && ran < maxTimeToCrash {
			e := c.lossContextOf(w, t, ran, chance, now)
			losses[t] = e.lostRun(w, t)
			recent.runs = append(recent.runs, weighedRun{task: t, run: t.run, lossContext: e})
		}
	}
	c.scheduleReevaluation(recent, now)
	for _, t := range w.tasks {
		loss, weighed := losses[t]
		c.logLostRun(w, t, loss, chance)
		switch {
		case weighed && (loss.Doubt > 0 || len(t.suspicion.Lost) > 0):
			c.countLoss(t, loss)
		case weighed:
			t.byChance = append(t.byChance, loss)
		case !weighed && c.startUnobserved(w, t, now):
			c.countUnobservedRun(t, t.run)
		}
	}
}

// logLostRun logs a run that ended with its worker, and what that says against its task.
func (c *Core) logLostRun(w *worker, t *task, loss jobs.LostRun, chance float64) {
	c.config.Logger.Info("run is lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.Int64("ran_ms", int64(loss.Ran)), zap.Int("beside", len(w.tasks)-1),
		zap.Float64("chance", chance), zap.Float64("doubt", loss.Doubt), zap.Float64("weight", loss.Weight),
		zap.Int("lost_before", len(t.suspicion.Lost)))
}

// countLoss counts a lost run against its task, and gives the task up when enough is known.
func (c *Core) countLoss(t *task, loss jobs.LostRun) {
	if t.suspicion.Has(loss.Run) || t.isOver() {
		return
	}
	t.suspicion.Lost = append(append(t.suspicion.Lost, t.byChance...), loss)
	t.byChance = nil
	c.noteLosses(t)
	c.storeBeforeNextStart(t)
	c.queueVerdict(t)
}

// abandonJobOf ends the job of a task that ends its workers.
func (c *Core) abandonJobOf(t *task) {
	j := t.step.job
	c.explainSharedLosses(t)
	c.counts.GivenUp++
	c.config.Logger.Warn("job is given up, a task of it ends its workers", zap.String("job", string(j.spec.ID)),
		zap.Stringer("task", t.id()), zap.Int("workers_lost", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()), zap.Float64("weight", t.suspicion.Weight()))
	c.end(j, jobs.StateFailed)
	c.stopAll(j, "its job has failed")
}

// storeBeforeNextStart lets what has been counted against a task be stored before it starts again, together with
// the takeovers that are counted by now: a successor would count them anew, also where the loss was seen.
func (c *Core) storeBeforeNextStart(t *task) {
	t.suspicion.Unseen += t.unseen
	t.suspicion.Counted, t.unseen = c.config.Epoch, 0
	j := t.step.job
	c.changeSoon(j)
	t.counted, j.counted = j.version, j.version
}

// crashesWorkers tells whether the task is as good as certain to end its workers.
func (t *task) crashesWorkers() bool {
	return t.observedLosses() >= minLosses && t.suspicion.Weight() >= t.abandonWeight()
}

// abandonWeight is the weight at which the task is given up.
func (t *task) abandonWeight() float64 { return abandonWeights[min(t.losses(), maxLosses)] }

// noteSurvival clears a task whose run has gone on for long enough, and lets others start beside one
// that has outlived its trial.
func (c *Core) noteSurvival(w *worker, t *task, now time.Time) {
	ran := now.Sub(t.began)
	if ran >= maxTimeToCrash {
		t.byChance = nil
	}
	if t.suspicion.Clean() && t.unseen == 0 {
		return
	}
	if t.onTrial && ran >= t.trialTime() {
		w.endTrial(t)
		c.closeRun(t)
	}
	if ran < maxTimeToCrash {
		return
	}
	c.config.Logger.Info("task is suspected no more", zap.Stringer("task", t.id()), zap.Int("lost_before", len(t.suspicion.Lost)))
	t.suspicion, t.unseen = jobs.Suspicion{Cleared: c.config.Epoch}, 0
	c.counts.Cleared++
	c.change(t.step.job)
}
