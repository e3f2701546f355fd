// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Places returns for each demand how many of its tasks could be placed now, with the demands served in order.
func (c *Core) Places(demands []jobs.Demand, now time.Time) []int {
	counts := make([]int, len(demands))
	if c.recovering {
		return counts
	}
	promised := map[*worker]models.Resources{}
	for i := range demands {
		s := c.stepFor(&demands[i])
		counts[i] = c.countPlaces(demands[i].Pool, s, demands[i].Step.Count, promised, now)
	}
	return counts
}

// stepFor returns the step that a demand is for if this cell has a part of its job, and otherwise a new step
// with the same specification.
func (c *Core) stepFor(demand *jobs.Demand) *step {
	if j, ok := c.jobs[demand.Job]; ok && demand.Number >= 0 {
		if s := j.heldStep(demand.Number); s != nil {
			return s
		}
	}
	return &step{spec: &demand.Step}
}

// countPlaces returns how many of the wanted tasks of the step can be placed beside the resources that are promised
// already, and adds the resources of these tasks to promised.
func (c *Core) countPlaces(pool jobs.PoolName, s *step, wanted int, promised map[*worker]models.Resources, now time.Time) int {
	count := 0
	for _, w := range c.sortedWorkers {
		// The free capacity of a worker that is reserved for a suspect is not available to other tasks. When it
		// was counted, the work that was moved here for it could not be placed here either, and was handed back
		// and forth between the cells.
		if !w.suits(pool, s.spec) || !c.usable(w, now) || w.isReserved(now) {
			continue
		}
		for n := w.countFitting(s, wanted-count, promised[w]); n > 0; n-- {
			if s.spec.Filler && !c.mayRunFiller(w, s) {
				break
			}
			count++
			promised[w] = promised[w].Add(s.spec.Size)
		}
	}
	return count
}

// countFitting returns how many tasks of the step, up to wanted, fit on the worker beside what is promised. It
// is at most one for filler tasks, because each of them changes the loads on the worker.
func (w *worker) countFitting(s *step, wanted int, promised models.Resources) int {
	size, free := s.footprint(), w.free().Sub(promised)
	if !size.Fits(free) {
		return 0
	}
	if s.spec.Filler {
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
