// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

// Takeovers are faults that come together: a worker goes for good, several workers are silent for some time, and daemons
// are lost one after the other, so that the next owner of a cell can't tell what runs on the worker that is gone.

// lossesOfDaemons are the ways in which the daemons are lost.
var lossesOfDaemons = []Kind{KillDaemon, KillDaemon, PauseDaemon, CutStore, CutPeer}

const (
	takeoverStream     = 0x7a_4e_0e_12   // stream of random numbers
	maxTakeoverPause   = 4 * time.Second // between two takeovers
	maxTakeoverSpread  = 2 * time.Second // from the first fault of a takeover to its others
	goneOneIn          = 4               // share of workers that may go for good: one in so many
	furtherLossOneIn   = 2               // share of takeovers with another loss of a daemon: one in so many
	lastTakeoverBefore = maxTakeoverSpread + 500*time.Millisecond
)

// drawTakeovers draws takeovers from a stream of random numbers of its own. The last one lies just before the end of the
// run, so that its effects are checked after the faults have ended.
func drawTakeovers(seed uint64, length time.Duration, daemons, workers int) []Fault {
	random := rand.New(rand.NewPCG(seed, takeoverStream))
	last := max(firstFaultAt, length-lastTakeoverBefore)
	var faults []Fault
	gone := 0
	for at := firstFaultAt; at < last; at += time.Duration(random.Int64N(int64(maxTakeoverPause))) {
		faults = append(faults, drawTakeover(random, at, daemons, workers, gone < workers/goneOneIn-1)...)
		gone++
	}
	return append(faults, drawTakeover(random, last, daemons, workers, workers >= goneOneIn)...)
}

// drawTakeover draws the faults of one takeover.
func drawTakeover(random *rand.Rand, at time.Duration, daemons, workers int, workerGoes bool) []Fault {
	spread := func() time.Duration { return at + time.Duration(random.Int64N(int64(maxTakeoverSpread))) }
	lasts := func() time.Duration {
		return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	}
	faults := []Fault{
		{At: at, Kind: LoseWorker, Target: random.IntN(workers), Overlapping: true},
		{At: spread(), For: lasts(), Kind: CutWorkers, Target: random.IntN(workers), Every: random.IntN(workers + 1), Overlapping: true},
	}
	if !workerGoes {
		faults = faults[1:]
	}
	loss := Fault{At: spread(), For: lasts(), Kind: lossesOfDaemons[random.IntN(len(lossesOfDaemons))], Target: random.IntN(daemons)}
	faults = append(faults, loss)
	if random.IntN(furtherLossOneIn) == 0 {
		loss.At, loss.For, loss.Target = spread(), lasts(), loss.Target+1
		loss.Kind = lossesOfDaemons[random.IntN(len(lossesOfDaemons))]
		faults = append(faults, loss)
	}
	return faults
}

// cutWorkers makes several workers silent for the fault's duration.
func (r *run) cutWorkers(ctx context.Context, fault Fault) {
	g := r.site.emulator.Grid
	for n := range fault.Every {
		place := (fault.Target + n) % r.config.Workers
		g.ChangeFaults(place, func(f *grid.Faults) { f.Cut = true })
		defer g.ChangeFaults(place, func(f *grid.Faults) { f.Cut = false })
	}
	sleep(ctx, fault.For)
}
