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
	estimate    = 300 * time.Millisecond
	leastCPU    = 200 // thousandths of a processor
	cpuSpread   = 800
	memory      = 100 // MB
	servingTail = 100 // ms, the target
)

// How many different images there are.
const (
	servingImages = 3
	fillingImages = 4
)

// Of so many jobs, on average, one lasts and some fill; the others need room and end.
const (
	drawnOf = 8
	lastsOf = 1
	fillsOf = 3
)

// savesNotOneIn: the tasks of all jobs but one in so many save; those that fill as drawn.
const savesNotOneIn = 3

// failsOneIn: one run in so many fails.
const failsOneIn = 20

// lastingPart is how much smaller tasks that last are than others: they gather, and must
// leave room.
const lastingPart = 5

// draftJob draws a job: most have two steps, some fill, some last.
func draftJob(random *rand.Rand, seed uint64, n int) jobs.Spec {
	spec := jobs.Spec{ID: jobID(seed, n), Payload: jobs.Text(fmt.Sprint("payload ", n))}
	step := jobs.Step{
		Size:     models.Resources{CPU: models.MilliCPU(leastCPU + random.IntN(cpuSpread)), Memory: memory},
		Estimate: models.MilliOf(estimate),
		// Not drawn, so that the jobs of a seed are as before otherwise.
		Checkpoints: n%savesNotOneIn != 0,
	}
	switch kind := random.IntN(drawnOf); {
	case kind < lastsOf:
		spec.Steps = lastingSteps(random, step)
	case kind < lastsOf+fillsOf:
		spec.Steps = fillingSteps(random, step)
	default:
		spec.Steps = ordinarySteps(random, step)
	}
	return spec
}

// jobID names the job with a number.
func jobID(seed uint64, n int) jobs.ID { return jobs.ID(fmt.Sprintf("%08x%08x", uint32(seed), n)) }

// numberOf is the number of a job; 0 if it has none.
func numberOf(id jobs.ID) uint64 {
	n, err := strconv.ParseUint(string(id[len(id)/2:]), 16, 32)
	if err != nil {
		return 0
	}
	return n
}

// crashSpread bounds how long after its start a task ends its worker, in milliseconds.
const crashSpread = 200

// crashing tells whether a job has a task that ends its workers.
func (c Config) crashing(id jobs.ID) bool {
	n := numberOf(id)
	return c.CrashingOneIn > 0 && n > 0 && n%uint64(c.CrashingOneIn) == 0
}

// crash lets the first task of such a job end each of its workers, always as long after its start.
func (c Config) crash(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	after := time.Duration(1+numberOf(task.Job)%crashSpread) * time.Millisecond
	return after, c.crashing(task.Job) && task.Step == 0 && task.Index == 0
}

// leastCrashes is how many workers a task must have ended before its job may fail for it.
const leastCrashes = 2

// lastingSteps is one step of serving tasks.
func lastingSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Size.CPU /= lastingPart
	step.Lasts, step.Target = true, servingTail
	step.Count = 1 + random.IntN(3)
	step.Image = jobs.ImageName(fmt.Sprint("serving-", random.IntN(servingImages)))
	return []jobs.Step{step}
}

// fillingSteps are two alike, one after the other.
func fillingSteps(random *rand.Rand, step jobs.Step) []jobs.Step {
	step.Fills = true
	step.Image = jobs.ImageName(fmt.Sprint("filling-", random.IntN(fillingImages)))
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

// work lets one run in failsOneIn fail half way, and others take up to half as long again as
// estimated. It is always the same for a task and a run.
func work(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End) {
	draw := (uint64(task.Index)*31 + uint64(run)*17 + uint64(len(task.Job))) % failsOneIn
	if draw == 0 {
		return estimate / 2, jobs.EndFailed
	}
	return estimate + estimate*time.Duration(draw)/(2*failsOneIn), jobs.EndSucceeded
}
