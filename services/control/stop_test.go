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
		w := newWorld(t, 4, 3, nil)
		w.submit(w.daemons[0], lasting(1, 4))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		first := w.owner()
		began := time.Now()
		require.NoError(t, first.Cells.Release(w.ctx))
		w.eventually(time.Second, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		require.Less(t, time.Since(began), 500*time.Millisecond, "nobody waits for the lease")
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, w.grid.Running(jobID(1)))
		w.noBreach()
	})
}

// TestPlannedStopInAnOutageKeepsTheCell holds what was seen when a planned stop
// met an outage: an owner that was stopped could not hand its cell over, and left it without
// any owner until the store was back.
func TestPlannedStopInAnOutageKeepsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 3, nil)
		w.submit(w.daemons[0], lasting(1, 4))
		w.submit(w.daemons[0], twoSteps(2, 2*time.Second))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 && w.grid.Running(jobID(2)) == 3 })
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
		require.Equal(t, 2, w.grid.Running(jobID(2)), "the second step has begun meanwhile")
		w.setOutage(false)
		require.NoError(t, <-released)
		w.eventually(500*time.Millisecond, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, w.grid.Running(jobID(1)))
		w.noBreach()
	})
}

// TestPlannedStopJustBeforeAnOutageKeepsTheCell: the store is asked last, and still answers.
func TestPlannedStopJustBeforeAnOutageKeepsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 3, nil)
		w.submit(w.daemons[0], lasting(1, 4))
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		first := w.owner()
		first.mu.Lock()
		first.beforeCommit = func() { w.setOutage(true) } // reads are answered until then
		first.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, 3600*time.Millisecond)
			defer cancel()
			_ = first.Cells.Release(ctx) // it ends after the outage
		}()
		time.Sleep(time.Second)
		require.Same(t, first, w.owner(), "nobody else can take the cell")
		first.mu.Lock()
		first.beforeCommit = nil
		first.mu.Unlock()
		w.setOutage(false)
		w.eventually(time.Second, "another daemon owns the cell", func() bool { o := w.owner(); return o != nil && o != first })
		w.noBreach()
	})
}

func TestPlannedStopEndsInALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 2, nil)
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
