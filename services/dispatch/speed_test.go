// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// TestLongTasksAreNoSignOfAStall guards against sound workers that are left alone, and whose tasks are stopped again and
// again, because a long task takes many reports until it shows the next percent of its progress.
func TestLongTasksAreNoSignOfAStall(t *testing.T) {
	for _, estimate := range []time.Duration{time.Second, time.Minute, 10 * time.Minute, time.Hour} {
		t.Run(estimate.String(), func(t *testing.T) {
			b := newBench(t, 1)
			step := singleTaskStep
			step.Estimate = models.MilliOf(estimate)
			b.AddJob(b.job(step), jobs.Progress{}, true, b.now)
			b.report(0, jobs.Report{})
			start := b.startOne(t)
			began := b.now
			for b.now.Sub(began) < min(estimate, 4*time.Minute) {
				progress := min(99, jobs.Percent(100*b.now.Sub(began)/estimate))
				b.report(0, jobs.Report{Running: []jobs.Run{{Task: start.Call.Task, Run: start.Call.Run, Progress: progress}}})
				require.Zero(t, b.workers[b.ids[0]].stalledUntil, "after %v", b.now.Sub(began))
			}
		})
	}
}
