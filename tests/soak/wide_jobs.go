// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"cmp"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// A wide job has so many small tasks that what is stored of their lost runs fits into no single value of the store. With
// wide jobs the store accepts smaller values than usual, so that a few hundred tasks are enough: starts have a rate, and a job
// of thousands of tasks takes seconds to start.

const (
	defaultWideTasks = 400
	// wideSlowdown is how many times longer tasks of wide jobs run than others, so that most of them run at once.
	wideSlowdown = 10
	// wideMaxValueSize is the size of the largest value that the store accepts in a run with wide jobs, in bytes.
	wideMaxValueSize = 32 << 10
)

// maxValueSize returns the size of the largest value that the store accepts, in bytes.
func (c Config) maxValueSize() int {
	if c.WideOneIn > 0 {
		return wideMaxValueSize
	}
	return platform.MaxValueSize
}

// isWide reports whether a job is wide. It is derived from the job's number, so that the seed's draws stay the same.
func (c Config) isWide(id jobs.ID) bool {
	n := int(jobNumber(id))
	return c.WideOneIn > 0 && n%c.WideOneIn == c.WideOneIn-1
}

// widened gives a job two steps of many small tasks in place of its own, if it is a wide one.
func (c Config) widened(spec jobs.Spec) jobs.Spec {
	if !c.isWide(spec.ID) {
		return spec
	}
	step := jobs.Step{Count: cmp.Or(c.WideTasks, defaultWideTasks) / 2, Estimate: models.MilliOf(wideSlowdown * estimatedTime)}
	spec.Steps = []jobs.Step{step, step}
	return spec
}

// outcomeOf returns the duration and end of a run.
func (c Config) outcomeOf(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End) {
	ran, how := taskOutcome(task, run)
	if c.isWide(task.Job) {
		ran *= wideSlowdown
	}
	return ran, how
}
