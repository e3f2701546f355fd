// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package calltime learns how long to wait for answers of peers that are all called alike.
// A call that is given up and made again costs a connection and the work of both sides; a
// caller that is slow itself gives up calls whose answers were on their way, becomes
// slower by it, and never recovers. So the limit grows when answers come late or hardly any
// come in time, which calls that get lost one by one don't cause, and shrinks again when
// answers are quick.
//
// # Usage
//
//	limit := calltime.New(calltime.Config{Least: 400 * time.Millisecond, Most: 2 * time.Second})
//	ctx, cancel := context.WithTimeout(ctx, limit.Current())
//	… // make the call
//	limit.Note(calltime.Call{Took: time.Since(began), Answered: err == nil})
package calltime

import (
	"sync"
	"time"
)

// Config bounds the limit.
type Config struct {
	Least time.Duration // where it begins
	Most  time.Duration
}

// Limit is a time limit of calls, learned from what became of others. It may be used by
// several goroutines.
type Limit struct {
	config Config

	mu         sync.Mutex
	current    time.Duration
	adjustedAt time.Time // when the current limit was last judged
	outcomes   counts    // since then
}

// Call is what became of a call that was sent.
type Call struct {
	Took     time.Duration // without the time that the answer was asked to wait
	Answered bool          // in time
}

// counts of calls.
type counts struct {
	lost  int // not answered in time
	late  int // answered after more than half of the limit
	quick int // answered within a quarter of it
	all   int
}

// New makes a limit.
func New(config Config) *Limit {
	return &Limit{config: config, current: config.Least, adjustedAt: time.Now()}
}

// Least is the limit as long as all is well.
func (l *Limit) Least() time.Duration { return l.config.Least }

// Current is the limit now.
func (l *Limit) Current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// The limit is judged when adjustInterval has passed and minCalls have ended: often enough to
// get from 0.4 s to 2 s within a second, and not by chance of a few calls.
const (
	adjustInterval = 250 * time.Millisecond
	minCalls       = 20
)

// Note takes what became of a call.
func (l *Limit) Note(call Call) {
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

// Shares of the calls that change the limit. Calls that get lost one by one are half of all at most; a
// limit that is too short for a slow caller loses nearly all.
const (
	lostShare  = 0.8
	lateShare  = 0.5 // of those that were answered
	quickShare = 0.9 // of the same
)

// By how much the limit changes at a time.
const (
	growFactor   = 2
	shrinkFactor = 1.5
)

// next gives the limit that fits the calls seen.
func (l *Limit) next() time.Duration {
	answered := float64(l.outcomes.all - l.outcomes.lost)
	switch {
	case float64(l.outcomes.lost) >= lostShare*float64(l.outcomes.all), float64(l.outcomes.late) > lateShare*answered:
		return min(growFactor*l.current, l.config.Most)
	case float64(l.outcomes.quick) >= quickShare*answered:
		return max(time.Duration(float64(l.current)/shrinkFactor), l.config.Least)
	default:
		return l.current
	}
}
