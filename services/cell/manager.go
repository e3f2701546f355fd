// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/rendezvous"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/journal"
	"rillsail.example/rillsail/services/member"
	"rillsail.example/rillsail/services/peer"
	"rillsail.example/rillsail/services/platform"
)

// ManagerConfig holds the settings and dependencies of a manager.
type ManagerConfig struct {
	Self              models.MemberID
	Settings          setting.Cell
	ReconcileInterval time.Duration // interval between two checks of the ownership of all cells
	HoldOff           time.Duration // delay before a lost cell is taken back; doubles with each loss
	Store             platform.Store
	Workers           platform.Workers
	Inventory         *inventory.Service
	View              func() *config.View
	Members           *member.Service
	Client            *peer.Client
	Learner           *interference.Learner
	Logger            *zap.Logger
	Scope             tally.Scope
	NewID             func() string
}

// Manager runs the owners of the cells that rendezvous hashing assigns to this daemon. While the
// store can't be written, it acts as caretaker of the cells assigned to it that have no owner.
type Manager struct {
	config             ManagerConfig
	group              conc.WaitGroup
	reconcileRequested chan struct{}

	mu          sync.Mutex
	owners      map[models.CellID]*runningOwner
	takeovers   map[models.CellID]bool
	epochs      map[models.CellID]models.Epoch // highest epoch known of each cell
	holdOffs    map[models.CellID]holdOff
	caretakerOf map[models.CellID]bool // cells for which caretaking has been logged
	releasing   bool
	runContext  context.Context // parent context of all owners; set by Run
}

type runningOwner struct {
	owner  *Owner
	cancel context.CancelFunc
}

// holdOff delays taking back a lost cell, so that two daemons that don't receive each other's
// heartbeats don't take the cell from each other endlessly.
type holdOff struct {
	until  time.Time
	length time.Duration
}

// maxHoldOff bounds the delay before a daemon takes back a lost cell.
const maxHoldOff = time.Minute

// NewManager returns a manager that owns no cells yet.
func NewManager(c ManagerConfig) *Manager {
	return &Manager{
		config: c, reconcileRequested: make(chan struct{}, 1),
		owners: map[models.CellID]*runningOwner{}, takeovers: map[models.CellID]bool{},
		epochs: map[models.CellID]models.Epoch{}, holdOffs: map[models.CellID]holdOff{},
		caretakerOf: map[models.CellID]bool{},
	}
}

// Run takes over and releases cells until ctx ends, and then waits for the owners to end.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.runContext = ctx
	m.mu.Unlock()
	m.loop(ctx)
	m.group.Wait()
}

func (m *Manager) loop(ctx context.Context) {
	ticker := time.NewTicker(m.config.ReconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.reconcileRequested:
		}
	}
}

// RequestReconcile requests an immediate reconciliation after a change of the members, the VM list or the
// cell map.
func (m *Manager) RequestReconcile() {
	select {
	case m.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcile ends superseded owners and starts the takeover of each cell that is assigned to this
// daemon and has no owner here.
func (m *Manager) reconcile(ctx context.Context) {
	m.removeSuperseded()
	m.recordEpochs()
	members := m.config.Members
	if !members.Settled() || !members.HearsAtLeastHalf() {
		return
	}
	live := members.LiveIDs()
	for _, cell := range slices.Sorted(maps.Keys(m.config.Inventory.Cells().Cells)) {
		preferred, ok := rendezvous.First(string(cell), live)
		if ok && preferred == m.config.Self && m.beginTakeover(cell) {
			m.group.Go(func() { m.takeOver(ctx, cell) })
		}
	}
}

// removeSuperseded drops owners that have ended. It also cancels each owner whose cell has an
// owner in a later epoch according to the heartbeats, because an owner without changes to write
// doesn't notice that it has been superseded.
func (m *Manager) removeSuperseded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for cell, running := range m.owners {
		_, epoch, other := m.config.Members.OwnerOf(cell)
		if other && epoch > running.owner.config.Epoch {
			running.cancel()
		}
		select {
		case <-running.owner.done:
			delete(m.owners, cell)
			running.cancel()
			m.holdOffAfterLoss(cell)
		default:
		}
	}
}

// holdOffAfterLoss doubles the delay before the cell is taken back, up to maxHoldOff. It starts
// again from HoldOff when the last delay ended more than maxHoldOff ago. The caller must hold
// the lock.
func (m *Manager) holdOffAfterLoss(cell models.CellID) {
	h := m.holdOffs[cell]
	if time.Since(h.until) > maxHoldOff {
		h.length = 0
	}
	h.length = min(maxHoldOff, max(m.config.HoldOff, 2*h.length))
	h.until = time.Now().Add(h.length)
	m.holdOffs[cell] = h
}

func (m *Manager) recordEpochs() {
	beats := m.config.Members.Heartbeats()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, beat := range beats {
		for cell, c := range beat.Cells {
			m.epochs[cell] = max(m.epochs[cell], c.Epoch)
		}
	}
}

// beginTakeover marks the takeover of a cell as under way; false when it may not begin now.
func (m *Manager) beginTakeover(cell models.CellID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.releasing || m.owners[cell] != nil || m.takeovers[cell] || time.Now().Before(m.holdOffs[cell].until) {
		return false
	}
	m.takeovers[cell] = true
	return true
}

// takeOver takes over a cell and starts its owner. When the store can't be written, it renews the
// leases of the cell's tasks instead.
func (m *Manager) takeOver(ctx context.Context, cell models.CellID) {
	defer m.endTakeover(cell)
	j := journal.New(journal.Config{
		Store: m.config.Store, Cell: cell, Writer: m.config.Self, Slots: m.config.Settings.RingSlots, NewID: m.config.NewID,
	})
	err := j.Acquire(ctx)
	for errors.Is(err, journal.ErrPending) && ctx.Err() == nil {
		m.renewAllWorkers(ctx, cell)
		clock.Sleep(ctx, retryAppend)
		err = j.ResolvePending(ctx)
	}
	switch {
	case err == nil:
		m.startOwner(ctx, cell, j, false)
	case isSuperseded(err):
		m.config.Scope.Counter("takeovers_lost").Inc(1)
	default:
		m.config.Scope.Counter("takeovers_failed").Inc(1)
		m.logDamagedJournal(cell, err)
		m.renewAllWorkers(ctx, cell)
	}
}

func (m *Manager) logDamagedJournal(cell models.CellID, err error) {
	if errors.Is(err, journal.ErrDamaged) {
		m.config.Logger.Error("journal is damaged; the cell stays without an owner until the journal is repaired",
			append(log.Err(err), zap.String("cell", string(cell)))...)
	}
}

func (m *Manager) endTakeover(cell models.CellID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.takeovers, cell)
}

// startOwner starts the owner of a cell whose journal has just been taken over or adopted.
func (m *Manager) startOwner(ctx context.Context, cell models.CellID, j *journal.Journal, adopted bool) {
	owner := NewOwner(OwnerConfig{
		Adopted: adopted, Cell: cell, Epoch: j.Epoch(), Settings: m.config.Settings, Journal: j, Workers: m.config.Workers,
		Inventory: m.config.Inventory, View: m.config.View, Peers: m, Learner: m.config.Learner,
		Logger: m.config.Logger, Scope: m.config.Scope,
	})
	ownerContext, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.owners[cell] = &runningOwner{owner: owner, cancel: cancel}
	m.epochs[cell] = j.Epoch()
	m.caretakerOf[cell] = false
	m.mu.Unlock()
	m.config.Logger.Info("this daemon owns the cell now", zap.String("cell", string(cell)),
		zap.Uint64("epoch", uint64(j.Epoch())), zap.Int("tasks", len(j.State().Tasks)))
	m.group.Go(func() { owner.Run(ownerContext) })
	m.config.Members.RequestRound()
}

// localOwner returns the owner of a cell if it runs in this daemon and has not ended.
func (m *Manager) localOwner(cell models.CellID) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	running, ok := m.owners[cell]
	if !ok {
		return nil, false
	}
	select {
	case <-running.owner.done:
		return nil, false
	default:
		return running.owner, true
	}
}

// FillHeartbeat fills in the cells that this daemon owns, with their published state.
func (m *Manager) FillHeartbeat(beat *models.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	beat.Cells = make(map[models.CellID]models.CellBeat, len(m.owners))
	for cell, running := range m.owners {
		c := models.CellBeat{Epoch: running.owner.config.Epoch}
		if published := running.owner.beat.Load(); published != nil {
			c = *published
		}
		beat.Cells[cell] = c
	}
}

// Cells implements Peers. Of several entries for a cell, the entry of the latest epoch counts.
func (m *Manager) Cells() map[models.CellID]models.CellBeat {
	cells := map[models.CellID]models.CellBeat{}
	for _, beat := range m.config.Members.Heartbeats() {
		for cell, c := range beat.Cells {
			if c.Epoch > cells[cell].Epoch {
				cells[cell] = c
			}
		}
	}
	var own models.Heartbeat
	m.FillHeartbeat(&own)
	for cell, c := range own.Cells {
		if c.Epoch > cells[cell].Epoch {
			cells[cell] = c
		}
	}
	return cells
}

// Dump returns the state of every cell owned by this daemon.
func (m *Manager) Dump(ctx context.Context) []Dump {
	var dumps []Dump
	for _, cell := range m.OwnedCells() {
		owner, ok := m.localOwner(cell)
		if !ok {
			continue
		}
		reply := make(chan Dump, 1)
		if !owner.send(ctx, dumpMessage{reply: reply}) {
			continue
		}
		select {
		case dump := <-reply:
			dumps = append(dumps, dump)
		case <-owner.done:
		case <-ctx.Done():
		}
	}
	return dumps
}

// OwnedCells lists the cells owned by this daemon.
func (m *Manager) OwnedCells() []models.CellID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.owners))
}
