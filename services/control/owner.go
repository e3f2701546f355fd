// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// Owner runs one cell in one epoch. Its loops call the store and the workers; what they
// learn goes into the core, which decides.
type Owner struct {
	config Config
	cells  *Cells
	cell   jobs.CellName
	epoch  jobs.Epoch
	taken  time.Time

	mu      sync.Mutex
	core    *dispatch.Core
	loaded  bool
	storing bool                   // a transaction is under way
	calling map[jobs.WorkerID]bool // workers that have a loop
	metered dispatch.Counts        // handed to the metrics so far

	journal    journal
	moves      []*move // work that is being handed to other cells
	wakeDecide chan struct{}
	wakeStore  chan struct{}
	wakeMove   chan struct{}
	group      conc.WaitGroup
	ended      chan struct{}
	endOnce    sync.Once
}

func newOwner(c *Cells, cell jobs.CellName, epoch jobs.Epoch, taken time.Time) *Owner {
	s := c.config.Settings
	return &Owner{
		config: c.config, cells: c, cell: cell, epoch: epoch, taken: taken, calling: map[jobs.WorkerID]bool{},
		core: dispatch.New(dispatch.Config{
			Epoch: epoch, Taken: taken, Lease: s.WorkerLease, LongestLease: s.LongestLease, OtherCells: c.several(),
			Logger: c.config.Logger.With(zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(epoch))),
		}),
		wakeDecide: make(chan struct{}, 1), wakeStore: make(chan struct{}, 1),
		wakeMove: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// Run runs the cell until it is lost, handed over, or ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.group.Go(func() { o.endLoop(ctx, cancel) })
	o.runLoops(ctx)
	o.end()
	o.group.Wait()
}

// endLoop ends the calls in flight when the cell is lost.
func (o *Owner) endLoop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-o.ended:
	case <-ctx.Done():
	}
	cancel()
}

func (o *Owner) runLoops(ctx context.Context) {
	at, ok := o.load(ctx)
	if !ok {
		return
	}
	if configuration := o.cells.configurations.current.Load(); configuration != nil {
		o.configure(configuration)
	}
	o.group.Go(func() { o.jobsLoop(ctx, at) })
	o.group.Go(func() { o.workersLoop(ctx) })
	o.group.Go(func() { o.storeLoop(ctx) })
	o.group.Go(func() { o.learnLoop(ctx) })
	o.group.Go(func() { o.moveLoop(ctx) })
	o.decideLoop(ctx)
}

func (o *Owner) end() { o.endOnce.Do(func() { close(o.ended) }) }

// loadRetry is the pause after a read that failed while the cell is being loaded.
const loadRetry = 100 * time.Millisecond

// load reads the cell's jobs, progress and roster; it gives the version to watch from.
func (o *Owner) load(ctx context.Context) (platform.Version, bool) {
	for ctx.Err() == nil {
		at, err := o.tryLoad(ctx)
		o.cells.health.note(err)
		if err == nil {
			return at, true
		}
		if errors.Is(err, errLost) {
			o.cells.drop(o.cell, o, "its key among the jobs names another owner, or none")
			return 0, false
		}
		o.config.Logger.Warn("cell can't be loaded yet", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		sleep(ctx, loadRetry)
	}
	return 0, false
}

func (o *Owner) tryLoad(ctx context.Context) (platform.Version, error) {
	store := o.config.Store
	roster, err := read[jobs.Roster](ctx, store, rosterKey(o.cell))
	if err != nil {
		return 0, err
	}
	if err := o.journal.load(ctx, store, o.cell); err != nil {
		return 0, err
	}
	progress, err := o.loadProgress(ctx)
	if err != nil {
		return 0, err
	}
	records, at, err := store.List(ctx, jobsOf(o.cell))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.core.Enrol(roster, now)
	if !o.takeAll(records, progress, now) {
		return 0, errLost
	}
	o.loaded = true
	o.config.Logger.Info("cell is loaded", zap.String("cell", string(o.cell)), zap.Int("keys", len(records)),
		zap.Int("roster", len(roster.Workers)), zap.Duration("after", now.Sub(o.taken)))
	return at, nil
}

func (o *Owner) loadProgress(ctx context.Context) (map[jobs.ID]jobs.Progress, error) {
	prefix := progressOf(o.cell)
	records, _, err := o.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	progress := make(map[jobs.ID]jobs.Progress, len(records))
	for _, record := range records {
		p, err := decode[jobs.Progress](record)
		if err != nil {
			o.config.Logger.Error("stored progress can't be read", append(log.Err(err), zap.String("key", record.Key))...)
			continue
		}
		progress[jobs.ID(record.Key[len(prefix):])] = p
	}
	return progress, nil
}

// errLost says that the cell has another owner, or none.
var errLost = errors.New("cell is lost")

// takeAll takes all keys with the cell's job prefix there are. The cell is lost when the
// owner's own key is not among them: its removal may be too old to be heard of.
func (o *Owner) takeAll(records []platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) bool {
	mine := slices.ContainsFunc(records, func(r platform.Record) bool { return r.Key == markerKey(o.cell) })
	return mine && o.takeRecords(records, progress, now)
}

// takeRecords takes keys with the cell's job prefix in the order in which they were
// written, up to the change of the owner: what comes after it belongs to the next one,
// which may take jobs accepted since then for never started.
func (o *Owner) takeRecords(records []platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) bool {
	slices.SortStableFunc(records, func(a, b platform.Record) int { return cmp.Compare(a.Version, b.Version) })
	for _, record := range records {
		if record.Key != markerKey(o.cell) {
			o.takeRecord(record, progress, now)
			continue
		}
		if record.Deleted || record.Version != platform.Version(o.epoch) {
			return false
		}
	}
	return true
}

// takeRecord takes one key of a job.
func (o *Owner) takeRecord(record platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) {
	id, cancel := jobOfKey(o.cell, record.Key)
	switch {
	case record.Deleted && cancel:
	case record.Deleted:
		o.core.Dropped(id)
	case cancel:
		o.core.Cancel(id)
	default:
		job, err := decode[jobs.Record](record)
		if err != nil {
			o.config.Logger.Error("stored job can't be read", append(log.Err(err), zap.String("job", string(id)))...)
			return
		}
		job.Version = uint64(record.Version)
		o.core.AddJob(job, progress[id], jobs.Epoch(record.Version) > o.epoch, now)
	}
}

// watchPause lets some changes gather between two watches, because each watch is paid
// for; it delays the start of a job by half of it on average.
const watchPause = 10 * time.Millisecond

// jobsLoop follows the cell's jobs and cancellations.
func (o *Owner) jobsLoop(ctx context.Context, at platform.Version) {
	for ctx.Err() == nil {
		take := o.takeRecords
		records, next, err := o.config.Store.Watch(ctx, jobsOf(o.cell), at)
		if errors.Is(err, platform.ErrCompacted) {
			take = o.takeAll
			records, next, err = o.config.Store.List(ctx, jobsOf(o.cell))
		}
		o.cells.health.note(err)
		if err != nil {
			sleep(ctx, loadRetry)
			continue
		}
		at = next
		o.mu.Lock()
		now := time.Now()
		mine := take(records, nil, now)
		o.mu.Unlock()
		if !mine {
			o.cells.drop(o.cell, o, "its key among the jobs names another owner, or none")
			return
		}
		if len(records) == 0 {
			continue
		}
		wake(o.wakeDecide)
		sleep(ctx, watchPause)
	}
}

// workersLoop follows the list of workers and gives each new one a loop.
func (o *Owner) workersLoop(ctx context.Context) {
	o.callWorkers(ctx)
	for ctx.Err() == nil {
		list, err := o.config.List.JobWorkers(ctx)
		o.cells.health.note(err)
		layout := o.cells.layout()
		if err == nil && layout != nil {
			o.mu.Lock()
			o.core.SetWorkers(workersOf(o.cell, layout, list), time.Now())
			o.mu.Unlock()
			o.callWorkers(ctx)
			wake(o.wakeDecide)
			wake(o.wakeStore)
		}
		sleep(ctx, o.config.Settings.ListEvery)
	}
}

func (o *Owner) callWorkers(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, worker := range o.core.Workers() {
		if !o.calling[worker.ID] {
			o.calling[worker.ID] = true
			o.group.Go(func() { o.workerLoop(ctx, worker) })
		}
	}
}

// workerRetry is the pause after a call to a worker that failed.
const workerRetry = 200 * time.Millisecond

// workerLoop prolongs a worker's lease and takes its reports until the worker is gone.
func (o *Owner) workerLoop(ctx context.Context, worker jobs.Worker) {
	for ctx.Err() == nil {
		sent := time.Now()
		o.mu.Lock()
		call, known := o.core.LeaseCall(worker.ID, o.config.Settings.ReportWait, sent)
		if !known {
			delete(o.calling, worker.ID)
		}
		o.mu.Unlock()
		if !known {
			return
		}
		report, err := o.config.Workers.ProlongLease(ctx, worker, call)
		o.takeReport(worker.ID, sent, report, err)
		pause := o.config.Settings.ReportPause
		if err != nil {
			pause = workerRetry
		}
		sleep(ctx, pause)
	}
}

func (o *Owner) takeReport(id jobs.WorkerID, sent time.Time, report jobs.Report, err error) {
	result := resultOf(err)
	o.mu.Lock()
	changed := true
	switch {
	case err == nil:
		changed = o.core.Reported(id, sent, report, time.Now())
	case result.Outcome == dispatch.OutcomeIncarnation:
		o.core.Replaced(id)
	case result.Refusal == jobs.RefusedEpoch:
		o.core.Supersede()
	case result.Outcome == dispatch.OutcomeNotDone:
		o.core.Unreached(id, errors.Is(err, platform.ErrNobodyListens), time.Now())
	default:
		changed = false
	}
	ends := o.core.HasEnds()
	o.mu.Unlock()
	if changed {
		wake(o.wakeDecide)
	}
	if ends {
		wake(o.wakeStore)
	}
	o.config.Scope.Counter("reports").Inc(1)
}

// Pauses of the loop that decides: at least decideLeast between two looks, so that what
// arrives together is looked at once, and at most decideMost.
const (
	decideLeast = 5 * time.Millisecond
	decideMost  = 100 * time.Millisecond
)

// decideLoop carries out what the core decides.
func (o *Owner) decideLoop(ctx context.Context) {
	ticker := time.NewTicker(decideMost)
	defer ticker.Stop()
	for ctx.Err() == nil {
		o.mu.Lock()
		orders := o.core.Decide(time.Now())
		superseded := o.core.Superseded()
		ends := o.core.HasEnds()
		held := o.core.TakeHeld()
		o.mu.Unlock()
		if held {
			wake(o.wakeMove)
		}
		if superseded {
			o.cells.drop(o.cell, o, "a worker has seen a later owner")
			return
		}
		if ends {
			wake(o.wakeStore)
		}
		for _, order := range orders {
			o.group.Go(func() { o.runOrder(ctx, order) })
		}
		sleep(ctx, decideLeast)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeDecide:
		}
	}
}

// runOrder carries out one order and tells the core what became of it.
func (o *Owner) runOrder(ctx context.Context, order dispatch.Order) {
	switch order := order.(type) {
	case dispatch.StartOrder:
		_, err := o.config.Workers.StartRun(ctx, order.Worker, order.Call)
		o.tell(func(now time.Time) { o.core.Started(order, resultOf(err), now) })
	case dispatch.StopOrder:
		_, err := o.config.Workers.StopRun(ctx, order.Worker, order.Call)
		o.tell(func(now time.Time) { o.core.Stopped(order, resultOf(err), now) })
	case dispatch.PaceOrder:
		_, err := o.config.Workers.SetPace(ctx, order.Worker, order.Call)
		o.tell(func(now time.Time) { o.core.Paced(order, resultOf(err), now) })
	}
}

func (o *Owner) tell(what func(now time.Time)) {
	o.mu.Lock()
	what(time.Now())
	o.mu.Unlock()
	wake(o.wakeDecide)
}

// resultOf tells what an error means for an order.
func resultOf(err error) dispatch.Result {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return dispatch.Result{Outcome: dispatch.OutcomeDone}
	case errors.As(err, &refused):
		return dispatch.Result{Outcome: dispatch.OutcomeRefused, Refusal: refused.Reason}
	case errors.Is(err, platform.ErrIncarnation):
		return dispatch.Result{Outcome: dispatch.OutcomeIncarnation}
	case errors.Is(err, platform.ErrOverloaded), errors.Is(err, platform.ErrUnreached):
		return dispatch.Result{Outcome: dispatch.OutcomeNotDone}
	default:
		return dispatch.Result{Outcome: dispatch.OutcomeUnknown}
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Owner) configure(configuration *jobs.Configuration) {
	o.mu.Lock()
	o.core.Configure(configuration)
	o.mu.Unlock()
	wake(o.wakeDecide)
}

// answer answers another daemon's, or this one's, query.
func (o *Owner) answer(query jobs.Query) jobs.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return jobs.Answer{}
	}
	answer := jobs.Answer{Owner: true, States: map[jobs.ID]jobs.State{}}
	for _, id := range query.Jobs {
		if state, ok := o.core.State(id); ok {
			answer.States[id] = state
		}
	}
	if query.Pending {
		answer.Pending = o.core.Pending()
	}
	if query.Load {
		answer.Load = o.core.Load(time.Now())
	}
	if query.Learned {
		answer.Learned = o.core.Learned()
	}
	if len(query.Demands) > 0 {
		answer.Places = o.core.Places(query.Demands, time.Now())
	}
	return answer
}

// learnEvery is how often an owner asks the others what they have learned: the factors of
// images change slowly once they are known.
const learnEvery = 1500 * time.Millisecond

// learnLoop takes what the owners of the other cells have learned of images.
func (o *Owner) learnLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, learnEvery)
		layout := o.cells.layout()
		for n := range layout.Cells {
			if cell := cellName(n); cell != o.cell && ctx.Err() == nil {
				o.learnFrom(ctx, cell)
			}
		}
	}
}

func (o *Owner) learnFrom(ctx context.Context, cell jobs.CellName) {
	answer, err := o.cells.ask(ctx, jobs.Query{Cell: cell, Learned: true})
	if err != nil {
		return // the cell has no owner now; what was learned from it before stays
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.LearnElsewhere(cell, answer.Learned)
}
