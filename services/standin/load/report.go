// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result, by kind.
type Report struct {
	Kinds map[string]*KindReport `json:"kinds"`
}

// KindReport counts what became of the requests of one kind. Times are in
// milliseconds.
type KindReport struct {
	Sent    int64   `json:"sent"`
	Right   int64   `json:"right"`   // whole, own and in time
	Late    int64   `json:"late"`    // right but after the deadline
	Wrong   int64   `json:"wrong"`   // not whole or not its own: must never be
	NotRun  int64   `json:"not_run"` // refused, not run
	Unknown int64   `json:"unknown"` // refused, may have run
	Broken  int64   `json:"broken"`  // the connection ended
	Resent  int64   `json:"resent"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Goodput float64 `json:"goodput"` // right / sent

	histogram *hdrhistogram.Histogram
}

// String is a table of the report.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %7s %7s %6s %6s %7s %7s %6s %9s %9s %9s %8s\n",
		"kind", "sent", "right", "late", "wrong", "notrun", "unknown", "broken", "p50 ms", "p99 ms", "p99.9 ms", "goodput")
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[name]
		fmt.Fprintf(&b, "%-12s %7d %7d %6d %6d %7d %7d %6d %9.1f %9.1f %9.1f %8.4f\n",
			name, k.Sent, k.Right, k.Late, k.Wrong, k.NotRun, k.Unknown, k.Broken, k.P50, k.P99, k.P999, k.Goodput)
	}
	return b.String()
}

// result is what became of one request.
type result int

const (
	right result = iota
	late
	wrong
	notRun
	unknown
	broken
)

// Latencies are kept from 10 microseconds to 10 minutes in three digits.
const (
	minLatency    = 10
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func newKindReport() *KindReport {
	return &KindReport{histogram: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// count takes the result of a request and the time that it took.
func (k *KindReport) count(got result, resent int64, took time.Duration) {
	k.Sent++
	k.Resent += resent
	switch got {
	case right:
		k.Right++
		k.recordLatency(took)
	case late:
		k.Late++
		k.recordLatency(took)
	case wrong:
		k.Wrong++
	case notRun:
		k.NotRun++
	case unknown:
		k.Unknown++
	case broken:
		k.Broken++
	}
}

func (k *KindReport) recordLatency(took time.Duration) {
	_ = k.histogram.RecordValue(max(minLatency, took.Microseconds())) // out of range is beyond 10 minutes
}

// summarize fills in the quantiles and the goodput.
func (k *KindReport) summarize() {
	k.P50, k.P99, k.P999 = k.quantile(50), k.quantile(99), k.quantile(99.9)
	k.Goodput = float64(k.Right) / float64(max(k.Sent, 1))
}

func (k *KindReport) quantile(q float64) float64 {
	return float64(k.histogram.ValueAtQuantile(q)) / 1000
}
