// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package metrics makes the process's tally scope with its Prometheus endpoint and
// names the figures that users measure.
//
// # Usage
//
//	registry := metrics.New(metrics.Config{Process: "rillsaild"})
//	scope := registry.Scope.SubScope("entry")
//	scope.Counter("refused").Inc(1)
//	mux.Handle("/metrics", registry.Handler)
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// The three figures that users measure, by the names they are exported under.
const (
	// ServiceLatency is the latency of answered requests by class, in seconds.
	ServiceLatency = "service_latency"
	// BatchFinished counts batch tasks that succeeded.
	BatchFinished = "batch_tasks_finished"
	// Evictions counts tasks taken off their worker before they ended.
	Evictions = "evictions"
)

// LatencyBuckets are the histogram bounds for request latencies.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 28)

// Config names the process.
type Config struct {
	Process        string
	ReportInterval time.Duration // how often counters are handed to the endpoint; 1 s when 0
}

// Registry is a process's metrics.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

const defaultReportInterval = time.Second

// New makes a registry.
func New(config Config) *Registry {
	registry := client.NewRegistry() // of its own, so that several daemons fit in a process
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a metric that can't be shown must not end the daemon
	})
	if config.ReportInterval == 0 {
		config.ReportInterval = defaultReportInterval
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 config.Process,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, config.ReportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close ends the reporting.
func (r *Registry) Close() error { return r.closer.Close() }
