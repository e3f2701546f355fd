// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Jobs is section [jobs]: how jobs of steps are run on the users' platform.
type Jobs struct {
	OwnerLease     time.Duration // of a cell's owner in the store
	WorkerLease    time.Duration // of the runs on a worker
	LongestLease   time.Duration // longest lease that a worker grants
	ReportWait     time.Duration // how long a worker may hold its report back until a run ends
	ReportPause    time.Duration // between two reports of a worker
	EndsPerReport  int           // how many ended runs a worker lists at once
	StoreEvery     time.Duration // how often progress of jobs is stored
	StopGrace      time.Duration // from the order to stop until the process must have ended
	WorkersPerCell int           // maximum when cells are laid out
	Processor      float64       // cores that this daemon may use
	Link           float64       // Mbit/s that this daemon may send and receive; 0: unknown
}

func defaultJobs() Jobs {
	return Jobs{
		OwnerLease:     2 * time.Second,
		WorkerLease:    4500 * time.Millisecond,
		LongestLease:   10 * time.Second,
		ReportWait:     time.Second,
		ReportPause:    50 * time.Millisecond,
		EndsPerReport:  500,
		StoreEvery:     250 * time.Millisecond,
		StopGrace:      6 * time.Second,
		WorkersPerCell: 250,
		Processor:      1,
	}
}

func (j *Jobs) register(r *registry) {
	r.duration("owner_lease", &j.OwnerLease, time.Second, time.Minute, "lease of a cell's owner in the store")
	r.duration("worker_lease", &j.WorkerLease, time.Second, time.Hour, "lease of the runs on a worker, at least twice owner_lease and at most longest_lease")
	r.duration("longest_lease", &j.LongestLease, time.Second, time.Hour, "longest lease that a worker grants")
	r.duration("report_wait", &j.ReportWait, 50*time.Millisecond, 2*time.Second, "how long a worker may hold its report back until a run ends")
	r.duration("report_pause", &j.ReportPause, 0, 2*time.Second, "pause between two reports of a worker")
	r.number("ends_per_report", &j.EndsPerReport, 1, 1_000_000, "how many ended runs a worker lists at once, as its platform states; a shorter list is complete")
	r.duration("store_every", &j.StoreEvery, 10*time.Millisecond, 10*time.Second, "interval at which the progress of jobs is stored")
	r.duration("stop_grace", &j.StopGrace, time.Second, time.Hour, "time from the order to stop until the process must have ended")
	r.fraction("processor", &j.Processor, 0.01, 1024, "cores that this daemon may use; daemons with few cores leave cells to others")
	r.fraction("link", &j.Link, 0, 1_000_000, "Mbit/s that this daemon may send and receive, or 0 if unknown; cells are laid out by the capacity of the daemons")
	r.number("workers_per_cell", &j.WorkersPerCell, 1, 10_000, "maximum number of workers of a cell when cells are laid out")
}

func checkJobs(s *Settings) *Error {
	j := s.Jobs
	if j.WorkerLease > j.LongestLease {
		return &Error{Section: "jobs", Key: "worker_lease", Value: j.WorkerLease.String(), Allowed: "must not be longer than longest_lease"}
	}
	if j.WorkerLease < 2*j.OwnerLease {
		return &Error{
			Section: "jobs", Key: "worker_lease", Value: j.WorkerLease.String(),
			Allowed: "must be at least twice owner_lease, so that runs don't lapse while a cell changes its owner",
		}
	}
	return nil
}
