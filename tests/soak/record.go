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
	answered  time.Time // when the outcome was known
	cancelled bool      // a cancellation was confirmed
	// mayBeCancelled says that a cancellation was sent, confirmed or not.
	mayBeCancelled bool
	gone           time.Time // when a daemon answered a cancellation with "no such job"; zero: none did
	tries          []try
}

// try is one time that a job was handed in.
type try struct {
	daemon       *daemon
	life         int // of the daemon's process; 0: more than one
	began, ended time.Time
	status       int // 0: no answer
}

// accepted tells whether the job was accepted.
func (t try) accepted() bool { return t.status == http.StatusOK }

// refused tells whether the job was refused.
func (t try) refused() bool {
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

// record is what callers know. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	jobs     []*job
	accepted []*job
	counts   map[outcome]int
	asks     int
	unheard  int // asks without answer
	late     int // refusals
	gone     int // cancellations answered with "no such job"
	samples  []sample
	faults   []happened
	breaches []Breach
}

// sample is a point of the plots; counts are those so far.
type sample struct {
	at                         time.Duration
	accepted, refused, unknown int
	tail                       float64
}

// happened is a fault that came about.
type happened struct {
	from, to time.Duration
	fault    Fault
}

// newRecord makes an empty record.
func newRecord() *record { return &record{counts: map[outcome]int{}} }

// tried notes a try.
func (r *record) tried(j *job, t try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.tries = append(j.tries, t)
}

// outcome notes and gives what came of a job by the tries so far.
func (r *record) outcome(j *job) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.answered, j.outcome = time.Now(), outcomeRefused
	for _, t := range j.tries {
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

// some draws an accepted job; nil: there is none yet.
func (r *record) some(random *rand.Rand) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.accepted) == 0 {
		return nil
	}
	return r.accepted[random.IntN(len(r.accepted))]
}

// cancelling notes that a cancellation is sent.
func (r *record) cancelling(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.mayBeCancelled = true
}

// cancelled notes that a cancellation was confirmed.
func (r *record) cancelled(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.cancelled = true
}

// noSuchJob notes that a cancellation was answered with "no such job".
func (r *record) noSuchJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.gone = time.Now()
	r.gone++
}

// mayBeCancelled tells whether a cancellation was sent.
func (r *record) mayBeCancelled(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.mayBeCancelled
}

// asked notes that a state was asked for.
func (r *record) asked(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks++
	if !answered {
		r.unheard++
	}
}

// refusedLate notes a refusal that took too long.
func (r *record) refusedLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late++
}

// sample notes the counts so far and the worst tail.
func (r *record) sample(at time.Duration, tail float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{at, r.counts[outcomeAccepted], r.counts[outcomeRefused], r.counts[outcomeUnknown], tail})
}

// fault notes a fault that came about.
func (r *record) fault(from, to time.Duration, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, happened{from, to, fault})
}

// broken notes a promise that somebody saw broken.
func (r *record) broken(at time.Duration, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, Breach{At: at, Seen: who, What: fmt.Sprintf(format, args...)})
}
