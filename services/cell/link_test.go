// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

// unansweringWorkers receive every call, and all their answers are lost.
type unansweringWorkers struct{ starts int }

// Start implements platform.Workers.
func (w *unansweringWorkers) Start(context.Context, string, models.StartCall) (models.StartAnswer, error) {
	w.starts++
	return models.StartAnswer{}, errLost
}

// Renew implements platform.Workers.
func (w *unansweringWorkers) Renew(context.Context, string, models.RenewCall) (models.RenewAnswer, error) {
	return models.RenewAnswer{}, errLost
}

// Stop implements platform.Workers.
func (w *unansweringWorkers) Stop(context.Context, string, models.StopCall) (models.StopAnswer, error) {
	return models.StopAnswer{}, errLost
}

// TestStartBringsALease guards against declaring a VM idle while a task may run on it. A start begins
// a lease as a renewal does, so the proof that nothing runs on a VM that has left the list requires
// a whole lease after the last start or renewal. No start may be sent to a VM that is not listed.
func TestStartBringsALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		workers := &unansweringWorkers{}
		gone := models.VM{ID: "worker-gone", Kind: models.KindWorker, Address: "10.0.0.9:1"}
		l := newLink(linkConfig{
			Workers: workers, VM: gone, Cell: worldCells[0], Lease: w.settings.Lease, Renew: w.settings.Renew, Send: o.send,
		})
		l.setListed(gone, true)
		require.False(t, o.provedNotRunning(gone.ID, nil, time.Now()), "the VM has just left the list")
		time.Sleep(w.settings.Lease + time.Millisecond)
		l.perform(w.ctx, startCall{})
		require.Equal(t, 1, workers.starts)
		require.False(t, o.provedNotRunning(gone.ID, l, time.Now()), "the start may have begun a lease")
		l.setListed(gone, false)
		l.perform(w.ctx, startCall{})
		require.Equal(t, 1, workers.starts, "nothing is started on a VM that is not listed")
		time.Sleep(w.settings.Lease + time.Millisecond)
		require.True(t, o.provedNotRunning(gone.ID, l, time.Now()))
	})
}
