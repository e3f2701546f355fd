// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// The suspicions against tasks are stored with their jobs' progress (progress.go, chunks.go). The loss of a
// worker is proved only when another incarnation answers at its address, seconds later, and an owner that is lost in
// between cannot tell its successor what ran there. So two kinds of runs are stored as unresolved, and count as lost if
// the successor finds their worker lost: runs of suspects, as soon as they start, and young runs on a worker that
// refuses connections.

const (
	// youngRunLimit is the age below which the task of a run may well have crashed its worker: such a run is stored
	// when the worker refuses connections, and its loss counts whatever its evidence.
	youngRunLimit = 2 * time.Second
	// assumedUnobservedRuntime is assumed as the runtime of a suspect's run that was lost unobserved between two
	// owners.
	assumedUnobservedRuntime = time.Second
	// minUnobservedAge is the least age assumed for a run that was lost between two owners, whatever their clocks
	// show: the length of an owner's lease.
	minUnobservedAge = 2 * time.Second
)

// storeUnresolvedRun stores, for a successor, that the task's run counts as lost if its worker is lost.
func (c *Core) storeUnresolvedRun(t *task, loss jobs.LostRun) {
	t.suspicion.Unresolved = &jobs.UnresolvedRun{LostRun: loss, Worker: t.worker.info.ID, Born: t.worker.info.Born}
	c.markTaskChangedUrgently(t)
}

// storeUnresolvedTrial stores that a suspect has just been started, for a successor that does not observe how the run
// ends.
func (c *Core) storeUnresolvedTrial(t *task, now time.Time) {
	c.storeUnresolvedRun(t, jobs.LostRun{Run: t.run})
	unresolved := t.suspicion.Unresolved
	unresolved.BeganAt = c.timeOfDay(now)
	unresolved.ChanceRate = roundToThousandths(c.lossHistoryOf(lostWorkerOf(t.worker, now), now).chance)
	unresolved.NeighbourRate = roundToThousandths(c.crashRateOn(t.worker, t, now))
}

// lostRunOf returns what an unresolved run of a previous owner counts as now that its worker is lost.
func (c *Core) lostRunOf(unresolved *jobs.UnresolvedRun) jobs.LostRun {
	if unresolved.BeganAt == 0 {
		return unresolved.LostRun
	}
	ago := c.now.Sub(c.timeAt(unresolved.BeganAt, c.now))
	return weighUnobserved(unresolved, max(ago, minUnobservedAge))
}

// clearUnresolvedRun reverts storeUnresolvedRun: the run goes on, has ended, or is counted as lost.
func (c *Core) clearUnresolvedRun(t *task) {
	if t.suspicion.Unresolved != nil {
		t.suspicion.Unresolved = nil
		c.markTaskChangedUrgently(t)
	}
}

// storeYoungRuns stores the young runs on a worker whose address refuses connections: the worker has probably
// crashed, but that is certain only some seconds later, and a successor would not learn of it.
func (c *Core) storeYoungRuns(w *worker, now time.Time) {
	if w.youngRunsStored {
		return
	}
	w.youngRunsStored = true
	history, rates := c.lossHistoryOf(lostWorkerOf(w, now), now), c.crashRatesOn(w, now)
	for _, t := range w.tasks {
		if ran, known := c.runtimeAtLoss(w, t, now); known && ran < youngRunLimit && t.suspicion.Unresolved == nil {
			c.storeUnresolvedRun(t, lossContextOf(w, t, ran, history, rates).lostRun(w, t))
		}
	}
}

// applySuspicions takes the stored suspicions against a job's tasks.
func (c *Core) applySuspicions(j *job, stored jobs.Suspicions) {
	for flat, suspicions := range stored {
		for index, suspicion := range suspicions {
			if t := c.task(j, flat, index); t != nil {
				c.applySuspicion(t, suspicion)
			}
		}
	}
}

// applySuspicion takes the stored suspicion against a task. A run that is stored as unresolved is lost if its worker is
// lost without having answered.
func (c *Core) applySuspicion(t *task, suspicion jobs.Suspicion) {
	t.suspicion = suspicion
	c.trackLosses(t)
	if unresolved := suspicion.Unresolved; unresolved != nil {
		c.unresolvedRuns[unresolved.Worker] = append(c.unresolvedRuns[unresolved.Worker], t)
	}
}

// countLostUnresolvedRuns counts the unresolved runs whose workers the previous owner had proved to be lost without
// having stored these losses.
func (c *Core) countLostUnresolvedRuns() {
	for id, tasks := range c.unresolvedRuns {
		if _, there := c.workers[id]; there {
			continue
		}
		delete(c.unresolvedRuns, id)
		for _, t := range tasks {
			c.countUnresolvedRun(t)
		}
	}
}

// countUnresolvedRun counts an unresolved run of a previous owner, whose worker is lost, against its task.
func (c *Core) countUnresolvedRun(t *task) {
	unresolved := t.suspicion.Unresolved
	if t.worker != nil || unresolved == nil {
		return // the task runs, or its run is known to have ended
	}
	c.clearUnresolvedRun(t)
	if unresolved.Unobserved {
		c.countUnobservedRun(t, unresolved.Run)
		return
	}
	lost := c.lostRunOf(unresolved)
	lost.LossID = jobs.Incarnation{ID: unresolved.Worker, Born: unresolved.Born}.LossID()
	c.config.Logger.Info("run of a previous owner is lost with its worker", zap.Stringer("task", t.id()),
		zap.Uint64("run", uint64(unresolved.Run)), zap.String("worker", string(unresolved.Worker)), zap.Float64("weight", lost.EvidenceVsAll))
	c.countLoss(t, lost)
}

// resolveRuns resolves the unresolved runs of a worker that has answered, because the report shows what runs. Unresolved
// runs of a previous incarnation are lost.
func (c *Core) resolveRuns(w *worker) {
	for _, t := range c.unresolvedRuns[w.info.ID] {
		unresolved := t.suspicion.Unresolved
		switch {
		case t.worker != nil || unresolved == nil:
		case w.info.Incarnation().Differs(jobs.Incarnation{ID: unresolved.Worker, Born: unresolved.Born}):
			c.countUnresolvedRun(t)
		default:
			c.clearUnresolvedRun(t)
		}
	}
	delete(c.unresolvedRuns, w.info.ID)
}
