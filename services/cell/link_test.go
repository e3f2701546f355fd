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

// unansweringWorkers take every call, and their answers are lost.
type unansweringWorkers struct{ starts int }

// Start implements platform.Workers.
func (d *unansweringWorkers) Start(context.Context, string, models.StartCall) (models.StartAnswer, error) {
	d.starts++
	return models.StartAnswer{}, errLost
}

// Renew implements platform.Workers.
func (d *unansweringWorkers) Renew(context.Context, string, models.RenewCall) (models.RenewAnswer, error) {
	return models.RenewAnswer{}, errLost
}

// Stop implements platform.Workers.
func (d *unansweringWorkers) Stop(context.Context, string, models.StopCall) (models.StopAnswer, error) {
	return models.StopAnswer{}, errLost
}

// TestStartBringsALease sends a start to a VM that leaves the list, and one to the VM when
// the list has dropped it: a start brings a lease as a renewal does, so that nothing runs
// there is proved only a whole lease after the last of either.
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
		require.False(t, o.provedNotRunning(gone.ID, nil, time.Now()), "the list has just dropped it")
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
