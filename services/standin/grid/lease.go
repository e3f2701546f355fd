// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// extendLease moves the end of the worker's lease; it never shortens the lease.
func (g *Grid) extendLease(w *incarnation, until models.Milli) {
	if until == 0 {
		return
	}
	now := time.Now()
	end := g.timeOf(w, min(until, g.clock(w, now)+models.MilliOf(g.config.LongestLease)))
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(end.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.audit.noteLapse(w)
		for _, r := range w.runs {
			g.endRun(w, r, jobs.EndLapsed)
		}
	})
}

// RenewLease implements platform.JobWorkers.
func (g *Grid) RenewLease(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) (jobs.Report, error) {
	deadline := time.Now().Add(call.Wait)
	applied := false // the call has taken effect, and only its answer waits for an end
	for {
		answer, err := g.callWorker(ctx, worker, func(w *incarnation, a *answer) error {
			if err := g.checkFence(w, call.Fence); err != nil {
				return err
			}
			if !applied {
				g.extendLease(w, call.Until)
				g.acknowledge(w, call.Acknowledged)
			}
			a.worker, a.report, a.changed = w, g.reportOf(w), w.changed
			return nil
		})
		if applied && errors.Is(err, platform.ErrUnreachable) {
			<-ctx.Done() // the connection was established before the worker was cut off
			return jobs.Report{}, platform.ErrUnknownOutcome
		}
		if err != nil {
			return jobs.Report{}, err
		}
		applied = true
		if len(answer.report.Ended) > 0 || !time.Now().Before(deadline) {
			g.noteReport(answer.report)
			return answer.report, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-answer.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if g.hangs(answer.worker) {
			<-ctx.Done()
		}
		if ctx.Err() != nil || !g.isUp(answer.worker) {
			return jobs.Report{}, platform.ErrUnknownOutcome // the connection breaks when the worker ends
		}
	}
}

// hangs reports whether the worker has crashed silently, so that pending calls hang.
func (g *Grid) hangs(w *incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !w.up && w.crashedSilently
}

// isUp reports whether the incarnation is still up.
func (g *Grid) isUp(w *incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return w.up
}

// acknowledge drops the ends up to a number.
func (g *Grid) acknowledge(w *incarnation, number uint64) {
	if g.config.AckFutureEnds {
		w.ackedUpTo = max(w.ackedUpTo, number)
	}
	for len(w.ends) > 0 && w.ends[0].Number <= max(number, w.ackedUpTo) {
		g.audit.endAcknowledged(w, w.ends[0])
		w.ends = w.ends[1:]
	}
}

// reportOf returns the worker's current report.
func (g *Grid) reportOf(w *incarnation) jobs.Report {
	now := time.Now()
	report := jobs.Report{Clock: g.clock(w, now), Born: w.info.Born, Ended: slices.Clone(w.ends[:min(len(w.ends), g.config.EndsPerReport)])}
	for _, r := range w.runs {
		report.Running = append(report.Running, jobs.Run{
			Task: r.task, Run: r.id, Checkpoint: g.currentCheckpoint(r, now), Progress: r.progress(now), Figure: g.figure(w, r),
		})
	}
	return report
}
