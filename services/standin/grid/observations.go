// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Ran reports whether any task of the job was ever started.
func (g *Grid) Ran(id jobs.ID) bool { return !g.LastStart(id).IsZero() }

// LastStart returns the time of the latest start of any task of the job; the zero time if there was none.
func (g *Grid) LastStart(id jobs.ID) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.lastStart[id]
}

// Succeeded reports whether all tasks of a job have succeeded, at all of its times.
func (g *Grid) Succeeded(id jobs.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.haveSucceeded(id, g.audit.specs[id].Occurrences())
}

// DueSucceeded reports whether all tasks of a job have succeeded whose time has come.
func (g *Grid) DueSucceeded(id jobs.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec := g.audit.specs[id]
	now := models.UnixMilliOf(time.Now())
	due := 0
	for due < spec.Occurrences() && spec.DueAt(due) <= now {
		due++
	}
	return g.audit.haveSucceeded(id, due)
}

// haveSucceeded reports whether all tasks of the first occurrences of a job have succeeded.
func (a *audit) haveSucceeded(id jobs.ID, occurrences int) bool {
	for occurrence := range occurrences {
		for number, step := range a.specs[id].Steps {
			for index := range step.Count {
				if !a.succeeded[jobs.TaskID{Job: id, Occurrence: occurrence, Step: number, Index: index}] {
					return false
				}
			}
		}
	}
	return true
}

// Done returns the number of tasks that have succeeded.
func (g *Grid) Done() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.audit.succeeded)
}

// Lapsed returns the number of runs that ended because their lease was not renewed or their worker ended.
func (g *Grid) Lapsed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.lapsed
}

// MostFailures returns the highest number of failures of any one task of the job.
func (g *Grid) MostFailures(id jobs.ID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for task, n := range g.audit.failures {
		if task.Job == id {
			most = max(most, n)
		}
	}
	return most
}

// WorstTail returns the highest current tail latency of any serving task, as a fraction of the task's target.
func (g *Grid) WorstTail() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := 0.0
	for _, w := range g.workers {
		for _, r := range w.runs {
			if step := g.audit.step(r.task); step != nil && step.Serves() {
				worst = max(worst, float64(g.figure(w, r))/float64(step.Target))
			}
		}
	}
	return worst
}

// HarmedServices returns the serving tasks whose tail latency is above the target now and would not be without the
// filler tasks on their workers.
func (g *Grid) HarmedServices() []jobs.TaskID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var harmed []jobs.TaskID
	for _, w := range g.workers {
		for _, r := range w.runs {
			step := g.audit.step(r.task)
			if step == nil || !step.Serves() {
				continue
			}
			baseline, added := g.loads(w, r, step)
			if services := g.config.Services; services.tail(baseline+added) > 1 && services.tail(baseline) <= 1 {
				harmed = append(harmed, r.task)
			}
		}
	}
	return harmed
}

// FillerCPU returns the processor time that filler tasks use now.
func (g *Grid) FillerCPU() models.MilliCPU {
	g.mu.Lock()
	defer g.mu.Unlock()
	var use models.MilliCPU
	for _, w := range g.workers {
		for _, r := range w.runs {
			if step := g.audit.step(r.task); step != nil && step.Filler && !r.stopping {
				use += step.Size.CPU * models.MilliCPU(r.pace) / models.MilliCPU(jobs.FullSpeed)
			}
		}
	}
	return use
}

// Crashes returns the number of workers that tasks of the job have crashed.
func (g *Grid) Crashes(id jobs.ID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for task, n := range g.audit.crashes {
		if task.Job == id {
			sum += n
		}
	}
	return sum
}
