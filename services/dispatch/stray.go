// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// strayStopInterval is how long after a stop of a stray run the stop is repeated.
const strayStopInterval = time.Second

// stray is a run that should not be on its worker. While a worker has strays, nothing is started there, because their
// resources are not accounted for.
type stray struct {
	noted   time.Time // when it was found
	stopped time.Time // when its stop was last ordered
	seen    bool      // in the latest report
}

// clearStraysSeen prepares for a new report, which has not shown any of the strays yet.
func (w *worker) clearStraysSeen() {
	for task, s := range w.strays {
		s.seen = false
		w.strays[task] = s
	}
}

// forgetStrays forgets strays missing from a report whose call was sent after they were found.
func (w *worker) forgetStrays(sent time.Time) {
	maps.DeleteFunc(w.strays, func(_ jobs.TaskID, s stray) bool { return !s.seen && sent.After(s.noted) })
}

// stopStray orders the stop of a run that should not be on its worker.
func (c *Core) stopStray(w *worker, run jobs.Run, now time.Time) {
	s := w.strays[run.Task]
	s.seen = true
	if s.noted.IsZero() {
		s.noted = now
	}
	if now.Sub(s.stopped) < strayStopInterval {
		w.strays[run.Task] = s
		return
	}
	s.stopped = now
	w.strays[run.Task] = s
	c.config.Logger.Warn("stray run is stopped: another run, or none, is expected on its worker", zap.Stringer("task", run.Task),
		zap.Uint64("run", uint64(run.Run)), zap.String("worker", string(w.info.ID)))
	c.orderStop(w, run.Task, run.Run)
}
