// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

// Operators cordon failure domains while other faults go on. A cordon is no fault. What must hold is checked by the
// workers: nothing starts in a domain some seconds after it was cordoned, in times without faults. Cordons that are in
// force when the faults end therefore stay for some time, in which callers submit more jobs.

const (
	cordonStream      = 0xc0_4d_04       // stream of random numbers
	cordonDomains     = 3                // failure domains of the workers
	maxCordonPause    = 3 * time.Second  // between two cordons
	maxCordonDuration = 12 * time.Second // longer than the bound for starts and the time without faults before it
	calmCordonTime    = 12 * time.Second // in which cordons stay after the faults have ended
	calmSubmitStream  = cordonStream + 1 // stream of random numbers of the jobs submitted in that time
	firstCalmJob      = 1_000_000        // number of the first of these jobs
)

// drawCordons draws cordons from a stream of random numbers of its own.
func drawCordons(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, cordonStream))
	var cordons []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxCordonPause))) {
		lasts := minFaultDuration + time.Duration(random.Int64N(int64(maxCordonDuration-minFaultDuration)))
		cordons = append(cordons, Fault{At: at, For: lasts, Kind: CordonDomain, Target: random.IntN(cordonDomains), Overlapping: true})
	}
	return cordons
}

// cordonDomain cordons a failure domain and lifts the cordon, unless the faults end before.
func (r *run) cordonDomain(ctx context.Context, fault Fault) {
	began := time.Since(r.begin)
	domain := grid.DomainName(fault.Target % cordonDomains)
	if err := r.site.emulator.Cordon(ctx, domain); err != nil {
		return // ctx has ended
	}
	if sleep(ctx, fault.For) {
		_ = r.site.emulator.LiftCordon(ctx, domain) // fails only when ctx has ended; then liftCordons does it
	}
	r.record.addFault(began, time.Since(r.begin), fault)
}

// checkRemainingCordons submits jobs for some time while the remaining cordons are in force, and lifts them.
func (r *run) checkRemainingCordons(ctx context.Context) {
	calm, cancel := context.WithTimeout(ctx, calmCordonTime)
	defer cancel()
	r.submitLoop(calm, submissions{stream: calmSubmitStream, first: firstCalmJob})
	for n := range cordonDomains {
		if err := r.site.emulator.LiftCordon(ctx, grid.DomainName(n)); err != nil {
			r.record.addBreach(time.Since(r.begin), "soak", "cordon can't be lifted: %v", err)
		}
	}
}
