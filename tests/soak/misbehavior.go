// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

// Misbehaviors are faults of workers that still answer: the workers act wrongly or late, so that runs end
// and are started again. Misbehaviors overlap with other faults of the worker, and each is cleared
// independently.

// weightedMisbehaviors lists the misbehaviors with their weights.
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
	misbehaviorStream      = 0x7_20_0b_1e    // stream of random numbers
	maxMisbehaviorPause    = 3 * time.Second // between two misbehaviors
	maxMisbehaviorDuration = 4 * time.Second
	// maxAnswerDelay bounds the delay of answers; it is shorter than the timeout of calls to workers.
	maxAnswerDelay = 300 * time.Millisecond
	// repeatAfter is how long after its arrival an order is carried out once more; by then newer orders for
	// the task have arrived.
	repeatAfter = 1200 * time.Millisecond
)

// drawMisbehaviors draws misbehaviors from a stream of random numbers of its own, so that the other faults
// of a seed stay the same.
func drawMisbehaviors(seed uint64, length time.Duration, workers int) []Fault {
	totalWeight := 0
	for _, m := range weightedMisbehaviors {
		totalWeight += m.weight
	}
	random := rand.New(rand.NewPCG(seed, misbehaviorStream))
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxMisbehaviorPause))) {
		fault := Fault{At: at, Target: random.IntN(workers), Overlapping: true}
		fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxMisbehaviorDuration-minFaultDuration)))
		n := random.IntN(totalWeight)
		for _, m := range weightedMisbehaviors {
			if n -= m.weight; n < 0 {
				fault.Kind = m.kind
				break
			}
		}
		faults = append(faults, fault)
	}
	return faults
}

// applyMisbehavior has a worker misbehave for the fault's duration.
func (r *run) applyMisbehavior(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	g.ChangeFaults(place, func(f *grid.Faults) { setMisbehavior(f, fault.Kind, true) })
	sleep(ctx, fault.For)
	g.ChangeFaults(place, func(f *grid.Faults) { setMisbehavior(f, fault.Kind, false) })
}

// setMisbehavior begins or ends a misbehavior.
func setMisbehavior(f *grid.Faults, kind Kind, begins bool) {
	switch kind {
	case FailWorker:
		f.FailRuns = begins
	case StallWorker:
		f.Stalled = begins
	case ReorderWorkerAnswers:
		f.LateAnswers = 0
		if begins {
			f.LateAnswers = maxAnswerDelay
		}
	case RepeatWorkerOrders:
		f.RepeatAfter = 0
		if begins {
			f.RepeatAfter = repeatAfter
		}
	}
}
