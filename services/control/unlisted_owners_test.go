// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/services/platform"
)

// unlistedStore is the store of a daemon of an older version, which neither reads nor writes the list of claims, and has no
// witnesses and is none.
type unlistedStore struct{ platform.TxnStore }

func (s *unlistedStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	records, at, err := s.TxnStore.List(ctx, prefix)
	if prefix == daemonPrefix {
		records = nil
	}
	return records, at, err
}

func (s *unlistedStore) Get(ctx context.Context, key string) (platform.Record, error) {
	if key == claimsKey(cellName(0)) {
		return platform.Record{}, platform.ErrNotFound
	}
	return s.TxnStore.Get(ctx, key)
}

func (s *unlistedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	txn.Require = slices.DeleteFunc(slices.Clone(txn.Require), func(p platform.Precondition) bool { return p.Key == claimsKey(cellName(0)) })
	txn.Put = slices.DeleteFunc(slices.Clone(txn.Put), func(p platform.Write) bool { return p.Key == claimsKey(cellName(0)) })
	return s.TxnStore.Commit(ctx, txn)
}

// TestUnlistedOwnerStaysUnknownToTheOwnerAfterTheNext guards against tasks that run twice beside an owner of an older
// version, which does not list its claim, when its successor is lost as well: the list that the successor has stored has to
// say that it is incomplete.
func TestUnlistedOwnerStaysUnknownToTheOwnerAfterTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kept = takeoverWorkers - takeoverWorkers/3
		w := newTestCluster(t, takeoverWorkers, 1, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore {
			return &unlistedStore{&witnesslessStore{store}}
		}
		older := w.startDaemon()
		w.wrapStore = nil
		first := w.daemons[0]
		time.Sleep(6 * time.Second)
		first.killProcess()
		w.eventually(10*time.Second, "the daemon of the older version owns the cell", func() bool { return w.owner() == older })
		first = first.restart()
		third := w.startDaemon()
		time.Sleep(8 * time.Second)
		w.requireNoBreaches()

		older.set(func() { older.storeCut, older.peersCut = true, true })
		ids := w.grid.IDs()
		for _, id := range ids[kept:] {
			older.cut(id)
		}
		cutOff := func(d *testDaemon) {
			for _, id := range ids[:kept] {
				d.cut(id)
			}
		}
		cutOff(first)
		cutOff(third)
		d := &dividedCluster{testCluster: w, previous: older, others: []*testDaemon{first, third}}
		second := d.waitForSuccessor()
		time.Sleep(time.Second)
		second.killProcess()
		time.Sleep(500 * time.Millisecond)
		next := second.restart()
		cutOff(next)
		d.others = slices.DeleteFunc([]*testDaemon{first, third, next}, func(d *testDaemon) bool { return d == second })
		d.waitForSuccessor()
		time.Sleep(takeoverDivided)
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(w.log())
			}
		})
		w.requireNoBreaches()
	})
}
