// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package operate

import (
	"sync"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/cell"
)

// fate is what a call has done of one job: accepted, refused or doubtful. The set is closed,
// and a value is one of them only.
type fate interface{ fate() }

type (
	// accepted says that what was asked for is done.
	accepted struct{ job models.Job }
	// refused says that this call has done nothing, and won't. kind is the text of the
	// cell's error that it is.
	refused struct{ kind, reason string }
	// doubtful says that it may have been done, or may still be.
	doubtful struct{ reason string }
)

func (accepted) fate() {}
func (refused) fate()  {}
func (doubtful) fate() {}

// failed is the fate of each job of a call that ended with an error.
func failed(err error) fate {
	if kind, ok := cell.RefusalOf(err); ok {
		return refused{kind, err.Error()}
	}
	return doubtful{err.Error()}
}

// fateOf takes what became of one job out of the answer for all jobs of its home.
func fateOf(id models.JobID, answer models.ForwardAnswer, err error) fate {
	if err != nil {
		return failed(err)
	}
	for _, job := range append(answer.Submitted, answer.Cancelled...) {
		if job.ID == id {
			return accepted{job}
		}
	}
	if r, ok := answer.Refused[id]; ok {
		return refused{r.Kind, r.Reason}
	}
	return failed(cell.ErrMaybe)
}

// memory is what has become of the calls of one kind that went through this daemon, job by
// job. A refusal says that a call has done nothing; that the job won't run it says only when
// no other call with the job has done anything either. What is remembered is bounded, see
// generation; calls through other daemons are not known here.
type memory struct {
	mu     sync.Mutex
	latest map[models.JobID]*handed
	former map[models.JobID]*handed
}

// handed is a job that calls have named.
type handed struct {
	underWay int // calls without an answer yet
	maybe    bool
	done     bool
}

func (h *handed) forgettable() bool { return h.underWay == 0 && !h.maybe && !h.done }

// generation is for how many jobs a memory is made before the older half is forgotten: at
// 1,000 jobs in each of the largest calls, the latest 50 calls at least.
const generation = 50_000

func newMemory() *memory {
	return &memory{latest: map[models.JobID]*handed{}, former: map[models.JobID]*handed{}}
}

// begin notes that a call with the jobs is under way, until end is called for each.
func (m *memory) begin(ids []models.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.latest) >= generation {
		m.turn()
	}
	for _, id := range ids {
		h, ok := m.find(id)
		if !ok {
			h = &handed{}
		}
		m.latest[id] = h
		h.underWay++
	}
}

// turn forgets the older half but for what is under way; the caller holds the lock.
func (m *memory) turn() {
	kept := map[models.JobID]*handed{}
	for id, h := range m.former {
		if h.underWay > 0 {
			kept[id] = h
		}
	}
	m.former, m.latest = m.latest, kept
}

// find gives what is known of a job; the caller holds the lock.
func (m *memory) find(id models.JobID) (*handed, bool) {
	if h, ok := m.latest[id]; ok {
		return h, true
	}
	h, ok := m.former[id]
	return h, ok
}

// end notes the fate that a call has given a job, and gives that of the job over all calls.
func (m *memory) end(id models.JobID, f fate) fate {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.find(id)
	if !ok {
		return doubtful{"unknown: it is not remembered what other calls have done; ask again"}
	}
	h.underWay--
	switch f := f.(type) {
	case accepted:
		h.done, h.maybe = true, false // a job is taken once: calls that come later change nothing
	case doubtful:
		h.maybe = !h.done
	case refused:
		if !h.forgettable() && f.kind != otherSpec && f.kind != noJob {
			return f.doubt()
		}
	}
	if h.forgettable() {
		delete(m.latest, id)
		delete(m.former, id)
	}
	return f
}

// These refusals speak of the job, whatever other calls have done: one of another content
// isn't taken, and a job that isn't there can't be cancelled.
var (
	otherSpec = cell.ErrOtherSpec.Error()
	noJob     = cell.ErrNoJob.Error()
)

func isNoJob(f fate) bool {
	r, ok := f.(refused)
	return ok && r.kind == noJob
}

// joined is the fate of a job over the calls to two cells, of which either may have it: that
// it isn't there is said only when neither says anything else.
func joined(a, b fate) fate {
	switch {
	case isAccepted(a), isNoJob(b):
		return a
	case isAccepted(b), isNoJob(a):
		return b
	}
	if _, ok := b.(doubtful); ok {
		return b
	}
	return a
}

func isAccepted(f fate) bool {
	_, ok := f.(accepted)
	return ok
}

// doubt is the fate of a job that a call has refused and another may have brought in.
func (r refused) doubt() fate {
	return doubtful{"unknown: another call with this job may have been done; this one was not: " + r.reason}
}

// open tells whether a call with the job may still be done.
func (m *memory) open(id models.JobID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.find(id)
	return ok && (h.underWay > 0 || h.maybe)
}

// resultOf is what a caller is told.
func resultOf(id models.JobID, f fate) models.JobResult {
	switch f := f.(type) {
	case accepted:
		return models.JobResult{ID: id, Job: &f.job}
	case refused:
		return models.JobResult{ID: id, Outcome: models.RequestNotRun, Error: f.reason}
	case doubtful:
		return models.JobResult{ID: id, Outcome: models.RequestUnknown, Error: f.reason}
	}
	return models.JobResult{ID: id, Outcome: models.RequestUnknown}
}
