// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// submissions tracks the jobs that this daemon must not refuse, whatever the store answers to the next
// write: a write is in flight, a write has an unknown outcome, or this daemon has accepted the job. An
// unknown outcome is resolved only by reading the store once no write can follow any more.
type submissions struct {
	mu         sync.Mutex
	byID       map[jobs.ID]*submission
	lastPruned time.Time // when expired submissions were last removed
}

func newSubmissions() *submissions { return &submissions{byID: map[jobs.ID]*submission{}} }

// submission is the state of a job in submissions.
type submission struct {
	call *submitCall // the call in progress; nil: none
	// unresolved is the version of this daemon's key that a write of unknown outcome is conditioned on. 0
	// means that there is no such write; unless a call is in progress, the job has then been accepted.
	unresolved platform.Version
	since      time.Time // when the outcome became unknown, or the job was accepted
}

// submitCall is one attempt to submit a job.
type submitCall struct {
	ended   chan struct{}
	outcome platform.Outcome // valid once ended is closed
}

// wait waits for a call made by another goroutine and returns its outcome.
func (c *submitCall) wait(ctx context.Context) platform.Outcome {
	select {
	case <-c.ended:
		return c.outcome
	case <-ctx.Done():
		return platform.MaybeDone{Cause: ctx.Err()}
	}
}

const (
	// submissionRetention is how long a job is tracked after its last submission: as long as the store
	// keeps the records of ended jobs.
	submissionRetention = dispatch.EndedRetention
	// pruneInterval is the least time between two removals of expired submissions. Each removal is a
	// pass over some hundred entries.
	pruneInterval = time.Second
)

// begin starts a call for a job. It returns the version that an earlier write of unknown outcome is
// conditioned on, if there is one. If another call is in progress or the job has been accepted, begin
// returns that call with first false: both calls concern the same record and share its outcome.
func (s *submissions) begin(id jobs.ID) (call *submitCall, unresolved platform.Version, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(time.Now())
	known := s.byID[id]
	switch {
	case known == nil:
		known = &submission{}
		s.byID[id] = known
	case known.call != nil:
		return known.call, 0, false
	case known.unresolved == 0:
		return acceptedCall, 0, false
	}
	known.call = &submitCall{ended: make(chan struct{})}
	return known.call, known.unresolved, true
}

// acceptedCall is a finished call whose job was accepted.
var acceptedCall = func() *submitCall {
	c := &submitCall{ended: make(chan struct{}), outcome: platform.Done{}}
	close(c.ended)
	return c
}()

// finish records the result of a call. The submission stays if the job was accepted or the outcome of a
// write is unknown.
func (s *submissions) finish(id jobs.ID, result submitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byID[id]
	known.call.outcome = result.outcome
	close(known.call.ended)
	known.call = nil
	known.unresolved, known.since = result.unresolved, time.Now()
	if _, accepted := result.outcome.(platform.Done); !accepted && result.unresolved == 0 {
		delete(s.byID, id)
	}
}

// prune removes the submissions whose retention is over.
func (s *submissions) prune(now time.Time) {
	if now.Sub(s.lastPruned) < pruneInterval {
		return
	}
	s.lastPruned = now
	for id, known := range s.byID {
		if known.call == nil && now.Sub(known.since) > submissionRetention {
			delete(s.byID, id)
		}
	}
}

// pendingWriteState describes whether a write of this daemon may still store a job.
type pendingWriteState uint8

const (
	noPendingWrite  pendingWriteState = iota // none that this daemon knows of
	writeInFlight                            // a write is in flight
	writeUnresolved                          // the outcome of a write is unknown
)

// pendingWrite reports whether a write may still store the job. For a write of unknown outcome it also
// returns the version that the write is conditioned on.
func (s *submissions) pendingWrite(id jobs.ID) (pendingWriteState, platform.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byID[id]
	switch {
	case known == nil:
		return noPendingWrite, 0
	case known.call != nil:
		return writeInFlight, 0
	case known.unresolved != 0:
		return writeUnresolved, known.unresolved
	default:
		return noPendingWrite, 0
	}
}
