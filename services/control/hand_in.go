// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// handIns are the jobs that callers have handed in here and whose fate this daemon does not
// know: a write is under way, or one has ended without an answer. While a job is among them it
// is not refused, whatever the store says of a later try: only what the store holds, read once
// no write can follow any more, ends the doubt.
type handIns struct {
	mu   sync.Mutex
	open map[jobs.ID]*handIn
}

// newHandIns makes an empty set.
func newHandIns() *handIns { return &handIns{open: map[jobs.ID]*handIn{}} }

// handIn is one of them.
type handIn struct {
	under *try // nil: none is under way
	// doubt is the version of this daemon's key that a write without answer depends on; 0: no
	// write is in doubt.
	doubt platform.Version
	since time.Time // of the doubt
}

// try is one time that a job is handed in.
type try struct {
	ended   chan struct{}
	outcome platform.Outcome // once ended is closed
}

// wait gives the outcome of a try that another call makes.
func (t *try) wait(ctx context.Context) platform.Outcome {
	select {
	case <-t.ended:
		return t.outcome
	case <-ctx.Done():
		return platform.MaybeDone{Cause: ctx.Err()}
	}
}

// doubtKept is how long a job of unknown fate is kept that nobody hands in again: as long as
// the store keeps jobs that have ended.
const doubtKept = 150 * time.Second

// begin begins a try, and gives the version that an earlier write in doubt depends on. Another
// try that is under way is given in its place: both concern the same record, so that both get
// its outcome.
func (h *handIns) begin(id jobs.ID) (t *try, doubt platform.Version, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hand := h.open[id]
	switch {
	case hand == nil:
		hand = &handIn{}
		h.open[id] = hand
	case hand.under != nil:
		return hand.under, 0, false
	}
	hand.under = &try{ended: make(chan struct{})}
	return hand.under, hand.doubt, true
}

// finish ends a try. A job without a write in doubt is dropped.
func (h *handIns) finish(id jobs.ID, result handInResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hand := h.open[id]
	hand.under.outcome = result.outcome
	close(hand.under.ended)
	hand.under = nil
	if result.doubt == 0 {
		delete(h.open, id)
		return
	}
	hand.doubt, hand.since = result.doubt, time.Now()
	h.dropOld(hand.since)
}

// dropOld drops the doubts that were kept for long enough.
func (h *handIns) dropOld(now time.Time) {
	for id, hand := range h.open {
		if hand.under == nil && now.Sub(hand.since) > doubtKept {
			delete(h.open, id)
		}
	}
}

// knows tells whether a write of the job is under way or in doubt.
func (h *handIns) knows(id jobs.ID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open[id] != nil
}
