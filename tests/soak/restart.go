// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/services/standin/grid"
)

// Naming is how the workers of a run name their incarnations.
type Naming string

// The ways of naming.
const (
	// NewIDs: each incarnation has an id of its own and doesn't say when it started.
	NewIDs Naming = "new"
	// SameID: a worker that starts again has the id that it had, and says when it started.
	SameID Naming = "same"
	// NewIDsWithStartTime: each incarnation has an id of its own, and says when it started.
	NewIDsWithStartTime Naming = "born"
)

// gridNamings are the stand-in's values for them.
var gridNamings = map[Naming]grid.Naming{"": grid.NewIDs, NewIDs: grid.NewIDs, SameID: grid.SameID, NewIDsWithStartTime: grid.NewIDsAndBorn}

// check rejects a way that isn't known; left out, it is NewIDs.
func (n Naming) check() error {
	if _, ok := gridNamings[n]; !ok {
		return errors.Newf("unknown naming of workers %q: new, same or born", n)
	}
	return nil
}

const (
	restartStream       = 0x7e_57_a7_7    // of the random numbers of restarts
	maxRestartPause     = 2 * time.Second // between two restarts
	maxRestartFault     = 3 * time.Second // of the fault behind which a worker starts again
	allWorkersOneIn     = 6               // one restart in so many is of all workers
	maxRestartsPerFault = 3               // at most, while a fault lasts
)

// drawRestarts draws workers that start again while calls to them go wrong, from a stream of its own.
func drawRestarts(seed uint64, length time.Duration, workers int) []Fault {
	random := rand.New(rand.NewPCG(seed, restartStream))
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxRestartPause))) {
		fault := Fault{At: at, Kind: RestartWorker, Target: random.IntN(workers), Overlapping: true, Every: 1 + random.IntN(maxRestartsPerFault)}
		fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxRestartFault-minFaultDuration)))
		if random.IntN(allWorkersOneIn) == 0 {
			fault.Kind = RestartWorkers
		}
		faults = append(faults, fault)
	}
	return faults
}

// restartWorker lets the worker in a place start again, several times, behind a cut or with calls that
// are carried out late, whatever else goes wrong with it.
func (r *run) restartWorker(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	late := fault.Target%2 == 0
	g.ChangeFaults(place, func(f *grid.Faults) { setRestartFault(f, late, fault.For) })
	for range fault.Every {
		sleep(ctx, fault.For/time.Duration(fault.Every))
		g.CrashBehind(place)
	}
	g.ChangeFaults(place, func(f *grid.Faults) { setRestartFault(f, late, 0) })
}

// setRestartFault begins the fault behind which a worker starts again, or ends it, for no time.
func setRestartFault(f *grid.Faults, late bool, lasts time.Duration) {
	if late {
		f.Late = lasts
		return
	}
	f.Cut = lasts > 0
}

// restartWorkers lets all workers start again at once.
func (r *run) restartWorkers() {
	for place := range r.config.Workers {
		r.site.emulator.Grid.CrashBehind(place)
	}
}
