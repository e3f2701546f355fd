// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// stop begins to stop a task's run. The stop itself is ordered by retryStops.
func (c *Core) stop(t *task, reason string) {
	if t.worker == nil || t.state == taskStopping || t.state == taskDone {
		return
	}
	c.config.Logger.Info("run is to stop", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(t.worker.info.ID)), zap.String("reason", reason))
	c.endStandby(t)
	t.state = taskStopping
	t.answeredAt = time.Time{}
	t.orderedAt = time.Time{}
	c.stopping[t] = struct{}{}
}

// orderStop orders a worker to stop a run, or to bar it if the run has not arrived there yet.
func (c *Core) orderStop(w *worker, task jobs.TaskID, run jobs.RunID) {
	c.orders = append(c.orders, StopOrder{
		Worker: w.info, Call: jobs.StopCall{Task: task, Run: run, Fence: w.fence},
	})
}

// stopRetryInterval is how long the answer to a stop is awaited before the stop is repeated.
const stopRetryInterval = 800 * time.Millisecond

// retryStops orders stops that are new or were not answered in time.
func (c *Core) retryStops(now time.Time) {
	for t := range c.stopping {
		switch {
		case t.state != taskStopping || t.worker == nil:
			delete(c.stopping, t)
		case t.answeredAt.IsZero() && now.Sub(t.orderedAt) >= stopRetryInterval:
			t.orderedAt = now
			c.orderStop(t.worker, t.id(), t.run)
		}
	}
}
