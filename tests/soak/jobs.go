// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// What the jobs' tasks declare.
const (
	estimatedTime = 300 * time.Millisecond
	minCPU        = 200 // thousandths of a processor
	cpuSpread     = 800
	taskMemory    = 100 // MB
	servingTarget = 100 // ms, the target
)

// How many different images there are.
const (
	servingImages = 3
	fillerImages  = 4
)

// Of so many jobs, on average, one lasts and some fill; the others need room and end.
const (
	jobKindWeights    = 8
	longRunningWeight = 1
	fillerWeight      = 3
)

// noCheckpointOneIn: the tasks of all jobs but one in so many save; those that fill as drawn.
const noCheckpointOneIn = 3

// failOneIn: one run in so many fails.
const failOneIn = 20

// longRunningDivisor is how much smaller tasks that last are than others: they gather, and must
// leave room.
const longRunningDivisor = 5

// drawJob draws a job: most have two steps, some fill, some last.
func drawJob(random *rand.Rand, seed uint64, n int) jobs.Spec {
	spec := jobs.Spec{ID: jobID(seed, n), Payload: jobs.Text(fmt.Sprint("payload ", n))}
	step := jobs.Step{
		Size:     models.Resources{CPU: models.MilliCPU(minCPU + random.IntN(cpuSpread)), Memory: taskMemory},
		Estimate: models.MilliOf(estimatedTime),
		// Not drawn, so that the jobs of a seed are as before otherwise.
		Checkpoints: n%noCheckpointOneIn != 0,
	}
	switch kind := random.IntN(jobKindWeights); {
	case kind < longRunningWeight:
		spec.Steps = longRunningSteps(random, step)
	case kind < longRunningWeight+fillerWeight:
		spec.Steps = fillerSteps(random, step)
	default:
		spec.Steps = ordinarySteps(random, step)
	}
	return spec
}

// jobID names the job with a number.
func jobID(seed uint64, n int) jobs.ID { return jobs.ID(fmt.Sprintf("%08x%08x", uint32(seed), n)) }

// jobNumber is the number of a job; 0 if it has none.
func jobNumber(id jobs.ID) uint64 {
	n, err := strconv.ParseUint(string(id[len(id)/2:]), 16, 32)
	if err != nil {
		return 0
	}
	return n
}

// crashSpread bounds how long after its start a task ends its worker, in milliseconds.
const crashSpread = 200

// hasCrashingTask tells whether a job has a task that ends its workers.
func (c Config) hasCrashingTask(id jobs.ID) bool {
	n := jobNumber(id)
	return c.CrashingOneIn > 0 && n > 0 && n%uint64(c.CrashingOneIn) == 0
}

// crashDelay lets the first task of such a job end each of its workers, always as long after its start.
func (c Config) crashDelay(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	after := time.Duration(1+jobNumber(task.Job)%crashSpread) * time.Millisecond
	return after, c.hasCrashingTask(task.Job) && task.Step == 0 && task.Index == 0
}

// minCrashes is how many workers a task must have ended before its job may fail for it.
const minCrashes = 2

// longRunningSteps is one step of serving tasks.
func longRunningSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Size.CPU /= longRunningDivisor
	step.Lasts, step.Target = true, servingTarget
	step.Count = 1 + random.IntN(3)
	step.Image = jobs.ImageName(fmt.Sprint("serving-", random.IntN(servingImages)))
	return []jobs.Step{step}
}

// fillerSteps are two alike, one after the other.
func fillerSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Fills = true
	step.Image = jobs.ImageName(fmt.Sprint("filling-", random.IntN(fillerImages)))
	step.Count = 1 + random.IntN(6)
	step.Checkpoints = random.IntN(2) == 0
	after := step
	after.After = []int{0}
	return []jobs.Step{step, after}
}

// ordinarySteps are two, one after the other; some bound the tasks on a worker.
func ordinarySteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	first, second := step, step
	first.Count = 1 + random.IntN(4)
	first.PerWorker = random.IntN(3)
	second.Count = 1 + random.IntN(3)
	second.After = []int{0}
	return []jobs.Step{first, second}
}

// taskOutcome lets one run in failOneIn fail half way, and others take up to half as long again as
// estimated. It is always the same for a task and a run.
func taskOutcome(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End) {
	draw := (uint64(task.Index)*31 + uint64(run)*17 + uint64(len(task.Job))) % failOneIn
	if draw == 0 {
		return estimatedTime / 2, jobs.EndFailed
	}
	return estimatedTime + estimatedTime*time.Duration(draw)/(2*failOneIn), jobs.EndSucceeded
}
