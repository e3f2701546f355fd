// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// Runs may save their work, and be started again with what they have saved. Then they take longer,
// so that more of them are ended before they are done, and more goes wrong with workers.

const (
	// savingLonger is how many times longer tasks work whose runs save.
	savingLonger = 8
	// restore is how long a run takes until it goes on from a checkpoint.
	restore = 50 * time.Millisecond
)

// saves tells whether runs save their work.
func (c Config) saves() bool { return c.Save > 0 }

// longer is how long tasks take as a part of what they do when no run saves.
func (c Config) longer() time.Duration {
	if c.saves() {
		return savingLonger
	}
	return 1
}

// saving lets the tasks of a job that end save their work, if any do.
func (c Config) saving(spec jobs.Spec) jobs.Spec {
	if !c.saves() {
		return spec
	}
	for i := range spec.Steps {
		if step := &spec.Steps[i]; !step.Lasts {
			step.Checkpoints = true
			step.Estimate *= savingLonger
		}
	}
	return spec
}

// work is what a run does, longer if it saves.
func (c Config) work(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End) {
	takes, how := work(task, run)
	return takes * c.longer(), how
}

// checkpointText is a text as workers of the users' platform make them: 16 hexadecimal digits.
// They tell nothing to a reader, and are other ones each time.
func checkpointText(saved grid.Saved) jobs.Text {
	return jobs.Text(fmt.Sprintf("%08x%08x", uint32(saved.Number), uint32(xxhash.Sum64String(saved.Task.String()))))
}

// Kinds of faults that come with runs that save.
const (
	FailingWorker   Kind = "worker fails all it starts"
	PassingAnswers  Kind = "worker's answers pass each other"
	RepeatingWorker Kind = "worker does calls once more"
)

// savingKinds lists what ends runs, or lets several of one task be known, with weights.
var savingKinds = []struct {
	kind   Kind
	weight int
}{
	{FailingWorker, 4},
	{CutWorker, 4},
	{PassingAnswers, 3},
	{RepeatingWorker, 2},
	{MuteWorker, 2},
	{DrainWorker, 2},
	{CrashWorker, 2},
	{KillDaemon, 1},
	{StopDaemon, 1},
}

const (
	savingStream = 0x5a_fe // of the random numbers of these faults
	// savingPause is the longest pause between two of them; there are many workers.
	savingPause = 600 * time.Millisecond
	// answersPass is how late answers come that pass each other: less than calls take at most.
	answersPass = 300 * time.Millisecond
	// doneAgain is how much later a call is done once more: after a run has begun elsewhere.
	doneAgain = 2 * time.Second
)

// drawSavingFaults draws them from a stream of its own, so that the other faults of a seed are as
// before.
func drawSavingFaults(seed uint64, length time.Duration, targets int) []Fault {
	random := rand.New(rand.NewPCG(seed, savingStream))
	all := 0
	for _, k := range savingKinds {
		all += k.weight
	}
	var faults []Fault
	for at := firstFault; at < length; at += time.Duration(random.Int64N(int64(savingPause))) {
		fault := Fault{At: at, Target: random.IntN(targets)}
		fault.For = shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		n := random.IntN(all)
		for _, k := range savingKinds {
			if n -= k.weight; n < 0 {
				fault.Kind = k.kind
				break
			}
		}
		faults = append(faults, fault)
	}
	return faults
}

// sumSaving notes what became of saved work.
func (r *run) sumSaving() {
	workers := r.site.emulator.Grid
	r.report.Brought, r.report.Behind = workers.CheckpointsBrought(), len(workers.StartsBehind())
	r.report.WorkLost = workers.WorkLost()
}
