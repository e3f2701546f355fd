// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package inflight limits the number of concurrent calls by how quickly calls are answered. A caller with less
// processor time or bandwidth than its calls need gains nothing from starting them all at once: the calls
// delay each other, and those that exceed their time limits are wasted work. With the limit, calls that can't be
// sent yet stay queued, where they can still be reordered or dropped. The limit follows the rule of additive
// increase and multiplicative decrease (AIMD): it shrinks by a factor when answers come late, and grows by
// a step when it is reached and answers are quick.
//
// # Usage
//
//	limit := inflight.New(inflight.Config{Min: 8, Initial: 64, Max: 512, Quick: 100 * time.Millisecond, Late: 200 * time.Millisecond})
//	for range limit.Free() {
//		limit.Begin()
//		… // make a call
//		limit.End(inflight.Call{Took: time.Since(began), Answered: err == nil})
//	}
package inflight

import (
	"sync"
	"time"
)

// Config bounds the limit and sets the latencies that change it.
type Config struct {
	Min     int // lower bound
	Initial int // initial limit
	Max     int // upper bound
	// Quick is the latency up to which an answer shows that the caller keeps up with its calls.
	Quick time.Duration
	// Late is the latency above which an answer shows that the caller does not keep up.
	Late time.Duration
}

// Call is the outcome of a call.
type Call struct {
	Took     time.Duration
	Answered bool // unanswered calls lower the limit only if nearly all calls are unanswered
}

// Limit is an adaptive limit of concurrent calls. It is safe for concurrent use.
type Limit struct {
	config Config

	mu          sync.Mutex
	current     int
	inFlight    int       // calls that have begun and not ended
	reached     bool      // whether inFlight reached the limit since adjustedAt
	adjustedAt  time.Time // time of the last adjustment
	outcomes    counts    // of the calls that ended since adjustedAt
	meanLatency time.Duration
}

// counts are numbers of calls that have ended, by outcome.
type counts struct {
	all, lost, late, quick int
	totalLatency           time.Duration // sum over the answered calls
}

// New returns a limit with its initial value.
func New(config Config) *Limit {
	return &Limit{config: config, current: config.Initial, adjustedAt: time.Now()}
}

// Free returns how many calls may begin now.
func (l *Limit) Free() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.current-l.inFlight)
}

// Current returns the present limit.
func (l *Limit) Current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// latencyMaxAge is how long after the last adjustment the mean latency is valid.
const latencyMaxAge = time.Second

// MeanLatency returns the mean latency of recent answers, or 0 if there were too few.
func (l *Limit) MeanLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.adjustedAt) > latencyMaxAge {
		return 0
	}
	return l.meanLatency
}

// Begin counts a call that begins. Calls that must not wait may exceed the limit; they are counted as well.
func (l *Limit) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.reached = l.reached || l.inFlight >= l.current
}

// End records the outcome of a call that has begun, and adjusts the limit when that is due.
func (l *Limit) End(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.outcomes.add(call, l.config)
	l.adjust(time.Now())
}

func (c *counts) add(call Call, config Config) {
	c.all++
	switch {
	case !call.Answered:
		c.lost++
		return
	case call.Took > config.Late:
		c.late++
	case call.Took <= config.Quick:
		c.quick++
	}
	c.totalLatency += call.Took
}

// The limit is adjusted at most once per adjustInterval, and only after minCalls calls have ended. The interval
// is short enough for the limit to fall from 64 to 8 calls within half a second; the number of calls keeps a
// few chance results from changing it.
const (
	adjustInterval = 100 * time.Millisecond
	minCalls       = 8
)

// Shares of the calls at which the limit changes.
const (
	lostShare  = 0.8 // of all calls; a smaller share can be caused by the peers or the network
	lateShare  = 0.5 // of the answered calls
	quickShare = 0.9 // of the answered calls
)

// Steps of an adjustment: the limit must fall faster than a queue grows, and rise by fewer calls than a link
// carries within Config.Late.
const (
	decreaseFactor = 0.6
	increaseStep   = 8
)

// adjust changes the limit by the outcomes since the last adjustment, if an adjustment is due.
func (l *Limit) adjust(now time.Time) {
	if now.Sub(l.adjustedAt) < adjustInterval || l.outcomes.all < minCalls {
		return
	}
	outcomes, answered := l.outcomes, l.outcomes.all-l.outcomes.lost
	if answered > 0 {
		l.meanLatency = outcomes.totalLatency / time.Duration(answered)
	}
	switch {
	case float64(outcomes.lost) >= lostShare*float64(outcomes.all), float64(outcomes.late) > lateShare*float64(answered):
		l.current = max(l.config.Min, int(decreaseFactor*float64(l.current)))
	case l.reached && float64(outcomes.quick) >= quickShare*float64(answered):
		l.current = min(l.config.Max, l.current+increaseStep)
	}
	l.adjustedAt, l.outcomes, l.reached = now, counts{}, l.inFlight >= l.current
}
