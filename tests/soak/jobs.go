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

// Declared properties of the jobs' tasks.
const (
	estimatedTime = 300 * time.Millisecond
	minCPU        = 200 // thousandths of a core
	cpuSpread     = 800
	taskMemory    = 100 // MB
	servingTarget = 100 // target latency of serving tasks, in ms
)

// Numbers of different images.
const (
	servingImages = 3
	fillerImages  = 4
)

// Weights of the kinds of jobs: of jobKindWeights jobs, on average, longRunningWeight are long-running and
// fillerWeight are fillers; the others are ordinary jobs, which need capacity of their own and end.
const (
	jobKindWeights    = 8
	longRunningWeight = 1
	fillerWeight      = 3
)

// noCheckpointOneIn is the share of jobs whose tasks make no checkpoints: one in so many. For filler jobs
// it is drawn instead.
const noCheckpointOneIn = 3

// failOneIn is the share of runs that fail: one in so many.
const failOneIn = 20

// longRunningDivisor is how many times smaller long-running tasks are than others: they accumulate during
// a run and must leave free capacity.
const longRunningDivisor = 5

// drawJob draws a job: most jobs have two steps, some are fillers, some are long-running.
func drawJob(random *rand.Rand, seed uint64, n int) jobs.Spec {
	spec := jobs.Spec{ID: jobID(seed, n), Payload: jobs.Text(fmt.Sprint("payload ", n))}
	step := jobs.Step{
		Size:     models.Resources{CPU: models.MilliCPU(minCPU + random.IntN(cpuSpread)), Memory: taskMemory},
		Estimate: models.MilliOf(estimatedTime),
		// Derived from the job's number instead of drawn, so that the seed's other draws stay the same.
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

// jobID returns the id of the job with the given number.
func jobID(seed uint64, n int) jobs.ID { return jobs.ID(fmt.Sprintf("%08x%08x", uint32(seed), n)) }

// jobNumber returns the number in a job's id; 0 if the id has none.
func jobNumber(id jobs.ID) uint64 {
	n, err := strconv.ParseUint(string(id[len(id)/2:]), 16, 32)
	if err != nil {
		return 0
	}
	return n
}

// crashSpread bounds how long after its start a task crashes its worker, in milliseconds.
const crashSpread = 200

// hasCrashingTask reports whether a job has a task that crashes its workers.
func (c Config) hasCrashingTask(id jobs.ID) bool {
	n := jobNumber(id)
	return c.CrashingOneIn > 0 && n > 0 && n%uint64(c.CrashingOneIn) == 0
}

// crashDelay returns how long after its start a run crashes its worker, and whether it does so. The first
// task of a job with a crashing task crashes each of its workers, always after the same delay.
func (c Config) crashDelay(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	after := time.Duration(1+jobNumber(task.Job)%crashSpread) * time.Millisecond
	return after, c.hasCrashingTask(task.Job) && task.Step == 0 && task.Index == 0
}

// minCrashes is how many workers a task must have crashed before its job may fail for that reason.
const minCrashes = 2

// longRunningSteps returns one step of serving tasks.
func longRunningSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Size.CPU /= longRunningDivisor
	step.LongRunning, step.Target = true, servingTarget
	step.Count = 1 + random.IntN(3)
	step.Image = jobs.ImageName(fmt.Sprint("serving-", random.IntN(servingImages)))
	return []jobs.Step{step}
}

// fillerSteps returns two identical steps of filler tasks; the second depends on the first.
func fillerSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Filler = true
	step.Image = jobs.ImageName(fmt.Sprint("filling-", random.IntN(fillerImages)))
	step.Count = 1 + random.IntN(6)
	step.Checkpoints = random.IntN(2) == 0
	after := step
	after.After = []int{0}
	return []jobs.Step{step, after}
}

// ordinarySteps returns two steps, of which the second depends on the first; some steps bound the number of
// their tasks per worker.
func ordinarySteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	first, second := step, step
	first.Count = 1 + random.IntN(4)
	first.PerWorker = random.IntN(3)
	second.Count = 1 + random.IntN(3)
	second.After = []int{0}
	return []jobs.Step{first, second}
}

// taskOutcome returns the duration and end of a run: one run in failOneIn fails half way, the others take up
// to half as long again as estimated. The outcome is always the same for the same task and run.
func taskOutcome(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End) {
	draw := (uint64(task.Index)*31 + uint64(run)*17 + uint64(len(task.Job))) % failOneIn
	if draw == 0 {
		return estimatedTime / 2, jobs.EndFailed
	}
	return estimatedTime + estimatedTime*time.Duration(draw)/(2*failOneIn), jobs.EndSucceeded
}
