// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// The suspicions against tasks are stored with their jobs' progress, at some 60 bytes for each loss. The loss of a
// worker is proved only when another incarnation answers at its address, seconds later, and an owner that is lost in
// between cannot tell its successor what ran there. So two kinds of runs are stored while they are open, and count
// as lost if the successor finds their worker lost: those of suspects, together with their start, and young runs on
// a worker that refuses connections.

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

// storeOpenRun stores, for a successor, that the task's run counts as lost if its worker is lost.
func (c *Core) storeOpenRun(t *task, loss jobs.LostRun) {
	t.suspicion.Unresolved = &jobs.UnresolvedRun{LostRun: loss, Worker: t.worker.info.ID, Born: t.worker.info.Born}
	c.markChangedUrgently(t.step.job)
}

// storeOpenTrial stores that a suspect has just been started, for a successor that does not observe its end.
func (c *Core) storeOpenTrial(t *task, now time.Time) {
	c.storeOpenRun(t, jobs.LostRun{Run: t.run})
	open := t.suspicion.Unresolved
	open.BeganAt = c.timeOfDay(now)
	open.ChanceRate = roundToThousandths(c.chanceRate(t.worker, now))
	open.NeighbourRate = roundToThousandths(crashRate(c.neighboursOf(t.worker, t, now)))
}

// lostRunOf returns what an open run of a previous owner counts as now that its worker is lost.
func (c *Core) lostRunOf(open *jobs.UnresolvedRun) jobs.LostRun {
	if open.BeganAt == 0 {
		return open.LostRun
	}
	ago := c.now.Sub(c.timeAt(open.BeganAt, c.now))
	return weighUnobserved(open, max(ago, minUnobservedAge))
}

// clearOpenRun reverts storeOpenRun: the run goes on, has ended, or is counted as lost.
func (c *Core) clearOpenRun(t *task) {
	if t.suspicion.Unresolved != nil {
		t.suspicion.Unresolved = nil
		c.markChangedUrgently(t.step.job)
	}
}

// storeYoungRuns stores the young runs on a worker whose address refuses connections: the worker has probably
// crashed, but that is certain only some seconds later, and a successor would not learn of it.
func (c *Core) storeYoungRuns(w *worker, now time.Time) {
	if w.youngRunsStored {
		return
	}
	w.youngRunsStored = true
	chance := c.chanceRate(w, now)
	for _, t := range w.tasks {
		if ran, known := c.runtimeAtLoss(w, t, now); known && ran < youngRunLimit && t.suspicion.Unresolved == nil {
			c.storeOpenRun(t, c.lossContextOf(w, t, ran, chance, now).lostRun(w, t))
		}
	}
}

// suspicionsOf collects the suspicions against a job's tasks.
func suspicionsOf(j *job) jobs.Suspicions {
	all := jobs.Suspicions{}
	for flat, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.suspicion.Empty() || t.state == taskDone || t.state == taskElsewhere {
				continue
			}
			all.Set(flat, i, t.suspicion)
		}
	}
	return all
}

// applySuspicions takes the stored suspicions against a job's tasks.
func (c *Core) applySuspicions(j *job, stored jobs.Suspicions) {
	for flat, suspicions := range stored {
		for index, suspicion := range suspicions {
			if t := j.task(flat, index); t != nil {
				c.applySuspicion(t, suspicion)
			}
		}
	}
}

// applySuspicion takes the stored suspicion against a task. A run that was open then is lost if its worker is lost
// without having answered.
func (c *Core) applySuspicion(t *task, suspicion jobs.Suspicion) {
	t.suspicion = suspicion
	c.trackLosses(t)
	if open := suspicion.Unresolved; open != nil {
		c.openRuns[open.Worker] = append(c.openRuns[open.Worker], t)
	}
}

// countOpenRuns counts the open runs whose workers the previous owner had proved to be lost without having stored
// the result.
func (c *Core) countOpenRuns() {
	for id, tasks := range c.openRuns {
		if _, there := c.workers[id]; there {
			continue
		}
		delete(c.openRuns, id)
		for _, t := range tasks {
			c.countOpenRun(t)
		}
	}
}

// countOpenRun counts a run of a previous owner that was lost unobserved.
func (c *Core) countOpenRun(t *task) {
	open := t.suspicion.Unresolved
	if t.worker != nil || open == nil {
		return // the task runs, or its run is known to have ended
	}
	c.clearOpenRun(t)
	if open.Unobserved {
		c.countUnobservedRun(t, open.Run)
		return
	}
	lost := c.lostRunOf(open)
	lost.LossID = jobs.Incarnation{ID: open.Worker, Born: open.Born}.LossID()
	c.config.Logger.Info("run of a previous owner is lost with its worker", zap.Stringer("task", t.id()),
		zap.Uint64("run", uint64(open.Run)), zap.String("worker", string(open.Worker)), zap.Float64("weight", lost.EvidenceVsAll))
	c.countLoss(t, lost)
}

// resolveOpenRuns closes the open runs of a worker that has answered, because its report shows what runs. Open runs of
// a previous incarnation are lost.
func (c *Core) resolveOpenRuns(w *worker) {
	for _, t := range c.openRuns[w.info.ID] {
		open := t.suspicion.Unresolved
		switch {
		case t.worker != nil || open == nil:
		case w.info.Incarnation().Differs(jobs.Incarnation{ID: open.Worker, Born: open.Born}):
			c.countOpenRun(t)
		default:
			c.clearOpenRun(t)
		}
	}
	delete(c.openRuns, w.info.ID)
}
