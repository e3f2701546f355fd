// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

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

// answers reports whether the worker's process is there, as far as is known.
func (w *worker) answers() bool { return w.answered && w.unansweredSince.IsZero() }

// staysOpen reports whether the worker is one for new tasks, even if it gets no starts for a moment.
func (w *worker) staysOpen() bool { return w.listed && !w.closedToStarts() }

// use returns the least that callers may count as in use of the workers that answer. They may or may not count workers that
// are closed to starts and go on, and count a run only while it is under way.
func (c *Core) use(now time.Time) jobs.UseOfPools {
	use := jobs.UseOfPools{}
	use.Add(c.unknownDraining)
	for _, w := range c.sortedWorkers {
		if !w.answers() {
			continue
		}
		own := jobs.Use{Used: w.usedByRuns(now), Present: w.info.Capacity}
		if !w.staysOpen() {
			own = own.WhereBelow(mostlyFreeBelow)
		}
		use[w.info.Pool] = use[w.info.Pool].Add(own)
	}
	return use
}

// usedByRuns returns what the runs on the worker use that count as under way. More is deducted from its free capacity.
func (w *worker) usedByRuns(now time.Time) models.Resources {
	used := w.used
	for _, t := range w.tasks {
		if !w.countsRun(t, now) {
			used = used.Sub(t.step.footprint())
		}
	}
	return used
}

// endKnownAfter is how long after its end a run may count as under way: a pause between calls for reports, and a late answer.
const endKnownAfter = 150 * time.Millisecond

// countsRun reports whether the run of a task on the worker counts as under way. It does so from the first report that shows it, or
// from endKnownAfter after its start at the latest, because it does so until a report tells its end: so short runs count for no
// longer than they last. A run on standby counts from the beginning, or a crowd of them would take more than they may.
func (w *worker) countsRun(t *task, now time.Time) bool {
	switch {
	case t.lastReport == w.reportCount:
		return true
	case !t.confirmed:
		return t.standby && !w.reportAskedAt.After(t.startSentAt.Add(maxStartAge))
	case w.reportAskedAt.After(t.answeredAt): // the report would show it
		return false
	default:
		return t.standby || now.Sub(t.startedAt) >= endKnownAfter
	}
}

// free returns the resources that no task has declared.
func (w *worker) free() models.Resources { return w.info.Capacity.Sub(w.used) }

// cpuCapacity returns the worker's CPU as a divisor, which is never zero.
func (w *worker) cpuCapacity() float64 { return float64(max(1, w.info.Capacity.CPU)) }
