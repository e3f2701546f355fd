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

// Cells claims and releases cells for this daemon. Its loops renew the daemon's lease, watch the
// owners of all cells, and claim cells without owner.
type Cells struct {
	config         Config
	health         *storeHealth
	configurations *Configurations

	mu            sync.Mutex
	currentLayout *jobs.Layout
	owners        map[jobs.CellName]ownerRecord
	owned         map[jobs.CellName]*Owner
	claimEnds     claimEnds
	vouching      vouching
	daemons       registrations // as last read
	lease         platform.LeaseID
	// registeredVersion is the version of this daemon's own key; 0: the key does not exist.
	registeredVersion platform.Version
	freeSince         map[jobs.CellName]time.Time     // since when cells without owner are known to be free
	leaseRenewedAt    time.Time                       // when the last answered renewal was sent
	loads             map[jobs.CellName]jobs.CellLoad // as last reported by the owners
	failedClaims      map[jobs.CellName]int           // failed claims of a cell since the last check of its owner's keys; used by the claim loop only
	ownersSynced      bool                            // owners reflects a recent state of the store
	stopping          bool

	group     conc.WaitGroup
	wakeClaim chan struct{} // signals that cells may be without owner
	wakeLease chan struct{} // signals that this daemon's key has to be written

	workerCalls   atomic.Int64 // calls to workers in flight
	startLimit    *inflight.Limit
	resumeCancel  func(ctx context.Context, id jobs.ID) platform.Outcome // resumes the cancellation of a job
	lastRebalance atomic.Pointer[time.Time]                              // when this daemon last handed a cell over to a daemon with more capacity
}

// ownerRecord is the owner of a cell as the store names it, and what this daemon has observed about the owner.
type ownerRecord struct {
	jobs.Owner
	version      platform.Version
	seenAt       time.Time // when this daemon first saw the record
	suspected    bool      // a connection to the owner's address was refused
	removalTried bool      // a second refusal confirmed that, and the removal of the owner's key was tried
}

func newCells(c Config, health *storeHealth, configurations *Configurations) *Cells {
	return &Cells{
		config: c, health: health, configurations: configurations,
		owners: map[jobs.CellName]ownerRecord{}, owned: map[jobs.CellName]*Owner{}, claimEnds: newClaimEnds(), vouching: newVouching(),
		loads: map[jobs.CellName]jobs.CellLoad{}, freeSince: map[jobs.CellName]time.Time{}, failedClaims: map[jobs.CellName]int{}, wakeClaim: make(chan struct{}, 1), wakeLease: make(chan struct{}, 1),
		startLimit: newStartLimit(),
	}
}

// Run claims and runs cells until ctx ends. The daemon listens at its address before.
func (c *Cells) Run(ctx context.Context) {
	c.mu.Lock()
	c.claimEnds.beganAt = c.config.Clock.Now()
	c.vouching.process = jobs.ProcessID(c.config.NewID())
	c.mu.Unlock()
	var group conc.WaitGroup
	group.Go(func() { c.leaseLoop(ctx) })
	group.Go(func() { c.watchLoop(ctx) })
	group.Go(func() { c.claimLoop(ctx) })
	group.Go(func() { c.loadLoop(ctx) })
	group.Go(func() { c.rebalanceLoop(ctx) })
	group.Wait()
	c.dropAllOwners("daemon stops")
	c.group.Wait()
}

func (c *Cells) layout() *jobs.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentLayout
}

// hasMultipleCells reports whether the layout has more than one cell.
func (c *Cells) hasMultipleCells() bool {
	layout := c.layout()
	return layout != nil && layout.Cells > 1
}

// otherCells returns all cells except one; none before the layout is known.
func (c *Cells) otherCells(except jobs.CellName) []jobs.CellName {
	layout := c.layout()
	if layout == nil {
		return nil
	}
	var others []jobs.CellName
	for n := range layout.Cells {
		if cell := cellName(n); cell != except {
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

// Answer answers a query about a cell that this daemon owns, or about the end or the leases of a claim that it made, or to
// it as a witness. To any other query it returns the zero Answer.
func (c *Cells) Answer(query jobs.Query) jobs.Answer {
	if query.Witness != nil {
		return jobs.Answer{Witness: c.answerAsWitness(query.Cell, *query.Witness)}
	}
	if query.EndClaim != "" {
		return jobs.Answer{ClaimEnd: c.endClaim(query.Cell, query.EndClaim)}
	}
	if query.ClaimLeases != "" {
		return jobs.Answer{ClaimLeases: c.claimLeases(query.ClaimLeases)}
	}
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

// wakeClaimLoop wakes the loop that claims cells.
func (c *Cells) wakeClaimLoop() { wake(c.wakeClaim) }

// dropOwner stops running a cell on this daemon. The owner's keys in the store stay.
func (c *Cells) dropOwner(cell jobs.CellName, owner *Owner, reason string) {
	c.config.Logger.Warn("cell is lost", zap.String("cell", string(cell)), zap.Uint64("epoch", uint64(owner.epoch)), zap.String("reason", reason))
	c.mu.Lock()
	if c.owned[cell] == owner {
		delete(c.owned, cell)
	}
	c.mu.Unlock()
	owner.end()
}

func (c *Cells) dropAllOwners(reason string) {
	for cell, owner := range c.ownedCells() {
		c.dropOwner(cell, owner, reason)
	}
}

// releaseRetryPause is the pause before a stopping daemon retries to hand a cell over.
const releaseRetryPause = 50 * time.Millisecond

// Release hands over all cells of this daemon: it stores their state and then removes the owner's
// keys, so that no other daemon has to wait for the lease to expire. While the store is down no
// daemon could claim the cells, so this daemon goes on running them until ctx ends. The daemon keeps
// its lease throughout, because it still accepts jobs from connected callers.
func (c *Cells) Release(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	var failed error
	for cell, owner := range c.ownedCells() {
		failed = errors.CombineErrors(failed, c.release(ctx, cell, owner))
	}
	return failed
}

// release retries to hand a cell over until ctx ends, and then drops the cell.
func (c *Cells) release(ctx context.Context, cell jobs.CellName, owner *Owner) error {
	for {
		err := c.handOver(ctx, cell, owner, "daemon stops")
		if err == nil {
			return nil
		}
		sleep(ctx, releaseRetryPause)
		if ctx.Err() != nil {
			c.dropOwner(cell, owner, "daemon stops while the store does not answer")
			return err
		}
	}
}

// handOver stores a cell's state and removes its owner's keys, so that another daemon can claim
// the cell at once. This daemon runs the cell until the keys are removed, because the store may
// have gone down since its last answer. The next owner fences this owner as it would fence a frozen owner.
func (c *Cells) handOver(ctx context.Context, cell jobs.CellName, owner *Owner, reason string) error {
	owner.flush(ctx)
	err := c.removeOwner(ctx, cell, platform.Version(owner.epoch))
	c.health.record(err)
	if err != nil && !errors.Is(err, platform.ErrConflict) { // a conflict: the lease had expired, and the keys with it
		return errors.Wrapf(err, "hand over cell %s", cell)
	}
	c.dropOwner(cell, owner, reason)
	return nil
}
