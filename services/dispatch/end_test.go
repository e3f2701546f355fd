// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	b := newBench(t, 3)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	for n, run := range []jobs.RunID{3, 1, 2} { // reports of three workers after a takeover
		b.report(n, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: run, How: jobs.EndFailed}}})
	}
	require.Empty(t, b.starts(), "the task has no attempts left")
	changes := b.TakeChanges(10, b.now)
	require.Len(t, changes.Jobs, 1)
	require.Equal(t, jobs.StateFailed, changes.Jobs[0].Ended.Ended)
}

func TestFailureIsCountedOnce(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{Failed: map[int]map[int]jobs.Failures{0: {0: {7}}}}, false, b.now)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 7, How: jobs.EndFailed}}})
	require.Len(t, b.starts(), 1, "two attempts are left")
	require.Empty(t, b.TakeChanges(10, b.now).Jobs, "the failure was stored before")
}

func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(jobs.Step{Count: 2, Size: singleTaskStep.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: starts[0].Call.Task, Run: starts[0].Call.Run, How: jobs.EndSucceeded}}})
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Zero(t, call.Acknowledged)
	changes := b.TakeChanges(10, b.now)
	require.Equal(t, []int{starts[0].Call.Task.Index}, changes.Jobs[0].Progress.Done[0])
	b.Stored(changes, b.now)
	call, _ = b.LeaseCall(b.ids[0], time.Second, b.now)
	require.EqualValues(t, 1, call.Acknowledged)
}
