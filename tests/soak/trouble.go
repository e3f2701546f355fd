// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

// Troubles are faults of workers that answer: what they do is wrong, or comes late, so that runs
// end and are started again. They go over other faults of the worker, and each is mended
// by itself.

// weightedMisbehaviors lists them with their weights.
var weightedMisbehaviors = []struct {
	kind   Kind
	weight int
}{
	{FailWorker, 4},
	{StallWorker, 1},
	{ReorderWorkerAnswers, 2},
	{RepeatWorkerOrders, 2},
}

const (
	misbehaviorStream      = 0x7_20_0b_1e    // of the random numbers of troubles
	maxMisbehaviorPause    = 3 * time.Second // between two of them
	maxMisbehaviorDuration = 4 * time.Second
	// maxAnswerDelay is by how much answers are late at most: less than calls to workers wait.
	maxAnswerDelay = 300 * time.Millisecond
	// repeatAfter is when an order is done once more: newer ones for the task have come by then.
	repeatAfter = 1200 * time.Millisecond
)

// drawMisbehaviors draws them from a stream of its own, so that the other faults of a seed are as
// before.
func drawMisbehaviors(seed uint64, length time.Duration, workers int) []Fault {
	all := 0
	for _, t := range weightedMisbehaviors {
		all += t.weight
	}
	random := rand.New(rand.NewPCG(seed, misbehaviorStream))
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxMisbehaviorPause))) {
		fault := Fault{At: at, Target: random.IntN(workers), Overlapping: true}
		fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxMisbehaviorDuration-minFaultDuration)))
		n := random.IntN(all)
		for _, t := range weightedMisbehaviors {
			if n -= t.weight; n < 0 {
				fault.Kind = t.kind
				break
			}
		}
		faults = append(faults, fault)
	}
	return faults
}

// applyMisbehavior lets a worker be in trouble for a time.
func (r *run) applyMisbehavior(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	g.ChangeFaults(place, func(f *grid.Faults) { setMisbehavior(f, fault.Kind, true) })
	sleep(ctx, fault.For)
	g.ChangeFaults(place, func(f *grid.Faults) { setMisbehavior(f, fault.Kind, false) })
}

// setMisbehavior begins or ends a trouble.
func setMisbehavior(f *grid.Faults, kind Kind, begins bool) {
	switch kind {
	case FailWorker:
		f.FailsAll = begins
	case StallWorker:
		f.Stalled = begins
	case ReorderWorkerAnswers:
		f.LateAnswers = 0
		if begins {
			f.LateAnswers = maxAnswerDelay
		}
	case RepeatWorkerOrders:
		f.Again = 0
		if begins {
			f.Again = repeatAfter
		}
	}
}
