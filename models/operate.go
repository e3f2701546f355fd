// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// Status sums up a daemon and what it knows of the others.
type Status struct {
	Self     Member             `json:"self"`
	Revision Revision           `json:"revision"`
	Members  []MemberStatus     `json:"members"`
	Cells    []CellStatus       `json:"cells"`
	Upstream []UpstreamStatus   `json:"upstreams"`
	Figures  map[string]float64 `json:"figures"`
}

// Check is there for the decoder; every value is allowed.
func (s Status) Check() error { return nil }

// MemberStatus is a daemon as another sees it.
type MemberStatus struct {
	Member
	Revision Revision `json:"revision"`
	Cells    int      `json:"cells"`
	Waiting  int      `json:"waiting"`
	State    string   `json:"state"` // live, leaving or silent
}

// CellStatus is a cell with its owner.
type CellStatus struct {
	Cell    CellID        `json:"cell"`
	Domain  FailureDomain `json:"domain"`
	Owner   MemberID      `json:"owner"` // empty: none is known
	Epoch   Epoch         `json:"epoch"`
	Free    Resources     `json:"free"`
	Waiting int           `json:"waiting"`
}

// UpstreamStatus is an upstream as one daemon sees it.
type UpstreamStatus struct {
	VM      VMID   `json:"vm"`
	State   string `json:"state"` // live, leaving, drained, ejected
	Own     int    `json:"own"`   // requests of this daemon in flight
	Peers   int    `json:"peers"` // those of the others, as last told
	Share   int    `json:"share"`
	Slots   int    `json:"slots"`
	Latency Milli  `json:"latency_ms"`
}

// Submission is the body of a job submission.
type Submission struct {
	Jobs []JobSpec `json:"jobs"`
}

// maxJobsPerCall bounds the jobs of one call.
const maxJobsPerCall = 1000

// placeholderDefaults stand for a team's while a submission is decoded; those of the team are
// filled in, and the job checked again, before it is accepted.
var placeholderDefaults = JobDefaults{Size: Resources{CPU: 1}, Work: 1}

// Check checks every job, but for what its team's defaults may fill in.
func (s Submission) Check() error {
	if len(s.Jobs) == 0 || len(s.Jobs) > maxJobsPerCall {
		return newCountError("jobs", len(s.Jobs), maxJobsPerCall)
	}
	for _, job := range s.Jobs {
		if err := placeholderDefaults.Fill(job).Check(); err != nil {
			return err
		}
	}
	return nil
}

// Cancellation is the body of a job cancellation.
type Cancellation struct {
	Jobs []JobID `json:"jobs"`
}

// Check checks that jobs are named.
func (c Cancellation) Check() error {
	if len(c.Jobs) == 0 || len(c.Jobs) > maxJobsPerCall {
		return newCountError("jobs", len(c.Jobs), maxJobsPerCall)
	}
	for _, id := range c.Jobs {
		if err := checkName("job id", string(id)); err != nil {
			return err
		}
	}
	return nil
}

// JobResult is what became of one job of a call.
type JobResult struct {
	ID      JobID          `json:"id"`
	Job     *Job           `json:"job,omitempty"`
	Outcome RequestOutcome `json:"outcome,omitempty"` // of a refusal
	Error   string         `json:"error,omitempty"`
}

// JobResults answers a submission or cancellation, job by job.
type JobResults struct {
	Results []JobResult `json:"results"`
}

// Check is there for the decoder; every value is allowed.
func (r JobResults) Check() error { return nil }

// AnyCell stands in a listing for cells that aren't known.
const AnyCell CellID = "*"

// Listing answers the calls that list what all cells hold. Missing names the cells
// that gave no answer, with the reason; AnyCell when it isn't known which cells there are.
type Listing struct {
	Jobs      []Job             `json:"jobs,omitempty"`
	Tasks     []Task            `json:"tasks,omitempty"`
	Workers   []WorkerStatus    `json:"workers,omitempty"`
	Decisions []Decision        `json:"decisions,omitempty"`
	Missing   map[CellID]string `json:"missing,omitempty"`
}

// Check is there for the decoder; every value is allowed.
func (l Listing) Check() error { return nil }

// RequestRefusal is a request that got no answer of an upstream, as the daemon that
// refused it remembers it.
type RequestRefusal struct {
	ID      string         `json:"id"` // as told to the caller in Rillsail-Request-Id
	At      UnixMilli      `json:"at"`
	Class   ClassName      `json:"class"`
	Status  int            `json:"status"`
	Outcome RequestOutcome `json:"outcome"`
	Reason  string         `json:"reason"`
	Waited  Milli          `json:"waited_ms"`
}

// Refusals are the latest refusals of one daemon, the oldest first.
type Refusals struct {
	Refusals []RequestRefusal `json:"refusals"`
}

// Check is there for the decoder; every value is allowed.
func (r Refusals) Check() error { return nil }

// Configuration is the configuration in force, object by object.
type Configuration struct {
	Revision Revision    `json:"revision"`
	Objects  []ObjectBox `json:"objects"`
}

// Check checks every object.
func (c Configuration) Check() error {
	return checkAll(c.Objects)
}
