// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// TestLossesOfWorkersAreNoPartOfTheRoster guards against daemons of another version that can't load a cell, because its roster
// has a field that they do not know.
func TestLossesOfWorkersAreNoPartOfTheRoster(t *testing.T) {
	o := &Owner{config: Config{Logger: zap.NewNop()}, cell: cellName(0)}
	losses := []jobs.WorkerLoss{{Worker: "w", Born: 1, At: 2, TaskCrashRate: 0.5, Earlier: []jobs.WorkerLossID{3}}}
	roster := &jobs.Roster{MaxLease: 4000, Losses: losses}
	txn, err := o.buildTxn(dispatch.Changes{Roster: roster})
	require.NoError(t, err)
	require.Len(t, txn.Put, 2)
	require.Equal(t, rosterKey(cellName(0)), txn.Put[0].Key)
	require.JSONEq(t, `{"workers": null, "lease_ms": 4000}`, string(txn.Put[0].Value))
	require.Equal(t, lossesKey(cellName(0)), txn.Put[1].Key)
	stored, err := wire.DecodeBytes[jobs.WorkerLosses](txn.Put[1].Value)
	require.NoError(t, err)
	require.Equal(t, losses, stored.Losses)

	roster.Losses = nil
	txn, err = o.buildTxn(dispatch.Changes{Roster: roster})
	require.NoError(t, err)
	require.Len(t, txn.Put, 1, "without losses nothing is written for them")
}

// TestLossesOfWorkersThatCannotBeReadCostNoOwner guards against a cell without owner for the sake of a value that a successor
// can do without.
func TestLossesOfWorkersThatCannotBeReadCostNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLearningCluster(t)
		previous := w.owner()
		previous.kill()
		store := &kv.Local{Service: w.store, Fault: w.daemons[1].storeFault, WatchWait: time.Second}
		_, err := store.Commit(w.ctx, platform.Txn{Put: []platform.Write{{Key: lossesKey(cellName(0)), Value: []byte(`{"losses": [{"crash_rate": -1}]}`)}}})
		require.NoError(t, err)
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
		w.eventually(10*time.Second, "the long-running tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		w.requireNoBreaches()
	})
}
