// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/rendezvous"
	"rillsail.example/rillsail/services/journal"
)

// freezeMessage stops the actions of an owner and requests the state that a successor needs. The
// reply channel is closed without a value when the owner has ended.
type freezeMessage struct {
	reply chan models.HandoverCall
}

func (freezeMessage) message() {}

// freeze stops all actions of the owner permanently. An append under way is cancelled first; its
// entry is handed over as pending.
func (o *Owner) freeze(m freezeMessage) {
	o.frozen = true
	o.freezeReply = m.reply
	if !o.appending {
		o.finishFreeze()
		return
	}
	o.cancelAppend()
}

func (o *Owner) finishFreeze() { o.freezeReply <- o.journal.Export() }

// Release releases all cells at a planned stop. The members have been notified before, and while
// the store can be written they take the cells over. Each cell that is still owned here after
// that, at the latest after wait, is handed over to one peer.
func (m *Manager) Release(ctx context.Context, wait time.Duration) error {
	m.mu.Lock()
	m.releasing = true
	m.mu.Unlock()
	deadline := time.Now().Add(wait)
	for m.peersCanTakeOver() && time.Now().Before(deadline) {
		m.removeSuperseded()
		clock.Sleep(ctx, m.config.ReconcileInterval/4)
	}
	for _, cell := range m.OwnedCells() {
		m.handOver(ctx, cell)
	}
	return nil
}

// peersCanTakeOver reports whether a cell is left that a peer can take over through the store.
func (m *Manager) peersCanTakeOver() bool {
	if len(m.config.Members.LiveIDs()) == 0 {
		return false
	}
	for _, cell := range m.OwnedCells() {
		if owner, ok := m.localOwner(cell); ok && !owner.storeFails.Load() {
			return true
		}
	}
	return false
}

func (m *Manager) handOver(ctx context.Context, cell models.CellID) {
	owner, ok := m.localOwner(cell)
	if !ok {
		return
	}
	reply := make(chan models.HandoverCall, 1)
	state, err := askLocalOwner(ctx, m, cell, freezeMessage{reply: reply}, reply)
	successorID, ok := rendezvous.First(string(cell), m.config.Members.LiveIDs())
	successor, found := m.config.Members.Find(successorID)
	if err != nil || state.Epoch == 0 || !ok || !found {
		m.config.Logger.Warn("cell can't be handed over and is left without an owner; its tasks run while a peer renews their leases",
			append(log.Err(err), zap.String("cell", string(cell)))...)
		return
	}
	// The state is sent only once and to one peer, also when the call fails: two peers must not adopt it.
	answer, err := m.config.Client.Handover(ctx, successor.PeerAddress, state)
	m.config.Logger.Info("cell is handed over", append(log.Err(err), zap.String("cell", string(cell)),
		zap.String("to", string(successorID)), zap.Bool("taken", answer.Accepted))...)
	m.mu.Lock()
	defer m.mu.Unlock()
	if running := m.owners[cell]; running != nil && running.owner == owner {
		running.cancel()
		delete(m.owners, cell)
	}
}

// ServeHandover serves a handover. This daemon continues in the sender's epoch until the store can be
// written again, and then takes over the cell in an epoch of its own.
func (m *Manager) ServeHandover(call models.HandoverCall) (models.HandoverAnswer, error) {
	m.mu.Lock()
	ctx := m.runContext
	refuse := ctx == nil || m.releasing || m.owners[call.Cell] != nil || m.epochs[call.Cell] > call.Epoch
	m.mu.Unlock()
	if refuse {
		return models.HandoverAnswer{}, nil
	}
	j := journal.New(journal.Config{
		Store: m.config.Store, Cell: call.Cell, Writer: m.config.Self, Slots: m.config.Settings.RingSlots, NewID: m.config.NewID,
	})
	if err := j.Import(call); err != nil {
		return models.HandoverAnswer{}, errstep.Wrap(err, "adopt cell "+string(call.Cell), string(m.config.Self))
	}
	m.startOwner(ctx, call.Cell, j, true)
	return models.HandoverAnswer{Accepted: true}, nil
}
