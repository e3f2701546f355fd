// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Cell is section [cell]: how owners of cells treat workers and the journal.
type Cell struct {
	Lease       time.Duration // of tasks on workers
	Renew       time.Duration // how often the leases are renewed
	Append      time.Duration // minimum time between two appends to a journal under load
	Tick        time.Duration // how often an owner checks its cell without an event
	RingSlots   int           // number of keys in a journal's ring
	KeepJobs    int           // number of ended jobs kept for each cell
	SettleAfter time.Duration // after an action, reports older than this are not judged
	Policy      string        // placement policy of tasks beside services
}

func defaultCell() Cell {
	return Cell{
		Lease:       20 * time.Second,
		Renew:       3 * time.Second,
		Append:      time.Second,
		Tick:        time.Second,
		RingSlots:   32,
		KeepJobs:    500,
		SettleAfter: 10 * time.Second,
		Policy:      "pairs",
	}
}

func (c *Cell) register(r *registry) {
	r.duration("lease", &c.Lease, 200*time.Millisecond, time.Hour, "lease of tasks on workers")
	r.duration("renew", &c.Renew, 20*time.Millisecond, time.Minute, "interval at which the leases of tasks are renewed")
	r.duration("append", &c.Append, time.Millisecond, 10*time.Second, "minimum time between two appends to a journal under load")
	r.duration("tick", &c.Tick, 10*time.Millisecond, time.Minute, "how often an owner checks its cell without an event")
	r.number("ring_slots", &c.RingSlots, 4, 1024, "number of keys in a journal's ring; the same at all daemons")
	r.number("keep_jobs", &c.KeepJobs, 1, 100_000, "number of ended jobs kept for each cell")
	r.duration("settle_after", &c.SettleAfter, 0, time.Hour, "how long after an action reports are ignored")
	r.choice("policy", &c.Policy, "placement policy of tasks beside services", "first-fit", "feedback", "pairs")
}

func checkCell(s *Settings) *Error {
	c := s.Cell
	if c.Lease < 3*c.Renew {
		return &Error{Section: "cell", Key: "lease", Value: c.Lease.String(), Allowed: "must be at least three times renew"}
	}
	if c.Lease < 2*s.Member.SilentAfter {
		return &Error{
			Section: "cell", Key: "lease", Value: c.Lease.String(),
			Allowed: "must be at least twice [member] silent_after, so that no task's lease lapses while its owner is replaced",
		}
	}
	return nil
}
