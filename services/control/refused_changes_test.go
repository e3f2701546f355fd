// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// pickyStore refuses the progress of one job as invalid.
type pickyStore struct {
	platform.TxnStore
	refused string // part of the keys that it refuses
}

// Commit implements platform.TxnStore.
func (s *pickyStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	for _, w := range txn.Put {
		if strings.HasPrefix(w.Key, progressPrefix) && strings.Contains(w.Key, s.refused) {
			return 0, errors.Mark(errors.New("value is not accepted"), platform.ErrInvalid)
		}
	}
	return s.TxnStore.Commit(ctx, txn)
}

// TestJobThatTheStoreRefusesBarsNoOther guards against one change that the store never accepts, and with which the owner
// stores nothing of the cell any more: neither ends of jobs, nor the roster, nor the proof of ownership.
func TestJobThatTheStoreRefusesBarsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		toBlame := wideJob(1, 10, 5*time.Second)
		w := newTestCluster(t, 3, 2, nil, func(w *testCluster) {
			w.acceptsInvalid = true
			w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore {
				return &pickyStore{TxnStore: store, refused: string(toBlame.ID)}
			}
		})
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		w.submit(w.daemons[0], toBlame)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(toBlame.ID) == 10 })
		w.grid.CrashWithDowntime(w.busiestPlace(3))
		for n := 2; n < 12; n++ {
			small := twoStepJob(n, 500*time.Millisecond)
			w.submit(w.daemons[0], small)
			w.eventually(8*time.Second, "the small job has succeeded", func() bool { return w.state(w.daemons[0], small.ID) == jobs.StateSucceeded })
		}
		require.Positive(t, w.invalidCommits())
		require.Less(t, w.invalidCommits(), int64(20), "the store is asked again and again")
		require.True(t, w.daemons[0].Ready())
		w.requireNoBreaches()
	})
}

// TestChangeThatTheStoreRefusesIsNotInDoubt guards against a job that callers submit again and again: the store has said
// that it does not take the job, and will never do so.
func TestChangeThatTheStoreRefusesIsNotInDoubt(t *testing.T) {
	refused := errors.Mark(errors.New("value is not accepted"), platform.ErrInvalid)
	require.Equal(t, verdictRejected, classifyCommit(refused))
	require.Equal(t, platform.RefusedInvalid, refusalFor(rejected{refused}).Refusal)
	require.Equal(t, verdictUnknown, classifyCommit(platform.AsUnknownOutcome(refused)))
}
