// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// Limits of quarantine. A task that fails on several workers is its job's fault; a
// worker on which many different jobs fail is at fault itself.
const (
	quarantineJobs     = 3
	quarantineDuration = 10 * time.Minute
)

// failureRecord is what failed on a worker since something last succeeded there.
type failureRecord struct {
	jobs  map[models.JobID]bool
	until time.Time
}

func newFailureRecord() failureRecord { return failureRecord{jobs: map[models.JobID]bool{}} }

func (f *failureRecord) reset() { clear(f.jobs) }

func (f *failureRecord) quarantined(now time.Time) bool { return now.Before(f.until) }

// recordFailure quarantines a worker on which different jobs fail one after another.
// A job that failed elsewhere too says nothing about this worker.
func (o *Owner) recordFailure(l *link, t models.Task) {
	if t.Kind != models.TaskBatch || len(t.FailedOn) > 0 {
		return
	}
	l.failures.jobs[t.Job] = true
	now := time.Now()
	if len(l.failures.jobs) < quarantineJobs || l.failures.quarantined(now) {
		return
	}
	l.failures.until = now.Add(quarantineDuration)
	l.failures.reset()
	o.config.Scope.Counter("quarantines").Inc(1)
	o.config.Logger.Warn("worker is quarantined: tasks of different jobs fail there; look at the VM, or wait",
		zap.String("worker", string(l.vm.ID)), zap.Duration("for", quarantineDuration))
}
