// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestTaskThatLastsLeavesRoomToShortWorkForAWhile has a long-running and a short task that each fill the
// worker.
func TestTaskThatLastsLeavesRoomToShortWorkForAWhile(t *testing.T) {
	first := func(waited time.Duration) jobs.ID {
		b := newBench(t, 1)
		b.report(0, jobs.Report{})
		lasting, short := servingStep, singleTaskStep
		lasting.Size.CPU, short.Size.CPU = 4000, 4000
		earlier := b.job(lasting)
		b.AddJob(earlier, jobs.Progress{}, true, b.now)
		b.now = b.now.Add(waited)
		later := b.job(short)
		later.Spec.ID = "00000000000000bb"
		b.AddJob(later, jobs.Progress{}, true, b.now)
		b.report(0, jobs.Report{})
		starts := b.starts()
		require.Len(t, starts, 1)
		return starts[0].Call.Task.Job
	}
	require.Equal(t, jobs.ID("00000000000000bb"), first(time.Second))
	require.Equal(t, testJob, first(longRunningYield*time.Millisecond+2*time.Second), "the long-running task has waited long enough")
}
