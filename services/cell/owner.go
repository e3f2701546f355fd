// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package cell is the path of tasks: it decides for the workers of one cell, while
// this daemon owns it. Manager takes and leaves cells as members come and go; each
// owned cell has an Owner with one loop, through which everything passes:
//
//	observe → admit → feasible → score → commit → act
//
// Owner.cycle in cycle.go reads as that chain. State is changed only by
// models.Step, becomes durable with the journal's next append, and only then are
// the actions taken that it calls for. An owner that finds the journal ahead of it
// has been superseded and ends at once.
//
// # Usage
//
//	manager := cell.NewManager(cell.ManagerConfig{…})
//	graceful.Loop("cells", manager.Run)
//	answer, err := manager.Forward(ctx, models.ForwardCall{Cell: c, Submit: jobs})
package cell

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/modules/selector"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/journal"
	"rillsail.example/rillsail/services/place"
	"rillsail.example/rillsail/services/platform"
)

// Peers is how an owner reaches the owners of other cells.
type Peers interface {
	// Cells tells what is known of all owned cells.
	Cells() map[models.CellID]models.CellBeat
	// Offer and Report call the owner of call.To.
	Offer(ctx context.Context, call models.OfferCall) (models.OfferAnswer, error)
	Report(ctx context.Context, call models.ReportCall) (models.ReportAnswer, error)
}

// Learner is what an owner knows of how tasks disturb each other;
// interference.Learner learns it.
type Learner interface {
	place.Predictor
	Observe(interference.Sample)
	// Blame orders batch tasks by their part in a service's slowdown, the worst first.
	Blame(service map[string]string, batch []interference.Neighbour) []int
}

// OwnerConfig is what an owner works with.
type OwnerConfig struct {
	Cell      models.CellID
	Settings  setting.Cell
	Epoch     models.Epoch     // of the takeover
	Adopted   bool             // handed over in a former owner's epoch
	Journal   *journal.Journal // taken
	Workers   platform.Workers
	Inventory *inventory.Service
	View      func() *config.View
	Peers     Peers
	Learner   Learner
	Logger    *zap.Logger
	Scope     tally.Scope
}

// Owner decides for one cell. All fields but inbox and done belong to its loop.
type Owner struct {
	config    OwnerConfig
	journal   *journal.Journal
	policy    place.Policy
	selectors *selector.Set
	inbox     chan message
	done      chan struct{} // closed when the loop has ended and nothing more is answered

	// The state, and what waits for the journal.
	working       models.CellState // what the journal will hold
	journalled    models.CellState // what it holds
	sequence      models.Sequence  // of the last entry known to be journalled
	dirty         dirty
	staged        []staged      // operators' calls that wait for the next append
	waiters       []func() bool // other cells' calls that wait for the journal
	appending     bool
	pendingChange models.CellChange // what it holds; kept when this owner ends without knowing its fate
	unsettled     bool              // the store hasn't said whether the last append was written
	cancelAppend  context.CancelFunc
	nextAppend    time.Time
	storeFails    atomic.Bool // the last append failed; other goroutines read it too

	// The end of the owner.
	superseded  bool
	frozen      bool                       // handed over: does nothing more
	freezeReply chan<- models.HandoverCall // gets the state once the append has been given up

	// The workers.
	links               map[models.VMID]*link
	group               conc.WaitGroup // links and calls in flight
	inFlight            map[actionKey]time.Time
	holds               map[models.VMID]hold
	mitigatedAt         map[models.VMID]time.Time // when the last action against slowness was taken
	neighboursChangedAt map[models.VMID]time.Time // when the batch tasks there last changed

	// The queue and the services.
	skippedUntil map[string]time.Time // until when a job or task that did not fit is passed over
	homeCache    homeCache
	decisions    decisions

	// The other cells.
	offersSeen         map[models.TaskID]models.Attempt   // in this epoch
	offeredResources   map[models.CellID]models.Resources // offered to other cells, answer open
	offersBlockedUntil map[models.CellID]time.Time        // until when no offers go there
	lossReported       map[models.TaskID]bool             // whose homes were told that they are lost
	beat               atomic.Pointer[models.CellBeat]
	publishedAt        time.Time

	// The pace of the loop.
	wake     *time.Timer
	wakeAt   time.Time // zero: not set
	cycledAt time.Time
	counts   Counts
}

// hold keeps room on a worker for a task while others are evicted for it.
type hold struct {
	task  models.TaskID
	until time.Time
}

// actionKey is an action that is under way.
type actionKey struct {
	task    models.TaskID
	attempt models.Attempt
	action  models.TaskAction
}

// Counts is what an owner has done so far.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Failed    int64 `json:"failed"`
	Evictions int64 `json:"evictions"`
	Throttles int64 `json:"throttles"`
	Offers    int64 `json:"offers"`
	Taken     int64 `json:"taken"` // offers of other cells
}

const inboxSize = 256

// NewOwner makes the owner of a cell whose journal this daemon has just taken.
func NewOwner(c OwnerConfig) *Owner {
	o := &Owner{
		config: c, journal: c.Journal, policy: place.PolicyOf(c.Settings.Policy), selectors: selector.New(),
		inbox: make(chan message, inboxSize), done: make(chan struct{}),
		working: c.Journal.State().Clone(), journalled: c.Journal.State().Clone(), dirty: newDirty(),
		links: map[models.VMID]*link{}, inFlight: map[actionKey]time.Time{},
		offersSeen: map[models.TaskID]models.Attempt{}, lossReported: map[models.TaskID]bool{},
		holds: map[models.VMID]hold{}, mitigatedAt: map[models.VMID]time.Time{},
		neighboursChangedAt: map[models.VMID]time.Time{}, sequence: c.Journal.Sequence(),
		decisions: newDecisions(), skippedUntil: map[string]time.Time{}, offeredResources: map[models.CellID]models.Resources{},
		offersBlockedUntil: map[models.CellID]time.Time{},
	}
	if c.Adopted {
		o.storeFails.Store(true) // cells are handed over only while it does
	}
	return o
}

// Run decides for the cell until ctx ends or another daemon has taken it.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	o.loop(ctx)
	cancel()
	o.refusePending()
	close(o.done) // from now on nobody waits for a reply
	o.group.Wait()
}

func (o *Owner) loop(ctx context.Context) {
	ticker := time.NewTicker(o.config.Settings.Tick)
	defer ticker.Stop()
	o.wake = time.NewTimer(o.config.Settings.Tick)
	defer o.wake.Stop()
	o.settlePending(ctx)
	for !o.superseded {
		o.cycleWhenDue(ctx)
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			o.handle(m)
			o.drainInbox()
		case <-ticker.C:
		case <-o.wake.C:
			o.wakeAt = time.Time{}
		}
	}
	o.config.Logger.Info("cell has another owner now", zap.String("cell", string(o.config.Cell)))
}

// cyclesPerAppend is how many cycles there are at most between two appends: a cycle
// looks at every task, and what it decides waits for the next append anyway.
const cyclesPerAppend = 4

func (o *Owner) cycleWhenDue(ctx context.Context) {
	if wait := time.Until(o.cycledAt.Add(o.config.Settings.Append / cyclesPerAppend)); wait > 0 {
		o.wakeIn(wait)
		return
	}
	o.cycledAt = time.Now()
	o.cycle(ctx)
}

// wakeIn lets the loop go on after a while, or earlier if it was to already.
func (o *Owner) wakeIn(d time.Duration) {
	at := time.Now().Add(d)
	if !o.wakeAt.IsZero() && o.wakeAt.Before(at) {
		return
	}
	o.wakeAt = at
	o.wake.Reset(d)
}

// drainInbox takes what else has arrived, so that a burst costs one cycle.
func (o *Owner) drainInbox() {
	for range inboxSize {
		select {
		case m := <-o.inbox:
			o.handle(m)
		default:
			return
		}
	}
}

// refusePending tells callers that wait for a reply that this daemon isn't the owner.
func (o *Owner) refusePending() {
	for _, s := range o.staged {
		o.answer(s, ErrNotOwner)
	}
	o.staged = nil
	for {
		select {
		case m := <-o.inbox:
			o.refuse(m)
		default:
			return
		}
	}
}

// refuse answers a call that no loop will handle.
func (o *Owner) refuse(m message) {
	switch m := m.(type) {
	case forwardMessage:
		m.reply <- o.refuseCall(m.call)
	case offerMessage:
		m.reply <- models.OfferAnswer{}
	case reportMessage:
		m.reply <- models.ReportAnswer{}
	case dumpMessage:
		m.reply <- Dump{}
	case freezeMessage:
		close(m.reply)
	}
}

// send hands a message to the loop; false when the loop has ended.
func (o *Owner) send(ctx context.Context, m message) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.done:
		return false
	case <-ctx.Done():
		return false
	}
}

func (o *Owner) handle(m message) {
	switch m := m.(type) {
	case forwardMessage:
		o.handleForward(m)
	case offerMessage:
		o.handleOffer(m)
	case reportMessage:
		o.handleReport(m)
	case dumpMessage:
		m.reply <- o.dump()
	case freezeMessage:
		o.freeze(m)
	case renewedMessage:
		o.handleRenewed(m)
	case startedMessage:
		o.handleStarted(m)
	case stoppedMessage:
		o.handleStopped(m)
	case appendedMessage:
		o.handleAppended(m)
	case unsettledMessage:
		o.handleUnsettled(m)
	case offeredMessage:
		o.handleOffered(m)
	case reportedMessage:
		o.handleReported(m)
	}
}

// step moves a task on and marks its record for the next append.
func (o *Owner) step(id models.TaskID, event models.TaskEvent) bool {
	task, ok := o.working.Tasks[id]
	if !ok {
		return false
	}
	next, _, changed := models.Step(task, event)
	if !changed {
		return false
	}
	o.updateCounts(task, next)
	o.recordNeighbourChange(task, next)
	o.putTask(next)
	return true
}

// recordNeighbourChange notes that a worker's batch tasks have changed, so that latencies
// measured before aren't put down to those that run there now.
func (o *Owner) recordNeighbourChange(before, after models.Task) {
	if before.Kind == models.TaskBatch && before.State != after.State && before.Worker+after.Worker != "" {
		o.neighboursChangedAt[max(before.Worker, after.Worker)] = time.Now()
	}
}

func (o *Owner) putTask(t models.Task) {
	o.working.Tasks[t.ID] = t
	o.dirty.task(t.ID)
	if !t.Foreign() && t.Ended() {
		o.removeEnded(t)
	}
}

// removeEnded drops the record of an ended task and counts it in its job.
func (o *Owner) removeEnded(t models.Task) {
	delete(o.working.Tasks, t.ID)
	o.dirty.dropTask(t.ID)
	job, ok := o.working.Jobs[t.Job]
	if t.Kind != models.TaskBatch || !ok {
		return
	}
	o.putJob(job.Count(t, models.UnixMilliOf(time.Now())))
}

func (o *Owner) putJob(job models.Job) {
	o.working.Jobs[job.ID] = job
	o.dirty.job(job.ID)
}

// updateCounts keeps the figures that users measure.
func (o *Owner) updateCounts(before, after models.Task) {
	if after.Evictions > before.Evictions && after.State == models.TaskEvicting {
		o.counts.Evictions++
		o.config.Scope.Counter(metrics.Evictions).Inc(1)
	}
	if after.State != models.TaskDone || before.Attempt != after.Attempt {
		return
	}
	if after.Outcome == models.OutcomeSucceeded {
		o.counts.Finished++
		o.config.Scope.Counter(metrics.BatchFinished).Inc(1)
		return
	}
	o.counts.Failed++
	o.config.Scope.Tagged(map[string]string{"outcome": string(after.Outcome)}).Counter("tasks_not_succeeded").Inc(1)
}

func (o *Owner) recordStoreFailure(err error) {
	if !o.storeFails.Load() {
		o.config.Logger.Warn("journal can't be written; running tasks go on, nothing new starts",
			append(log.Err(err), zap.String("cell", string(o.config.Cell)))...)
	}
	o.storeFails.Store(true)
	o.config.Scope.Counter("appends_failed").Inc(1)
}

// isSuperseded tells whether err says that another daemon owns the cell.
func isSuperseded(err error) bool { return errors.Is(err, journal.ErrSuperseded) }
