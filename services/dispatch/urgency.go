// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/compare"
)

// longRunningYield is how long past its objective a long-running task still yields capacity to ordinary work of
// its priority that can meet its own objective: ordinary work occupies the capacity for a second, the long-running
// task for a minute.
const longRunningYield = 10_000 // milliseconds

// urgency determines the order in which steps' tasks are placed; lower comes first.
type urgency struct {
	priority int
	late     bool // its job can't meet the objective any more, or it is long-running and still yields capacity to short work
	due      models.UnixMilli
}

// compare orders by urgency.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), compare.Bool(u.late, o.late), cmp.Compare(u.due, o.due))
}

// urgency returns the urgency of an opened step.
func (c *Core) urgency(s *step, now models.UnixMilli) urgency {
	u := urgency{priority: c.terms(s.job).Priority, due: c.deadline(s.job)}
	if s.spec.LongRunning {
		u.late = now < u.due+longRunningYield
	} else {
		u.late = now+models.UnixMilli(c.remainingEstimate(s)) > u.due
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
