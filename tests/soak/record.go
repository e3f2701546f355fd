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

// job is a job as its caller knows it.
type job struct {
	spec      jobs.Spec
	outcome   outcome
	decided   time.Time // when the outcome was known
	cancelled bool      // a cancellation was confirmed
	// cancelSent says that a cancellation was sent, confirmed or not.
	cancelSent  bool
	notFound    time.Time // when a daemon answered a cancellation with "no such job"; zero: none did
	submissions []submission
}

// submission is one time that a job was handed in.
type submission struct {
	daemon       *daemon
	incarnation  int // of the daemon's process; 0: more than one
	began, ended time.Time
	status       int // 0: no answer
}

// accepted tells whether the job was accepted.
func (t submission) accepted() bool { return t.status == http.StatusOK }

// refused tells whether the job was refused.
func (t submission) refused() bool {
	return t.status == http.StatusTooManyRequests || t.status == http.StatusServiceUnavailable
}

// outcome is what a caller knows of a job that it handed in.
type outcome string

// The outcomes.
const (
	outcomeAccepted outcome = "accepted"
	outcomeRefused  outcome = "refused" // each time
	outcomeUnknown  outcome = "unknown" // a call was not answered; it may have been accepted
)

// callerRecord is what callers know. It is safe for concurrent use.
type callerRecord struct {
	mu                sync.Mutex
	jobs              []*job
	accepted          []*job
	counts            map[outcome]int
	queries           int
	unansweredQueries int // asks without answer
	lateRefusals      int // refusals
	notFoundCancels   int // cancellations answered with "no such job"
	samples           []sample
	faults            []injectedFault
	breaches          []Breach
}

// sample is a point of the plots; counts are those so far.
type sample struct {
	at                         time.Duration
	accepted, refused, unknown int
	tail                       float64
}

// injectedFault is a fault that came about.
type injectedFault struct {
	from, to time.Duration
	fault    Fault
}

// newCallerRecord makes an empty record.
func newCallerRecord() *callerRecord { return &callerRecord{counts: map[outcome]int{}} }

// addSubmission notes a try.
func (r *callerRecord) addSubmission(j *job, t submission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.submissions = append(j.submissions, t)
}

// decideOutcome notes and gives what came of a job by the tries so far.
func (r *callerRecord) decideOutcome(j *job) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.decided, j.outcome = time.Now(), outcomeRefused
	for _, t := range j.submissions {
		switch {
		case t.accepted():
			j.outcome = outcomeAccepted
		case !t.refused() && j.outcome != outcomeAccepted:
			j.outcome = outcomeUnknown // it may have been accepted
		}
	}
	r.jobs = append(r.jobs, j)
	r.counts[j.outcome]++
	if j.outcome == outcomeAccepted {
		r.accepted = append(r.accepted, j)
	}
	return j.outcome
}

// randomAccepted draws an accepted job; nil: there is none yet.
func (r *callerRecord) randomAccepted(random *rand.Rand) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.accepted) == 0 {
		return nil
	}
	return r.accepted[random.IntN(len(r.accepted))]
}

// noteCancelSent notes that a cancellation is sent.
func (r *callerRecord) noteCancelSent(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.cancelSent = true
}

// noteCancelled notes that a cancellation was confirmed.
func (r *callerRecord) noteCancelled(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.cancelled = true
}

// noteNotFound notes that a cancellation was answered with "no such job".
func (r *callerRecord) noteNotFound(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.notFound = time.Now()
	r.notFoundCancels++
}

// cancelSent tells whether a cancellation was sent.
func (r *callerRecord) cancelSent(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.cancelSent
}

// noteQuery notes that a state was asked for.
func (r *callerRecord) noteQuery(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queries++
	if !answered {
		r.unansweredQueries++
	}
}

// noteLateRefusal notes a refusal that took too long.
func (r *callerRecord) noteLateRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateRefusals++
}

// addSample notes the counts so far and the worst tail.
func (r *callerRecord) addSample(at time.Duration, tail float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{at, r.counts[outcomeAccepted], r.counts[outcomeRefused], r.counts[outcomeUnknown], tail})
}

// addFault notes a fault that came about.
func (r *callerRecord) addFault(from, to time.Duration, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, injectedFault{from, to, fault})
}

// addBreach notes a promise that somebody saw broken.
func (r *callerRecord) addBreach(at time.Duration, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, Breach{At: at, SeenBy: who, What: fmt.Sprintf(format, args...)})
}
