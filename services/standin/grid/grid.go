// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package grid simulates the workers that run tasks of jobs, for tests and trials only. The simulated
// workers keep leases on their own clocks, refuse stale orders, report ended runs until they are
// acknowledged, report tail latencies that depend on the tasks beside a run, and lose or delay calls
// when a test asks for it. An audit follows the actual runs and lists every violated guarantee.
//
// # Usage
//
//	g := grid.New(grid.Config{Workers: 8, PerRack: 4, Capacity: capacity, LongestLease: 6 * time.Second})
//	g.Expect(spec, 3)             // tells the audit that the job was accepted
//	report, err := g.RenewLease(ctx, worker, call)
//	breaches := g.Breaches()
package grid

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Config configures a grid.
type Config struct {
	Workers      int
	PerRack      int
	Domains      int // failure domains, over which the places are spread in turn; 0: one
	Pool         jobs.PoolName
	Capacity     models.Resources
	LongestLease time.Duration
	StopTime     time.Duration
	// EndsPerReport is how many ended runs a report lists at most; 0: jobs.EndsPerReport.
	EndsPerReport int
	// ClockDrift is the fraction by which the workers' clocks run slow, for instance 0.02.
	ClockDrift float64
	// Work returns how long a run works at full pace and how it ends. By default, a run works for the
	// step's estimate and succeeds.
	Work func(task jobs.TaskID, run jobs.RunID) (time.Duration, jobs.End)
	// Services is the load model of serving tasks; by default the one fitted to the users' sites.
	Services Services
	// Crash returns whether a run crashes its worker, and how long after its start. With an after of 0,
	// the worker crashes before it answers the start. If nil, no run crashes its worker.
	Crash func(task jobs.TaskID, run jobs.RunID) (after time.Duration, crashes bool)
	// CrashRule is how the audit of progress regards workers that tasks crash.
	CrashRule CrashRule
	// RestartDelay is the time from a worker's crash until another incarnation listens at its address.
	RestartDelay time.Duration
	// Naming determines how the incarnations in one place are told apart.
	Naming Naming
	// AckFutureEnds lets an acknowledgement also cover ends that the worker has not recorded yet. Otherwise,
	// an acknowledgement removes only ends that the worker has already recorded.
	AckFutureEnds bool
	// CheckpointInterval is the work between two checkpoints of a run whose step has checkpoints. With 0, runs
	// make no checkpoints at all, not even when they are stopped.
	CheckpointInterval time.Duration
	// RestoreTime is how long a run that starts from a checkpoint takes before it continues the work.
	RestoreTime time.Duration
	// OwnCheckpointsOnly makes a run report only checkpoints that it has made itself. Otherwise, it reports the
	// checkpoint that it started from until it makes its first one.
	OwnCheckpointsOnly bool
	// CheckpointText returns the text of a checkpoint, a different one for each call. If nil, the text is a short
	// description of the checkpoint.
	CheckpointText func(saved CheckpointInfo) jobs.Text
}

// CrashRule is how CheckProgress regards a worker that a task has crashed. The users' rules leave this open.
type CrashRule int

// The values of CrashRule.
const (
	// CrashesAreFaults counts such a crash, and the start of the next incarnation, as faults like any other.
	CrashesAreFaults CrashRule = iota
	// CrashesHoldTheirTasks counts neither as a fault, but lets the tasks that the worker ran wait until the next
	// incarnation is up: until then no owner can know that they don't run.
	CrashesHoldTheirTasks
	// CrashesAreCalm counts neither as a fault, and lets the tasks wait no longer than any others.
	CrashesAreCalm
)

// Naming is the way in which workers identify their incarnations.
type Naming int

// The values of Naming.
const (
	// NewIDs gives each incarnation an id of its own; incarnations don't report their start time.
	NewIDs Naming = iota
	// SameID gives all incarnations in a place the same id; they report their start time.
	SameID
	// NewIDsAndStartTime gives each incarnation an id of its own; incarnations report their start time.
	NewIDsAndStartTime
)

// Grid simulates the workers. A place is an index from 0 to Config.Workers - 1 with an address of its own, at
// which one incarnation follows another.
type Grid struct {
	config       Config
	mu           sync.Mutex
	workers      map[jobs.WorkerID]*incarnation
	idsByPlace   []jobs.WorkerID // ids of the latest incarnations, by place
	incarnations int             // started so far
	begin        time.Time
	audit        *audit
	unlisted     map[jobs.WorkerID]bool
	draining     map[jobs.WorkerID]time.Time // the time at which the worker leaves
	staleEntries map[jobs.WorkerID]bool      // listed entries of crashed workers, whose ids are not used again
	calls        int                         // calls that reached a worker
	changes      []jobs.WorkerID             // workers whose list entry changed, in order
	changed      chan struct{}               // closed and replaced with each change
	cordons      map[models.FailureDomain]cordon
	cordonsSet   int // cordons set so far; numbers their versions
}

var (
	_ platform.JobWorkers = (*Grid)(nil)
	_ platform.WorkerList = (*Grid)(nil)
	_ platform.CordonList = (*Grid)(nil)
)

// incarnation is one incarnation of a worker, with its state.
type incarnation struct {
	info            jobs.Worker
	capacityChange  capacityChange
	place           int
	faults          Faults
	up              bool
	crashedByTask   bool      // a task has crashed the worker
	crashedSilently bool      // pending calls hang: they get no answer and their connections stay open
	gone            bool      // no other incarnation follows, and all calls hang
	startedAt       time.Time // when its clock showed 0
	fence           jobs.Fence
	runs            map[jobs.TaskID]*run
	barred          map[jobs.TaskID]jobs.RunID
	ends            []jobs.Ended
	lastEndNumber   uint64
	ackedUpTo       uint64 // with AckFutureEnds: later ends up to this number are dropped as acknowledged
	leaseTimer      *time.Timer
	leaseEnd        time.Time
	changed         chan struct{} // closed and replaced with each end
}

// New returns a grid whose workers are up.
func New(config Config) *Grid {
	if config.Services == (Services{}) {
		config.Services = defaultServices
	}
	config.EndsPerReport = cmp.Or(config.EndsPerReport, jobs.EndsPerReport)
	g := &Grid{
		config: config, workers: map[jobs.WorkerID]*incarnation{}, begin: time.Now(), audit: newAudit(),
		unlisted: map[jobs.WorkerID]bool{}, draining: map[jobs.WorkerID]time.Time{}, staleEntries: map[jobs.WorkerID]bool{},
		changed: make(chan struct{}), cordons: map[models.FailureDomain]cordon{},
	}
	for n := range config.Workers {
		g.idsByPlace = append(g.idsByPlace, g.boot(n))
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
			Domain: g.config.domainOf(place), Capacity: g.config.Capacity, Labels: []string{"kind-a", rack}, Rack: jobs.RackLabel(rack),
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

// startTimeOffsets are the errors of the incarnations' wall clocks, used in turn: a later incarnation may report
// an earlier start time.
var startTimeOffsets = [...]time.Duration{0, -time.Hour, time.Minute}

// reportedStartTime returns the start time that an incarnation which starts now reports; no two are equal.
func (g *Grid) reportedStartTime(now time.Time) models.UnixMilli {
	offset := startTimeOffsets[g.incarnations%len(startTimeOffsets)]
	return models.UnixMilliOf(now.Add(offset)) + models.UnixMilli(g.incarnations)
}

// incarnationAt returns the incarnation in a place, whether it is up or has ended.
func (g *Grid) incarnationAt(place int) *incarnation { return g.workers[g.idsByPlace[place]] }

// IDs returns the ids of the workers that are up, by place.
func (g *Grid) IDs() []jobs.WorkerID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.idsByPlace)
}

// Worker returns the description of the incarnation in a place, whether it is up or has ended.
func (g *Grid) Worker(place int) jobs.Worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnationAt(place).info
}

// clock returns what the worker's own clock shows at a time.
func (g *Grid) clock(w *incarnation, now time.Time) models.Milli {
	return models.MilliOf(time.Duration(float64(now.Sub(w.startedAt)) * (1 - g.config.ClockDrift)))
}

// timeOf returns the time at which the worker's clock shows a value.
func (g *Grid) timeOf(w *incarnation, clock models.Milli) time.Time {
	return w.startedAt.Add(time.Duration(float64(clock.Duration()) / (1 - g.config.ClockDrift)))
}

// Expect tells the audit that a job was accepted.
func (g *Grid) Expect(spec jobs.Spec, attempts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.audit.expect(spec, attempts)
}

// Breaches returns a message for each guarantee that was violated so far.
func (g *Grid) Breaches() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.audit.breaches)
}

// Running returns the number of a job's runs in progress.
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

// RunningOn returns the number of runs on the worker in a place.
func (g *Grid) RunningOn(place int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.incarnationAt(place).runs)
}
