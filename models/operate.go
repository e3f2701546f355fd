// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// Status summarizes a daemon and what it knows of the other daemons, the cells and the upstreams.
type Status struct {
	Self      Member             `json:"self"`
	Revision  Revision           `json:"revision"`
	Members   []MemberStatus     `json:"members"`
	Cells     []CellStatus       `json:"cells"`
	Upstreams []UpstreamStatus   `json:"upstreams"`
	Metrics   map[string]float64 `json:"figures"`
}

// Check implements wire.Checker; every value is valid.
func (s Status) Check() error { return nil }

// MemberStatus is the state of a daemon as seen by the daemon that reports it.
type MemberStatus struct {
	Member
	Revision Revision `json:"revision"`
	Cells    int      `json:"cells"`
	Waiting  int      `json:"waiting"`
	State    string   `json:"state"` // live, leaving or silent
}

// CellStatus is a cell and its owner as seen by one daemon.
type CellStatus struct {
	Cell    CellID        `json:"cell"`
	Domain  FailureDomain `json:"domain"`
	Owner   MemberID      `json:"owner"` // empty if no owner is known
	Epoch   Epoch         `json:"epoch"`
	Free    Resources     `json:"free"`
	Waiting int           `json:"waiting"`
}

// UpstreamStatus is the state of an upstream as seen by one daemon.
type UpstreamStatus struct {
	VM            VMID   `json:"vm"`
	State         string `json:"state"` // live, leaving, drained or ejected
	OwnInFlight   int    `json:"own"`   // requests in flight from this daemon
	PeersInFlight int    `json:"peers"` // requests in flight from the other daemons, as last reported by them
	Share         int    `json:"share"` // slots that this daemon may use
	Slots         int    `json:"slots"`
	Latency       Milli  `json:"latency_ms"`
}

// Submission is the request body of a job submission.
type Submission struct {
	Jobs []JobSpec `json:"jobs"`
}

// maxJobsPerCall bounds the jobs of one submission or cancellation.
const maxJobsPerCall = 1000

// placeholderDefaults replaces the team's defaults while a submission is decoded, when the team is not looked
// up yet. The team's real defaults are filled in, and the job is checked again, before the job is accepted.
var placeholderDefaults = JobDefaults{Size: Resources{CPU: 1}, Work: 1}

// Check validates every job, except for the values that the defaults of the job's team may fill in.
func (s Submission) Check() error {
	if len(s.Jobs) == 0 || len(s.Jobs) > maxJobsPerCall {
		return newCountError("jobs", len(s.Jobs), maxJobsPerCall)
	}
	for _, job := range s.Jobs {
		if err := placeholderDefaults.ApplyTo(job).Check(); err != nil {
			return err
		}
	}
	return nil
}

// Cancellation is the request body of a job cancellation.
type Cancellation struct {
	Jobs []JobID `json:"jobs"`
}

// Check validates the number of jobs and their IDs.
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

// JobResult is the result of a submission or cancellation for one of its jobs.
type JobResult struct {
	ID      JobID          `json:"id"`
	Job     *Job           `json:"job,omitempty"`
	Outcome RequestOutcome `json:"outcome,omitempty"` // empty if the job was accepted
	Error   string         `json:"error,omitempty"`
}

// JobResults is the response to a submission or cancellation, with one result per job.
type JobResults struct {
	Results []JobResult `json:"results"`
}

// Check implements wire.Checker; every value is valid.
func (r JobResults) Check() error { return nil }

// UnknownCells replaces the cell IDs in a listing while it is not known which cells exist.
const UnknownCells CellID = "*"

// Listing is the response to the calls that list records of all cells. Missing holds the cells that did not
// answer, with the reason; UnknownCells is listed there if it is not known which cells exist.
type Listing struct {
	Jobs      []Job             `json:"jobs,omitempty"`
	Tasks     []Task            `json:"tasks,omitempty"`
	Workers   []WorkerStatus    `json:"workers,omitempty"`
	Decisions []Decision        `json:"decisions,omitempty"`
	Missing   map[CellID]string `json:"missing,omitempty"`
}

// Check implements wire.Checker; every value is valid.
func (l Listing) Check() error { return nil }

// RequestRefusal describes a request that got no answer from an upstream, as recorded by the daemon that
// refused it.
type RequestRefusal struct {
	ID      string         `json:"id"` // as sent to the caller in the header Rillsail-Request-Id
	At      UnixMilli      `json:"at"`
	Class   ClassName      `json:"class"`
	Status  int            `json:"status"`
	Outcome RequestOutcome `json:"outcome"`
	Reason  string         `json:"reason"`
	Waited  Milli          `json:"waited_ms"`
}

// Refusals lists the most recent refusals of one daemon, oldest first.
type Refusals struct {
	Refusals []RequestRefusal `json:"refusals"`
}

// Check implements wire.Checker; every value is valid.
func (r Refusals) Check() error { return nil }

// Configuration is the configuration in force as a list of its objects.
type Configuration struct {
	Revision Revision    `json:"revision"`
	Objects  []ObjectBox `json:"objects"`
}

// Check validates every object.
func (c Configuration) Check() error {
	return checkAll(c.Objects)
}
