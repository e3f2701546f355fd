// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package calltime adapts the time limit of calls to how quickly a group of similar peers answers. A call
// that times out and is retried costs a connection and work on both sides. A slow caller times out calls
// whose answers are already on their way, which makes it slower still, so that it never recovers. The limit
// therefore grows when answers come late or nearly all calls time out, and shrinks again when answers are
// quick. Isolated losses of calls don't change it.
//
// # Usage
//
//	limit := calltime.New(calltime.Config{Min: 400 * time.Millisecond, Max: 2 * time.Second})
//	ctx, cancel := context.WithTimeout(ctx, limit.Current())
//	… // make the call
//	limit.Record(calltime.Call{Took: time.Since(began), Answered: err == nil})
package calltime

import (
	"sync"
	"time"
)

// Config bounds the limit.
type Config struct {
	Min time.Duration // lower bound and initial limit
	Max time.Duration // upper bound
}

// Limit is an adaptive time limit of calls. It is safe for concurrent use.
type Limit struct {
	config Config

	mu         sync.Mutex
	current    time.Duration
	adjustedAt time.Time // time of the last adjustment
	outcomes   counts    // of the calls that ended since adjustedAt
}

// Call is the outcome of a call that was sent.
type Call struct {
	Took     time.Duration // excludes the time that the peer was asked to hold its answer back
	Answered bool          // whether the answer came in time
}

// counts are numbers of calls by outcome.
type counts struct {
	lost  int // not answered in time
	late  int // answered after more than half of the limit
	quick int // answered within a quarter of the limit
	all   int
}

// New returns a limit that starts at its lower bound.
func New(config Config) *Limit {
	return &Limit{config: config, current: config.Min, adjustedAt: time.Now()}
}

// Min returns the lower bound, which is the limit while peers answer quickly.
func (l *Limit) Min() time.Duration { return l.config.Min }

// Current returns the present limit.
func (l *Limit) Current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// The limit is adjusted at most once per adjustInterval, and only after minCalls calls have ended. The interval
// is short enough for the limit to grow from 0.4 s to 2 s within a second; the number of calls keeps a few
// chance results from changing it.
const (
	adjustInterval = 250 * time.Millisecond
	minCalls       = 20
)

// Record adds the outcome of a call and adjusts the limit when that is due.
func (l *Limit) Record(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes.add(call, l.current)
	now := time.Now()
	if now.Sub(l.adjustedAt) < adjustInterval || l.outcomes.all < minCalls {
		return
	}
	l.current = l.next()
	l.adjustedAt, l.outcomes = now, counts{}
}

func (c *counts) add(call Call, limit time.Duration) {
	c.all++
	switch {
	case !call.Answered:
		c.lost++
	case call.Took > limit/2:
		c.late++
	case call.Took < limit/4:
		c.quick++
	}
}

// Shares of the calls at which the limit changes. Isolated losses amount to at most half of all calls,
// whereas a limit that is too short for a slow caller makes nearly all calls time out.
const (
	lostShare  = 0.8
	lateShare  = 0.5 // of the answered calls
	quickShare = 0.9 // of the answered calls
)

// Factors by which the limit grows and shrinks in each adjustment.
const (
	growFactor   = 2
	shrinkFactor = 1.5
)

// next computes the limit from the outcomes since the last adjustment.
func (l *Limit) next() time.Duration {
	answered := float64(l.outcomes.all - l.outcomes.lost)
	switch {
	case float64(l.outcomes.lost) >= lostShare*float64(l.outcomes.all), float64(l.outcomes.late) > lateShare*answered:
		return min(growFactor*l.current, l.config.Max)
	case float64(l.outcomes.quick) >= quickShare*answered:
		return max(time.Duration(float64(l.current)/shrinkFactor), l.config.Min)
	default:
		return l.current
	}
}
