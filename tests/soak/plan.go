// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. A fault of a daemon, connection or worker affects a single one.
const (
	KillDaemon           Kind = "kill daemon"            // and restart it
	PauseDaemon          Kind = "pause daemon"           // and resume it
	StopDaemon           Kind = "stop daemon as planned" // and restart it
	Hangup               Kind = "hang up"
	Reconfigure          Kind = "change configuration"
	StoreDown            Kind = "store is down"
	StoreSlow            Kind = "store is slow"
	StoreLossy           Kind = "store loses answers"
	StoreLate            Kind = "store does writes late"
	StoreBusy            Kind = "store turns calls away"
	StoreLimited         Kind = "store limits calls"
	StoreReadsFail       Kind = "store turns reads away"
	StoreForgets         Kind = "store forgets its history"
	CutStore             Kind = "daemon is cut from the store"
	CutStoreHalf         Kind = "daemon's calls reach the store, the answers don't come back"
	CutPeer              Kind = "daemon is cut from its peers"
	CutCallers           Kind = "callers' connections are reset"
	SlowWorker           Kind = "connections to a worker are slow"
	ResetWorker          Kind = "connections to a worker are reset"
	CutWorker            Kind = "worker is silent"
	DelayWorkerOrders    Kind = "worker does orders late"
	LoseWorkerAnswers    Kind = "worker's answers are lost"
	CrashWorker          Kind = "worker is replaced"
	HideWorker           Kind = "worker is missing in the list"
	DrainWorker          Kind = "worker drains and leaves"
	SilenceDaemon        Kind = "daemon's open connections are silent for good"
	SilenceWorker        Kind = "open connections to a worker are silent for good"
	FailWorker           Kind = "worker fails all that it starts"
	StallWorker          Kind = "worker stands still"
	ReorderWorkerAnswers Kind = "worker's answers pass each other"
	RepeatWorkerOrders   Kind = "worker does orders again later"
	RestartWorker        Kind = "worker starts again while calls to it go wrong"
	RestartWorkers       Kind = "all workers start again at once"
	CordonDomain         Kind = "failure domain is cordoned"
	LoseWorker           Kind = "worker is gone for good"
	CutWorkers           Kind = "several workers are silent"
	DrainSilentWorker    Kind = "worker drains, is silent and runs on"
	OddEntry             Kind = "odd entry among those of the workers"
	DrainRefusingWorker  Kind = "worker drains, refuses connections and runs on"
)

// weightedKinds lists the kinds that drawFault draws, with their weights: the faults that daemons must
// survive most often are the most frequent.
var weightedKinds = []struct {
	kind   Kind
	weight int
}{
	{KillDaemon, 4},
	{PauseDaemon, 4},
	{StopDaemon, 3},
	{Hangup, 1},
	{Reconfigure, 3},
	{StoreDown, 2},
	{StoreSlow, 2},
	{StoreLossy, 2},
	{StoreLate, 2},
	{StoreForgets, 2},
	{CutStore, 2},
	{CutStoreHalf, 2},
	{CutPeer, 1},
	{CutCallers, 1},
	{SlowWorker, 1},
	{ResetWorker, 2},
	{CutWorker, 3},
	{DelayWorkerOrders, 2},
	{LoseWorkerAnswers, 2},
	{CrashWorker, 3},
	{HideWorker, 1},
	{DrainWorker, 2},
}

// Fault is one planned fault.
type Fault struct {
	At     time.Duration `json:"at"`  // since the run began
	For    time.Duration `json:"for"` // until the fault is cleared; for a daemon, until it runs again
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"` // number of the daemon or worker
	// Overlapping tells that the fault is applied in addition to other faults of its target.
	Overlapping bool `json:"over,omitempty"`
	// Every restricts a fault of the store to one daemon in so many, counted from Target; 0: all.
	Every int `json:"every,omitempty"`
}

// Plan is the plan of faults that one seed yields.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
}

// Times of the plan. Faults occur one at a time, in series and overlapping, since some pauses are far
// shorter than the faults.
const (
	firstFaultAt     = 2 * time.Second
	maxFaultPause    = 2500 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second // longer than the leases of daemons and workers
	seriesLength     = 3
	seriesPause      = 300 * time.Millisecond
	seriesOneIn      = 5 // share of faults that are repeated as a series of the same kind: one in so many
)

// newPlan draws the faults of a run.
func newPlan(config Config) Plan {
	seed, length, daemons, workers := config.Seed, config.Length, config.Daemons, config.Workers
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	plan := Plan{Seed: seed}
	at := firstFaultAt
	for at < length {
		fault := drawFault(random, at, daemons, workers)
		repeats := 1
		if random.IntN(seriesOneIn) == 0 {
			repeats = seriesLength
		}
		for range repeats {
			plan.Faults = append(plan.Faults, fault)
			fault.At += seriesPause
			fault.Target++
		}
		at += time.Duration(random.Int64N(int64(maxFaultPause)))
	}
	plan.Faults = append(plan.Faults, drawOverlaps(seed, length)...)
	plan.Faults = append(plan.Faults, drawSilences(seed, length, daemons*workers)...)
	plan.Faults = append(plan.Faults, drawMisbehaviors(seed, length, workers)...)
	if config.Restarts {
		plan.Faults = append(plan.Faults, drawRestarts(seed, length, workers)...)
	}
	if config.Cordons {
		plan.Faults = append(plan.Faults, drawCordons(seed, length)...)
	}
	if config.Takeovers {
		plan.Faults = append(plan.Faults, drawTakeovers(seed, length, daemons, workers)...)
	}
	if config.Drains {
		plan.Faults = append(plan.Faults, drawDrains(seed, length, workers)...)
	}
	if config.OddEntries {
		plan.Faults = append(plan.Faults, drawOddEntries(seed, length)...)
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawFault draws one fault.
func drawFault(random *rand.Rand, at time.Duration, daemons, workers int) Fault {
	totalWeight := 0
	for _, k := range weightedKinds {
		totalWeight += k.weight
	}
	fault := Fault{At: at, Target: random.IntN(daemons * workers)}
	fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	n := random.IntN(totalWeight)
	for _, k := range weightedKinds {
		if n -= k.weight; n < 0 {
			fault.Kind = k.kind
			return fault
		}
	}
	return fault
}

// Kinds of store faults that overlap in pairs: the first fault leaves a daemon without an answer; the
// second, during the first or right after it, rejects the daemon's calls.
var (
	unansweredKinds = []Kind{StoreLossy, StoreLate}
	rejectingKinds  = []Kind{StoreDown, StoreBusy, StoreLimited, StoreReadsFail}
)

const (
	maxOverlapPause    = 2 * time.Second // between two overlaps
	maxOverlapDuration = 3 * time.Second // of either fault
	maxOverlapEvery    = 3               // an overlap affects at least one daemon in so many
)

// drawOverlaps draws the overlapping store faults from a stream of their own.
func drawOverlaps(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, overlapStream))
	drawDuration := func() time.Duration {
		return minFaultDuration + time.Duration(random.Int64N(int64(maxOverlapDuration-minFaultDuration)))
	}
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxOverlapPause))) {
		first := Fault{
			At: at, For: drawDuration(), Kind: unansweredKinds[random.IntN(len(unansweredKinds))], Overlapping: true,
			Target: random.IntN(maxOverlapEvery), Every: 1 + random.IntN(maxOverlapEvery),
		}
		second := first
		second.At += time.Duration(random.Int64N(int64(first.For)))
		second.For, second.Kind = drawDuration(), rejectingKinds[random.IntN(len(rejectingKinds))]
		faults = append(faults, first, second)
		at = second.At
	}
	return faults
}
