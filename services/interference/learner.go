// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package interference learns by how much batch tasks slow down the services beside
// them, from latencies that are reported late and only for whole VMs. For each
// service it keeps the latency alone, and for each pair of service and batch task
// the slowdown with its uncertainty, which grows with time so that a pair that has
// changed is learned anew.
//
// # Usage
//
//	learner := interference.New(interference.Config{})
//	learner.Observe(interference.Sample{Service: labels, Batch: beside, P99: p99, Target: target, At: now})
//	fraction, known := learner.Slowdown(serviceLabels, batchLabels)
//
// A Learner may be used by several goroutines at a time.
package interference

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config holds the constants of learning; zero values stand for the defaults.
type Config struct {
	// ObservationVariance is the variance of one observation's slowdown.
	ObservationVariance float64
	// VarianceGrowth is by how much a pair's variance grows in a minute.
	VarianceGrowth float64
	// BaselineSmoothing is the part by which the latency alone follows a higher one upwards, per
	// observation.
	BaselineSmoothing float64
}

const (
	defaultObservationVariance = 0.02
	defaultVarianceGrowth      = 0.01
	defaultBaselineSmoothing   = 0.01
	// initialVariance is that of a pair never observed.
	initialVariance = 1.0
	// maxKnownVariance is below which a pair counts as known.
	maxKnownVariance = 0.1
	// maxPairs bounds memory; the pair longest unseen is forgotten first.
	maxPairs = 4096
)

// Sample is one report on a service and the batch tasks that were beside it when
// the latency was measured.
type Sample struct {
	Service map[string]string
	Batch   []Neighbour
	P99     time.Duration
	Target  time.Duration
	At      time.Time
}

// Neighbour is a batch task beside a service.
type Neighbour struct {
	Labels map[string]string
	Share  float64 // of processor time it was allowed, 1 when not throttled
}

// estimate is the slowdown of a pair with its uncertainty.
type estimate struct {
	Mean      float64   `json:"mean"`
	Variance  float64   `json:"variance"`
	UpdatedAt time.Time `json:"seen"`
	Samples   int       `json:"samples"`
}

// baseline is what is known of a service without batch tasks beside it.
type baseline struct {
	Alone   float64 `json:"alone_ms"`
	Target  float64 `json:"target_ms"`
	Samples int     `json:"samples"`
}

type pair struct{ service, batch string }

// Learner is what was learned so far.
type Learner struct {
	config Config

	mu        sync.Mutex
	baselines map[string]*baseline
	pairs     map[pair]*estimate
}

// New makes a learner that knows nothing.
func New(config Config) *Learner {
	if config.ObservationVariance == 0 {
		config.ObservationVariance = defaultObservationVariance
	}
	if config.VarianceGrowth == 0 {
		config.VarianceGrowth = defaultVarianceGrowth
	}
	if config.BaselineSmoothing == 0 {
		config.BaselineSmoothing = defaultBaselineSmoothing
	}
	return &Learner{config: config, baselines: map[string]*baseline{}, pairs: map[pair]*estimate{}}
}

// Observe learns from one sample.
func (l *Learner) Observe(s Sample) {
	if s.P99 <= 0 || s.Target <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	service := labelKey(s.Service)
	base := l.updateBaseline(service, s)
	if len(s.Batch) == 0 {
		return
	}
	observed := milliseconds(s.P99)/base.Alone - 1
	l.updatePairs(service, s, observed)
}

// updateBaseline follows the latency alone: at once when the service was alone or
// faster than thought, slowly upwards otherwise only when alone.
func (l *Learner) updateBaseline(service string, s Sample) *baseline {
	ms := milliseconds(s.P99)
	base, ok := l.baselines[service]
	if !ok {
		base = &baseline{Alone: ms}
		l.baselines[service] = base
	}
	base.Target = milliseconds(s.Target)
	base.Samples++
	switch {
	case ms < base.Alone:
		base.Alone = ms
	case len(s.Batch) == 0:
		base.Alone += l.config.BaselineSmoothing * (ms - base.Alone)
	}
	return base
}

// updatePairs shares the error of the prediction among the pairs by how uncertain
// each is: the update of a Kalman filter with a diagonal covariance.
func (l *Learner) updatePairs(service string, s Sample, observed float64) {
	weights := map[pair]float64{}
	for _, n := range s.Batch {
		weights[pair{service, labelKey(n.Labels)}] += n.Share
	}
	predicted, variance := 0.0, l.config.ObservationVariance
	for p, weight := range weights {
		e := l.agedEstimate(p, s.At)
		predicted += weight * e.Mean
		variance += weight * weight * e.Variance
	}
	wrong := observed - predicted
	for p, weight := range weights {
		e := l.pairs[p]
		gain := e.Variance * weight / variance
		e.Mean = max(0, e.Mean+gain*wrong)
		e.Variance = max(e.Variance*(1-gain*weight), l.config.ObservationVariance/10)
		e.Samples++
	}
}

// agedEstimate finds a pair's estimate and lets its variance grow for the time that
// has passed.
func (l *Learner) agedEstimate(p pair, at time.Time) *estimate {
	e, ok := l.pairs[p]
	if !ok {
		l.evictOldest()
		e = &estimate{Variance: initialVariance, UpdatedAt: at}
		l.pairs[p] = e
	}
	if passed := at.Sub(e.UpdatedAt); passed > 0 {
		e.Variance = min(initialVariance, e.Variance+l.config.VarianceGrowth*passed.Minutes())
		e.UpdatedAt = at
	}
	return e
}

// evictOldest forgets the pair longest unseen when there are too many.
func (l *Learner) evictOldest() {
	if len(l.pairs) < maxPairs {
		return
	}
	var oldest pair
	var seen time.Time
	for p, e := range l.pairs {
		if seen.IsZero() || e.UpdatedAt.Before(seen) {
			oldest, seen = p, e.UpdatedAt
		}
	}
	delete(l.pairs, oldest)
}

// Slowdown implements place.Predictor: the mean, once its variance is low enough.
func (l *Learner) Slowdown(service, batch map[string]string) (fraction float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.pairs[pair{labelKey(service), labelKey(batch)}]
	if !ok || e.Variance > maxKnownVariance {
		return 0, false
	}
	return e.Mean, true
}

// Headroom implements place.Predictor.
func (l *Learner) Headroom(service map[string]string) (fraction float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	base, ok := l.baselines[labelKey(service)]
	if !ok || base.Alone <= 0 {
		return 0, false
	}
	return max(0, base.Target/base.Alone-1), true
}

// Blame orders the batch tasks beside a service by their part in its slowdown, the
// worst first; a pair never observed counts with its uncertainty.
func (l *Learner) Blame(service map[string]string, batch []Neighbour) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := make([]float64, len(batch))
	order := make([]int, len(batch))
	for i, n := range batch {
		order[i] = i
		parts[i] = initialVariance * n.Share
		if e, ok := l.pairs[pair{labelKey(service), labelKey(n.Labels)}]; ok {
			parts[i] = (e.Mean + e.Variance) * n.Share
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(parts[b], parts[a]) })
	return order
}

// Dump is what was learned, by "service | batch".
type Dump struct {
	Baselines map[string]baseline `json:"baselines"`
	Pairs     map[string]estimate `json:"pairs"`
}

// Dump gives all that was learned.
func (l *Learner) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	dump := Dump{Baselines: map[string]baseline{}, Pairs: map[string]estimate{}}
	for key, base := range l.baselines {
		dump.Baselines[key] = *base
	}
	for p, e := range l.pairs {
		dump.Pairs[p.service+" | "+p.batch] = *e
	}
	return dump
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// labelKey renders a label set in one way.
func labelKey(labels map[string]string) string {
	keys := slices.Sorted(maps.Keys(labels))
	var b strings.Builder
	for i, key := range keys {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(key)
		b.WriteByte('=')
		b.WriteString(labels[key])
	}
	return b.String()
}
