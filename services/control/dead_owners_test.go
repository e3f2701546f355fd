// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestCellOfAProcessThatEndedHasAnotherOwnerAtOnce guards against a cell that stays without owner until the lease of
// an ended process expires, so that short work is late. Callers query their jobs all the time, and the first call
// after the end gets a refused connection.
func TestCellOfAProcessThatEndedHasAnotherOwnerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 3, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		previous := w.owner()
		other := w.daemons[0]
		if other == previous {
			other = w.daemons[1]
		}
		w.submit(other, longRunningJob(1, 3))
		w.eventually(10*time.Second, "its tasks are running", func() bool { return w.grid.Running(jobID(1)) == 3 })
		time.Sleep(minOwnerAge)
		previous.killProcess()
		ended := time.Now()
		w.state(other, jobID(1))
		w.eventually(time.Second, "another owner", func() bool { return w.owner() != nil })
		require.Less(t, time.Since(ended), 300*time.Millisecond)
		w.submit(other, twoStepJob(2, time.Second))
		w.eventually(10*time.Second, "job succeeds", func() bool { return w.state(other, jobID(2)) == jobs.StateSucceeded })
		require.Equal(t, 3, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

// TestOwnerIsNotReplacedAgainAndAgain refuses all connections between the daemons, while all of them reach the store
// and the workers: a cell changes its owner seldom, and nothing runs twice.
func TestOwnerIsNotReplacedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 4, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		w.submit(w.daemons[0], longRunningJob(1, 3))
		w.eventually(10*time.Second, "its tasks are running", func() bool { return w.grid.Running(jobID(1)) == 3 })
		time.Sleep(minOwnerAge)
		for _, d := range w.daemons {
			d.set(func() { d.exited = true })
		}
		const cut = 20 * time.Second
		owners := map[jobs.Epoch]bool{}
		for began := time.Now(); time.Since(began) < cut; time.Sleep(50 * time.Millisecond) {
			for _, d := range w.daemons {
				w.state(d, jobID(1))
				for _, owner := range d.Cells.ownedCells() {
					owners[owner.epoch] = true
				}
			}
		}
		require.LessOrEqual(t, len(owners), int(cut/minOwnerAge)+1)
		require.Equal(t, 3, w.grid.Running(jobID(1)))
		w.requireNoBreaches()
	})
}

// TestNobodyListensIsSeenThroughTheCallsOfPeers calls a port that was just closed.
func TestNobodyListensIsSeenThroughTheCallsOfPeers(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().(*net.TCPAddr).String()
	server.Close()
	_, err := newPeerClient("self").Jobs(t.Context(), address, jobs.Query{Cell: "0"})
	require.True(t, connectionRefused(err), "%v", err)
}
