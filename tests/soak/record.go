// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// job is a job with what its caller knows about it.
type job struct {
	spec      jobs.Spec
	outcome   outcome
	decided   time.Time // when the outcome was known
	cancelled bool      // a daemon has confirmed a cancellation
	// cancelSent tells that a cancellation was sent, whether confirmed or not.
	cancelSent  bool
	notFound    time.Time // when a daemon answered a cancellation with "no such job"; zero: never
	submissions []submission
}

// submission is one submission of a job to a daemon.
type submission struct {
	daemon       *daemon
	incarnation  int // of the daemon; 0: the daemon was restarted during the submission
	began, ended time.Time
	status       int // 0: no answer
}

// accepted reports whether the daemon accepted the job.
func (s submission) accepted() bool { return s.status == http.StatusOK }

// refused reports whether the daemon refused the job.
func (s submission) refused() bool {
	return s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable
}

// outcome is what a caller knows about the result of submitting a job.
type outcome string

// The outcomes.
const (
	outcomeAccepted outcome = "accepted"
	outcomeRefused  outcome = "refused" // by each submission
	outcomeUnknown  outcome = "unknown" // a submission was not answered; the job may have been accepted
)

// callerRecord records what callers have observed, and the faults and breaches of the run. It is safe for
// concurrent use.
type callerRecord struct {
	mu                sync.Mutex
	jobs              []*job
	accepted          []*job
	counts            map[outcome]int
	queries           int
	unansweredQueries int
	lateRefusals      int
	notFoundCancels   int // cancellations answered with "no such job"
	samples           []sample
	faults            []injectedFault
	breaches          []Breach
}

// sample is a point of the plot; the counts are cumulative.
type sample struct {
	at                         time.Duration
	accepted, refused, unknown int
	tail                       float64
}

// injectedFault is a fault that was applied.
type injectedFault struct {
	from, to time.Duration
	fault    Fault
}

// newCallerRecord returns an empty record.
func newCallerRecord() *callerRecord { return &callerRecord{counts: map[outcome]int{}} }

// addSubmission records a submission.
func (r *callerRecord) addSubmission(j *job, s submission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.submissions = append(j.submissions, s)
}

// decideOutcome derives the outcome of a job from its submissions so far, records and returns it.
func (r *callerRecord) decideOutcome(j *job) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.decided, j.outcome = time.Now(), outcomeRefused
	for _, s := range j.submissions {
		switch {
		case s.accepted():
			j.outcome = outcomeAccepted
		case !s.refused() && j.outcome != outcomeAccepted:
			j.outcome = outcomeUnknown // the job may have been accepted
		}
	}
	r.jobs = append(r.jobs, j)
	r.counts[j.outcome]++
	if j.outcome == outcomeAccepted {
		r.accepted = append(r.accepted, j)
	}
	return j.outcome
}

// randomAccepted draws an accepted job; nil if there is none yet.
func (r *callerRecord) randomAccepted(random *rand.Rand) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.accepted) == 0 {
		return nil
	}
	return r.accepted[random.IntN(len(r.accepted))]
}

// noteCancelSent records that a cancellation is about to be sent.
func (r *callerRecord) noteCancelSent(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.cancelSent = true
}

// noteCancelled records that a daemon has confirmed a cancellation.
func (r *callerRecord) noteCancelled(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.cancelled = true
}

// noteNotFound records that a cancellation was answered with "no such job".
func (r *callerRecord) noteNotFound(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.notFound = time.Now()
	r.notFoundCancels++
}

// cancelSent reports whether a cancellation was sent.
func (r *callerRecord) cancelSent(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.cancelSent
}

// noteQuery records a query for the state of a job.
func (r *callerRecord) noteQuery(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queries++
	if !answered {
		r.unansweredQueries++
	}
}

// noteLateRefusal records a refusal that took longer than maxRefusalTime.
func (r *callerRecord) noteLateRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateRefusals++
}

// addSample records the counts so far and the worst tail latency.
func (r *callerRecord) addSample(at time.Duration, tail float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{at, r.counts[outcomeAccepted], r.counts[outcomeRefused], r.counts[outcomeUnknown], tail})
}

// addFault records a fault that was applied.
func (r *callerRecord) addFault(from, to time.Duration, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, injectedFault{from, to, fault})
}

// addBreach records a broken guarantee and which side has observed it.
func (r *callerRecord) addBreach(at time.Duration, seenBy, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, Breach{At: at, SeenBy: seenBy, What: fmt.Sprintf(format, args...)})
}
