// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// An owner hears from the store what forbids a start: that a job is cancelled, and that a
// worker drains. One that can't keep up, or whose watches get lost, hears of it late and
// would start what it may not. So nothing starts while the news are old, measured against
// the store's latest answer to anything: in an outage nothing can have changed there, and
// starts go on.

// newsFor is how old the news may be when the store answers other calls: a watch waits for
// 0.8 s and the list is read every 0.7 s, so that one of either may get lost; the users allow
// three seconds and more from a change to the last start against it.
const newsFor = 2 * time.Second

// news is what the owner has heard from the store, and when it had asked for it.
type news struct {
	jobs     time.Time // everything about the cell's jobs that was stored by then is known
	workers  time.Time // the same of the list of workers
	answered time.Time // when the store last answered any call
	old      bool      // nothing starts, as logged
}

// JobsKnown says that everything about the cell's jobs is known that was stored when the
// call was sent.
func (c *Core) JobsKnown(sent time.Time) { c.news.jobs = latest(c.news.jobs, sent) }

// WorkersKnown says the same of the list of workers.
func (c *Core) WorkersKnown(sent time.Time) { c.news.workers = latest(c.news.workers, sent) }

// StoreAnswered says when the store last answered any call of this daemon.
func (c *Core) StoreAnswered(at time.Time) { c.news.answered = latest(c.news.answered, at) }

// mayStart tells whether the news are recent enough for starts.
func (c *Core) mayStart() bool {
	n := &c.news
	age := max(n.answered.Sub(n.jobs), n.answered.Sub(n.workers))
	if old := age > newsFor; old != n.old {
		n.old = old
		message := "starts go on"
		if old {
			message = "starts wait for news of jobs and workers"
		}
		c.config.Logger.Info(message, zap.Duration("news_age", age))
	}
	return !n.old
}
