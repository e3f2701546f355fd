// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// maxCaretakerCalls bounds the concurrent renewals of a caretaker.
const maxCaretakerCalls = 16

// renewAllWorkers renews the leases of all tasks of a cell whose owner is silent and that can't be
// taken over because the store can't be written. It starts and stops nothing, so it can't cause
// a task to run twice.
func (m *Manager) renewAllWorkers(ctx context.Context, cell models.CellID) {
	m.logCaretaking(cell)
	calls := pool.New().WithMaxGoroutines(maxCaretakerCalls)
	for _, vm := range m.config.Inventory.WorkersOf(cell) {
		calls.Go(func() { m.renewWorker(ctx, cell, vm) })
	}
	calls.Wait()
}

func (m *Manager) logCaretaking(cell models.CellID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.caretakerOf[cell] {
		m.caretakerOf[cell] = true
		m.config.Logger.Warn("cell has no owner and the store can't be written; this daemon renews the leases of the cell's running tasks",
			zap.String("cell", string(cell)))
	}
}

// renewWorker renews the leases at one worker in the latest known epoch. A worker that has seen a
// later epoch refuses and names it; the renewal is repeated once in that epoch.
func (m *Manager) renewWorker(ctx context.Context, cell models.CellID, vm models.VM) {
	for range 2 {
		epoch := m.raiseEpoch(cell, 0)
		answer, err := m.config.Workers.Renew(ctx, vm.Address, models.RenewCall{
			Guard: models.Guard{Cell: cell, Epoch: epoch}, Lease: models.MilliOf(m.config.Settings.Lease),
		})
		if err != nil || answer.Refused != models.RefusedEpoch {
			return
		}
		m.raiseEpoch(cell, answer.Epoch)
	}
}

// raiseEpoch records an epoch of a cell and returns the highest epoch known.
func (m *Manager) raiseEpoch(cell models.CellID, seen models.Epoch) models.Epoch {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epochs[cell] = max(m.epochs[cell], seen)
	return m.epochs[cell]
}
