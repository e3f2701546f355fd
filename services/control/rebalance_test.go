// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWeakOwnerLeavesItsCellToAStrongDaemon guards against a weak daemon that keeps a cell it can't keep up with. With
// daemons of two sizes, the first one back after an outage may have a quarter of the processor time of the others.
func TestWeakOwnerLeavesItsCellToAStrongDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 0, nil)
		w.daemonCores = 0.2
		weak := w.startDaemon()
		w.eventually(10*time.Second, "the weak daemon owns the cell", func() bool { return w.owner() == weak })
		long := longRunningJob(1, 3)
		w.submit(weak, long)
		w.eventually(10*time.Second, "its tasks are running", func() bool { return w.grid.Running(long.ID) == 3 })
		w.daemonCores = 1
		strong := w.startDaemon()
		w.eventually(4*time.Second, "the strong daemon owns the cell", func() bool { return w.owner() == strong })
		time.Sleep(2 * rebalanceCooldown)
		require.Equal(t, strong, w.owner(), "the cell stays there")
		require.Equal(t, 3, w.grid.Running(long.ID))
		w.requireNoBreaches()
	})
}

// TestOwnerBehindANarrowLinkLeavesItsCell checks the same for links: a link of 2 Mbit/s allows the starts of some
// twenty workers, whatever the processor.
func TestOwnerBehindANarrowLinkLeavesItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 0, nil)
		w.daemonLinkMbit = 2
		narrow := w.startDaemon()
		w.eventually(10*time.Second, "the daemon behind the narrow link owns the cell", func() bool { return w.owner() == narrow })
		w.daemonLinkMbit = 200
		wide := w.startDaemon()
		w.eventually(4*time.Second, "the daemon behind the wide link owns the cell", func() bool { return w.owner() == wide })
		time.Sleep(2 * rebalanceCooldown)
		require.Equal(t, wide, w.owner(), "the cell stays there")
		w.requireNoBreaches()
	})
}

// TestOwnerOfTwoCellsLeavesOneToADaemonWithNone guards against a daemon that keeps both cells, which it took while
// other daemons were down. With 490 workers, answers came later than its call timeout, so that each call was repeated on
// a new connection (85,000 in 70 s instead of 7,000), and it read changes, stored ends and renewed its lease seconds
// late. Letting a single daemon claim cells reproduces this.
func TestOwnerOfTwoCellsLeavesOneToADaemonWithNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithCells(t, 4, 1, 2, nil)
		first := w.daemons[0]
		owned := func(d *testDaemon) int { return len(d.Cells.ownedCells()) }
		w.eventually(10*time.Second, "one daemon owns both cells", func() bool { return owned(first) == 2 })
		long := longRunningJob(1, 4)
		w.submit(first, long)
		w.eventually(10*time.Second, "its tasks are running", func() bool { return w.grid.Running(long.ID) == 4 })
		second := w.startDaemon()
		w.eventually(4*time.Second, "each daemon owns one cell", func() bool { return owned(first) == 1 && owned(second) == 1 })
		third := w.startDaemon()
		time.Sleep(3 * rebalanceCooldown)
		require.Equal(t, []int{1, 1, 0}, []int{owned(first), owned(second), owned(third)}, "the cells stay there")
		require.Equal(t, 4, w.grid.Running(long.ID))
		w.requireNoBreaches()
	})
}
