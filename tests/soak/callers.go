// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/platform/emulator"
)

const (
	// answerTimeout is how long callers wait for an answer.
	answerTimeout = 3 * time.Second
	// maxTries bounds how often a caller submits a job that is refused or not answered.
	maxTries = 4
	// retryPause is the pause between two tries.
	retryPause = 300 * time.Millisecond
	// visibleWithin is the time after which all daemons must know an accepted job.
	visibleWithin = 3 * time.Second
	// queryInterval is the pause between two queries for the state of a job.
	queryInterval = 40 * time.Millisecond
	// cancelOneIn is the share of queries that are replaced by a cancellation: one in so many.
	cancelOneIn = 12
)

// client keeps idle connections open for the life of the process, as callers do.
var client = &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// newCaller returns a caller of the queue with the given path prefix.
func newCaller(prefix string) emulator.Caller {
	return emulator.Caller{Client: client, Host: host, Prefix: prefix}
}

// isReady reports whether a daemon's ready listener says that it accepts callers.
func isReady(ctx context.Context, address string) bool {
	ready, err := emulator.Ready(ctx, client, address)
	return err == nil && ready
}

// submissions is a series of jobs that callers submit.
type submissions struct {
	stream uint64 // of random numbers
	first  int    // number of the first job
}

// submitLoop starts callers, each with one job, at a steady rate, without waiting for answers.
func (r *run) submitLoop(ctx context.Context, series submissions) {
	random := rand.New(rand.NewPCG(r.plan.Seed, series.stream))
	behaviorRandom := rand.New(rand.NewPCG(r.plan.Seed, behaviorStream))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.config.Rate))
	defer ticker.Stop()
	var group conc.WaitGroup
	defer group.Wait()
	for n := series.first; ; n++ {
		spec := r.config.withTimes(r.config.widened(drawJob(random, r.plan.Seed, n)), time.Now())
		plan := newCallerPlan(behaviorRandom, spec, random.IntN(len(r.site.daemons)), len(r.site.daemons))
		r.site.emulator.Grid.Expect(spec, maxTaskAttempts)
		group.Go(func() { r.runCaller(ctx, plan) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runCaller runs one caller: it submits the job, and submits it again or cancels it as planned.
func (r *run) runCaller(ctx context.Context, plan callerPlan) {
	j := &job{spec: plan.spec}
	if plan.submitsToTwo {
		var group conc.WaitGroup
		group.Go(func() { r.submitOnce(ctx, j, r.daemon(plan.firstDaemon), answerTimeout) })
		group.Go(func() { r.submitOnce(ctx, j, r.daemon(plan.otherDaemon), answerTimeout) })
		group.Wait()
	} else {
		r.submitWithRetries(ctx, j, plan)
	}
	outcome := r.record.decideOutcome(j)
	r.expectProgress(j, outcome)
	switch {
	case outcome == outcomeAccepted && plan.resubmits && sleep(ctx, plan.resubmitDelay):
		r.submitOnce(ctx, j, r.daemon(plan.otherDaemon), answerTimeout)
		r.submitOnce(ctx, j, r.daemon(plan.firstDaemon), answerTimeout)
	case outcome == outcomeUnknown && plan.cancelsUnknown:
		r.cancelUnknown(ctx, j, plan.otherDaemon)
	}
}

// submitWithRetries submits a job until it is accepted or its caller makes no further try.
func (r *run) submitWithRetries(ctx context.Context, j *job, plan callerPlan) {
	for n := range plan.maxTries {
		s := r.submitOnce(ctx, j, r.daemon(plan.firstDaemon+n*plan.daemonStep), plan.timeout(n))
		if s.accepted() || s.refused() && plan.acceptsRefusal || !sleep(ctx, retryPause) {
			return
		}
	}
}

// daemon returns the daemon with the given number, modulo the number of daemons.
func (r *run) daemon(number int) *daemon { return r.site.daemons[number%len(r.site.daemons)] }

// submitOnce submits a job once and records the submission.
func (r *run) submitOnce(ctx context.Context, j *job, d *daemon, timeout time.Duration) submission {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := submission{daemon: d, began: time.Now()}
	before, _ := d.running()
	answer, err := newCaller(prefix).Submit(ctx, d.callers.Listen, j.spec)
	s.ended = time.Now()
	if after, _ := d.running(); before == after {
		s.incarnation = before
	}
	if err == nil {
		s.status = answer.Status
	}
	r.record.addSubmission(j, s)
	if s.refused() {
		r.checkRefusal(d, answer, s.ended.Sub(s.began))
	}
	return s
}

// cancelUnknown cancels a job whose outcome its caller does not know and which is not submitted again.
// It retries at the next daemons until an answer tells that the job is cancelled or does not exist.
func (r *run) cancelUnknown(ctx context.Context, j *job, first int) {
	for n := range maxTries {
		r.noteCancelSent(j)
		answer, err := newCaller(prefix).Cancel(ctx, r.daemon(first+n).callers.Listen, j.spec.ID)
		switch {
		case err == nil && answer.Status == http.StatusOK:
			r.record.noteCancelled(j)
			return
		case err == nil && answer.Status == http.StatusGone:
			r.record.noteNotFound(j)
			return
		}
		if !sleep(ctx, retryPause) {
			return
		}
	}
}

// queryLoop queries the states of accepted jobs, and cancels some of them.
func (r *run) queryLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, queryStream))
	var group conc.WaitGroup
	defer group.Wait()
	for sleep(ctx, queryInterval) {
		j := r.record.randomAccepted(random)
		if j == nil {
			continue
		}
		d := r.site.daemons[random.IntN(len(r.site.daemons))]
		if random.IntN(cancelOneIn) == 0 {
			group.Go(func() { r.cancel(ctx, j, d) })
			continue
		}
		group.Go(func() { r.queryState(ctx, j, d) })
	}
}

// queryState queries a job's state and checks the answer.
func (r *run) queryState(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.decided)
	state, answer, err := newCaller(prefix).State(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err != nil:
	case answer.Status == http.StatusGone && age > visibleWithin:
		r.addBreach("job %s is unknown to %s %s after it was accepted", j.spec.ID, d.name, age)
	default:
		r.checkState(j, d, state)
	}
	r.record.noteQuery(err == nil)
}

// checkState checks the state that a daemon shows against what the workers have observed.
func (r *run) checkState(j *job, d *daemon, state jobs.State) {
	workers := r.site.emulator.Grid
	switch {
	case state == jobs.StateSucceeded && !workers.Succeeded(j.spec.ID):
		r.addBreach("job %s is shown as succeeded by %s, but the workers have not finished it", j.spec.ID, d.name)
	case state == jobs.StateCancelled && !r.record.cancelSent(j):
		r.addBreach("job %s is shown as cancelled by %s, but no caller has cancelled it", j.spec.ID, d.name)
	case state == jobs.StateFailed && !r.mayFail(j):
		r.addBreach("job %s is shown as failed by %s after %d failures and %d crashes", j.spec.ID, d.name,
			workers.MostFailures(j.spec.ID), workers.Crashes(j.spec.ID))
	}
}

// mayFail reports whether a job has reason to fail: one of its tasks has failed in all allowed attempts,
// or its tasks have crashed enough workers.
func (r *run) mayFail(j *job) bool {
	workers := r.site.emulator.Grid
	return workers.MostFailures(j.spec.ID) >= maxTaskAttempts || workers.Crashes(j.spec.ID) >= minCrashes
}

// cancel cancels a job and records whether the daemon has confirmed the cancellation.
func (r *run) cancel(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.decided)
	r.noteCancelSent(j)
	answer, err := newCaller(prefix).Cancel(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err == nil && answer.Status == http.StatusOK:
		r.record.noteCancelled(j)
	case err == nil && answer.Status == http.StatusGone && age > visibleWithin:
		r.addBreach("job %s can't be cancelled at %s, which answers %s after its acceptance that there is no such job", j.spec.ID, d.name, age)
	}
}
