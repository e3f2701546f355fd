// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// answer is the result of a call.
type answer struct {
	clock   models.Milli
	report  jobs.Report
	worker  *incarnation  // the incarnation that carried out the call
	changed chan struct{} // closed when the worker records another end
}

// operation is the effect of a call on a worker; it fills in the answer.
type operation func(w *incarnation, a *answer) error

// checkFence refuses an order with an outdated fence and records the fence of any other.
func (g *Grid) checkFence(w *incarnation, fence jobs.Fence) error {
	g.audit.noteFence(w, fence)
	if fence < w.fence {
		return &platform.RefusedError{Reason: jobs.RefusedFence}
	}
	w.fence = fence
	return nil
}

// StartRun implements platform.JobWorkers.
func (g *Grid) StartRun(ctx context.Context, worker jobs.Worker, call jobs.StartCall) (models.Milli, error) {
	answer, err := g.callWorker(ctx, worker, func(w *incarnation, a *answer) error {
		a.clock = g.clock(w, time.Now())
		if err := g.checkFence(w, call.Fence); err != nil {
			return err
		}
		return g.start(w, call)
	})
	return answer.clock, err
}

func (g *Grid) start(w *incarnation, call jobs.StartCall) error {
	now := time.Now()
	if g.timeOf(w, call.Until).Before(now) {
		return &platform.RefusedError{Reason: jobs.RefusedLate}
	}
	if r, ok := w.runs[call.Task]; ok && r.id == call.Run {
		return nil
	}
	if w.barred[call.Task] >= call.Run || w.runs[call.Task] != nil {
		return &platform.RefusedError{Reason: jobs.RefusedStaleRun}
	}
	g.extendLease(w, call.Until)
	size, work, how := g.runParameters(call)
	r := &run{task: call.Task, id: call.Run, size: size, remaining: work, work: work, how: how, pace: jobs.FullSpeed, since: now, stalled: w.faults.Stalled}
	g.restoreCheckpoint(r, call.Checkpoint)
	w.runs[call.Task] = r
	g.audit.runStarted(w, r, call)
	g.checkCordon(w, r)
	g.updateRunningWaits(call.Task.Job)
	if g.scheduleCrash(w, r) {
		return platform.ErrUnknownOutcome
	}
	g.scheduleFailure(w, r)
	g.scheduleEnd(w, r)
	return nil
}

// StopRun implements platform.JobWorkers.
func (g *Grid) StopRun(ctx context.Context, worker jobs.Worker, call jobs.StopCall) (models.Milli, error) {
	answer, err := g.callWorker(ctx, worker, func(w *incarnation, a *answer) error {
		a.clock = g.clock(w, time.Now())
		if err := g.checkFence(w, call.Fence); err != nil {
			return err
		}
		w.barred[call.Task] = max(w.barred[call.Task], call.Run)
		g.audit.noteRun(w, call.Task, call.Run)
		r, ok := w.runs[call.Task]
		if !ok || r.id != call.Run || r.stopping {
			return nil
		}
		r.stopping = true
		time.AfterFunc(g.config.StopTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if w.up && w.runs[r.task] == r {
				g.endRun(w, r, jobs.EndStopped)
			}
		})
		return nil
	})
	return answer.clock, err
}

// SetPace implements platform.JobWorkers.
func (g *Grid) SetPace(ctx context.Context, worker jobs.Worker, call jobs.PaceCall) (models.Milli, error) {
	answer, err := g.callWorker(ctx, worker, func(w *incarnation, a *answer) error {
		now := time.Now()
		a.clock = g.clock(w, now)
		if err := g.checkFence(w, call.Fence); err != nil {
			return err
		}
		r, ok := w.runs[call.Task]
		if !ok || r.id != call.Run {
			return &platform.RefusedError{Reason: jobs.RefusedStaleRun}
		}
		r.updateRemaining(now)
		r.pace = call.Pace
		g.scheduleEnd(w, r)
		return nil
	})
	return answer.clock, err
}
