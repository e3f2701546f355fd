// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"strings"
	"testing"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// clusterChange changes a cluster before its first daemon starts.
type clusterChange func(w *testCluster)

// withoutWitnesses makes the daemons of a cluster no witnesses of each other, as those of older versions are none.
func withoutWitnesses(w *testCluster) {
	w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore { return &witnesslessStore{store} }
}

// withAndWithoutWitnesses plays a test with daemons that are witnesses of each other and with daemons that are none.
func withAndWithoutWitnesses(t *testing.T, play func(t *testing.T, changes ...clusterChange)) {
	t.Helper()
	t.Run("with witnesses", func(t *testing.T) { play(t) })
	t.Run("without witnesses", func(t *testing.T) { play(t, withoutWitnesses) })
}

// witnesslessStore is the store of a daemon that names no process of its own.
type witnesslessStore struct{ platform.TxnStore }

func (s *witnesslessStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	txn.Put = slices.Clone(txn.Put)
	for i, write := range txn.Put {
		if !strings.HasPrefix(write.Key, daemonPrefix) {
			continue
		}
		daemon, err := wire.DecodeBytes[jobs.Daemon](write.Value)
		if err != nil {
			return 0, err
		}
		daemon.Address, daemon.Process = "", ""
		writes, err := encodeWrites([]keyValue{{write.Key, daemon}})
		if err != nil {
			return 0, err
		}
		txn.Put[i].Value = writes[0].Value
	}
	return s.TxnStore.Commit(ctx, txn)
}
