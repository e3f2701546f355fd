// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package operate

import (
	"sync"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/cell"
)

// outcome is the outcome of a call for one job: accepted, refused or unknown. The set is closed, and a value has exactly
// one of these types.
type outcome interface{ outcome() }

type (
	// accepted says that the job was submitted or cancelled as requested.
	accepted struct{ job models.Job }
	// refused says that this call has had no effect and will have none. kind is the text of the error of package cell
	// that the refusal stands for.
	refused struct{ kind, reason string }
	// unknown says that the call may have taken effect or may still do so.
	unknown struct{ reason string }
)

func (accepted) outcome() {}
func (refused) outcome()  {}
func (unknown) outcome()  {}

// outcomeOfError returns the outcome for each job of a call that failed with an error.
func outcomeOfError(err error) outcome {
	if kind, ok := cell.RefusalOf(err); ok {
		return refused{kind, err.Error()}
	}
	return unknown{err.Error()}
}

// outcomeOf returns the outcome for one job from the answer to the call for all jobs of a cell.
func outcomeOf(id models.JobID, answer models.ForwardAnswer, err error) outcome {
	if err != nil {
		return outcomeOfError(err)
	}
	for _, job := range append(answer.Submitted, answer.Cancelled...) {
		if job.ID == id {
			return accepted{job}
		}
	}
	if r, ok := answer.Refused[id]; ok {
		return refused{r.Kind, r.Reason}
	}
	return outcomeOfError(cell.ErrUnknownOutcome)
}

// callHistory records the outcomes of the calls of one kind that went through this daemon, by job. A refusal says only
// that one call had no effect; the job was not accepted only if no other call with the job had an effect either. The
// history is bounded by maxRecentJobs and does not cover calls through other daemons.
type callHistory struct {
	mu     sync.Mutex
	recent map[models.JobID]*jobHistory
	older  map[models.JobID]*jobHistory
}

// jobHistory summarizes the calls that named a job.
type jobHistory struct {
	inFlight int  // number of calls without an answer yet
	unknown  bool // a call ended with an unknown outcome and none was accepted
	accepted bool // a call was accepted
}

func (h *jobHistory) isEmpty() bool { return h.inFlight == 0 && !h.unknown && !h.accepted }

// maxRecentJobs is the number of jobs that the recent half of a history holds before the older half is dropped. The
// largest calls name 1,000 jobs, so at least the latest 50 calls are remembered.
const maxRecentJobs = 50_000

func newCallHistory() *callHistory {
	return &callHistory{recent: map[models.JobID]*jobHistory{}, older: map[models.JobID]*jobHistory{}}
}

// begin records that a call with the jobs is in flight until end is called for each job.
func (c *callHistory) begin(ids []models.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent) >= maxRecentJobs {
		c.rotate()
	}
	for _, id := range ids {
		h, ok := c.find(id)
		if !ok {
			h = &jobHistory{}
		}
		c.recent[id] = h
		h.inFlight++
	}
}

// rotate drops the older half except for jobs with calls in flight. The caller holds the lock.
func (c *callHistory) rotate() {
	kept := map[models.JobID]*jobHistory{}
	for id, h := range c.older {
		if h.inFlight > 0 {
			kept[id] = h
		}
	}
	c.older, c.recent = c.recent, kept
}

// find returns the history of a job. The caller holds the lock.
func (c *callHistory) find(id models.JobID) (*jobHistory, bool) {
	if h, ok := c.recent[id]; ok {
		return h, true
	}
	h, ok := c.older[id]
	return h, ok
}

// end records the outcome of a call for a job and returns the outcome for the job over all recorded calls.
func (c *callHistory) end(id models.JobID, o outcome) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.find(id)
	if !ok {
		return unknown{"unknown: it is not remembered what other calls have done; ask again"}
	}
	h.inFlight--
	switch o := o.(type) {
	case accepted:
		h.accepted, h.unknown = true, false // a job is accepted only once: later calls have no effect
	case unknown:
		h.unknown = !h.accepted
	case refused:
		if !h.isEmpty() && o.kind != jobIDConflict && o.kind != jobNotFound {
			return o.asUnknown()
		}
	}
	if h.isEmpty() {
		delete(c.recent, id)
		delete(c.older, id)
	}
	return o
}

// Refusals that hold whatever the outcome of other calls is: a job with another specification under the same id is not
// accepted, and a job that does not exist cannot be cancelled.
var (
	jobIDConflict = cell.ErrJobIDConflict.Error()
	jobNotFound   = cell.ErrJobNotFound.Error()
)

func isJobNotFound(o outcome) bool {
	r, ok := o.(refused)
	return ok && r.kind == jobNotFound
}

// combine returns the outcome for a job from the calls to two cells either of which may hold the job. The result is
// that the job was not found only if both cells say so.
func combine(a, b outcome) outcome {
	switch {
	case isAccepted(a), isJobNotFound(b):
		return a
	case isAccepted(b), isJobNotFound(a):
		return b
	}
	if _, ok := b.(unknown); ok {
		return b
	}
	return a
}

func isAccepted(o outcome) bool {
	_, ok := o.(accepted)
	return ok
}

// asUnknown returns the outcome for a job that one call has refused and another call may have submitted or cancelled.
func (r refused) asUnknown() outcome {
	return unknown{"unknown: another call with this job may have been done; this one was not: " + r.reason}
}

// mayBeAccepted reports whether a call with the job may still take effect or may have taken effect unconfirmed.
func (c *callHistory) mayBeAccepted(id models.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.find(id)
	return ok && (h.inFlight > 0 || h.unknown)
}

// resultOf converts an outcome to the result that the caller receives.
func resultOf(id models.JobID, o outcome) models.JobResult {
	switch o := o.(type) {
	case accepted:
		return models.JobResult{ID: id, Job: &o.job}
	case refused:
		return models.JobResult{ID: id, Outcome: models.RequestNotRun, Error: o.reason}
	case unknown:
		return models.JobResult{ID: id, Outcome: models.RequestUnknown, Error: o.reason}
	}
	return models.JobResult{ID: id, Outcome: models.RequestUnknown}
}
