// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package cell schedules the tasks of the cells that this daemon owns. Manager takes over and
// releases cells as members join and leave. Each owned cell has an Owner with a single loop,
// which handles every event of the cell in these stages:
//
//	observe → admit → feasible → score → commit → act
//
// Owner.cycle in cycle.go runs the stages in this order. State is changed only by models.Step
// and becomes durable with the next append to the journal; the actions that the new state
// requires are taken only after that. An owner that finds entries of another daemon in the
// journal has been superseded and stops at once.
//
// # Usage
//
//	manager := cell.NewManager(cell.ManagerConfig{…})
//	daemon.Loop("cells", manager.Run) // daemon is a *graceful.Manager
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

// Peers gives an owner access to the owners of other cells.
type Peers interface {
	// Cells returns the latest known heartbeat entry of each owned cell.
	Cells() map[models.CellID]models.CellBeat
	// Offer and Report call the owner of call.To.
	Offer(ctx context.Context, call models.OfferCall) (models.OfferAnswer, error)
	Report(ctx context.Context, call models.ReportCall) (models.ReportAnswer, error)
}

// Learner predicts and learns how batch tasks slow down services; interference.Learner
// implements it.
type Learner interface {
	place.Predictor
	Observe(interference.Sample)
	// RankByImpact orders batch tasks by their share in a service's slowdown, the largest first.
	RankByImpact(service map[string]string, batch []interference.Neighbour) []int
}

// OwnerConfig holds the settings and dependencies of an owner.
type OwnerConfig struct {
	Cell      models.CellID
	Settings  setting.Cell
	Epoch     models.Epoch     // of the takeover
	Adopted   bool             // handed over by the previous owner, in the previous owner's epoch
	Journal   *journal.Journal // taken over or adopted
	Workers   platform.Workers
	Inventory *inventory.Service
	View      func() *config.View
	Peers     Peers
	Learner   Learner
	Logger    *zap.Logger
	Scope     tally.Scope
}

// Owner schedules the tasks of one cell. All fields but inbox and done belong to its loop.
type Owner struct {
	config    OwnerConfig
	journal   *journal.Journal
	policy    place.Policy
	selectors *selector.Set
	inbox     chan message
	done      chan struct{} // closed when the loop has ended and no more replies are sent

	// The state, and what waits for the journal.
	working       models.CellState // the state that the journal will hold after the next append
	journalled    models.CellState // the state that the journal holds
	sequence      models.Sequence  // of the last entry known to be journalled
	dirty         dirty
	staged        []staged      // operators' calls that wait for the next append
	waiters       []func() bool // other cells' calls that wait for the journal
	appending     bool
	pendingChange models.CellChange // content of the append under way; kept when the owner ends before its outcome is known
	unsettled     bool              // the outcome of the last append is unknown
	cancelAppend  context.CancelFunc
	nextAppend    time.Time
	storeFails    atomic.Bool // the last append failed; also read by other goroutines

	// How the owner ends.
	superseded  bool
	frozen      bool                       // handed over: takes no more actions
	freezeReply chan<- models.HandoverCall // receives the state once the append under way is cancelled

	// The workers.
	links               map[models.VMID]*link
	group               conc.WaitGroup // links and calls in flight
	inFlight            map[actionKey]time.Time
	holds               map[models.VMID]hold
	mitigatedAt         map[models.VMID]time.Time // when a task there was last throttled, relaxed or evicted for a service's latency
	neighboursChangedAt map[models.VMID]time.Time // when the batch tasks there, or their shares, last changed

	// The queue and the services.
	skippedUntil map[string]time.Time // by job or task that found no place: when it is tried again
	homeCache    homeCache
	decisions    decisions

	// The other cells.
	offersSeen         map[models.TaskID]models.Attempt   // latest attempt offered by another cell, in this epoch
	offeredResources   map[models.CellID]models.Resources // sum of the tasks offered to each cell and not answered yet
	offersBlockedUntil map[models.CellID]time.Time        // when offers to a cell that refused some may be sent again
	lossReported       map[models.TaskID]bool             // lost replicas whose home cells have journalled the loss
	beat               atomic.Pointer[models.CellBeat]
	publishedAt        time.Time

	// The timing of the loop.
	wake     *time.Timer
	wakeAt   time.Time // zero: timer not set
	cycledAt time.Time
	counts   Counts
}

// hold reserves capacity on a worker for a task while other tasks are evicted for it.
type hold struct {
	task  models.TaskID
	until time.Time
}

// actionKey identifies an action that is under way.
type actionKey struct {
	task    models.TaskID
	attempt models.Attempt
	action  models.TaskAction
}

// Counts holds the totals of an owner since it took over its cell.
type Counts struct {
	Started        int64 `json:"started"`
	Finished       int64 `json:"finished"`
	Failed         int64 `json:"failed"`
	Evictions      int64 `json:"evictions"`
	Throttles      int64 `json:"throttles"`
	Offers         int64 `json:"offers"`
	OffersAccepted int64 `json:"taken"` // offers of other cells that were placed here
}

const inboxSize = 256

// NewOwner returns the owner of a cell whose journal this daemon has just taken over or adopted.
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
		o.storeFails.Store(true) // cells are handed over only while the store can't be written
	}
	return o
}

// Run schedules the tasks of the cell until ctx ends or the owner is superseded.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	o.loop(ctx)
	cancel()
	o.refusePending()
	close(o.done) // callers stop waiting for replies
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
	o.config.Logger.Info("owner stops because the cell is taken over in a later epoch", zap.String("cell", string(o.config.Cell)))
}

// cyclesPerAppend is the maximum number of cycles between two appends. A cycle iterates over
// all tasks, and its decisions wait for the next append anyway.
const cyclesPerAppend = 4

func (o *Owner) cycleWhenDue(ctx context.Context) {
	if wait := time.Until(o.cycledAt.Add(o.config.Settings.Append / cyclesPerAppend)); wait > 0 {
		o.wakeIn(wait)
		return
	}
	o.cycledAt = time.Now()
	o.cycle(ctx)
}

// wakeIn schedules a wake-up of the loop after d, unless an earlier one is already scheduled.
func (o *Owner) wakeIn(d time.Duration) {
	at := time.Now().Add(d)
	if !o.wakeAt.IsZero() && o.wakeAt.Before(at) {
		return
	}
	o.wakeAt = at
	o.wake.Reset(d)
}

// drainInbox handles all messages that have already arrived, so that a burst costs one cycle.
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

// refusePending answers all staged and queued calls; the owner has ended and handles no more.
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

// refuse answers a call that the ended loop will not handle.
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

// send puts a message into the inbox of the loop; false when the loop or ctx has ended.
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

// step applies an event to a task and marks its record for the next append; false when the
// event changes nothing.
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

// recordNeighbourChange records when a worker's batch tasks change, so that latencies measured
// before the change aren't attributed to the tasks that run there after it.
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

// removeEnded drops the record of an ended task and counts the task in its job.
func (o *Owner) removeEnded(t models.Task) {
	delete(o.working.Tasks, t.ID)
	o.dirty.dropTask(t.ID)
	job, ok := o.working.Jobs[t.Job]
	if t.Kind != models.TaskBatch || !ok {
		return
	}
	o.putJob(job.CountEnded(t, models.UnixMilliOf(time.Now())))
}

func (o *Owner) putJob(job models.Job) {
	o.working.Jobs[job.ID] = job
	o.dirty.job(job.ID)
}

// updateCounts counts evictions and ended tasks, for the dump and the metrics.
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
		o.config.Logger.Warn("journal write failed; running tasks continue, no new tasks start until a write succeeds",
			append(log.Err(err), zap.String("cell", string(o.config.Cell)))...)
	}
	o.storeFails.Store(true)
	o.config.Scope.Counter("appends_failed").Inc(1)
}

// isSuperseded reports whether err means that another daemon owns the cell.
func isSuperseded(err error) bool { return errors.Is(err, journal.ErrSuperseded) }
