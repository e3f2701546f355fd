// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// firstAnswerLost is a store that performs the first write but loses its answer. It answers the second write; from
// then on it rejects reads of jobs until readable is set.
type firstAnswerLost struct {
	platform.TxnStore
	writes   int
	readable bool
}

func (s *firstAnswerLost) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	s.writes++
	version, err := s.TxnStore.Commit(ctx, txn)
	if s.writes == 1 && err == nil {
		return 0, platform.ErrUnknownOutcome
	}
	return version, err
}

func (s *firstAnswerLost) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	if s.writes > 1 && !s.readable {
		return nil, 0, platform.ErrUnavailable
	}
	return s.TxnStore.List(ctx, prefix)
}

// loseFirstAnswer makes a daemon handle its callers with a firstAnswerLost store, and returns the store.
func (d *testDaemon) loseFirstAnswer() *firstAnswerLost {
	store := &firstAnswerLost{TxnStore: d.config.Store}
	d.config.Store = store
	return store
}

func TestCancellationThatMeetsItselfIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, owner := newTwoDaemons(t)
		w.submit(idle, longRunningJob(2, 1))
		idle.loseFirstAnswer()
		require.IsType(t, platform.MaybeDone{}, idle.Cancel(w.ctx, jobID(2)))
		w.eventually(5*time.Second, "the job is cancelled", func() bool { return w.state(owner, jobID(2)) == jobs.StateCancelled })
		w.requireNoBreaches()
	})
}

func TestBarThatMeetsItselfIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, owner := newTwoDaemons(t)
		store := idle.loseFirstAnswer()
		require.IsType(t, platform.MaybeDone{}, idle.Cancel(w.ctx, jobID(2)))
		require.IsType(t, platform.NotDone{}, owner.Submit(w.ctx, w.expected(2), testQueueTerms), "the job is barred")
		store.readable = true
		require.Equal(t, noSuchJob, idle.Cancel(w.ctx, jobID(2)))
	})
}

func TestUnsettledCancellationIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, owner := newTwoDaemons(t)
		w.submit(idle, longRunningJob(2, 1))
		idle.delayStoreWrites(1500 * time.Millisecond)
		require.IsType(t, platform.MaybeDone{}, idle.Cancel(w.ctx, jobID(2)))
		w.eventually(5*time.Second, "the delayed cancellation takes effect", func() bool { return w.state(owner, jobID(2)) == jobs.StateCancelled })
		w.requireNoBreaches()
	})
}

func TestCallerThatLeavesDoesNotCutTheCancellationOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, _ := newTwoDaemons(t)
		w.submit(idle, longRunningJob(2, 1))
		left, leave := context.WithCancel(w.ctx)
		idle.mu.Lock()
		idle.beforeCommit = leave
		idle.mu.Unlock()
		require.Equal(t, platform.Done{}, idle.Cancel(left, jobID(2)))
	})
}

// TestCancellationOfWhatIsNoIDWritesNothing cancels IDs whose keys hold something else: the marker of a cell's owner,
// whose change would keep the cell from being claimed, and the cancellation of another job.
func TestCancellationOfWhatIsNoIDWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, idle, owner := newTwoDaemons(t)
		w.submit(idle, longRunningJob(2, 1))
		w.daemonCores = 0.001 // without capacity for any worker, it delays its claims of free cells
		weak := w.startDaemon()
		w.eventually(10*time.Second, "ready", weak.Ready)
		idle.kill()
		owner.kill()
		w.eventually(10*time.Second, "no owner", func() bool { return len(w.store.KeysWithPrefix(markerKey(cellName(0)))) == 0 })
		before := w.store.KeysWithPrefix(jobPrefix)
		for _, id := range []jobs.ID{"owner", jobID(2) + cancelSuffix, "favicon.ico", ""} {
			require.Equal(t, noSuchJob, weak.Cancel(w.ctx, id), "%q", id)
			_, err := weak.State(w.ctx, id)
			require.ErrorIs(t, err, platform.ErrNotFound, "%q", id)
		}
		require.ElementsMatch(t, before, w.store.KeysWithPrefix(jobPrefix))
		w.eventually(10*time.Second, "the cell has an owner", func() bool { return w.owner() == weak })
		w.eventually(30*time.Second, "its task runs", func() bool { return w.grid.Running(jobID(2)) == 1 })
	})
}

// delayedJobWrites is a store that performs writes of jobs after a delay and without an answer, and rejects
// registrations of daemons.
type delayedJobWrites struct {
	platform.TxnStore
	delay time.Duration
}

// isJobKey reports whether a key belongs to a job, and is not the marker of a cell's owner among the jobs.
func isJobKey(key string) bool {
	return strings.HasPrefix(key, jobPrefix) && !strings.HasSuffix(key, markerName)
}

func (s *delayedJobWrites) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	switch key := txn.Put[0].Key; {
	case isJobKey(key):
		time.AfterFunc(s.delay, func() { _, _ = s.TxnStore.Commit(context.Background(), txn) }) // the result is discarded
		sleep(ctx, testCallTimeout)
		return 0, platform.ErrUnknownOutcome
	case strings.HasPrefix(key, daemonPrefix):
		return 0, platform.ErrUnavailable
	}
	return s.TxnStore.Commit(ctx, txn)
}
