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

// troubles lists them with their weights.
var troubles = []struct {
	kind   Kind
	weight int
}{
	{FailWorker, 4},
	{StallWorker, 1},
	{OvertakeWorker, 2},
	{RepeatWorker, 2},
}

const (
	troubleStream  = 0x7_20_0b_1e    // of the random numbers of troubles
	longestSound   = 3 * time.Second // between two of them
	longestTrouble = 4 * time.Second
	// passBy is by how much answers are late at most: less than calls to workers wait.
	passBy = 300 * time.Millisecond
	// repeatAfter is when an order is done once more: newer ones for the task have come by then.
	repeatAfter = 1200 * time.Millisecond
)

// drawTroubles draws them from a stream of its own, so that the other faults of a seed are as
// before.
func drawTroubles(seed uint64, length time.Duration, workers int) []Fault {
	all := 0
	for _, t := range troubles {
		all += t.weight
	}
	random := rand.New(rand.NewPCG(seed, troubleStream))
	var faults []Fault
	for at := firstFault; at < length; at += time.Duration(random.Int64N(int64(longestSound))) {
		fault := Fault{At: at, Target: random.IntN(workers), Over: true}
		fault.For = shortestFault + time.Duration(random.Int64N(int64(longestTrouble-shortestFault)))
		n := random.IntN(all)
		for _, t := range troubles {
			if n -= t.weight; n < 0 {
				fault.Kind = t.kind
				break
			}
		}
		faults = append(faults, fault)
	}
	return faults
}

// troubleWorker lets a worker be in trouble for a time.
func (r *run) troubleWorker(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	g.ChangeFaults(place, func(f *grid.Faults) { setTrouble(f, fault.Kind, true) })
	pause(ctx, fault.For)
	g.ChangeFaults(place, func(f *grid.Faults) { setTrouble(f, fault.Kind, false) })
}

// setTrouble begins or ends a trouble.
func setTrouble(f *grid.Faults, kind Kind, begins bool) {
	switch kind {
	case FailWorker:
		f.FailsAll = begins
	case StallWorker:
		f.Stalled = begins
	case OvertakeWorker:
		f.LateAnswers = 0
		if begins {
			f.LateAnswers = passBy
		}
	case RepeatWorker:
		f.Again = 0
		if begins {
			f.Again = repeatAfter
		}
	}
}
