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
	// answerWithin is how long callers wait for an answer.
	answerWithin = 3 * time.Second
	// tries is how often a caller hands in a job that was refused or not answered.
	tries = 4
	// betweenTries is the pause between them.
	betweenTries = 300 * time.Millisecond
	// visibleAfter is when an accepted job must be known to all daemons.
	visibleAfter = 3 * time.Second
	// askEvery is the pause between two jobs that are asked for.
	askEvery = 40 * time.Millisecond
	// cancelOneIn: one job in so many is cancelled instead of asked for.
	cancelOneIn = 12
)

// client keeps connections open, as callers do, until the process is gone.
var client = &http.Client{Timeout: answerWithin, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// callerOf gives a caller of the queue with the prefix.
func callerOf(prefix string) emulator.Caller {
	return emulator.Caller{Client: client, Host: host, Prefix: prefix}
}

// ready tells whether a daemon says that it takes callers.
func ready(ctx context.Context, address string) bool {
	answer, err := emulator.Ready(ctx, client, address)
	return err == nil && answer
}

// submitLoop hands in jobs at a steady rate, whether answers come or not.
func (r *run) submitLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, submitStream))
	behaviors := rand.New(rand.NewPCG(r.plan.Seed, habitStream))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.config.Rate))
	defer ticker.Stop()
	var group conc.WaitGroup
	defer group.Wait()
	for n := 1; ; n++ {
		spec := draftJob(random, r.plan.Seed, n)
		v := newCallerPlan(behaviors, spec, random.IntN(len(r.site.daemons)), len(r.site.daemons))
		r.site.emulator.Grid.Expect(spec, attempts)
		group.Go(func() { r.submit(ctx, v) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// submit lets a caller hand in its job, and do what it does afterwards.
func (r *run) submit(ctx context.Context, v callerPlan) {
	j := &job{spec: v.spec}
	if v.twice {
		var group conc.WaitGroup
		group.Go(func() { r.try(ctx, j, r.daemon(v.first), answerWithin) })
		group.Go(func() { r.try(ctx, j, r.daemon(v.other), answerWithin) })
		group.Wait()
	} else {
		r.handIn(ctx, j, v)
	}
	switch outcome := r.record.outcome(j); {
	case outcome == outcomeAccepted && v.again && pause(ctx, v.after):
		r.try(ctx, j, r.daemon(v.other), answerWithin)
		r.try(ctx, j, r.daemon(v.first), answerWithin)
	case outcome == outcomeUnknown && v.withdraws:
		r.withdraw(ctx, j, v.other)
	}
}

// handIn hands a job in until it is accepted or its caller has had enough.
func (r *run) handIn(ctx context.Context, j *job, v callerPlan) {
	for n := range v.tries {
		t := r.try(ctx, j, r.daemon(v.first+n*v.step), v.stays(n))
		if t.accepted() || t.refused() && v.trusting || !pause(ctx, betweenTries) {
			return
		}
	}
}

// daemon gives a daemon by its number, counted on from the first one after the last.
func (r *run) daemon(number int) *daemon { return r.site.daemons[number%len(r.site.daemons)] }

// try hands a job in once.
func (r *run) try(ctx context.Context, j *job, d *daemon, stay time.Duration) try {
	ctx, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	t := try{daemon: d, began: time.Now()}
	before, _ := d.running()
	answer, err := callerOf(prefix).Submit(ctx, d.callers.Listen, j.spec)
	t.ended = time.Now()
	if after, _ := d.running(); before == after {
		t.life = before
	}
	if err == nil {
		t.status = answer.Status
	}
	r.record.tried(j, t)
	if t.refused() {
		r.checkRefusal(d, answer, t.ended.Sub(t.began))
	}
	return t
}

// withdraw cancels a job whose caller does not know what became of it, and does not hand it
// in again.
func (r *run) withdraw(ctx context.Context, j *job, first int) {
	for n := range tries {
		r.record.cancelling(j)
		answer, err := callerOf(prefix).Cancel(ctx, r.daemon(first+n).callers.Listen, j.spec.ID)
		switch {
		case err == nil && answer.Status == http.StatusOK:
			r.record.cancelled(j)
			return
		case err == nil && answer.Status == http.StatusGone:
			r.record.noSuchJob(j)
			return
		}
		if !pause(ctx, betweenTries) {
			return
		}
	}
}

// askLoop asks for the states of accepted jobs, and cancels some.
func (r *run) askLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, askStream))
	var group conc.WaitGroup
	defer group.Wait()
	for pause(ctx, askEvery) {
		j := r.record.some(random)
		if j == nil {
			continue
		}
		d := r.site.daemons[random.IntN(len(r.site.daemons))]
		if random.IntN(cancelOneIn) == 0 {
			group.Go(func() { r.cancel(ctx, j, d) })
			continue
		}
		group.Go(func() { r.ask(ctx, j, d) })
	}
}

// ask asks for a job's state and checks what is said.
func (r *run) ask(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.answered)
	state, answer, err := callerOf(prefix).State(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err != nil:
	case answer.Status == http.StatusGone && age > visibleAfter:
		r.broken("%s is not known to %s %s after it was accepted", j.spec.ID, d.name, age)
	default:
		r.checkState(j, d, state)
	}
	r.record.asked(err == nil)
}

// checkState checks a state that a daemon shows against what the workers have seen.
func (r *run) checkState(j *job, d *daemon, state jobs.State) {
	workers := r.site.emulator.Grid
	switch {
	case state == jobs.StateSucceeded && !workers.Succeeded(j.spec.ID):
		r.broken("%s is shown as succeeded by %s and is not done", j.spec.ID, d.name)
	case state == jobs.StateCancelled && !r.record.mayBeCancelled(j):
		r.broken("%s is shown as cancelled by %s, and nobody cancelled it", j.spec.ID, d.name)
	case state == jobs.StateFailed && !r.mayFail(j):
		r.broken("%s is shown as failed by %s after %d failures and %d crashes", j.spec.ID, d.name,
			workers.MostFailures(j.spec.ID), workers.Crashes(j.spec.ID))
	}
}

// mayFail tells whether a job has reason to fail: a task that failed as often as is allowed, or
// that has ended workers.
func (r *run) mayFail(j *job) bool {
	workers := r.site.emulator.Grid
	return workers.MostFailures(j.spec.ID) >= attempts || workers.Crashes(j.spec.ID) >= leastCrashes
}

// cancel cancels a job and notes whether a daemon has confirmed it.
func (r *run) cancel(ctx context.Context, j *job, d *daemon) {
	age := time.Since(j.answered)
	r.record.cancelling(j)
	answer, err := callerOf(prefix).Cancel(ctx, d.callers.Listen, j.spec.ID)
	switch {
	case err == nil && answer.Status == http.StatusOK:
		r.record.cancelled(j)
	case err == nil && answer.Status == http.StatusGone && age > visibleAfter:
		r.broken("%s can't be cancelled at %s, which says %s after it was accepted that there is none", j.spec.ID, d.name, age)
	}
}
