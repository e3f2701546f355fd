// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/inflight"
	"rillsail.example/rillsail/services/platform"
)

// Cells takes and leaves cells. Its loops keep this daemon's lease, follow the owners of
// all cells, and claim those that nobody owns.
type Cells struct {
	config         Config
	health         *storeHealth
	configurations *Configurations

	mu            sync.Mutex
	currentLayout *jobs.Layout
	owners        map[jobs.CellName]ownerRecord
	owned         map[jobs.CellName]*Owner
	lease         platform.LeaseID
	// registeredVersion is the version of this daemon's own key; 0: it is not there.
	registeredVersion platform.Version
	leaseRenewedAt    time.Time                       // when the last renewal that was answered was sent
	loads             map[jobs.CellName]jobs.CellLoad // as the owners told last
	ownersSynced      bool                            // owners is what the store held not long ago
	stopping          bool

	group     conc.WaitGroup
	wakeClaim chan struct{} // cells may be free
	wakeLease chan struct{} // this daemon's key has to be written

	workerCalls atomic.Int64 // in flight
	startLimit  *inflight.Limit
	cancelAgain func(ctx context.Context, id jobs.ID) platform.Outcome // goes on with a job's cancellation
	yielded     atomic.Pointer[time.Time]                              // when this daemon last left a cell to one that carries more
}

type ownerRecord struct {
	jobs.Owner
	version   platform.Version
	since     time.Time // when this daemon first heard of it
	suspected bool      // nobody listened at its address
	asked     bool      // that was confirmed, and its key removed, or tried to
}

func newCells(c Config, health *storeHealth, configurations *Configurations) *Cells {
	return &Cells{
		config: c, health: health, configurations: configurations,
		owners: map[jobs.CellName]ownerRecord{}, owned: map[jobs.CellName]*Owner{},
		loads: map[jobs.CellName]jobs.CellLoad{}, wakeClaim: make(chan struct{}, 1), wakeLease: make(chan struct{}, 1),
		startLimit: newStartLimit(),
	}
}

// Run owns cells until ctx ends.
func (c *Cells) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { c.leaseLoop(ctx) })
	group.Go(func() { c.watchLoop(ctx) })
	group.Go(func() { c.claimLoop(ctx) })
	group.Go(func() { c.loadLoop(ctx) })
	group.Go(func() { c.yieldLoop(ctx) })
	group.Wait()
	c.dropAllOwners("daemon stops")
	c.group.Wait()
}

func (c *Cells) layout() *jobs.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentLayout
}

// several tells whether the layout has more than one cell.
func (c *Cells) several() bool {
	layout := c.layout()
	return layout != nil && layout.Cells > 1
}

// others are the cells beside one; none before the layout is known.
func (c *Cells) others(than jobs.CellName) []jobs.CellName {
	layout := c.layout()
	if layout == nil {
		return nil
	}
	var others []jobs.CellName
	for n := range layout.Cells {
		if cell := cellName(n); cell != than {
			others = append(others, cell)
		}
	}
	return others
}

func (c *Cells) ownerOf(cell jobs.CellName) (jobs.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.owners[cell]
	return record.Owner, ok
}

func (c *Cells) ownedCells() map[jobs.CellName]*Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.owned)
}

func (c *Cells) knownOwners() map[jobs.CellName]jobs.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := make(map[jobs.CellName]jobs.Owner, len(c.owners))
	for cell, record := range c.owners {
		owners[cell] = record.Owner
	}
	return owners
}

// Answer answers a query about a cell of this daemon.
func (c *Cells) Answer(query jobs.Query) jobs.Answer {
	c.mu.Lock()
	owner := c.owned[query.Cell]
	c.mu.Unlock()
	if owner == nil {
		return jobs.Answer{}
	}
	return owner.answer(query)
}

func (c *Cells) configure(configuration *jobs.Configuration) {
	for _, owner := range c.ownedCells() {
		owner.configure(configuration)
	}
}

// nudge lets the loop that claims cells look at once.
func (c *Cells) nudge() { wake(c.wakeClaim) }

// dropOwner ends this daemon's owner of a cell; the keys in the store stay.
func (c *Cells) dropOwner(cell jobs.CellName, mine *Owner, reason string) {
	c.config.Logger.Warn("cell is lost", zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(mine.epoch)), zap.String("reason", reason))
	c.mu.Lock()
	if c.owned[cell] == mine {
		delete(c.owned, cell)
	}
	c.mu.Unlock()
	mine.end()
}

func (c *Cells) dropAllOwners(reason string) {
	for cell, mine := range c.ownedCells() {
		c.dropOwner(cell, mine, reason)
	}
}

// releaseRetryPause is the pause before a daemon that is to stop tries again to hand a cell over.
const releaseRetryPause = 50 * time.Millisecond

// Release hands the cells over: their state is stored, then their owner's keys are removed,
// so that nobody waits for the lease. While the store is down no daemon could take them, so
// they are run on for as long as ctx allows. The daemon keeps its lease to the end, because
// it still takes jobs from callers that are connected.
func (c *Cells) Release(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	var failed error
	for cell, mine := range c.ownedCells() {
		failed = errors.CombineErrors(failed, c.release(ctx, cell, mine))
	}
	return failed
}

// release hands a cell over before ctx ends, or leaves it then.
func (c *Cells) release(ctx context.Context, cell jobs.CellName, mine *Owner) error {
	for {
		err := c.handOver(ctx, cell, mine, "daemon stops")
		if err == nil {
			return nil
		}
		sleep(ctx, releaseRetryPause)
		if ctx.Err() != nil {
			c.dropOwner(cell, mine, "daemon stops, and the store does not answer")
			return err
		}
	}
}

// handOver stores a cell's state and removes its owner's keys, so that another daemon can
// take it at once. The cell is run until the keys are gone: a store that answered a moment
// ago may be down now. The next owner fences this one as it would one that was frozen.
func (c *Cells) handOver(ctx context.Context, cell jobs.CellName, mine *Owner, reason string) error {
	mine.flush(ctx)
	err := c.removeOwner(ctx, cell, platform.Version(mine.epoch))
	c.health.note(err)
	if err != nil && !errors.Is(err, platform.ErrConflict) { // a conflict: the lease was over, and the keys are gone
		return errors.Wrapf(err, "hand over cell %s", cell)
	}
	c.dropOwner(cell, mine, reason)
	return nil
}
