// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package dispatch decides which tasks of a cell's jobs run on which of its workers.
// The workers hold the truth about what runs: a Core is built from the stored jobs and
// the workers' reports, and nothing is stored before a start. It does no input or
// output and reads no clock; every call says the time.
//
// The path of a task is a chain, read in Core.Decide:
//
//	open steps → order → place → start → report → end → store → acknowledge
//
// Where to look:
//
//   - jobs and steps: job.go, step.go, task.go, ended.go; those that are divided between
//     cells: parts.go
//   - the order of steps and the places of their tasks: urgency.go, place.go, places.go,
//     score.go
//   - what orders bring: order.go, outcome.go, stop.go
//   - reports: report.go, end.go; runs that should not be there: stray.go; what the next run
//     goes on from: saved.go
//   - what is stored: changes.go
//   - workers: worker.go, room.go, speed.go, lease.go; those that go: gone.go; those that start again
//     under their ids: incarnation.go
//   - tasks that end their workers: suspicion.go (who is suspected, and given up), evidence.go
//     (what a loss says), chance.go (how often workers go), burst.go (those that go together), recent.go (losses weighed before others are known), shared.go (losses that several tasks share),
//     trial.go (where and how suspects start), suspicion_store.go (what is stored),
//     unseen.go (runs that may be lost and that no owner knows of)
//   - the time after a takeover: takeover.go; whether this still is the owner: proof.go;
//     whether what it knows is recent enough to start something: stale.go
//   - work that goes to another cell: movable.go (what may go), offer.go (how much of other
//     cells' work finds a place here), move.go (the tasks while a move is stored)
//   - how full the cell is: load.go; figures for operators: summary.go
//   - interference, the model: package contention; learn.go (figures into it)
//   - what a successor takes over of it: knowledge.go
//   - interference, what follows: expect.go (loads to come), filling.go (places and use of
//     filling tasks), throttle.go (who is slowed down), pace.go (paces ordered and seen)
//
// # Usage
//
//	core := dispatch.New(dispatch.Config{Epoch: epoch, Lease: 6 * time.Second, …})
//	core.AddJob(record, progress, false, now)
//	core.SetWorkers(workers, now)
//	core.Reported(worker, sent, report, now)
//	for _, order := range core.Decide(now) { … } // carry out, then core.Started and so on
//	changes := core.TakeChanges(limit, now)      // store, then core.Stored(changes, now)
package dispatch

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// Config is what a core is made of.
type Config struct {
	Epoch jobs.Epoch
	// Taken is when the cell was taken from its former owner.
	Taken time.Time
	// Lease is how long a worker runs on when nobody prolongs it.
	Lease time.Duration
	// LongestLease is the longest that workers grant; former owners' leases are taken to be
	// as long when the stored roster doesn't say.
	LongestLease time.Duration
	// OtherCells says that work may be handed to other cells.
	OtherCells bool
	// TimeOfDay gives the time of day now, a time that the owner has just given; nil: what it shows.
	TimeOfDay func(now time.Time) models.UnixMilli
	Logger    *zap.Logger
}

// runsPerEpoch is how many runs of one task an epoch has numbers for: run ids rise over
// all epochs without anything being stored.
const runsPerEpoch = 1 << 12

// Core decides for one cell. It is not safe for concurrent use.
type Core struct {
	config       Config
	jobs         map[jobs.ID]*job
	repeating    map[jobs.ID]*job // those that repeat
	ended        map[jobs.ID]endedJob
	movedOut     map[jobs.ID]movedOutJob // jobs that went to another cell as a whole
	endedSweptAt time.Time               // when ended jobs were last looked through
	workers      map[jobs.WorkerID]*worker
	order        []*worker       // by id
	hurry        []jobs.WorkerID // see TakeHurried
	workersAdded int             // workers that were ever added
	queues       map[jobs.QueueName]jobs.Terms
	waitingSteps []*step // with tasks that wait
	orders       []Order
	dirty        []*job
	formerLease  time.Duration // of former owners; LongestLease at most
	jobsHeld     bool          // jobs wait to be offered to other cells
	blind        bool          // a worker may run tasks that were not reported yet
	fenced       time.Time     // when most workers had; zero: not yet
	superseded   bool
	proved       time.Time // when the latest transaction that proves the ownership was made; see mayOrder
	obeyed       time.Time // when two thirds of the workers had been called that have answered
	countedAt    time.Time // when obeyed was last found out
	wantsProof   bool      // a transaction is wanted for its proof alone
	idle         bool      // orders wait for a proof
	known        known
	stopping     map[*task]struct{}
	now          time.Time // of the latest call

	rosterChanged     bool
	forgotten         []jobs.ID // ended jobs to be removed from the store
	model             *contention.Model
	modelSettledAt    time.Time                 // when observations last came into force
	queueSpeeds       map[jobs.QueueName]*speed // how fast tasks progress, in estimates
	repeats           repeats
	losses            []workerLoss              // of the last seconds
	openRuns          map[jobs.WorkerID][]*task // suspects that a former owner started there, until it answers
	takeovers         takeoverLosses
	withLosses        map[*task]struct{}            // tasks that have lost runs; some of them may have ended since
	toJudge           []*task                       // against which something has been counted
	recent            []recentLoss                  // to be weighed again
	replaced          map[jobs.Incarnation]struct{} // proved to be gone, while the list still names them
	storeUrgently     bool                          // what is dirty should not wait to be stored
	shortWork         shortWork
	startsLeft        int // that Decide may still order
	counts            Counts
	figures           JobFigures
	placeBuffer       placeHeap                   // reused by Core.findPlaces
	restoredLoads     map[stepKey]contention.Load // of a former owner, until the step is added
	parametersTakenAt time.Time                   // when the knowledge was last taken to be stored
}

// Counts is what a core has done so far.
type Counts struct {
	Starts, Succeeded, Failed, Stopped, Lapsed, Refused, Paces, Unanswered int64
	WorkersLost                                                            int64 // with runs
	RestartsReported, RestartsMet                                          int64 // of workers under their ids, by what showed them: a report, a call that was meant for the former incarnation
	ReportsPassedOver                                                      int64 // for their clocks
	LostUnseen                                                             int64 // runs that may be lost, and nobody saw
	Trials, GivenUp, Cleared                                               int64 // of tasks suspected of crashing workers
	StartsFromText                                                         int64 // that bring a checkpoint
	// Checkpoints that reports showed and that were not taken, by why: see textFate.
	TextsNotAskedOf, TextsOlder, TextsUnordered, TextsFailed int64
}

// New makes a core without jobs and workers.
func New(config Config) *Core {
	return &Core{
		config: config, jobs: map[jobs.ID]*job{}, repeating: map[jobs.ID]*job{}, ended: map[jobs.ID]endedJob{}, movedOut: map[jobs.ID]movedOutJob{},
		workers: map[jobs.WorkerID]*worker{}, queues: map[jobs.QueueName]jobs.Terms{}, stopping: map[*task]struct{}{},
		formerLease: config.LongestLease, blind: true, proved: config.Taken, model: contention.NewModel(), queueSpeeds: map[jobs.QueueName]*speed{},
		restoredLoads: map[stepKey]contention.Load{}, known: known{jobs: config.Taken, workers: config.Taken},
		repeats: newRepeats(), startsLeft: math.MaxInt,
		openRuns: map[jobs.WorkerID][]*task{}, withLosses: map[*task]struct{}{}, replaced: map[jobs.Incarnation]struct{}{},
	}
}

// Superseded tells whether a worker has seen a later owner.
func (c *Core) Superseded() bool { return c.superseded }

// AllowStarts bounds the starts that Decide may order from now on; the most urgent go first, and
// tasks that get none wait. Without a call there is no bound.
func (c *Core) AllowStarts(n int) { c.startsLeft = n }

// Counts is what the core has done so far.
func (c *Core) Counts() Counts { return c.counts }

// Configure sets the queues' terms in force.
func (c *Core) Configure(configuration *jobs.Configuration) {
	clear(c.queues)
	for _, queue := range configuration.Queues {
		c.queues[queue.Name] = queue.Terms
	}
}

// terms are the terms of a job: those of its queue as configured now, or those it was
// accepted with when the queue is gone.
func (c *Core) terms(j *job) jobs.Terms {
	if terms, ok := c.queues[j.spec.Queue]; ok {
		return terms
	}
	return j.terms
}

// Decide looks at everything once and gives the orders that follow.
func (c *Core) Decide(now time.Time) []Order {
	c.now = now
	c.expireWorkers(now)
	c.weighAgain(now)
	c.judge(now)
	c.openDueOccurrences(now)
	if c.mayOrder(now) {
		c.evacuate(now)
		c.retryStops(now)
		if c.mayStart() {
			c.placeAll(now)
		}
		c.throttle(now)
	}
	c.forgetEnded(now)
	orders := c.orders
	c.orders = nil
	return orders
}

// fits tells whether a worker's pool and labels allow a step's tasks.
func (c *Core) fits(w *worker, s *step) bool {
	return w.suits(c.terms(s.job).Pool, s.spec)
}

// suits tells whether the worker is of the pool and has the label that a step requires.
func (w *worker) suits(pool jobs.PoolName, spec *jobs.Step) bool {
	return w.info.Pool == pool && (spec.Requires == "" || slices.Contains(w.info.Labels, spec.Requires))
}

// deadline is when a job's objective ends.
func (c *Core) deadline(j *job) models.UnixMilli {
	terms := c.terms(j)
	objective := terms.Slack + models.Milli(terms.Stretch*float64(models.MilliOf(j.criticalPath)))
	return j.objectiveStart + models.UnixMilli(objective)
}
