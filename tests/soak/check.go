// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/platform/emulator"
)

// maxRefusalTime bounds how long a running daemon takes to refuse a job: all its calls to the platform
// have timed out by then.
const maxRefusalTime = 2500 * time.Millisecond

// addBreach records a broken guarantee that callers have observed.
func (r *run) addBreach(format string, args ...any) {
	r.record.addBreach(time.Since(r.begin), "callers", format, args...)
}

// checkRefusal checks that a refusal has a Retry-After header, and counts refusals that came late
// while no fault affected the daemon's process.
func (r *run) checkRefusal(d *daemon, answer emulator.Answer, took time.Duration) {
	if answer.RetryAfter == "" {
		r.addBreach("%s refuses a job with status %d and without Retry-After", d.name, answer.Status)
	}
	if took > maxRefusalTime && !r.site.isReserved(d.processTarget()) {
		r.record.noteLateRefusal()
	}
}

// checkPlannedStop checks that a planned stop succeeded: the process must have exited by itself in time.
func (r *run) checkPlannedStop(d *daemon) {
	exit, incarnation := d.lastExit()
	if !exit.Success() {
		r.record.addBreach(time.Since(r.begin), d.name, "incarnation %d did not complete its planned stop within %s: %s", incarnation, stopGrace, exit)
	}
}

// checkUnplannedExits records a breach for each daemon that is not running although no fault has stopped it.
func (r *run) checkUnplannedExits() {
	for _, d := range r.site.daemons {
		if _, up := d.running(); !up {
			exit, _ := d.lastExit()
			r.record.addBreach(time.Since(r.begin), d.name, "the process exited unexpectedly: %s", exit)
		}
	}
}

// maxConcurrentChecks bounds how many jobs are checked concurrently at the end.
const maxConcurrentChecks = 32

// clearFaults clears all faults and waits until the daemons accept callers and no write to the store is delayed any more;
// false: a daemon does not accept callers.
func (r *run) clearFaults(ctx context.Context) bool {
	const name = "faults are cleared"
	r.site.emulator.Grid.BeginFault(name)
	defer r.site.emulator.Grid.EndFault(name)
	r.site.clearFaults()
	for _, d := range r.site.daemons {
		if err := r.site.waitReady(ctx, d); err != nil {
			r.addBreach("after all faults were cleared: %v", err)
			return false
		}
	}
	sleep(ctx, time.Until(r.site.storeFaults.delayedUntil().Add(delayedWriteStartDelay)))
	return true
}

// checkFinalStates waits, after all faults are cleared, until the state of every job agrees with what its
// caller was told.
func (r *run) checkFinalStates(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	checks := pool.New().WithMaxGoroutines(maxConcurrentChecks)
	for _, j := range r.record.jobs {
		checks.Go(func() { r.checkFinalState(ctx, j) })
	}
	checks.Wait()
}

// checkFinalState waits until one job has reached its expected final state.
func (r *run) checkFinalState(ctx context.Context, j *job) {
	workers := r.site.emulator.Grid
	switch {
	case j.cancelled, !j.notFound.IsZero():
		r.waitFor(ctx, j, "none of its tasks runs after its cancellation", func() bool { return workers.Running(j.spec.ID) == 0 })
	case j.outcome != outcomeAccepted:
		return // checkGuarantees checks these jobs
	case j.cancelSent:
		return // it is unknown whether the cancellation took effect
	case j.spec.Steps[0].LongRunning && !r.site.config.hasCrashingTask(j.spec.ID):
		r.waitFor(ctx, j, "all its tasks run", func() bool { return workers.Running(j.spec.ID) == j.spec.Steps[0].Count })
	case isEndless(j.spec):
		r.waitFor(ctx, j, "all daemons show that it goes on", func() bool { return r.goesOn(ctx, j) })
	default:
		r.waitFor(ctx, j, "all daemons show the end that the workers saw", func() bool { return r.endConfirmed(ctx, j) })
	}
}

// endConfirmed reports whether all daemons show the end of the job that the workers saw.
func (r *run) endConfirmed(ctx context.Context, j *job) bool {
	workers := r.site.emulator.Grid
	for _, d := range r.site.daemons {
		state, _, err := newCaller(prefix).State(ctx, d.callers.Listen, j.spec.ID)
		correct := state == jobs.StateSucceeded && workers.Succeeded(j.spec.ID) ||
			state == jobs.StateFailed && r.mayFail(j)
		if err != nil || !correct {
			return false
		}
	}
	return true
}

// waitFor waits until the condition holds, or records a breach when ctx ends.
func (r *run) waitFor(ctx context.Context, j *job, what string, condition func() bool) {
	for !condition() {
		if !sleep(ctx, pollInterval) {
			r.addBreach("job %s, outcome %s: condition not reached: %s", j.spec.ID, j.outcome, what)
			return
		}
	}
}

const (
	// delayedWriteStartDelay bounds the time from the effect of a delayed write to the start of its job, once all faults are
	// cleared.
	delayedWriteStartDelay = 1500 * time.Millisecond
	// maxStartAfterCancel bounds how long tasks may be started after a cancellation was answered.
	maxStartAfterCancel = 3 * time.Second
)

// checkGuarantees checks, at the end of the run, that nothing has happened that daemons' answers had ruled out.
func (r *run) checkGuarantees() {
	for _, j := range r.record.jobs {
		r.checkNeverRan(j)
		r.checkRefuserDidNotAccept(j)
	}
}

// checkNeverRan checks that a job that was refused each time has not run, and that no task was started
// much later than a cancellation was answered with "no such job".
func (r *run) checkNeverRan(j *job) {
	last := r.site.emulator.Grid.LastStart(j.spec.ID)
	if j.outcome == outcomeRefused && !last.IsZero() {
		r.addBreach("job %s was refused each time, but has run", j.spec.ID)
	}
	if late := last.Sub(j.notFound); !j.notFound.IsZero() && late > maxStartAfterCancel {
		r.addBreach("the cancellation of job %s was answered with no such job, but a task was started %s later", j.spec.ID, late)
	}
}

// checkRefuserDidNotAccept checks that no daemon has refused a job that the same process has written,
// before the refusal or afterwards, unless the job was submitted to the daemon again in between.
func (r *run) checkRefuserDidNotAccept(j *job) {
	for _, s := range j.submissions {
		if !s.refused() {
			continue
		}
		for _, w := range r.site.storeFaults.accepted.writesOf(j.spec.ID) {
			if w.daemon == s.daemon && w.incarnation == s.incarnation && w.arrived.Before(j.nextSubmission(s)) && !r.mayBeReadAfterRefusal(j, s, w) {
				r.addBreach("job %s was refused by %s with status %d at %s, but the daemon %s", j.spec.ID, s.daemon.name, s.status, r.sinceBegin(s.ended), r.describeAcceptance(j, s, w))
			}
		}
	}
}

// mayBeReadAfterRefusal reports whether a daemon may have written a job for an unanswered submission whose
// request it read only after it had refused another one. That is possible if the daemon was paused in
// between: it then reads the requests that wait on several connections in any order.
func (r *run) mayBeReadAfterRefusal(j *job, refusal submission, w acceptance) bool {
	if w.arrived.Before(refusal.ended) {
		return false
	}
	return slices.ContainsFunc(j.submissions, func(s submission) bool {
		return s.daemon == refusal.daemon && s.status == 0 && r.pausedBetween(s.daemon, s.began, refusal.ended)
	})
}

// pausedBetween reports whether a daemon's process was paused at any time between from and to.
func (r *run) pausedBetween(d *daemon, from, to time.Time) bool {
	return slices.ContainsFunc(r.record.faults, func(f injectedFault) bool {
		paused := f.fault.Kind == PauseDaemon && r.daemon(f.fault.Target) == d
		return paused && f.from < to.Sub(r.begin) && f.to > from.Sub(r.begin)
	})
}

// nextSubmission returns when the job was next submitted to the daemon of s; now, if it was not.
func (j *job) nextSubmission(s submission) time.Time {
	next := time.Now()
	for _, other := range j.submissions {
		if other.daemon == s.daemon && other.began.After(s.began) && other.began.Before(next) {
			next = other.began
		}
	}
	return next
}

// describeAcceptance describes how the daemon of a refusal has written the job.
func (r *run) describeAcceptance(j *job, refusal submission, w acceptance) string {
	text := fmt.Sprintf("has written the job itself (write received at %s, committed at %s, answered by the store: %t)", r.sinceBegin(w.arrived), r.sinceBegin(w.committed), w.answered)
	for _, s := range j.submissions {
		if s.accepted() && s.daemon == refusal.daemon && s.ended.Before(refusal.began) {
			return text + fmt.Sprintf(" and accepted it at %s", r.sinceBegin(s.ended))
		}
	}
	return text
}

// sinceBegin returns the time since the run began.
func (r *run) sinceBegin(t time.Time) time.Duration { return t.Sub(r.begin).Round(time.Millisecond) }

// invalidCallMessage is what daemons log of a transaction that the store does not accept, whether or not they have sent it.
const invalidCallMessage = "store does not accept a transaction"

// checkInvalidCalls checks that the daemons have made no call to the store, and wanted to make none, that it does not accept
// as it is.
func (r *run) checkInvalidCalls() {
	if calls := r.site.emulator.InvalidCalls(); calls > 0 {
		r.addBreach("the store has refused %d calls as invalid, of values that are too large for example", calls)
	}
	for _, d := range r.site.daemons {
		logged, err := os.ReadFile(d.log.Name())
		if err != nil {
			r.addBreach("log of %s can't be read: %v", d.name, err)
		}
		if count := bytes.Count(logged, []byte(invalidCallMessage)); count > 0 {
			r.record.addBreach(time.Since(r.begin), d.name, "%d transactions are not acceptable to the store", count)
		}
	}
}
