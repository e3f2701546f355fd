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

// freezeMessage ends all that an owner does and asks for what a successor needs.
// The reply is closed when there is none.
type freezeMessage struct {
	reply chan models.HandoverCall
}

func (freezeMessage) message() {}

// freeze stops the owner for good. An append under way is given up first; its entry
// is handed over with the rest.
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

// Release gives up all cells at a planned stop. The members have been told; while
// the store works, the others take the cells over. What nobody has taken when the
// wait is over because the store can't be written is handed to one peer each.
func (m *Manager) Release(ctx context.Context, wait time.Duration) error {
	m.mu.Lock()
	m.releasing = true
	m.mu.Unlock()
	deadline := time.Now().Add(wait)
	for m.peersCanTakeOver() && time.Now().Before(deadline) {
		m.removeSuperseded()
		clock.Sleep(ctx, m.config.Every/4)
	}
	for _, cell := range m.OwnedCells() {
		m.handOver(ctx, cell)
	}
	return nil
}

// peersCanTakeOver tells whether a cell is left that a peer can take by itself.
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
	next, ok := rendezvous.First(string(cell), m.config.Members.LiveIDs())
	heir, found := m.config.Members.Find(next)
	if err != nil || state.Epoch == 0 || !ok || !found {
		m.config.Logger.Warn("cell is left without owner; its tasks run on while a peer renews them",
			append(log.Err(err), zap.String("cell", string(cell)))...)
		return
	}
	// Sent once, to one peer, whatever the answer.
	answer, err := m.config.Client.Handover(ctx, heir.PeerAddress, state)
	m.config.Logger.Info("cell is handed over", append(log.Err(err), zap.String("cell", string(cell)),
		zap.String("to", string(next)), zap.Bool("taken", answer.Taken))...)
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owners[cell]; own != nil && own.owner == owner {
		own.cancel()
		delete(m.owners, cell)
	}
}

// AdoptHere serves a handover: this daemon goes on in the sender's epoch until the
// store can be written again, and then takes the cell over in an epoch of its own.
func (m *Manager) AdoptHere(call models.HandoverCall) (models.HandoverAnswer, error) {
	m.mu.Lock()
	life := m.runContext
	refuse := life == nil || m.releasing || m.owners[call.Cell] != nil || m.epochs[call.Cell] > call.Epoch
	m.mu.Unlock()
	if refuse {
		return models.HandoverAnswer{}, nil
	}
	j := journal.New(journal.Config{
		Store: m.config.Store, Cell: call.Cell, Writer: m.config.Self, Slots: m.config.Settings.RingSlots, NewID: m.config.NewID,
	})
	if err := j.Adopt(call); err != nil {
		return models.HandoverAnswer{}, errstep.Wrap(err, "adopt cell "+string(call.Cell), string(m.config.Self))
	}
	m.startOwner(life, call.Cell, j, true)
	return models.HandoverAnswer{Taken: true}, nil
}
