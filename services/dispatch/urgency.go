// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/compare"
)

// longRunningYield is for how long past its objective a task that lasts leaves room to ordinary
// work of its priority that may still end in time: that takes the room for a second, the
// other one for a minute.
const longRunningYield = 10_000 // milliseconds

// urgency is when a step's tasks come in the order of placement; lower comes first.
type urgency struct {
	priority int
	late     bool // it can't end in time any more, or lasts and still leaves room to short work
	due      models.UnixMilli
}

// compare orders by urgency.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), compare.Bool(u.late, o.late), cmp.Compare(u.due, o.due))
}

// urgency gives the urgency of an open step.
func (c *Core) urgency(s *step, now models.UnixMilli) urgency {
	u := urgency{priority: c.terms(s.job).Priority, due: c.deadline(s.job)}
	if s.spec.Lasts {
		u.late = now < u.due+longRunningYield
	} else {
		u.late = now+models.UnixMilli(c.remainingEstimate(s)) > u.due
	}
	return u
}

// remainingEstimate estimates the longest chain from a step to its job's end.
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
