// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// Limits of quarantine. A task that fails on several workers points to a fault of its job; different
// jobs that fail on one worker point to a fault of the worker.
const (
	quarantineJobs     = 3
	quarantineDuration = 10 * time.Minute
)

// failureRecord holds the jobs that failed on a worker since a task last succeeded there, and the end
// of its quarantine.
type failureRecord struct {
	jobs  map[models.JobID]bool
	until time.Time
}

func newFailureRecord() failureRecord { return failureRecord{jobs: map[models.JobID]bool{}} }

func (f *failureRecord) reset() { clear(f.jobs) }

func (f *failureRecord) quarantined(now time.Time) bool { return now.Before(f.until) }

// recordFailure records a failed task and quarantines the worker once tasks of quarantineJobs
// different jobs have failed on it without a success in between. A task that has also failed on
// another worker is ignored, because its failure says nothing about this worker.
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
	o.config.Logger.Warn("worker is quarantined because tasks of different jobs failed on it; check the VM, or wait until the quarantine ends",
		zap.String("worker", string(l.vm.ID)), zap.Duration("for", quarantineDuration))
}
