// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package dispatch decides which tasks of a cell's jobs run on which of its workers.
// The workers are the source of truth about what runs: a Core is built from the stored jobs and
// the workers' reports, and nothing is stored before an ordinary start. A Core does no input or
// output and reads no clock; the caller passes the time to every call.
//
// Core.Decide drives a task through these stages:
//
//	open steps → order → place → start → report → end → store → acknowledge
//
// Files by subject:
//
//   - jobs and steps: job.go, occurrence.go, step.go, task.go, ended.go; jobs divided between cells: divided_jobs.go
//   - the order of steps and the placement of their tasks: urgency.go, backlog.go, place.go, places.go,
//     score.go; capacity that long-running tasks leave to short work: reserve.go
//   - orders and their outcomes: order.go, outcome.go, stop.go; repeated starts: retry_budget.go
//   - reports: report.go, end.go; ended runs that are not listed yet: listed_ends.go; stray runs: stray.go; checkpoints for the next run: checkpoint.go
//   - what has to be stored: changes.go, progress.go, chunks.go (progress that no single value holds), refused.go (what the store
//     does not accept)
//   - workers: worker.go, closed.go (why nothing starts there), capacity.go, speed.go, lease.go; failure domains in which nothing starts:
//     cordon.go; lost workers: lost_workers.go; workers that
//     restart under the same id: incarnation.go, late_start.go
//   - tasks that crash their workers: suspicion.go (suspects, and when a task is abandoned),
//     evidence.go (the evidence of one loss), chance.go (the rate of worker losses by chance),
//     burst.go (workers lost together), recent.go (losses that are evaluated again when
//     simultaneous losses are known), shared.go (losses shared by several tasks), trial.go (where
//     and how suspects start), trial_wait.go (what keeps them from it), wait_bound.go (the bound of
//     all these waits together), suspicion_store.go (what is stored), unobserved_losses.go (unobserved losses:
//     runs that may have been lost without any owner knowing of them)
//   - recovery after a takeover: takeover.go, recovery_wait.go (what it waits for),
//     previous_leases.go (what previous owners tell of their leases); proof that this process still owns the cell:
//     proof.go; whether its copy of the store's data is fresh enough to start tasks:
//     store_freshness.go
//   - work handed to another cell: movable.go (what may move), offer.go (how much work of other
//     cells fits here), move.go (the tasks while a move is being stored)
//   - the load of the cell: load.go; figures for operators: summary.go, figures.go;
//     what has waited for long: long_wait.go
//   - filler tasks of idle jobs: job_runs.go and filler_wait.go (how long nothing of a job has run), unanswered_start.go (starts
//     that are no runs), standby.go (tasks that hold a place at pace 0), standby_resume.go (how these go on); no_room.go
//     (searches that other steps have made)
//   - interference: the model is package contention; learn.go feeds it; learned_parameters.go
//     stores its parameters for a successor
//   - use of the interference model: expect.go (predicted loads), filler.go (placement and CPU
//     use of filler tasks), throttle.go (which tasks are throttled), pace.go (paces ordered and
//     observed)
//   - conversion between the owner's time and the time of day: time_of_day.go
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
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// Config is the configuration of a Core.
type Config struct {
	Epoch jobs.Epoch
	// Taken is when this process took the cell over from its previous owner.
	Taken time.Time
	// Lease is how long a worker keeps its tasks running after its lease was last renewed.
	Lease time.Duration
	// LongestLease is the longest lease that workers accept. Leases of previous owners are assumed to be this
	// long when the stored roster does not say how long they were.
	LongestLease time.Duration
	// EndsPerReport is how many ended runs a worker lists at once; 0: jobs.EndsPerReport.
	EndsPerReport int
	// MaxValueSize is the size of the largest value that the store accepts, in bytes; 0: defaultMaxValueSize.
	MaxValueSize int
	// OtherCells says that work may be handed to other cells.
	OtherCells bool
	// TimeOfDay returns the current time of day; its argument is the time that the caller has just passed to
	// the Core. If nil, the argument itself is converted.
	TimeOfDay func(now time.Time) models.UnixMilli
	Logger    *zap.Logger
}

// defaultMaxValueSize is the size of the largest value that the store accepts unless a Config says otherwise, in bytes.
const defaultMaxValueSize = 1 << 20

// runsPerEpoch is how many run ids one epoch has for a single task. Run ids thereby rise from epoch to epoch
// although no counter is stored.
const runsPerEpoch = 1 << 12

// Core decides for one cell. It is not safe for concurrent use.
type Core struct {
	config            Config
	jobs              map[jobs.ID]*job
	unanswered        map[*task]struct{} // tasks whose start may have no answer
	uncertainRuns     map[*job]int       // how many runs of a job may not exist any more, or not yet; see updateIdleJobs
	unheld            map[jobs.ID]*job   // jobs of which not all occurrences are held or done
	heldTasks         int                // of all jobs
	additionalTasks   int                // of these, tasks of occurrences beside the first one of each job
	ended             map[jobs.ID]endedJob
	movedOut          map[jobs.ID]movedOutJob // jobs whose tasks are all in other cells
	endedSweptAt      time.Time               // when expired ended jobs were last removed
	workers           map[jobs.WorkerID]*worker
	sortedWorkers     []*worker       // sorted by id
	urgentWorkers     []jobs.WorkerID // workers to be asked for a report at once; see TakeImmediatePolls
	cordons           map[models.FailureDomain]cordon
	workersAdded      int // how many workers were ever added; numbers their fences
	queueTerms        map[jobs.QueueName]jobs.Terms
	waitingSteps      []*step // opened steps with waiting tasks
	orders            []Order
	dirty             []*job
	jobsSetAside      []*job              // dirty jobs whose changes the store has refused; see refused.go
	chunkings         int                 // how many times progress was divided into chunks; numbers the chunkings
	unusedChunks      []jobs.Chunk        // chunks of progress to be deleted from the store
	restoredChunks    map[jobs.ID]*chunks // chunks that the store held at the takeover, of jobs that are not added yet
	unsharedEnds      []*job              // divided jobs whose end is decided here and still has to be stored in all of their cells
	previousLease     time.Duration       // longest lease that a previous owner may have granted; at most LongestLease
	previousAllowance time.Duration       // Roster.LeaseAllowance of the previous owners; 0: their leases may not be bound to proofs
	jobsHeld          bool                // jobs are held back until they have been offered to other cells
	recovering        bool                // workers that have not reported since the takeover may run tasks
	fencedAt          time.Time           // when more than a third of the workers had reported in this epoch; zero: not yet; see updateFenced
	answeredAt        time.Time           // when the first worker reported in this epoch; zero: none has
	calledAt          time.Time           // when the first worker of the previous roster reported in this epoch; zero: none has
	previousEndedAt   time.Time           // when the last of the previous owners had ended; zero: not known
	previousFence     witnessFence
	previousLeases    map[jobs.WorkerID]time.Time // see PreviousLeasesEnd; nil: not known
	noPreviousRuns    bool                        // no previous owner had started anything
	loggedBasis       lapseBasis                  // of the wait after the takeover that was last logged; empty: none was
	loggedHiddenEnds  bool                        // it was logged that the recovery waits for ended runs that are not listed
	superseded        bool
	listRead          bool      // the platform's list of workers has been read
	provedAt          time.Time // when the latest transaction that proves ownership was begun; see mayOrder
	allAskedAt        time.Time // all workers have answered a call that was sent at this time or later
	quorumAskedAt     time.Time // two thirds of the workers have answered a call that was sent at this time or later
	quorumCheckedAt   time.Time // when the answers of the workers were last counted for mayOrder
	witnesses         witnesses
	wantsProof        bool // a transaction is wanted for the proof of ownership alone
	wantsLapseProof   bool // the leases of a worker out of the roster are over, and a transaction has to prove it
	awaitingProof     bool // orders are held back until ownership is proved again
	loggedAwaiting    bool // the log says so
	storeFreshness    storeFreshness
	stopping          map[*task]struct{}
	now               time.Time  // as passed to the latest call
	longWaits         *LongWaits // as of longWaitsAt; nil: nothing waited for long
	longWaitsAt       time.Time
	longWaitsStarts   int64 // counts.Starts at that time
	longWaitsLimited  int64 // counts.LimitReached at that time

	rosterChanged     bool
	rosterUnresolved  bool      // a roster is being stored, or it is not known whether it was
	forgotten         []jobs.ID // ended jobs to be deleted from the store
	model             *contention.Model
	modelSettledAt    time.Time                 // when the model last took new observations into its predictions
	queueSpeeds       map[jobs.QueueName]*speed // how fast the tasks of each queue progress, relative to their estimates
	overdueCredit     float64                   // starts that overdue jobs may have before all others
	repeats           retryBudget
	workerLosses      []workerLoss              // worker losses within the window of chance.go
	unresolvedRuns    map[jobs.WorkerID][]*task // suspects that a previous owner started on the worker, until the worker reports
	takeovers         takeoverLosses
	tasksWithLosses   map[*task]struct{}            // tasks that have lost runs; some of them may have ended since
	tasksToJudge      []*task                       // tasks with newly counted losses, to be judged
	recentLosses      []recentLoss                  // losses to be re-evaluated when later ones are known
	lateStartsUntil   map[jobs.WorkerID]time.Time   // until when starts without answer may be carried out under an id
	replaced          map[jobs.Incarnation]struct{} // incarnations that have certainly ended but are still in the platform's list
	storeUrgently     bool                          // dirty jobs have changes that are to be stored without delay
	shortWork         shortWork
	cpuHeldFor        *task           // see holdCPU; nil: no task
	otherCells        jobs.UseOfPools // of the other cells, as last known
	unknownDraining   jobs.UseOfPools // workers that the list names as draining, and that ran nothing when this owner first read of them
	startsLeft        int             // how many more starts Decide may order
	oddStartToOthers  bool            // see startsOfOthers
	counts            Counts
	figures           JobFigures
	placeBuffer       placeHeap                           // reused by Core.findPlaces
	full              fullSizes                           // sizes for which the present decision has found no room
	workerChanges     int                                 // how often the tasks, figures or paces of a worker have changed
	restoredLoads     map[stepKey]contention.BaselineLoad // baseline loads learned by a previous owner, until their step is added
	parametersTakenAt time.Time                           // when the learned parameters were last included in changes to store
}

// Counts are totals since the Core was made.
type Counts struct {
	Starts, Succeeded, Failed, Stopped, Lapsed, Refused, Paces, Unanswered int64
	WorkersLost                                                            int64 // workers lost while tasks were assigned to them
	RestartsReported, RestartsMet                                          int64 // restarts of workers under the same id, found by a report, or by a call that met the next incarnation
	ReportsPassedOver                                                      int64 // reports discarded as older than one already applied
	LostUnseen                                                             int64 // runs that may have been lost with a worker, while no owner observed their start or their loss
	Trials, GivenUp, Cleared                                               int64 // trials of tasks suspected of crashing workers; tasks abandoned; tasks cleared
	Contested, TrialsDelayed                                               int64 // waits of suspects for the outcome of other tasks, and long ones for a worker
	WitnessesMissing                                                       int64 // times that orders waited because too few witnesses vouched for the owner
	StartsFromText                                                         int64 // starts from a checkpoint
	LimitReached                                                           int64 // decisions that ordered all the starts that they might
	// Checkpoints in reports that were not taken, by reason: see checkpointResult.
	TextsNotAskedOf, TextsOlder, TextsUnordered, TextsFailed int64
}

// New returns a Core without jobs and workers.
func New(config Config) *Core {
	config.EndsPerReport = cmp.Or(config.EndsPerReport, jobs.EndsPerReport)
	config.MaxValueSize = cmp.Or(config.MaxValueSize, defaultMaxValueSize)
	return &Core{
		config: config, jobs: map[jobs.ID]*job{}, unanswered: map[*task]struct{}{}, uncertainRuns: map[*job]int{}, unheld: map[jobs.ID]*job{}, ended: map[jobs.ID]endedJob{}, movedOut: map[jobs.ID]movedOutJob{},
		workers: map[jobs.WorkerID]*worker{}, queueTerms: map[jobs.QueueName]jobs.Terms{}, stopping: map[*task]struct{}{},
		previousLease: config.LongestLease, recovering: true, provedAt: config.Taken, model: contention.NewModel(), queueSpeeds: map[jobs.QueueName]*speed{},
		restoredLoads: map[stepKey]contention.BaselineLoad{}, storeFreshness: newStoreFreshness(config.Taken),
		repeats: newRetryBudget(), startsLeft: math.MaxInt, shortWork: shortWork{use: jobs.UseOfPools{}},
		unresolvedRuns: map[jobs.WorkerID][]*task{}, tasksWithLosses: map[*task]struct{}{}, replaced: map[jobs.Incarnation]struct{}{},
		lateStartsUntil: map[jobs.WorkerID]time.Time{}, cordons: map[models.FailureDomain]cordon{}, full: fullSizes{},
	}
}

// Superseded reports whether a worker has refused a call because a later owner has called it.
func (c *Core) Superseded() bool { return c.superseded }

// AllowStarts bounds how many starts Decide may order from now on. The most urgent tasks are started first; the
// others keep waiting. Without a call, the number of starts is unbounded.
func (c *Core) AllowStarts(n int) { c.startsLeft = n }

// Counts returns the totals since the Core was made.
func (c *Core) Counts() Counts { return c.counts }

// Configure sets the terms of the queues as configured now.
func (c *Core) Configure(configuration *jobs.Configuration) {
	clear(c.queueTerms)
	for _, queue := range configuration.Queues {
		c.queueTerms[queue.Name] = queue.Terms
	}
}

// terms returns the terms of a job: those of its queue as configured now, or those that the job was accepted
// with if its queue has been removed.
func (c *Core) terms(j *job) jobs.Terms {
	if terms, ok := c.queueTerms[j.spec.Queue]; ok {
		return terms
	}
	return j.terms
}

// Decide re-examines workers, tasks and loads, and returns the orders to carry out.
func (c *Core) Decide(now time.Time) []Order {
	c.now = now
	c.expireWorkers(now)
	c.reevaluateLosses(now)
	c.judge(now)
	c.holdAllDueOccurrences()
	if c.mayOrder(now) {
		c.evacuate(now)
		c.retryStops(now)
		if c.mayStart() {
			c.placeAll(now)
			clear(c.full)
			if c.startsLeft <= 0 {
				c.counts.LimitReached++
			}
		}
		c.throttle(now)
		c.haltStandby(now)
	}
	c.sumUpLongWaits(now)
	c.forgetEnded(now)
	c.forgetLateStarts(now)
	orders := c.orders
	c.orders = nil
	return orders
}

// fits reports whether the worker's pool and labels allow the tasks of the step.
func (c *Core) fits(w *worker, s *step) bool {
	return w.suits(c.terms(s.job).Pool, s.spec)
}

// suits reports whether the worker belongs to the pool and has the label that the step requires.
func (w *worker) suits(pool jobs.PoolName, spec *jobs.Step) bool {
	return w.info.Pool == pool && (spec.Requires == "" || slices.Contains(w.info.Labels, spec.Requires))
}

// deadline returns when the job's latency objective ends.
func (c *Core) deadline(j *job) models.UnixMilli {
	terms := c.terms(j)
	objective := terms.Slack + models.Milli(terms.Stretch*float64(models.MilliOf(j.criticalPath)))
	return j.objectiveStart + models.UnixMilli(objective)
}
