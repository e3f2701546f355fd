// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/services/platform"
)

// storeMeter counts calls to the store by kind and result, and records their durations.
type storeMeter struct{ scope tally.Scope }

// recordTimed counts a call that has just ended, and records its duration.
func (m storeMeter) recordTimed(call string, start time.Time, err error) {
	scope := m.recordCall(call, err)
	scope.Histogram("store_call_time", metrics.LatencyBuckets).RecordDuration(time.Since(start))
}

// recordCall counts a call without its duration. Watches use it alone: they wait for a change, so that
// their duration means nothing.
func (m storeMeter) recordCall(call string, err error) tally.Scope {
	scope := m.scope.Tagged(map[string]string{"call": call, "result": storeResultTag(err)})
	scope.Counter("store_calls").Inc(1)
	return scope
}

// meteredStore is a store that counts its calls.
type meteredStore struct {
	platform.TxnStore
	storeMeter
}

// storeResultTag returns the value of the metrics tag "result" for a call to the store.
func storeResultTag(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrUnknownOutcome): // checked first: the error may wrap others as well
		return "no_answer"
	case errors.Is(err, platform.ErrRateLimited):
		return "limited"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrInvalid):
		return "invalid"
	default:
		return "other"
	}
}

// Get implements platform.Store.
func (m *meteredStore) Get(ctx context.Context, key string) (platform.Record, error) {
	start := time.Now()
	record, err := m.TxnStore.Get(ctx, key)
	m.recordTimed("get", start, err)
	return record, err
}

// List implements platform.Store.
func (m *meteredStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	start := time.Now()
	records, at, err := m.TxnStore.List(ctx, prefix)
	m.recordTimed("list", start, err)
	return records, at, err
}

// Watch implements platform.Store.
func (m *meteredStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	records, at, err := m.TxnStore.Watch(ctx, prefix, after)
	m.recordCall("watch", err)
	return records, at, err
}

// Swap implements platform.Store.
func (m *meteredStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	start := time.Now()
	version, err := m.TxnStore.Swap(ctx, key, value, expect, lease)
	m.recordTimed("swap", start, err)
	return version, err
}

// Commit implements platform.TxnStore.
func (m *meteredStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	start := time.Now()
	version, err := m.TxnStore.Commit(ctx, txn)
	m.recordTimed("commit", start, err)
	return version, err
}

// KeepAlive implements platform.Store.
func (m *meteredStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	start := time.Now()
	err := m.TxnStore.KeepAlive(ctx, lease)
	m.recordTimed("keep_alive", start, err)
	return err
}

// meteredFeed is a configuration feed that counts its calls.
type meteredFeed struct {
	platform.ConfigurationFeed
	storeMeter
}

// Configuration implements platform.ConfigurationFeed.
func (m *meteredFeed) Configuration(ctx context.Context) (jobs.Configuration, platform.Version, error) {
	start := time.Now()
	configuration, at, err := m.ConfigurationFeed.Configuration(ctx)
	m.recordTimed("read_configuration", start, err)
	return configuration, at, err
}

// NextConfiguration implements platform.ConfigurationFeed.
func (m *meteredFeed) NextConfiguration(ctx context.Context, after platform.Version) (jobs.Configuration, platform.Version, error) {
	configuration, at, err := m.ConfigurationFeed.NextConfiguration(ctx, after)
	m.recordCall("watch_configuration", err)
	return configuration, at, err
}

// meteredList is a list of workers that counts its calls.
type meteredList struct {
	platform.WorkerList
	storeMeter
}

// JobWorkers implements platform.WorkerList.
func (m *meteredList) JobWorkers(ctx context.Context) ([]jobs.Worker, platform.Version, error) {
	start := time.Now()
	workers, at, err := m.WorkerList.JobWorkers(ctx)
	m.recordTimed("list_workers", start, err)
	return workers, at, err
}

// WorkerChanges implements platform.WorkerList.
func (m *meteredList) WorkerChanges(ctx context.Context, after platform.Version) ([]platform.WorkerChange, platform.Version, error) {
	changes, at, err := m.WorkerList.WorkerChanges(ctx, after)
	m.recordCall("watch_workers", err)
	return changes, at, err
}

// meteredCordons is a list of cordons that counts its calls.
type meteredCordons struct {
	platform.CordonList
	storeMeter
}

// Cordons implements platform.CordonList.
func (m *meteredCordons) Cordons(ctx context.Context) ([]jobs.Cordon, error) {
	start := time.Now()
	cordons, err := m.CordonList.Cordons(ctx)
	m.recordTimed("list_cordons", start, err)
	return cordons, err
}
