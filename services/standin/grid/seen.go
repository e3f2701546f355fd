// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Ran tells whether any task of the job was ever started.
func (g *Grid) Ran(id jobs.ID) bool { return !g.LastStart(id).IsZero() }

// LastStart is when a task of the job was started last; zero: none ever was.
func (g *Grid) LastStart(id jobs.ID) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.lastStart[id]
}

// Succeeded tells whether all tasks of a job have succeeded.
func (g *Grid) Succeeded(id jobs.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, step := range g.audit.specs[id].Steps {
		for index := range step.Count {
			if !g.audit.succeeded[jobs.TaskID{Job: id, Step: number, Index: index}] {
				return false
			}
		}
	}
	return true
}

// Done counts the tasks that have succeeded.
func (g *Grid) Done() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.audit.succeeded)
}

// Lapsed counts the runs that ended because nobody prolonged their lease, or with their worker.
func (g *Grid) Lapsed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.audit.lapsed
}

// MostFailures is how often the task of the job that failed most has failed.
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

// WorstTail is the longest tail of a serving task now, as a part of its target.
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

// Harmed lists the serving tasks that are over their targets now and would not be without
// what fills beside them.
func (g *Grid) Harmed() []jobs.TaskID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var harmed []jobs.TaskID
	for _, w := range g.workers {
		for _, r := range w.runs {
			step := g.audit.step(r.task)
			if step == nil || !step.Serves() {
				continue
			}
			own, added := g.loads(w, r, step)
			if services := g.config.Services; services.tail(own+added) > 1 && services.tail(own) <= 1 {
				harmed = append(harmed, r.task)
			}
		}
	}
	return harmed
}

// FillingUse is the processor time that filling tasks use now.
func (g *Grid) FillingUse() models.MilliCPU {
	g.mu.Lock()
	defer g.mu.Unlock()
	var use models.MilliCPU
	for _, w := range g.workers {
		for _, r := range w.runs {
			if step := g.audit.step(r.task); step != nil && step.Fills && !r.stopping {
				use += step.Size.CPU * models.MilliCPU(r.pace) / models.MilliCPU(jobs.FullSpeed)
			}
		}
	}
	return use
}

// Crashes counts the workers that tasks of the job have ended.
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
