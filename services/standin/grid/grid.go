// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package grid is a stand-in for the workers that run tasks of jobs, for tests and trials
// only: it keeps leases on the workers' own clocks, refuses what is stale, keeps ends
// until they are acknowledged, shows tails that follow what runs beside them, and loses
// or delays calls when told to. It watches what really runs and lists every breach of a
// promise.
//
// # Usage
//
//	g := grid.New(grid.Config{Workers: 8, PerRack: 4, Capacity: capacity, LongestLease: 6 * time.Second})
//	g.Expect(spec, 3)             // what the audit knows of a job
//	report, err := g.ProlongLease(ctx, worker, call)
//	breaches := g.Breaches()
package grid

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Config says what the grid is made of.
type Config struct {
	Workers      int
	PerRack      int
	Pool         jobs.PoolName
	Capacity     models.Resources
	LongestLease time.Duration
	StopTime     time.Duration
	// Slow is by how much the workers' clocks run slow, for instance 0.02.
	Slow float64
	// Work tells how long a task works at full pace, and how it ends; by default the
	// estimate, and well.
	Work func(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End)
	// Services is how serving tasks behave; by default as on the users' sites.
	Services Services
	// Crash tells how long after its start a run ends its worker, and whether it does; nil:
	// none does. After no time at all, the start isn't answered.
	Crash func(task jobs.TaskID, run jobs.RunID) (after time.Duration, crashes bool)
	// Down is how long it takes until another incarnation is at the address of a worker that
	// crashed.
	Down time.Duration
	// Naming is how incarnations in one place are told apart.
	Naming Naming
	// ForgetsAhead lets an acknowledgement hold also for ends that are yet to come; otherwise only
	// those that the worker has are forgotten.
	ForgetsAhead bool
	// Save is with how much more work a run saves again whose step has checkpoints; 0: none
	// ever does, not even when it is stopped.
	Save time.Duration
	// Restore is how long a run that brings a checkpoint takes until it goes on.
	Restore time.Duration
	// ShowsOwn lets a run show only what it has saved itself; otherwise it shows the checkpoint
	// that it has brought until then.
	ShowsOwn bool
	// Text makes the text of a checkpoint, another one each time; nil: a short one that tells
	// what it is.
	Text func(saved Saved) jobs.Text
}

// Naming is how workers name their incarnations.
type Naming int

// The ways of naming.
const (
	// NewIDs: each incarnation has an id of its own, and doesn't say when it started.
	NewIDs Naming = iota
	// SameID: all incarnations in a place have one id, and say when they started.
	SameID
	// NewIDsAndBorn: each has an id of its own, and says when it started.
	NewIDsAndBorn
)

// Grid is the stand-in.
type Grid struct {
	config       Config
	mu           sync.Mutex
	workers      map[jobs.WorkerID]*incarnation
	slots        []jobs.WorkerID // of the incarnation in each place
	incarnations int
	begin        time.Time
	audit        *audit
	unlisted     map[jobs.WorkerID]bool
	draining     map[jobs.WorkerID]time.Time // when the worker leaves
	staleEntries map[jobs.WorkerID]bool      // entries of workers that are not there any more, by ids that don't come again
	calls        int                         // that workers were reached by
	changes      []jobs.WorkerID             // of the list, in their order
	changed      chan struct{}               // closed and renewed with each of them
}

var (
	_ platform.JobWorkers = (*Grid)(nil)
	_ platform.WorkerList = (*Grid)(nil)
)

// incarnation is one incarnation of a worker, with what it knows.
type incarnation struct {
	info            jobs.Worker
	capacityChange  capacityChange
	place           int
	faults          Faults
	up              bool
	crashedSilently bool      // calls under way when it ended get no answer, and no connection breaks
	startedAt       time.Time // when its clock showed nothing
	fence           jobs.Fence
	runs            map[jobs.TaskID]*run
	barred          map[jobs.TaskID]jobs.RunID
	ends            []jobs.Ended
	lastEndNumber   uint64
	ackedUpTo       uint64 // ends up to this number when they come, with ForgetsAhead
	leaseTimer      *time.Timer
	leaseEnd        time.Time
	changed         chan struct{} // closed and renewed with each end
}

// New makes a grid whose workers are up.
func New(config Config) *Grid {
	if config.Services == (Services{}) {
		config.Services = defaultServices
	}
	g := &Grid{
		config: config, workers: map[jobs.WorkerID]*incarnation{}, begin: time.Now(), audit: newAudit(),
		unlisted: map[jobs.WorkerID]bool{}, draining: map[jobs.WorkerID]time.Time{}, staleEntries: map[jobs.WorkerID]bool{},
		changed: make(chan struct{}),
	}
	for n := range config.Workers {
		g.slots = append(g.slots, g.boot(n))
	}
	return g
}

// boot starts a new incarnation in a place.
func (g *Grid) boot(place int) jobs.WorkerID {
	g.incarnations++
	now := time.Now()
	rack := fmt.Sprintf("rack-%d", place/max(1, g.config.PerRack))
	w := &incarnation{
		info: jobs.Worker{
			ID: jobs.WorkerID(fmt.Sprintf("w%03d-%d", place, g.incarnations)), Pool: g.config.Pool, Address: fmt.Sprintf("place-%d", place),
			Domain: "south/a", Capacity: g.config.Capacity, Labels: []string{"kind-a", rack}, Rack: jobs.RackLabel(rack),
		},
		place: place, up: true, startedAt: now,
		runs: map[jobs.TaskID]*run{}, barred: map[jobs.TaskID]jobs.RunID{}, changed: make(chan struct{}),
	}
	if g.config.Naming == SameID {
		w.info.ID = jobs.WorkerID(fmt.Sprintf("w%03d", place))
		delete(g.draining, w.info.ID)
		delete(g.unlisted, w.info.ID)
	}
	if g.config.Naming != NewIDs {
		w.info.Born = g.reportedStartTime(now)
	}
	g.workers[w.info.ID] = w
	return w.info.ID
}

// startTimeOffsets are by how much the time of day of incarnations is off, in turn: that of a later one may be
// the earlier.
var startTimeOffsets = [...]time.Duration{0, -time.Hour, time.Minute}

// reportedStartTime is what an incarnation that begins now says of its start, another time for each.
func (g *Grid) reportedStartTime(now time.Time) models.UnixMilli {
	step := startTimeOffsets[g.incarnations%len(startTimeOffsets)]
	return models.UnixMilliOf(now.Add(step)) + models.UnixMilli(g.incarnations)
}

// incarnationAt is the incarnation in a place, whether it is up or has ended.
func (g *Grid) incarnationAt(place int) *incarnation { return g.workers[g.slots[place]] }

// IDs are the workers that are up, by place.
func (g *Grid) IDs() []jobs.WorkerID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.slots)
}

// Worker is what the incarnation in a place says of itself, whether it is up or has ended.
func (g *Grid) Worker(place int) jobs.Worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnationAt(place).info
}

// clock is the worker's own.
func (g *Grid) clock(w *incarnation, now time.Time) models.Milli {
	return models.MilliOf(time.Duration(float64(now.Sub(w.startedAt)) * (1 - g.config.Slow)))
}

// timeOf gives the time at which the worker's clock shows a value.
func (g *Grid) timeOf(w *incarnation, clock models.Milli) time.Time {
	return w.startedAt.Add(time.Duration(float64(clock.Duration()) / (1 - g.config.Slow)))
}

// Expect tells the audit of a job that was accepted.
func (g *Grid) Expect(spec jobs.Spec, attempts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.audit.expect(spec, attempts)
}

// Breaches are the promises that were broken so far.
func (g *Grid) Breaches() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.audit.breaches)
}

// Running counts the runs of a job that are under way.
func (g *Grid) Running(id jobs.ID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, w := range g.workers {
		for task := range w.runs {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}

// RunningOn counts the runs on the worker in a place.
func (g *Grid) RunningOn(place int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.incarnationAt(place).runs)
}
