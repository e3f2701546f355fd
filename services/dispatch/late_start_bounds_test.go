// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestTaskWithLateStartLeavesAWorkerThatRestartsAllTheTime guards against a task that is lost with one worker again and
// again until it counts as the cause, and its job fails.
func TestTaskWithLateStartLeavesAWorkerThatRestartsAllTheTime(t *testing.T) {
	b, late := newBarredLateStart(t, singleTaskStep, entryOfPresent)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	require.Equal(t, late.Worker.ID, starts[0].Worker.ID)
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	b.reportIncarnation(secondStartTime+1, 30, jobs.Report{}) // the list's entry follows later
	b.report(1, jobs.Report{})
	starts = b.storedStarts()
	require.Len(t, starts, 1, "the task does not wait for its worker any more")
	require.NotEqual(t, late.Worker.ID, starts[0].Worker.ID)
}
