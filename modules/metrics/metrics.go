// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package metrics creates the tally scope of a process with its Prometheus endpoint, and defines the names of the
// metrics that users measure the system by.
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

// Names of the three metrics that users measure the system by.
const (
	// ServiceLatency is the latency of answered requests by class, in seconds.
	ServiceLatency = "service_latency"
	// BatchFinished counts batch tasks that succeeded.
	BatchFinished = "batch_tasks_finished"
	// Evictions counts tasks that were removed from their worker before they ended.
	Evictions = "evictions"
)

// LatencyBuckets are the histogram buckets for request latencies.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 28)

// Config configures the metrics of a process.
type Config struct {
	Process        string        // prefix of the metrics' names
	ReportInterval time.Duration // how often counters are passed to the endpoint; 1 s if 0
}

// Registry holds the metrics of a process.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

const defaultReportInterval = time.Second

// New returns a registry that reports until it is closed.
func New(config Config) *Registry {
	registry := client.NewRegistry() // not the global registry, so that a process can hold several daemons
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a metric that can't be registered must not stop the daemon
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
