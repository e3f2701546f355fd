// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// slowCommits is a store connection whose transactions take some time.
type slowCommits struct {
	platform.TxnStore
	took time.Duration
}

func (s *slowCommits) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	sleep(ctx, s.took)
	return s.TxnStore.Commit(ctx, txn)
}

// TestClaimsAreForgottenUnderLoad guards against a list of claims that stays, because the owner always has something else to
// store: a previous owner that cannot be asked any more holds back the tasks of each later takeover.
func TestClaimsAreForgottenUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 12, 0, nil)
		w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore {
			return &slowCommits{store, 20 * time.Millisecond}
		}
		w.startDaemon()
		w.startDaemon()
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(6 * time.Second)
		w.owner().killProcess()
		w.eventually(10*time.Second, "cell has another owner", func() bool { return w.owner() != nil })
		owner := w.owner()
		began, n := time.Now(), 0
		var submits sync.WaitGroup
		for time.Since(began) < maxBlindTimeOfDispatch+10*time.Second {
			n++
			spec := shortTasks(n, 1, 100*time.Millisecond)
			spec.Queue = testQueue
			w.grid.Expect(spec, testAttempts)
			submits.Go(func() { owner.Submit(w.ctx, spec, testQueueTerms) })
			time.Sleep(3 * time.Millisecond)
		}
		submits.Wait()
		require.True(t, w.grid.Ran(jobID(n-1000)), "jobs run")
		claims, _, err := readWithVersion[jobs.Claims](t.Context(), owner.Cells.config.Store, claimsKey(cellName(0)))
		require.NoError(t, err)
		require.Len(t, claims.Owners, 1, "%d jobs were submitted in %s", n, time.Since(began))
	})
}

// maxBlindTimeOfDispatch is how long previous owners that cannot be asked are waited for.
const maxBlindTimeOfDispatch = 30 * time.Second
