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

// Report is the result of a run, by kind of request.
type Report struct {
	Kinds map[string]*KindReport `json:"kinds"`
}

// KindReport counts the results of the requests of one kind. Times are in milliseconds.
type KindReport struct {
	Sent    int64   `json:"sent"`
	Right   int64   `json:"right"`   // complete, own answer, within the deadline
	Late    int64   `json:"late"`    // complete, own answer, after the deadline
	Wrong   int64   `json:"wrong"`   // truncated or another request's answer: must never happen
	NotRun  int64   `json:"not_run"` // refused without having run
	Unknown int64   `json:"unknown"` // failed, may have run
	Broken  int64   `json:"broken"`  // the connection failed
	Resent  int64   `json:"resent"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Goodput float64 `json:"goodput"` // Right / Sent

	histogram *hdrhistogram.Histogram
}

// String returns the report as a table.
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

// result is the result of one request.
type result int

const (
	right result = iota
	late
	wrong
	notRun
	unknown
	broken
)

// The range of the histograms, from 10 microseconds to 10 minutes, and the number of significant digits.
const (
	minLatency    = 10
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func newKindReport() *KindReport {
	return &KindReport{histogram: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// count adds the result of a request and its latency.
func (k *KindReport) count(got result, resent int64, latency time.Duration) {
	k.Sent++
	k.Resent += resent
	switch got {
	case right:
		k.Right++
		k.recordLatency(latency)
	case late:
		k.Late++
		k.recordLatency(latency)
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

func (k *KindReport) recordLatency(latency time.Duration) {
	_ = k.histogram.RecordValue(max(minLatency, latency.Microseconds())) // fails only above 10 minutes
}

// summarize computes the quantiles and the goodput.
func (k *KindReport) summarize() {
	k.P50, k.P99, k.P999 = k.quantile(50), k.quantile(99), k.quantile(99.9)
	k.Goodput = float64(k.Right) / float64(max(k.Sent, 1))
}

func (k *KindReport) quantile(q float64) float64 {
	return float64(k.histogram.ValueAtQuantile(q)) / 1000
}
