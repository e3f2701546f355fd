// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// A caller acts on a refusal: it submits the work elsewhere, or tells its own user that nothing will happen. So a
// refusal must hold for all writes of the daemon that gives it, including those of unknown outcome and those in flight.

var testQueueTerms = jobs.Queue{Name: testQueue, Terms: testTerms}

// newTwoDaemons makes a cluster with two daemons that accept jobs; owner owns the only cell, idle owns none.
func newTwoDaemons(t *testing.T) (w *testCluster, idle, owner *testDaemon) {
	t.Helper()
	w = newTestCluster(t, 2, 2, nil)
	w.submit(w.daemons[0], longRunningJob(1, 1))
	w.eventually(5*time.Second, "a daemon owns the cell", func() bool { return w.owner() != nil })
	idle, owner = w.daemons[1], w.owner()
	if owner == idle {
		idle = w.daemons[0]
	}
	w.eventually(5*time.Second, "the other daemon accepts jobs", func() bool { return idle.Ready() && idle.Cells.registrationVersion() != 0 })
	synctest.Wait() // the idle daemon may be about to claim the cell as well
	return w, idle, owner
}

// expected returns a job that the grid expects, so that its starts are no breach.
func (w *testCluster) expected(n int) jobs.Spec {
	spec := twoStepJob(n, time.Second)
	spec.Queue = testQueue
	w.grid.Expect(spec, testAttempts)
	return spec
}

// delayStoreWrites delays the daemon's transactions on their way to the store; they get no answer.
func (d *testDaemon) delayStoreWrites(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeWriteDelay = by
}

// cutStore makes the daemon's calls to the store fail before they reach it.
func (d *testDaemon) cutStore(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeCut = cut
}

func TestNoSuchJobHoldsForWritesOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, owner := newTwoDaemons(t)
		spec := w.expected(2)
		idle.delayStoreWrites(1200 * time.Millisecond)
		go idle.Submit(w.ctx, spec, testQueueTerms)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, noSuchJob, owner.Cancel(w.ctx, spec.ID))
		require.Equal(t, noSuchJob, owner.Cancel(w.ctx, spec.ID), "also the second time")
		idle.delayStoreWrites(0)
		time.Sleep(15 * time.Second)
		require.False(t, w.grid.Ran(spec.ID), "none of its tasks runs")
		_, err := owner.State(w.ctx, spec.ID)
		require.ErrorIs(t, err, platform.ErrNotFound)
		outcome := idle.Submit(w.ctx, spec, testQueueTerms)
		require.IsType(t, platform.NotDone{}, outcome)
		require.Equal(t, platform.RefusedInvalid, outcome.(platform.NotDone).Refusal, "a retry is useless")
		w.requireNoBreaches()
	})
}

func TestBarredJobIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		require.Equal(t, noSuchJob, idle.Cancel(w.ctx, jobID(2)))
		require.Len(t, w.store.KeysWithPrefix(jobKey(cellName(0), jobID(2))), 1)
		w.eventually(submissionRetention+10*time.Second, "its record is removed", func() bool {
			return len(w.store.KeysWithPrefix(jobKey(cellName(0), jobID(2)))) == 0
		})
		require.Equal(t, platform.Done{}, idle.Submit(w.ctx, w.expected(2), testQueueTerms))
		w.requireNoBreaches()
	})
}

func TestTriesOfAJobAtOneDaemonAreOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		idle.delayStoreWrites(600 * time.Millisecond)
		first := make(chan platform.Outcome, 1)
		go func() { first <- idle.Submit(w.ctx, spec, testQueueTerms) }()
		time.Sleep(100 * time.Millisecond)
		idle.cutStore(true) // all later calls to the store fail
		time.Sleep(time.Second)
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms), "a write of it is in flight")
		require.IsType(t, platform.MaybeDone{}, <-first)
	})
}

// jobWriteCounter counts the transactions that write a job, and delays each. It ignores other transactions, such as
// claims of a cell.
type jobWriteCounter struct {
	platform.TxnStore
	writes atomic.Int64
}

// Commit implements platform.TxnStore.
func (s *jobWriteCounter) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if isJobKey(txn.Put[0].Key) {
		s.writes.Add(1)
		time.Sleep(100 * time.Millisecond)
	}
	return s.TxnStore.Commit(ctx, txn)
}

func TestTriesBesideEachOtherWriteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		store := &jobWriteCounter{TxnStore: idle.config.Store}
		idle.config.Store, idle.Cells.config.Store = store, store
		outcomes := make(chan platform.Outcome, 3)
		for range cap(outcomes) {
			go func() { outcomes <- idle.Submit(w.ctx, spec, testQueueTerms) }()
		}
		for range cap(outcomes) {
			require.Equal(t, platform.Done{}, <-outcomes)
		}
		require.Equal(t, platform.Done{}, idle.Submit(w.ctx, spec, testQueueTerms), "also after the others have ended")
		require.Equal(t, int64(1), store.writes.Load())
	})
}

func TestAcceptedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		require.Equal(t, platform.Done{}, idle.Submit(w.ctx, spec, testQueueTerms))
		idle.cutStore(true)
		time.Sleep(time.Second)
		require.Equal(t, platform.Done{}, idle.Submit(w.ctx, spec, testQueueTerms))
	})
}

// TestDoubtLastsUntilTheKeyHasChanged rejects writes of the daemon's own key. The key then doesn't change, and does not
// keep the delayed write of the job from taking effect.
func TestDoubtLastsUntilTheKeyHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		store := &delayedJobWrites{TxnStore: idle.config.Store, delay: 4 * time.Second}
		idle.config.Store, idle.Cells.config.Store = store, store
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms))
		time.Sleep(500 * time.Millisecond)
		idle.health.record(nil) // as after an answered watch
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms))
		time.Sleep(10 * time.Second)
		require.True(t, w.grid.Ran(spec.ID), "the delayed write took effect")
	})
}

func TestCallWithoutTimeSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		ctx, cancel := context.WithTimeout(w.ctx, time.Nanosecond)
		defer cancel()
		time.Sleep(time.Millisecond)
		before := idle.Cells.registrationVersion()
		require.IsType(t, platform.NotDone{}, idle.Submit(ctx, w.expected(2), testQueueTerms))
		time.Sleep(time.Second)
		require.Equal(t, before, idle.Cells.registrationVersion(), "the daemon's key need not change")
	})
}

func TestPanicOfACallHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		idle.mu.Lock()
		idle.beforeCommit = func() { panic("a fault") }
		idle.mu.Unlock()
		require.Panics(t, func() { idle.Submit(w.ctx, spec, testQueueTerms) })
		idle.mu.Lock()
		idle.beforeCommit = nil
		idle.mu.Unlock()
		began := time.Now()
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms))
		require.Less(t, time.Since(began), time.Second)
	})
}

// TestDoubtEndsForWhoeverAsks delays a write of a job until its condition no longer holds: once the daemon has
// registered again, the job is known not to be stored, also without a repeated submission.
func TestDoubtEndsForWhoeverAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		idle.delayStoreWrites(8 * time.Second)
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms))
		_, err := idle.State(w.ctx, spec.ID)
		require.Error(t, err)
		require.NotErrorIs(t, err, platform.ErrNotFound, "the job may still be stored")
		idle.delayStoreWrites(0)
		w.eventually(3*time.Second, "the daemon is registered again", func() bool { return idle.Cells.registrationVersion() != 0 })
		_, err = idle.State(w.ctx, spec.ID)
		require.ErrorIs(t, err, platform.ErrNotFound)
		time.Sleep(submissionRetention + 2*pruneInterval)
		w.submit(idle, twoStepJob(3, time.Second))
		idle.submissions.mu.Lock()
		defer idle.submissions.mu.Unlock()
		require.Len(t, idle.submissions.byID, 1, "the unknown outcome is not kept for ever")
	})
}

func TestJobInDoubtIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		idle.delayStoreWrites(900 * time.Millisecond) // takes effect without an answer
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms))
		idle.delayStoreWrites(0)
		w.eventually(3*time.Second, "the daemon is registered again", func() bool { return idle.Cells.registrationVersion() != 0 })
		idle.cutStore(true)
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms), "the store can't be read")
		time.Sleep(time.Second)
		require.IsType(t, platform.MaybeDone{}, idle.Submit(w.ctx, spec, testQueueTerms), "the store is known to be down")
		require.IsType(t, platform.NotDone{}, idle.Submit(w.ctx, w.expected(3), testQueueTerms), "another job is refused")
		idle.cutStore(false)
		w.submit(idle, spec)
		w.eventually(20*time.Second, "success", func() bool { return w.state(idle, spec.ID) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

func TestCallerThatLeavesDoesNotCutTheWriteOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		spec := w.expected(2)
		left, leave := context.WithCancel(w.ctx)
		idle.mu.Lock()
		idle.beforeCommit = leave // the caller leaves while the write is in flight
		idle.mu.Unlock()
		require.Equal(t, platform.Done{}, idle.Submit(left, spec, testQueueTerms))
		require.NotZero(t, idle.Cells.registrationVersion(), "the daemon accepts other jobs")
	})
}

func TestJobIsAcceptedByADaemonThatHasRegisteredAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		var once bool
		idle.mu.Lock()
		idle.beforeCommit = func() { // the daemon's key is written again just before the job's record
			if once {
				return
			}
			once = true
			idle.Cells.mu.Lock()
			lease := idle.Cells.lease
			idle.Cells.mu.Unlock()
			idle.Cells.register(w.ctx, lease)
		}
		idle.mu.Unlock()
		require.Equal(t, platform.Done{}, idle.Submit(w.ctx, w.expected(2), testQueueTerms))
	})
}
