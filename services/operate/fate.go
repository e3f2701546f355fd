// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package operate

import (
	"sync"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/cell"
)

// outcome is what a call has done of one job: accepted, refused or doubtful. The set is closed,
// and a value is one of them only.
type outcome interface{ outcome() }

type (
	// accepted says that what was asked for is done.
	accepted struct{ job models.Job }
	// refused says that this call has done nothing, and won't. kind is the text of the
	// cell's error that it is.
	refused struct{ kind, reason string }
	// unknown says that it may have been done, or may still be.
	unknown struct{ reason string }
)

func (accepted) outcome() {}
func (refused) outcome()  {}
func (unknown) outcome()  {}

// outcomeOfError is the fate of each job of a call that ended with an error.
func outcomeOfError(err error) outcome {
	if kind, ok := cell.RefusalOf(err); ok {
		return refused{kind, err.Error()}
	}
	return unknown{err.Error()}
}

// outcomeOf takes what became of one job out of the answer for all jobs of its home.
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
	return outcomeOfError(cell.ErrMaybe)
}

// callHistory is what has become of the calls of one kind that went through this daemon, job by
// job. A refusal says that a call has done nothing; that the job won't run it says only when
// no other call with the job has done anything either. What is remembered is bounded, see
// generation; calls through other daemons are not known here.
type callHistory struct {
	mu     sync.Mutex
	recent map[models.JobID]*jobHistory
	older  map[models.JobID]*jobHistory
}

// jobHistory is a job that calls have named.
type jobHistory struct {
	inFlight int // calls without an answer yet
	unknown  bool
	accepted bool
}

func (h *jobHistory) isEmpty() bool { return h.inFlight == 0 && !h.unknown && !h.accepted }

// maxRecentJobs is for how many jobs a memory is made before the older half is forgotten: at
// 1,000 jobs in each of the largest calls, the latest 50 calls at least.
const maxRecentJobs = 50_000

func newCallHistory() *callHistory {
	return &callHistory{recent: map[models.JobID]*jobHistory{}, older: map[models.JobID]*jobHistory{}}
}

// begin notes that a call with the jobs is under way, until end is called for each.
func (m *callHistory) begin(ids []models.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.recent) >= maxRecentJobs {
		m.rotate()
	}
	for _, id := range ids {
		h, ok := m.find(id)
		if !ok {
			h = &jobHistory{}
		}
		m.recent[id] = h
		h.inFlight++
	}
}

// rotate forgets the older half but for what is under way; the caller holds the lock.
func (m *callHistory) rotate() {
	kept := map[models.JobID]*jobHistory{}
	for id, h := range m.older {
		if h.inFlight > 0 {
			kept[id] = h
		}
	}
	m.older, m.recent = m.recent, kept
}

// find gives what is known of a job; the caller holds the lock.
func (m *callHistory) find(id models.JobID) (*jobHistory, bool) {
	if h, ok := m.recent[id]; ok {
		return h, true
	}
	h, ok := m.older[id]
	return h, ok
}

// end notes the fate that a call has given a job, and gives that of the job over all calls.
func (m *callHistory) end(id models.JobID, f outcome) outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.find(id)
	if !ok {
		return unknown{"unknown: it is not remembered what other calls have done; ask again"}
	}
	h.inFlight--
	switch f := f.(type) {
	case accepted:
		h.accepted, h.unknown = true, false // a job is taken once: calls that come later change nothing
	case unknown:
		h.unknown = !h.accepted
	case refused:
		if !h.isEmpty() && f.kind != jobIDConflict && f.kind != jobNotFound {
			return f.asUnknown()
		}
	}
	if h.isEmpty() {
		delete(m.recent, id)
		delete(m.older, id)
	}
	return f
}

// These refusals speak of the job, whatever other calls have done: one of another content
// isn't taken, and a job that isn't there can't be cancelled.
var (
	jobIDConflict = cell.ErrOtherSpec.Error()
	jobNotFound   = cell.ErrNoJob.Error()
)

func isJobNotFound(f outcome) bool {
	r, ok := f.(refused)
	return ok && r.kind == jobNotFound
}

// combine is the fate of a job over the calls to two cells, of which either may have it: that
// it isn't there is said only when neither says anything else.
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

func isAccepted(f outcome) bool {
	_, ok := f.(accepted)
	return ok
}

// asUnknown is the fate of a job that a call has refused and another may have brought in.
func (r refused) asUnknown() outcome {
	return unknown{"unknown: another call with this job may have been done; this one was not: " + r.reason}
}

// mayBeAccepted tells whether a call with the job may still be done.
func (m *callHistory) mayBeAccepted(id models.JobID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.find(id)
	return ok && (h.inFlight > 0 || h.unknown)
}

// resultOf is what a caller is told.
func resultOf(id models.JobID, f outcome) models.JobResult {
	switch f := f.(type) {
	case accepted:
		return models.JobResult{ID: id, Job: &f.job}
	case refused:
		return models.JobResult{ID: id, Outcome: models.RequestNotRun, Error: f.reason}
	case unknown:
		return models.JobResult{ID: id, Outcome: models.RequestUnknown, Error: f.reason}
	}
	return models.JobResult{ID: id, Outcome: models.RequestUnknown}
}
