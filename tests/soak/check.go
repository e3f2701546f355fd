// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/platform/emulator"
)

// maxRefusalTime is when a refusal must have come from a daemon that runs: all calls to the
// platform are given up by then.
const maxRefusalTime = 2500 * time.Millisecond

// addBreach notes a promise that callers saw broken.
func (r *run) addBreach(format string, args ...any) {
	r.record.addBreach(time.Since(r.begin), "callers", format, args...)
}

// checkRefusal checks that a refusal says when to come back, and counts those that came late
// while no fault had the daemon's process.
func (r *run) checkRefusal(d *daemon, answer emulator.Answer, took time.Duration) {
	if answer.RetryAfter == "" {
		r.addBreach("%s refuses a job with %d and does not say when to come back", d.name, answer.Status)
	}
	if took > maxRefusalTime && !r.site.isReserved(d.processTarget()) {
		r.record.noteLateRefusal()
	}
}

// checkPlannedStop checks a planned stop: the process must have ended by itself, in time.
func (r *run) checkPlannedStop(d *daemon) {
	exit, life := d.lastExit()
	if !exit.Success() {
		r.record.addBreach(time.Since(r.begin), d.name, "life %d did not end as planned within %s: %s", life, stopGrace, exit)
	}
}

// checkUnplannedExits checks the daemons that have ended unasked.
func (r *run) checkUnplannedExits() {
	for _, d := range r.site.daemons {
		if _, up := d.running(); !up {
			exit, _ := d.lastExit()
			r.record.addBreach(time.Since(r.begin), d.name, "the process ended by itself: %s", exit)
		}
	}
}

// maxConcurrentChecks bounds how many jobs are looked after at the same time at the end.
const maxConcurrentChecks = 32

// checkFinalStates waits, with all faults mended, until every job is as its caller was told.
func (r *run) checkFinalStates(ctx context.Context) {
	for _, d := range r.site.daemons {
		if err := r.site.waitReady(ctx, d); err != nil {
			r.addBreach("after all faults: %v", err)
			return
		}
	}
	sleep(ctx, time.Until(r.site.storeFaults.heldUntil().Add(heldWriteStartDelay)))
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	checks := pool.New().WithMaxGoroutines(maxConcurrentChecks)
	for _, j := range r.record.jobs {
		checks.Go(func() { r.checkFinalState(ctx, j) })
	}
	checks.Wait()
}

// checkFinalState waits until one job is as it must be in the end.
func (r *run) checkFinalState(ctx context.Context, j *job) {
	workers := r.site.emulator.Grid
	switch {
	case j.cancelled, !j.notFound.IsZero():
		r.waitFor(ctx, j, "nothing of it runs after its cancellation", func() bool { return workers.Running(j.spec.ID) == 0 })
	case j.outcome != outcomeAccepted:
		return // checkGuarantees says what may not happen
	case j.cancelSent:
		return // nobody knows whether the cancellation came about
	case j.spec.Steps[0].Lasts && !r.site.config.hasCrashingTask(j.spec.ID):
		r.waitFor(ctx, j, "all its tasks run", func() bool { return workers.Running(j.spec.ID) == j.spec.Steps[0].Count })
	default:
		r.waitFor(ctx, j, "it is shown as ended, and rightly", func() bool { return r.endConfirmed(ctx, j) })
	}
}

// endConfirmed tells whether all daemons show the end that the workers saw.
func (r *run) endConfirmed(ctx context.Context, j *job) bool {
	workers := r.site.emulator.Grid
	for _, d := range r.site.daemons {
		state, _, err := newCaller(prefix).State(ctx, d.callers.Listen, j.spec.ID)
		rightly := state == jobs.StateSucceeded && workers.Succeeded(j.spec.ID) ||
			state == jobs.StateFailed && r.mayFail(j)
		if err != nil || !rightly {
			return false
		}
	}
	return true
}

// waitFor waits for a condition, or notes that it did not come about.
func (r *run) waitFor(ctx context.Context, j *job, what string, condition func() bool) {
	for !condition() {
		if !sleep(ctx, pollInterval) {
			r.addBreach("%s, %s: %s did not come about", j.spec.ID, j.outcome, what)
			return
		}
	}
}

const (
	// heldWriteStartDelay is when a job has begun whose write was held up, once all faults are mended.
	heldWriteStartDelay = 1500 * time.Millisecond
	// maxStartAfterCancel is how long tasks may be started after a cancellation was answered.
	maxStartAfterCancel = 3 * time.Second
)

// checkGuarantees checks, at the very end, what daemons have said would not happen.
func (r *run) checkGuarantees() {
	for _, j := range r.record.jobs {
		r.checkNeverRan(j)
		r.checkRefuserDidNotAccept(j)
	}
}

// checkNeverRan checks that a job that was refused each time has not run, and that nothing of
// one that was said not to be there was started much later.
func (r *run) checkNeverRan(j *job) {
	last := r.site.emulator.Grid.LastStart(j.spec.ID)
	if j.outcome == outcomeRefused && !last.IsZero() {
		r.addBreach("%s was refused each time and has run", j.spec.ID)
	}
	if late := last.Sub(j.notFound); !j.notFound.IsZero() && late > maxStartAfterCancel {
		r.addBreach("%s was said not to be there when it was cancelled, and was started %s later", j.spec.ID, late)
	}
}

// checkRefuserDidNotAccept checks that no daemon has refused a job that the same process of it has
// written, before or afterwards, without having been asked anew.
func (r *run) checkRefuserDidNotAccept(j *job) {
	for _, t := range j.submissions {
		if !t.refused() {
			continue
		}
		for _, w := range r.site.storeFaults.accepted.writesOf(j.spec.ID) {
			if w.daemon == t.daemon && w.incarnation == t.incarnation && w.arrived.Before(j.nextSubmission(t)) && !r.mayBeReadAfterRefusal(j, t, w) {
				r.addBreach("%s is refused by %s with %d at %s, which %s", j.spec.ID, t.daemon.name, t.status, r.sinceBegin(t.ended), r.describeAcceptance(j, t, w))
			}
		}
	}
}

// mayBeReadAfterRefusal tells whether a daemon may have written a job for a try without answer whose
// request it read only after it had refused another: it was paused in between, and reads what
// has gathered meanwhile on several connections in any order.
func (r *run) mayBeReadAfterRefusal(j *job, refusal submission, w acceptance) bool {
	if w.arrived.Before(refusal.ended) {
		return false
	}
	return slices.ContainsFunc(j.submissions, func(t submission) bool {
		return t.daemon == refusal.daemon && t.status == 0 && r.pausedBetween(t.daemon, t.began, refusal.ended)
	})
}

// pausedBetween tells whether a daemon's process was paused at some time between two.
func (r *run) pausedBetween(d *daemon, from, to time.Time) bool {
	return slices.ContainsFunc(r.record.faults, func(f injectedFault) bool {
		paused := f.fault.Kind == PauseDaemon && r.daemon(f.fault.Target) == d
		return paused && f.from < to.Sub(r.begin) && f.to > from.Sub(r.begin)
	})
}

// nextSubmission is when the job was handed in again at the daemon of a try.
func (j *job) nextSubmission(t submission) time.Time {
	next := time.Now()
	for _, other := range j.submissions {
		if other.daemon == t.daemon && other.began.After(t.began) && other.began.Before(next) {
			next = other.began
		}
	}
	return next
}

// describeAcceptance says how the daemon of a refusal has written the job.
func (r *run) describeAcceptance(j *job, refusal submission, w acceptance) string {
	text := fmt.Sprintf("wrote it itself (received at %s, done at %s, answered by the store: %t)", r.sinceBegin(w.arrived), r.sinceBegin(w.committed), w.answered)
	for _, t := range j.submissions {
		if t.accepted() && t.daemon == refusal.daemon && t.ended.Before(refusal.began) {
			return text + fmt.Sprintf(" and accepted it at %s", r.sinceBegin(t.ended))
		}
	}
	return text
}

// sinceBegin is a time since the run began.
func (r *run) sinceBegin(t time.Time) time.Duration { return t.Sub(r.begin).Round(time.Millisecond) }
