// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package inflight bounds how many calls are under way, by how quickly others are answered.
// A caller that has less processor time or bandwidth than its calls need gets no more done by
// beginning them all at once: each waits for the others, and past the callers' time limits
// none of them counts. With the bound, what can't be sent yet stays where it can still be
// chosen and given up. It follows the well-known rule of additive increase and
// multiplicative decrease: it shrinks by a share when answers come late, and grows by a step
// when it is reached and answers are quick.
//
// # Usage
//
//	limit := inflight.New(inflight.Config{Least: 8, First: 64, Most: 512, Quick: 100 * time.Millisecond, Late: 200 * time.Millisecond})
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

// Config says between what the limit moves, and what of.
type Config struct {
	Least int // calls under way that are always allowed
	First int // the limit before anything is known
	Most  int
	// Quick is the time within which the answers of a caller that keeps up come.
	Quick time.Duration
	// Late is the time after which an answer shows that the caller doesn't.
	Late time.Duration
}

// Call is what became of a call.
type Call struct {
	Took     time.Duration
	Answered bool // one that got lost says nothing of the caller unless hardly any are answered
}

// Limit is the bound. It may be used by several goroutines.
type Limit struct {
	config Config

	mu          sync.Mutex
	current     int
	inFlight    int       // calls under way
	reached     bool      // the limit was, since it was judged last
	adjustedAt  time.Time // when it was judged last
	outcomes    counts    // since then
	meanLatency time.Duration
}

// counts of calls that have ended.
type counts struct {
	all, lost, late, quick int
	totalLatency           time.Duration // of those that were answered, together
}

// New makes a limit.
func New(config Config) *Limit {
	return &Limit{config: config, current: config.First, adjustedAt: time.Now()}
}

// Free is how many calls may begin now.
func (l *Limit) Free() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.current-l.inFlight)
}

// Current is the limit now.
func (l *Limit) Current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// latencyMaxAge is for how long what was seen of answers says how they are now.
const latencyMaxAge = time.Second

// Typical is how long answers have taken lately, on average; 0 when there were hardly any.
func (l *Limit) Typical() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.adjustedAt) > latencyMaxAge {
		return 0
	}
	return l.meanLatency
}

// Begin counts a call that begins. It may go past the limit: calls that must not wait are
// counted as well.
func (l *Limit) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.reached = l.reached || l.inFlight >= l.current
}

// End takes what became of a call.
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

// The limit is judged when adjustInterval has passed and minCalls have ended: often enough to
// get from 64 to 8 calls within half a second, and not by chance of a few.
const (
	adjustInterval = 100 * time.Millisecond
	minCalls       = 8
)

// Shares of the calls that change the limit.
const (
	lostShare  = 0.8 // of all; less than that can be the peers' or the network's doing
	lateShare  = 0.5 // of those that were answered
	quickShare = 0.9 // of the same
)

// By how much the limit changes at a time: it must fall faster than a queue grows, and rise
// by less than a link carries within Late.
const (
	decreaseFactor = 0.6
	increaseStep   = 8
)

// adjust moves the limit by what was seen since the last time.
func (l *Limit) adjust(now time.Time) {
	if now.Sub(l.adjustedAt) < adjustInterval || l.outcomes.all < minCalls {
		return
	}
	seen, answered := l.outcomes, l.outcomes.all-l.outcomes.lost
	if answered > 0 {
		l.meanLatency = seen.totalLatency / time.Duration(answered)
	}
	switch {
	case float64(seen.lost) >= lostShare*float64(seen.all), float64(seen.late) > lateShare*float64(answered):
		l.current = max(l.config.Least, int(decreaseFactor*float64(l.current)))
	case l.reached && float64(seen.quick) >= quickShare*float64(answered):
		l.current = min(l.config.Most, l.current+increaseStep)
	}
	l.adjustedAt, l.outcomes, l.reached = now, counts{}, l.inFlight >= l.current
}
