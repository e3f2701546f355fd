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
		s := c.stepFor(&demands[i])
		counts[i] = c.countPlaces(demands[i].Pool, s, demands[i].Step.Count, promised, now)
	}
	return counts
}

// stepFor is the step that a demand is about, if this cell has a part of its job; otherwise
// one like it.
func (c *Core) stepFor(demand *jobs.Demand) *step {
	if j, ok := c.jobs[demand.Job]; ok && demand.Number >= 0 && demand.Number < len(j.steps) {
		return j.steps[demand.Number]
	}
	return &step{spec: &demand.Step}
}

// countPlaces counts the places for so many of a step's tasks beside what is promised
// already, and promises them.
func (c *Core) countPlaces(pool jobs.PoolName, s *step, wanted int, promised map[*worker]models.Resources, now time.Time) int {
	count := 0
	for _, w := range c.order {
		// A worker that is kept for a suspect has room that nothing else gets: work that came for it
		// found no place here either, and was handed back and forth.
		if !w.suits(pool, s.spec) || !c.usable(w, now) || w.isReserved(now) {
			continue
		}
		for n := w.countFitting(s, wanted-count, promised[w]); n > 0; n-- {
			if s.spec.Fills && !c.mayRunFiller(w, s) {
				break
			}
			count++
			promised[w] = promised[w].Add(s.spec.Size)
		}
	}
	return count
}

// countFitting is how many tasks of a step find room on the worker beside what is promised, at
// most so many. Of filling tasks it is one at most, because each changes the loads there.
func (w *worker) countFitting(s *step, wanted int, promised models.Resources) int {
	size, free := s.footprint(), w.free().Sub(promised)
	if !size.Fits(free) {
		return 0
	}
	if s.spec.Fills {
		if promised != (models.Resources{}) {
			return 0
		}
		wanted = min(wanted, 1)
	}
	if s.spec.PerWorker > 0 {
		wanted = min(wanted, s.spec.PerWorker-w.countTasks(s))
	}
	n := 0
	for n < wanted && size.Fits(free) {
		free = free.Sub(size)
		n++
	}
	return n
}
