// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"

	"rillsail.example/rillsail/models"
)

// longRunningYield is how long past its objective a long-running task still yields capacity to ordinary work of
// its priority: ordinary work occupies the capacity for a second, the long-running task for a minute.
const longRunningYield = 10_000 // milliseconds

// rank orders the steps of one priority; lower comes first.
type rank int

const (
	rankYielded  rank = iota // long-running, and has yielded capacity for long enough
	rankInTime               // its job can meet the objective
	rankLate                 // its job can't meet the objective any more
	rankYielding             // long-running, and yields capacity to short work
)

// urgency determines the order in which steps' tasks are placed; lower comes first.
type urgency struct {
	priority int
	rank     rank
	turn     models.UnixMilli // its own deadline, or that of another step of its queue; see assignTurns
	cost     float64          // see step.cost; 0 for a long-running step
	due      models.UnixMilli
}

// compare orders by urgency.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(u.rank, o.rank), cmp.Compare(u.turn, o.turn), cmp.Compare(u.cost, o.cost),
		cmp.Compare(u.due, o.due))
}

// isShort reports whether the step is not long-running.
func (u urgency) isShort() bool { return u.rank == rankInTime || u.rank == rankLate }

// urgency returns the urgency of an opened step.
func (c *Core) urgency(s *step, now models.UnixMilli) urgency {
	due := c.deadline(s.job)
	u := urgency{priority: c.terms(s.job).Priority, turn: due, due: due}
	if !s.spec.LongRunning {
		u.cost = s.cost()
	}
	switch {
	case s.spec.LongRunning && now < u.due+longRunningYield:
		u.rank = rankYielding
	case s.spec.LongRunning:
		u.rank = rankYielded
	case now+models.UnixMilli(c.remainingEstimate(s)) > u.due:
		u.rank = rankLate
	default:
		u.rank = rankInTime
	}
	return u
}

// remainingEstimate returns the longest chain of estimates from the step to the end of its job.
func (c *Core) remainingEstimate(s *step) models.Milli {
	steps := s.job.spec.Steps
	longest := make([]models.Milli, len(steps))
	var most models.Milli
	longest[s.number] = s.spec.Estimate
	for i := s.number; i < len(steps); i++ {
		for _, after := range steps[i].After {
			if longest[after] > 0 {
				longest[i] = max(longest[i], longest[after]+steps[i].Estimate)
			}
		}
		most = max(most, longest[i])
	}
	return most
}
