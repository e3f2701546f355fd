// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// An owner learns from the store what forbids a start: that a job is cancelled, that a worker drains, or that a failure
// domain is cordoned. An owner that cannot keep up, or whose watches get lost, learns of this late and would start tasks
// that must not start. So nothing starts while the owner's data is stale, measured against the store's latest answer to
// any call: during an outage nothing can have changed in the store, and starts go on.

// staleAfter is how old the owner's data may be while the store answers other calls. A watch waits for 0.8 s and the
// list is read every 0.7 s, so one watch or one reading of the list may get lost; together with maxStartAge the bound
// stays below the 3 s after which nothing may start on a draining worker.
const staleAfter = 2 * time.Second

// storeFreshness is how recent the owner's copy of the stored data is.
type storeFreshness struct {
	jobsAsOf    time.Time // all changes to the cell's jobs stored by then are known
	workersAsOf time.Time // the same for the list of workers
	cordonsAsOf time.Time // the same for the cordons
	answered    time.Time // when the store last answered any call
	stale       bool      // nothing starts; the change was logged
}

// newStoreFreshness returns the freshness of an owner that has read nothing since it took the cell over. Its cordons
// count as stale until they are read: a domain may have been cordoned long before.
func newStoreFreshness(taken time.Time) storeFreshness {
	return storeFreshness{jobsAsOf: taken, workersAsOf: taken}
}

// JobsReadAsOf records that all changes to the cell's jobs are known that were stored when the call was sent.
func (c *Core) JobsReadAsOf(sent time.Time) {
	c.storeFreshness.jobsAsOf = latest(c.storeFreshness.jobsAsOf, sent)
}

// WorkersReadAsOf records the same for the list of workers.
func (c *Core) WorkersReadAsOf(sent time.Time) {
	c.storeFreshness.workersAsOf = latest(c.storeFreshness.workersAsOf, sent)
}

// CordonsReadAsOf records the same for the cordons.
func (c *Core) CordonsReadAsOf(sent time.Time) {
	c.storeFreshness.cordonsAsOf = latest(c.storeFreshness.cordonsAsOf, sent)
}

// StoreAnswered records when the store last answered any call of this daemon.
func (c *Core) StoreAnswered(at time.Time) {
	c.storeFreshness.answered = latest(c.storeFreshness.answered, at)
}

// mayStart reports whether the owner's data is recent enough for starts.
func (c *Core) mayStart() bool {
	f := &c.storeFreshness
	age := max(f.answered.Sub(f.jobsAsOf), f.answered.Sub(f.workersAsOf), f.answered.Sub(f.cordonsAsOf))
	if stale := age > staleAfter; stale != f.stale {
		f.stale = stale
		message := "starts go on"
		if stale {
			message = "starts wait, what is known of jobs, workers or cordons is stale"
		}
		c.config.Logger.Info(message, zap.Duration("age", age))
	}
	return !f.stale
}
