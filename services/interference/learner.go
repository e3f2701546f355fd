// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package interference learns by how much batch tasks slow down the services on the same VM, from latencies that are
// reported late and only for whole VMs. For each service it keeps the baseline latency without batch tasks. For each
// pair of service and batch task it keeps the estimated slowdown with its variance, which grows with time so that a pair
// whose interference has changed is learned anew.
//
// # Usage
//
//	learner := interference.New(interference.Config{})
//	learner.Observe(interference.Sample{Service: labels, Batch: neighbours, P99: p99, Target: target, At: now})
//	fraction, known := learner.Slowdown(serviceLabels, batchLabels)
//
// A Learner is safe for concurrent use.
package interference

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config holds the parameters of learning; zero values stand for the defaults.
type Config struct {
	// ObservationVariance is the variance of the slowdown measured by one observation.
	ObservationVariance float64
	// VarianceGrowth is the amount by which the variance of a pair grows per minute.
	VarianceGrowth float64
	// BaselineSmoothing is the fraction of the difference by which the baseline latency rises towards a higher
	// latency measured without batch tasks, per observation.
	BaselineSmoothing float64
}

const (
	defaultObservationVariance = 0.02
	defaultVarianceGrowth      = 0.01
	defaultBaselineSmoothing   = 0.01
	// initialVariance is the variance of a pair that was never observed.
	initialVariance = 1.0
	// maxKnownVariance is the largest variance with which a pair counts as known.
	maxKnownVariance = 0.1
	// maxPairs bounds memory; the least recently observed pair is evicted first.
	maxPairs = 4096
)

// Sample is one latency measurement of a service, with the batch tasks that ran on the same VM at the time.
type Sample struct {
	Service map[string]string
	Batch   []Neighbour
	P99     time.Duration
	Target  time.Duration
	At      time.Time
}

// Neighbour is a batch task on the same VM as a service.
type Neighbour struct {
	Labels map[string]string
	Share  float64 // fraction of processor time that the task was allowed; 1 when not throttled
}

// estimate is the estimated slowdown of a pair with its variance.
type estimate struct {
	Mean      float64   `json:"mean"`
	Variance  float64   `json:"variance"`
	UpdatedAt time.Time `json:"seen"`
	Samples   int       `json:"samples"`
}

// baseline describes a service without batch tasks on its VM.
type baseline struct {
	Alone   float64 `json:"alone_ms"`
	Target  float64 `json:"target_ms"`
	Samples int     `json:"samples"`
}

// pair identifies a service and a batch task by their label keys.
type pair struct{ service, batch string }

// Learner holds the learned baselines and slowdowns.
type Learner struct {
	config Config

	mu        sync.Mutex
	baselines map[string]*baseline
	pairs     map[pair]*estimate
}

// New returns a learner without observations.
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

// Observe updates the estimates from one sample.
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

// updateBaseline updates the baseline latency of the service: at once when the service was alone or faster than assumed,
// otherwise slowly upwards and only when the service was alone.
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

// updatePairs distributes the prediction error among the pairs in proportion to their variance: the update step of a
// Kalman filter with a diagonal covariance matrix.
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
	residual := observed - predicted
	for p, weight := range weights {
		e := l.pairs[p]
		gain := e.Variance * weight / variance
		e.Mean = max(0, e.Mean+gain*residual)
		e.Variance = max(e.Variance*(1-gain*weight), l.config.ObservationVariance/10)
		e.Samples++
	}
}

// agedEstimate returns the estimate of a pair, creating it if necessary, after its variance has grown for the time since
// the last update.
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

// evictOldest removes the least recently observed pair when maxPairs is reached.
func (l *Learner) evictOldest() {
	if len(l.pairs) < maxPairs {
		return
	}
	var oldest pair
	var oldestAt time.Time
	for p, e := range l.pairs {
		if oldestAt.IsZero() || e.UpdatedAt.Before(oldestAt) {
			oldest, oldestAt = p, e.UpdatedAt
		}
	}
	delete(l.pairs, oldest)
}

// Slowdown implements place.Predictor. It returns the estimated mean if its variance is at most maxKnownVariance.
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

// RankByImpact returns the indexes of the batch tasks beside a service, ordered by their contribution to its slowdown,
// the largest first. A pair that was never observed counts with the initial variance.
func (l *Learner) RankByImpact(service map[string]string, batch []Neighbour) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	contributions := make([]float64, len(batch))
	order := make([]int, len(batch))
	for i, n := range batch {
		order[i] = i
		contributions[i] = initialVariance * n.Share
		if e, ok := l.pairs[pair{labelKey(service), labelKey(n.Labels)}]; ok {
			contributions[i] = (e.Mean + e.Variance) * n.Share
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(contributions[b], contributions[a]) })
	return order
}

// Dump is a copy of everything learned. Pairs are keyed by "service | batch".
type Dump struct {
	Baselines map[string]baseline `json:"baselines"`
	Pairs     map[string]estimate `json:"pairs"`
}

// Dump returns a copy of everything learned.
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

// labelKey returns the canonical text of a label set.
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
