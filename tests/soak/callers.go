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
	// maxTries is how often a caller hands in a job that was refused or not answered.
	maxTries = 4
	// retryPause is the pause between them.
	retryPause = 300 * time.Millisecond
	// visibleWithin is when an accepted job must be known to all daemons.
	visibleWithin = 3 * time.Second
	// queryInterval is the pause between two jobs that are asked for.
	queryInterval = 40 * time.Millisecond
	// cancelOneIn: one job in so many is cancelled instead of asked for.
	cancelOneIn = 12
)

// client keeps connections open, as callers do, until the process is gone.
var client = &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// newCaller gives a caller of the queue with the prefix.
func newCaller(prefix string) emulator.Caller {
	return emulator.Caller{Client: client, Host: host, Prefix: prefix}
}

// isReady tells whether a daemon says that it takes callers.
func isReady(ctx context.Context, address string) bool {
	answer, err := emulator.Ready(ctx, client, address)
	return err == nil && answer
}

// submitLoop hands in jobs at a steady rate, whether answers come or not.
func (r *run) submitLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, submitStream))
	behaviors := rand.New(rand.NewPCG(r.plan.Seed, behaviorStream))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.config.Rate))
	defer ticker.Stop()
	var group conc.WaitGroup
	defer group.Wait()
	for n := 1; ; n++ {
		spec := drawJob(random, r.plan.Seed, n)
		v := newCallerPlan(behaviors, spec, random.IntN(len(r.site.daemons)), len(r.site.daemons))
		r.site.emulator.Grid.Expect(spec, maxTaskAttempts)
		group.Go(func() { r.runCaller(ctx, v) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runCaller lets a caller hand in its job, and do what it does afterwards.
func (r *run) runCaller(ctx context.Context, v callerPlan) {
	j := &job{spec: v.spec}
	if v.submitsToTwo {
		var group conc.WaitGroup
		group.Go(func() { r.submitOnce(ctx, j, r.daemon(v.firstDaemon), answerTimeout) })
		group.Go(func() { r.submitOnce(ctx, j, r.daemon(v.otherDaemon), answerTimeout) })
		group.Wait()
	} else {
		r.submitWithRetries(ctx, j, v)
	}
	switch outcome := r.record.decideOutcome(j); {
	case outcome == outcomeAccepted && v.resubmits && sleep(ctx, v.resubmitDelay):
		r.submitOnce(ctx, j, r.daemon(v.otherDaemon), answerTimeout)
		r.submitOnce(ctx, j, r.daemon(v.firstDaemon), answerTimeout)
	case outcome == outcomeUnknown && v.cancelsUnknown:
		r.cancelUnknown(ctx, j, v.otherDaemon)
	}
}

// submitWithRetries hands a job in until it is accepted or its caller has had enough.
func (r *run) submitWithRetries(ctx context.Context, j *job, v callerPlan) {
	for n := range v.maxTries {
		t := r.submitOnce(ctx, j, r.daemon(v.firstDaemon+n*v.daemonStep), v.timeout(n))
		if t.accepted() || t.refused() && v.acceptsRefusal || !sleep(ctx, retryPause) {
			return
		}
	}
}

// daemon gives a daemon by its number, counted on from the first one after the last.
func (r *run) daemon(number int) *daemon { return r.site.daemons[number%len(r.site.daemons)] }

// submitOnce hands a job in once.
func (r *run) submitOnce(ctx context.Context, j *job, d *daemon, stay time.Duration) submission {
	ctx, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	t := submission{daemon: d, began: time.Now()}
	before, _ := d.running()
	answer, err := newCaller(prefix).Submit(ctx, d.callers.Listen, j.spec)
	t.ended = time.Now()
	if after, _ := d.running(); before == after {
		t.incarnation = before
	}
	if err == nil {
		t.status = answer.Status
	}
	r.record.addSubmission(j, t)
	if t.refused() {
		r.checkRefusal(d, answer, t.ended.Sub(t.began))
	}
	return t
}

// cancelUnknown cancels a job whose caller does not know what became of it, and does not hand it
// in again.
func (r *run) cancelUnknown(ctx context.Context, j *job, first int) {
	for n := range maxTries {
		r.record.noteCancelSent(j)
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

// queryLoop asks for the states of accepted jobs, and cancels some.
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

// queryState asks for a job's state and checks what is said.
func (r *run) queryState(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.decided)
	state, answer, err := newCaller(prefix).State(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err != nil:
	case answer.Status == http.StatusGone && age > visibleWithin:
		r.addBreach("%s is not known to %s %s after it was accepted", j.spec.ID, d.name, age)
	default:
		r.checkState(j, d, state)
	}
	r.record.noteQuery(err == nil)
}

// checkState checks a state that a daemon shows against what the workers have seen.
func (r *run) checkState(j *job, d *daemon, state jobs.State) {
	workers := r.site.emulator.Grid
	switch {
	case state == jobs.StateSucceeded && !workers.Succeeded(j.spec.ID):
		r.addBreach("%s is shown as succeeded by %s and is not done", j.spec.ID, d.name)
	case state == jobs.StateCancelled && !r.record.cancelSent(j):
		r.addBreach("%s is shown as cancelled by %s, and nobody cancelled it", j.spec.ID, d.name)
	case state == jobs.StateFailed && !r.mayFail(j):
		r.addBreach("%s is shown as failed by %s after %d failures and %d crashes", j.spec.ID, d.name,
			workers.MostFailures(j.spec.ID), workers.Crashes(j.spec.ID))
	}
}

// mayFail tells whether a job has reason to fail: a task that failed as often as is allowed, or
// that has ended workers.
func (r *run) mayFail(j *job) bool {
	workers := r.site.emulator.Grid
	return workers.MostFailures(j.spec.ID) >= maxTaskAttempts || workers.Crashes(j.spec.ID) >= minCrashes
}

// cancel cancels a job and notes whether a daemon has confirmed it.
func (r *run) cancel(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.decided)
	r.record.noteCancelSent(j)
	answer, err := newCaller(prefix).Cancel(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err == nil && answer.Status == http.StatusOK:
		r.record.noteCancelled(j)
	case err == nil && answer.Status == http.StatusGone && age > visibleWithin:
		r.addBreach("%s can't be cancelled at %s, which says %s after it was accepted that there is none", j.spec.ID, d.name, age)
	}
}
