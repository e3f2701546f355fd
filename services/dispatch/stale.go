// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// An owner learns from the store what forbids a start: that a job is cancelled, and that a
// worker drains. One that can't keep up, or whose watches get lost, learns of it late and
// would start what it may not. So nothing starts while what it knows is stale, measured
// against the store's latest answer to anything: in an outage nothing can have changed
// there, and starts go on.

// staleAfter is how old the knowledge may be when the store answers other calls: a watch
// waits for 0.8 s and the list is read every 0.7 s, so that one of either may get lost; with
// startWithin it keeps within the three seconds after which nothing may start on a worker
// that drains.
const staleAfter = 2 * time.Second

// known is how recent the owner's knowledge of the store is.
type known struct {
	jobs     time.Time // everything about the cell's jobs that was stored by then is known
	workers  time.Time // the same of the list of workers
	answered time.Time // when the store last answered any call
	stale    bool      // nothing starts, as logged
}

// JobsKnown says that everything about the cell's jobs is known that was stored when the
// call was sent.
func (c *Core) JobsKnown(sent time.Time) { c.known.jobs = latest(c.known.jobs, sent) }

// WorkersKnown says the same of the list of workers.
func (c *Core) WorkersKnown(sent time.Time) { c.known.workers = latest(c.known.workers, sent) }

// StoreAnswered says when the store last answered any call of this daemon.
func (c *Core) StoreAnswered(at time.Time) { c.known.answered = latest(c.known.answered, at) }

// mayStart tells whether what is known is recent enough for starts.
func (c *Core) mayStart() bool {
	k := &c.known
	age := max(k.answered.Sub(k.jobs), k.answered.Sub(k.workers))
	if stale := age > staleAfter; stale != k.stale {
		k.stale = stale
		message := "starts go on"
		if stale {
			message = "starts wait, what is known of jobs or workers is stale"
		}
		c.config.Logger.Info(message, zap.Duration("age", age))
	}
	return !k.stale
}
