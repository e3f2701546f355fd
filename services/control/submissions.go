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

// submissions are the jobs that this daemon can't refuse whatever the store says of the next
// write: a write is under way, one has ended without an answer, or the job was accepted here.
// A doubt ends only by what the store holds, read once no write can follow any more.
type submissions struct {
	mu         sync.Mutex
	byID       map[jobs.ID]*submission
	lastPruned time.Time // when old ones were dropped last
}

// newSubmissions makes an empty set.
func newSubmissions() *submissions { return &submissions{byID: map[jobs.ID]*submission{}} }

// submission is one of them.
type submission struct {
	call *submitCall // under way; nil: none is
	// unresolved is the version of this daemon's key that a write without answer depends on; 0: no
	// write is in doubt, and the job is accepted unless a call is under way.
	unresolved platform.Version
	since      time.Time // of the doubt or the acceptance
}

// submitCall is one time that a job is handed in.
type submitCall struct {
	ended   chan struct{}
	outcome platform.Outcome // once ended is closed
}

// wait gives the outcome of a call that somebody else makes.
func (c *submitCall) wait(ctx context.Context) platform.Outcome {
	select {
	case <-c.ended:
		return c.outcome
	case <-ctx.Done():
		return platform.MaybeDone{Cause: ctx.Err()}
	}
}

const (
	// submissionRetention is how long a job is kept that nobody hands in again: as long as the store
	// keeps the records of jobs that have ended.
	submissionRetention = dispatch.Remembered
	// pruneInterval is how often old ones are looked for: looking costs a pass over some hundreds.
	pruneInterval = time.Second
)

// begin begins a call for a job, and gives the version that an earlier write in doubt depends
// on. Another call that is under way or has been accepted is given in its place: both concern
// the same record, so that both have its outcome.
func (s *submissions) begin(id jobs.ID) (call *submitCall, doubt platform.Version, first bool) {
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

// acceptedCall is a call that has ended with an acceptance.
var acceptedCall = func() *submitCall {
	c := &submitCall{ended: make(chan struct{}), outcome: platform.Done{}}
	close(c.ended)
	return c
}()

// finish ends a call. What was accepted or is in doubt is kept.
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

// prune drops those that were kept for long enough.
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

// pendingWriteState is whether a write of a job may still store it.
type pendingWriteState uint8

const (
	noPendingWrite  pendingWriteState = iota // none of this daemon, as far as it knows
	writeInFlight                            // one is under way
	writeUnresolved                          // one had no answer
)

// pendingWrite tells whether a write of the job may follow, and which version one in doubt depends on.
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
