// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlannedStopHandsTheCellOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.eventually(10*time.Second, "tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
		first := w.owner()
		began := time.Now()
		require.NoError(t, first.Cells.Release(w.ctx))
		w.eventually(time.Second, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		require.Less(t, time.Since(began), 500*time.Millisecond, "the cell does not wait for the lease to expire")
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

// TestPlannedStopInAnOutageKeepsTheCell guards against a planned stop during an outage of the store that leaves the
// cell without any owner until the store is back, because the owner stops although it can't hand the cell over.
func TestPlannedStopInAnOutageKeepsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.submit(w.daemons[0], twoStepJob(2, 2*time.Second))
		w.eventually(10*time.Second, "tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 && w.grid.Running(jobID(2)) == 3 })
		first := w.owner()
		w.setOutage(true)
		time.Sleep(500 * time.Millisecond)
		released := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, 3600*time.Millisecond)
			defer cancel()
			released <- first.Cells.Release(ctx)
		}()
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, w.grid.Running(jobID(2)), "the second step has started meanwhile")
		w.setOutage(false)
		require.NoError(t, <-released)
		w.eventually(500*time.Millisecond, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

// TestPlannedStopJustBeforeAnOutageKeepsTheCell begins an outage just before the handover is written, after the last
// read was answered.
func TestPlannedStopJustBeforeAnOutageKeepsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 3, nil)
		w.submit(w.daemons[0], longRunningJob(1, 4))
		w.eventually(10*time.Second, "tasks are running", func() bool { return w.grid.Running(jobID(1)) == 4 })
		first := w.owner()
		first.mu.Lock()
		first.beforeCommit = func() { w.setOutage(true) } // reads are answered until then
		first.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, 3600*time.Millisecond)
			defer cancel()
			_ = first.Cells.Release(ctx) // returns after the outage
		}()
		time.Sleep(time.Second)
		require.Same(t, first, w.owner(), "nobody else can take the cell")
		first.mu.Lock()
		first.beforeCommit = nil
		first.mu.Unlock()
		w.setOutage(false)
		w.eventually(time.Second, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		w.requireNoBreaches()
	})
}

func TestPlannedStopEndsInALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 4, 2, nil)
		time.Sleep(2 * time.Second)
		w.setOutage(true)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(w.ctx, 3600*time.Millisecond)
		defer cancel()
		require.Error(t, w.owner().Cells.Release(ctx))
		require.Less(t, time.Since(began), 4*time.Second)
		require.Nil(t, w.owner())
	})
}
