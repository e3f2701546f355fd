// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	// manyTasks is the number of short tasks of a job whose progress takes several values of a store with smallValue.
	manyTasks = 240
	// manyLastingTasks is the number of long-running tasks of a job of that kind. They take as much of the workers as
	// manyLastingUnits other long-running tasks: a cell of two workers that has lost one hands some of them to another.
	manyLastingTasks = 60
	manyLastingUnits = 4
	// failuresOfMany is how many times some tasks of a job of many tasks fail, less than is allowed.
	failuresOfMany = testAttempts - 1
)

// manyTasksStepKinds are the steps of scripts with jobs whose progress no single value holds.
var manyTasksStepKinds = []string{
	"submit many", "submit many", "submit many failing", "submit many failing", "submit many lasting", "submit", "cancel",
	"kill daemon", "kill daemon", "freeze daemon", "cut daemon from store", "cut daemon from workers", "lose store answers", "heal daemon",
	"store outage", "store back", "store forgets",
	"crash worker", "crash worker", "worker down", "worker down", "cut worker", "late worker", "drain worker", "unlist worker", "heal worker",
}

func drawManyTasksStep(rt *rapid.T) scriptStep { return drawStep(rt, manyTasksStepKinds) }

// smallValues returns the scenario with a store that accepts small values only.
func (s scenario) smallValues() scenario {
	s.maxValueSize = smallValue
	return s
}

// submitMany submits a job of many short tasks; some of them fail at first if failing is set.
func (s *scriptRun) submitMany(d *testDaemon, failing bool) {
	s.jobCount++
	s.mu.Lock()
	s.failing[jobID(s.jobCount)] = failing
	s.mu.Unlock()
	s.trySubmit(d, wideJob(s.jobCount, manyTasks, 2*time.Second))
}

// submitManyLasting submits a job of many long-running tasks if all of them still fit on the workers.
func (s *scriptRun) submitManyLasting(d *testDaemon) {
	if s.longRunningTasks+manyLastingUnits > maxLongRunningTasks {
		return
	}
	s.longRunningTasks += manyLastingUnits
	s.jobCount++
	spec := longRunningJob(s.jobCount, manyLastingTasks)
	spec.Steps[0].Size = models.Resources{
		CPU: spec.Steps[0].Size.CPU * manyLastingUnits / manyLastingTasks, Memory: spec.Steps[0].Size.Memory * manyLastingUnits / manyLastingTasks,
	}
	s.trySubmit(d, spec)
}

// workOf returns how long a run works and how it ends: every third task of a job whose tasks fail at first does so.
func (s *scriptRun) workOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec := s.submitted[task.Job]
	work := spec.Steps[task.Step].Estimate.Duration()
	if s.failing[task.Job] && task.Index%3 == 0 && s.failed[task] < failuresOfMany {
		s.failed[task]++
		return work / 4, jobs.EndFailed
	}
	return work, jobs.EndSucceeded
}

var manyTasksScripts = newSeededScripts("many-tasks", "jobs with many tasks", 40)

// manyTasksScenarios are the scenarios of TestRandomFaultsOfJobsWithManyTasks.
var manyTasksScenarios = map[string]scenario{
	"one cell":           oneCellScenario.smallValues(),
	"one cell, same ids": oneCellScenario.sameIDs().smallValues(),
	"two cells":          twoCellScenario.smallValues(),
}

// TestRandomFaultsOfJobsWithManyTasks guards against losses and failures of tasks that no value of the store holds, and
// against losing some of them at takeovers and moves: no task runs twice or more often than it may, all jobs end, and the
// store refuses nothing.
func TestRandomFaultsOfJobsWithManyTasks(t *testing.T) {
	for name, in := range manyTasksScenarios {
		manyTasksScripts.play(t, name, in, drawManyTasksStep)
	}
}
