// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
)

// Owner runs one cell in one epoch. Its loops call the store and the workers and pass the results to
// the core, which decides.
type Owner struct {
	config  Config
	cells   *Cells
	cell    jobs.CellName
	epoch   jobs.Epoch
	takenAt time.Time
	claim   jobs.Owner

	mu              sync.Mutex
	core            *dispatch.Core
	loaded          bool
	storing         bool                                 // a transaction is in flight
	calling         map[jobs.WorkerID]context.CancelFunc // cancels the call in flight, for each worker with a loop
	publishedCounts dispatch.Counts                      // as last published to the metrics
	slowDecisionAt  time.Time                            // when a slow decision was last logged

	previous          previousOwners
	witnessCheck      witnessCheck
	journal           journal
	moves             []*move   // work that is being moved to other cells
	unfinishedCancels []jobs.ID // jobs whose cancellation may be incomplete
	wakeDecide        chan struct{}
	wakeStore         chan struct{}
	wakeMove          chan struct{}
	group             conc.WaitGroup
	ended             chan struct{}
	endOnce           sync.Once
}

func newOwner(c *Cells, cell jobs.CellName, epoch jobs.Epoch, taken time.Time) *Owner {
	s := c.config.Settings
	return &Owner{
		config: c.config, cells: c, cell: cell, epoch: epoch, takenAt: taken, calling: map[jobs.WorkerID]context.CancelFunc{},
		core: dispatch.New(dispatch.Config{
			Epoch: epoch, Taken: taken, Lease: s.WorkerLease, LongestLease: s.LongestLease, EndsPerReport: s.EndsPerReport, MaxValueSize: c.config.MaxValueSize, OtherCells: c.hasMultipleCells(),
			TimeOfDay: func(now time.Time) models.UnixMilli { return models.UnixMilliOf(c.config.Clock.TimeOfDay(now)) },
			Logger:    c.config.Logger.With(zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(epoch))),
		}),
		wakeDecide: make(chan struct{}, 1), wakeStore: make(chan struct{}, 1),
		wakeMove: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// Run runs the cell until the cell is lost or handed over, or ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.group.Go(func() { o.endLoop(ctx, cancel) })
	o.group.Go(func() { o.previousOwnersLoop(ctx) })
	o.group.Go(func() { o.witnessLoop(ctx) })
	o.runLoops(ctx)
	o.end()
	o.group.Wait()
}

// endLoop cancels the calls in flight when the cell is lost.
func (o *Owner) endLoop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-o.ended:
	case <-ctx.Done():
	}
	cancel()
}

// runLoops loads the cell and starts its loops. It returns when decideLoop does.
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
	o.group.Go(func() { o.cordonsLoop(ctx) })
	o.group.Go(func() { o.storeLoop(ctx) })
	o.group.Go(func() { o.learnLoop(ctx) })
	o.group.Go(func() { o.moveLoop(ctx) })
	o.decideLoop(ctx)
}

// end stops the loops and cancels the calls in flight.
func (o *Owner) end() { o.endOnce.Do(func() { close(o.ended) }) }

// wake signals a loop to run at once. It does nothing if a signal is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// configure puts a configuration in force.
func (o *Owner) configure(configuration *jobs.Configuration) {
	o.mu.Lock()
	o.core.Configure(configuration)
	o.mu.Unlock()
	wake(o.wakeDecide)
}

// answer answers a query of this daemon or of another one.
func (o *Owner) answer(query jobs.Query) jobs.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return jobs.Answer{}
	}
	answer := jobs.Answer{IsOwner: true, States: map[jobs.ID]jobs.State{}, AdditionalCells: map[jobs.ID][]jobs.CellName{}}
	for _, id := range query.Jobs {
		if state, ok := o.core.State(id); ok {
			answer.States[id] = state
		}
		if additional, divided := o.core.AdditionalCells(id); divided {
			answer.AdditionalCells[id] = additional
		}
	}
	if query.Pending {
		answer.Pending = o.core.Pending()
	}
	if query.Load {
		answer.Load = o.core.Load(o.config.Clock.Now())
	}
	if query.Learned {
		answer.Learned = o.core.Learned()
	}
	if len(query.Demands) > 0 {
		answer.Places = o.core.Places(query.Demands, o.config.Clock.Now())
	}
	return answer
}
