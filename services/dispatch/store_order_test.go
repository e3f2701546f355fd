// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestEndsHoldNoLossesBack guards against lost tasks that wait until the ends of all jobs are stored which have ended before: a task
// does not start again before its loss is stored.
func TestEndsHoldNoLossesBack(t *testing.T) {
	for _, count := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			b := newBench(t, 1)
			b.AddJob(b.job(servingStep), jobs.Progress{}, true, b.now)
			for n := range count {
				record := b.job(singleTaskStep)
				record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 1000+n))
				b.AddJob(record, jobs.Progress{}, true, b.now)
				b.endJob(b.jobs[record.Spec.ID], jobs.StateFailed)
			}
			lasting := b.jobs[testJob]
			b.markChanged(lasting)
			lasting.lossVersion = lasting.version
			transactions := 0
			for lasting.hasUnstoredLoss() {
				b.Stored(b.TakeChanges(jobsStoredAtOnce, b.now), b.now)
				transactions++
			}
			require.Equal(t, 1, transactions, "transactions until the loss is stored")
		})
	}
}
