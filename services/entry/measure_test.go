// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	measureOnly    = flag.String("only", "", "measure only scenarios whose names contain this text")
	measureTo      = flag.String("measure", "", "file for the table of the full measurement; empty runs a short check")
	measureSeconds = flag.Int("seconds", 6, "simulated length of each run of the full measurement, in seconds")
)

// TestMeasureRouting runs the full measurement if -measure names a file, as "make measure" does. Otherwise
// it runs each scenario with one seed for one second.
func TestMeasureRouting(t *testing.T) {
	seconds, seeds := 1, []uint64{1}
	if *measureTo != "" {
		seconds, seeds = *measureSeconds, []uint64{1, 2, 3}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| trial | picker | urgent p50 / p99 / p99.9 ms | ordinary p50 / p99 / p99.9 ms | ordinary p99, least to most | goodput urgent / ordinary / deferred | overruns %% | wasted %% |\n|---|---|---|---|---|---|---|---|\n")
	for _, scene := range scenarios(seconds) {
		if !strings.Contains(scene.name, *measureOnly) {
			continue
		}
		for _, picker := range []string{"random", "least-loaded", "two-choices", "divided"} {
			fmt.Fprint(&b, measureScenario(t, scene, picker, seeds))
		}
	}
	if *measureTo == "" {
		assert.Contains(t, b.String(), "storm")
		return
	}
	require.NoError(t, os.WriteFile(*measureTo, []byte(b.String()), 0o600))
}

// scenario is a trial with its name in the table.
type scenario struct {
	name string
	trial
}

// scenarios returns the scenarios of the measurement.
func scenarios(seconds int) []scenario {
	base := trial{entries: 4, upstreams: 12, slots: 8, seconds: seconds, load: 0.8}
	with := func(name string, change func(*trial)) scenario {
		t := base
		change(&t)
		return scenario{name, t}
	}
	return []scenario{
		with("50 %", func(t *trial) { t.load = 0.5 }),
		with("80 %", func(*trial) {}),
		with("95 %", func(t *trial) { t.load = 0.95 }),
		with("120 %", func(t *trial) { t.load = 1.2 }),
		with("80 %, one 5 x slower", func(t *trial) { t.slow = true }),
		with("80 %, one fails fast", func(t *trial) { t.failing = true }),
		with("80 %, one leaves", func(t *trial) { t.leaving = true }),
		with("80 %, one entry 3 x", func(t *trial) { t.uneven = true }),
		with("120 %, retry storm", func(t *trial) { t.load, t.storm = 1.2, true }),
	}
}

// measureScenario runs a scenario with each seed and returns its row of the table.
func measureScenario(t *testing.T, s scenario, picker string, seeds []uint64) string {
	t.Helper()
	var runs scenarioRuns
	for _, seed := range seeds {
		s.picker, s.seed = picker, seed
		runs = append(runs, runTrial(t, s.trial))
	}
	low, high := runs.spread("ordinary", 99)
	return fmt.Sprintf("| %s | %s | %s | %s | %.1f to %.1f | %s | %.1f | %.2f |\n",
		s.name, picker, runs.quantiles("urgent"), runs.quantiles("ordinary"), low, high, runs.goodput(),
		runs.percent(func(r *trialRun) int { return r.overruns }), runs.percent(func(r *trialRun) int { return r.wasted }))
}

// scenarioRuns holds the runs of one scenario, one for each seed.
type scenarioRuns []*trialRun

// median returns the median of a figure over the runs.
func (s scenarioRuns) median(figure func(*trialRun) float64) float64 {
	values := make([]float64, len(s))
	for i, r := range s {
		values[i] = figure(r)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// quantiles formats the p50, p99 and p99.9 latencies of a class, in milliseconds.
func (s scenarioRuns) quantiles(class string) string {
	var parts []string
	for _, q := range []float64{50, 99, 99.9} {
		parts = append(parts, fmt.Sprintf("%.1f", s.median(func(r *trialRun) float64 { return r.classes[class].ms(q) })))
	}
	return strings.Join(parts, " / ")
}

// goodput formats the median goodput of each class.
func (s scenarioRuns) goodput() string {
	var parts []string
	for _, class := range trialClassNames {
		parts = append(parts, fmt.Sprintf("%.4f", s.median(func(r *trialRun) float64 { return r.classes[class].goodput() })))
	}
	return strings.Join(parts, " / ")
}

// percent returns the median of a count as a percentage of the requests that reached upstreams.
func (s scenarioRuns) percent(count func(*trialRun) int) float64 {
	return s.median(func(r *trialRun) float64 { return 100 * float64(count(r)) / float64(max(r.reached, 1)) })
}

// spread returns the lowest and the highest value of a quantile over the runs.
func (s scenarioRuns) spread(class string, q float64) (low, high float64) {
	low = math.Inf(1)
	for _, r := range s {
		ms := r.classes[class].ms(q)
		low, high = min(low, ms), max(high, ms)
	}
	return low, high
}
