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

// The ways of naming incarnations.
const (
	// NewIDs gives each incarnation an id of its own; the worker doesn't report its start time.
	NewIDs Naming = "new"
	// SameID keeps the id of a worker that restarts; the worker reports its start time.
	SameID Naming = "same"
	// NewIDsAndStartTime gives each incarnation an id of its own; the worker reports its start time.
	NewIDsAndStartTime Naming = "born"
)

// gridNamings maps namings to the stand-in's values.
var gridNamings = map[Naming]grid.Naming{"": grid.NewIDs, NewIDs: grid.NewIDs, SameID: grid.SameID, NewIDsAndStartTime: grid.NewIDsAndStartTime}

// check rejects an unknown naming; the empty naming means NewIDs.
func (n Naming) check() error {
	if _, ok := gridNamings[n]; !ok {
		return errors.Newf("unknown naming of workers %q, must be new, same or born", n)
	}
	return nil
}

const (
	restartStream       = 0x7e_57_a7_7    // stream of random numbers
	maxRestartPause     = 2 * time.Second // between two restarts
	maxRestartFault     = 3 * time.Second // duration of the fault that hides the restarts of a worker
	allWorkersOneIn     = 6               // share of restarts that are of all workers: one in so many
	maxRestartsPerFault = 3               // while one fault lasts
)

// drawRestarts draws restarts of workers while calls to them fail, from a stream of random numbers of its own.
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

// restartWorker restarts the worker in a place several times while its calls are cut or carried out late,
// in addition to any other fault of the worker.
func (r *run) restartWorker(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	late := fault.Target%2 == 0
	g.ChangeFaults(place, func(f *grid.Faults) { setRestartFault(f, late, fault.For) })
	for range fault.Every {
		sleep(ctx, fault.For/time.Duration(fault.Every))
		g.CrashKeepingFaults(place)
	}
	g.ChangeFaults(place, func(f *grid.Faults) { setRestartFault(f, late, 0) })
}

// setRestartFault sets the fault during which a worker restarts; a duration of 0 clears the fault.
func setRestartFault(f *grid.Faults, late bool, duration time.Duration) {
	if late {
		f.LateOrders = duration
		return
	}
	f.Cut = duration > 0
}

// restartWorkers restarts all workers at once.
func (r *run) restartWorkers() {
	for place := range r.config.Workers {
		r.site.emulator.Grid.CrashKeepingFaults(place)
	}
}
