// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// add assigns a task to the worker and deducts its resources.
func (w *worker) add(t *task) {
	t.worker = w
	t.position = len(w.tasks)
	w.tasks = append(w.tasks, t)
	w.account(t, 1)
}

// remove takes a task off the worker and releases its resources.
func (w *worker) remove(t *task) {
	last := len(w.tasks) - 1
	w.tasks[t.position] = w.tasks[last]
	w.tasks[t.position].position = t.position
	w.tasks = w.tasks[:last]
	w.endTrial(t)
	w.account(t, -1)
}

// footprint returns what a task of the step deducts from its worker's free capacity; filler tasks deduct no
// CPU.
func (s *step) footprint() models.Resources {
	size := s.spec.Size
	if s.spec.Filler {
		size.CPU = 0
	}
	return size
}

// account adds the task's declared resources, or subtracts them if sign is -1.
func (w *worker) account(t *task, sign models.MilliCPU) {
	spec := t.step.spec
	size := t.step.footprint()
	switch {
	case spec.Filler:
		w.fillerCPU += sign * spec.Size.CPU
	case spec.LongRunning:
		w.longRunningCPU += sign * size.CPU
	}
	if sign > 0 {
		w.used = w.used.Add(size)
	} else {
		w.used = w.used.Sub(size)
	}
}

// isPresent reports whether the worker stays and answers, even if it gets no starts for a moment.
func (w *worker) isPresent() bool {
	return w.listed && w.answered && !w.closedToStarts() && w.unansweredSince.IsZero()
}

// use returns what is in use of the workers that stay and answer.
func (c *Core) use() jobs.UseOfPools {
	use := jobs.UseOfPools{}
	for _, w := range c.sortedWorkers {
		if w.isPresent() {
			use[w.info.Pool] = use[w.info.Pool].Add(jobs.Use{Used: w.used, Present: w.info.Capacity})
		}
	}
	return use
}

// free returns the resources that no task has declared.
func (w *worker) free() models.Resources { return w.info.Capacity.Sub(w.used) }

// cpuCapacity returns the worker's CPU as a divisor, which is never zero.
func (w *worker) cpuCapacity() float64 { return float64(max(1, w.info.Capacity.CPU)) }
