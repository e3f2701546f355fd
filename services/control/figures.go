// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// meteredStore counts the calls to the store by kind and result, with their times. Watches
// are counted only, for they wait.
type meteredStore struct {
	platform.TxnStore
	scope tally.Scope
}

func (m *meteredStore) note(call string, began time.Time, err error) {
	scope := m.scope.Tagged(map[string]string{"call": call, "result": storeResult(err)})
	scope.Counter("store_calls").Inc(1)
	if call != "watch" {
		scope.Histogram("store_call_time", metrics.LatencyBuckets).RecordDuration(time.Since(began))
	}
}

// storeResult names the result of a call to the store.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrLimited):
		return "limited"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrUnknown):
		return "no_answer"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	default:
		return "other"
	}
}

// Get implements platform.Store.
func (m *meteredStore) Get(ctx context.Context, key string) (platform.Record, error) {
	began := time.Now()
	record, err := m.TxnStore.Get(ctx, key)
	m.note("get", began, err)
	return record, err
}

// List implements platform.Store.
func (m *meteredStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	began := time.Now()
	records, at, err := m.TxnStore.List(ctx, prefix)
	m.note("list", began, err)
	return records, at, err
}

// Watch implements platform.Store.
func (m *meteredStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	began := time.Now()
	records, at, err := m.TxnStore.Watch(ctx, prefix, after)
	m.note("watch", began, err)
	return records, at, err
}

// Swap implements platform.Store.
func (m *meteredStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	began := time.Now()
	version, err := m.TxnStore.Swap(ctx, key, value, expect, lease)
	m.note("swap", began, err)
	return version, err
}

// Commit implements platform.TxnStore.
func (m *meteredStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	began := time.Now()
	version, err := m.TxnStore.Commit(ctx, txn)
	m.note("commit", began, err)
	return version, err
}

// KeepAlive implements platform.Store.
func (m *meteredStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	began := time.Now()
	err := m.TxnStore.KeepAlive(ctx, lease)
	m.note("keep_alive", began, err)
	return err
}

// ofQueue is the scope of figures about one kind of job.
func (s *Service) ofQueue(queue jobs.QueueName) tally.Scope {
	return s.config.Scope.Tagged(map[string]string{"queue": string(queue)})
}

// metricsEvery is how often the owners' figures are handed to the metrics.
const metricsEvery = time.Second

// RunMetrics hands the owned cells' figures to the metrics until ctx ends.
func (c *Cells) RunMetrics(ctx context.Context) {
	dropped := log.Dropped()
	for ctx.Err() == nil {
		sleep(ctx, metricsEvery)
		now := log.Dropped()
		c.config.Scope.Counter("log_lines_dropped").Inc(now - dropped)
		dropped = now
		for cell, owner := range c.ownedCells() {
			owner.meter(c.config.Scope.Tagged(map[string]string{"cell": string(cell)}))
		}
	}
}

// meter hands an owner's figures on: what has been counted since the last time.
func (o *Owner) meter(scope tally.Scope) {
	o.mu.Lock()
	counts, summary := o.core.Counts(), o.core.Summary(time.Now())
	before := o.metered
	o.metered = counts
	figures := o.core.TakeJobFigures()
	o.mu.Unlock()
	meterJobs(scope, figures)
	for name, delta := range map[string]int64{
		"runs_started":      counts.Starts - before.Starts,
		"runs_succeeded":    counts.Succeeded - before.Succeeded,
		"runs_failed":       counts.Failed - before.Failed,
		"runs_stopped":      counts.Stopped - before.Stopped,
		"runs_lapsed":       counts.Lapsed - before.Lapsed,
		"starts_refused":    counts.Refused - before.Refused,
		"starts_unanswered": counts.Unanswered - before.Unanswered,
		"throttles":         counts.Paces - before.Paces,
	} {
		scope.Counter(name).Inc(delta)
	}
	for name, value := range map[string]int{
		"jobs_active": summary.Jobs, "tasks_waiting": summary.Waiting, "tasks_running": summary.Running,
		"serving_over_target": summary.OverTail, "filling_throttled": summary.Throttled,
		"workers_known": summary.Workers, "workers_usable": summary.Usable, "jobs_unstored": summary.Unstored,
	} {
		scope.Gauge(name).Update(float64(value))
	}
}

// meterJobs hands on what has become of jobs, by queue.
func meterJobs(scope tally.Scope, figures dispatch.JobFigures) {
	for _, start := range figures.Starts {
		queue := scope.Tagged(map[string]string{"queue": string(start.Queue)})
		queue.Histogram("job_first_start_time", metrics.LatencyBuckets).RecordDuration(start.Age)
	}
	for _, end := range figures.Ends {
		queue := scope.Tagged(map[string]string{"queue": string(end.Queue), "outcome": string(end.Outcome)})
		queue.Counter("jobs_ended").Inc(1)
		queue.Histogram("job_time", metrics.LatencyBuckets).RecordDuration(end.Age)
	}
}

// Dump is a daemon's whole state.
type Dump struct {
	Daemon        string                       `json:"daemon"`
	Ready         bool                         `json:"ready"`
	StoreAnswers  bool                         `json:"store_answers"`
	Configuration jobs.Version                 `json:"configuration"`
	Layout        *jobs.Layout                 `json:"layout,omitempty"`
	Owners        map[jobs.CellName]jobs.Owner `json:"owners"`
	Cells         map[jobs.CellName]CellDump   `json:"cells"` // those of this daemon
}

// CellDump is the state of a cell at its owner.
type CellDump struct {
	Epoch   jobs.Epoch             `json:"epoch"`
	Summary dispatch.Summary       `json:"summary"`
	Counts  dispatch.Counts        `json:"counts"`
	Learned []jobs.Learned         `json:"learned,omitempty"`
	Workers []dispatch.WorkerState `json:"workers,omitempty"`
}

// Dump gives the whole state for operators.
func (s *Service) Dump(now time.Time) Dump {
	d := Dump{
		Daemon: s.config.Self, Ready: s.Ready(), StoreAnswers: s.health.good(), Layout: s.Cells.layout(),
		Owners: s.Cells.knownOwners(), Cells: map[jobs.CellName]CellDump{},
	}
	if configuration := s.Configured(); configuration != nil {
		d.Configuration = configuration.Version
	}
	for cell, owner := range s.Cells.ownedCells() {
		owner.mu.Lock()
		d.Cells[cell] = CellDump{
			Epoch: owner.epoch, Summary: owner.core.Summary(now), Counts: owner.core.Counts(),
			Learned: owner.core.Learned(), Workers: owner.core.WorkerStates(now),
		}
		owner.mu.Unlock()
	}
	return d
}
