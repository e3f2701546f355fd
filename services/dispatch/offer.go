// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Places counts for each demand how many of its tasks would find a place now, one demand
// after the other.
func (c *Core) Places(demands []jobs.Demand, now time.Time) []int {
	counts := make([]int, len(demands))
	if c.blind {
		return counts
	}
	promised := map[*worker]models.Resources{}
	for i := range demands {
		demand := &demands[i]
		counts[i] = c.countPlaces(demand.Pool, &step{spec: &demand.Step}, promised, now)
	}
	return counts
}

// countPlaces counts the places for a step's tasks beside what is promised already, and
// promises them.
func (c *Core) countPlaces(pool jobs.PoolName, s *step, promised map[*worker]models.Resources, now time.Time) int {
	count := 0
	for _, w := range c.order {
		if !w.suits(pool, s.spec) || !c.usable(w, now) {
			continue
		}
		for n := w.placesFor(s.spec, promised[w]); n > 0 && count < s.spec.Count; n-- {
			if s.spec.Fills && !c.mayFill(w, s) {
				break
			}
			count++
			promised[w] = promised[w].Add(s.spec.Size)
		}
	}
	return count
}

// placesFor is how many tasks of a step find room on the worker beside what is promised.
// Of filling tasks it is one at most, because each changes the loads there.
func (w *worker) placesFor(spec *jobs.Step, promised models.Resources) int {
	if spec.Fills {
		if promised != (models.Resources{}) || spec.Size.Memory > w.free().Memory {
			return 0
		}
		return 1
	}
	free := w.free().Sub(promised)
	n := 0
	for spec.Size.Fits(free) && n < spec.Count && (spec.PerWorker == 0 || n < spec.PerWorker) {
		free = free.Sub(spec.Size)
		n++
	}
	return n
}
