// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// TestRoomOfAWorkerFollowsTheList checks that nothing is started beyond a worker's capacity when the list says
// that the capacity shrinks and grows. Tasks that are being stopped count until their ends are reported.
func TestRoomOfAWorkerFollowsTheList(t *testing.T) {
	b := newBench(t, 1)
	step := singleTaskStep
	step.Count = 6
	b.AddJob(b.job(step), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.storedStarts()
	require.Len(t, starts, 4, "all that fit on the worker")
	for _, start := range starts {
		b.Started(start, Result{Outcome: OutcomeDone}, b.now)
	}
	say := func(cpu models.MilliCPU) {
		list := b.Workers()
		list[0].Capacity.CPU = cpu
		b.SetWorkers(list, b.now)
	}
	rows := func(from int) []jobs.Run {
		var rows []jobs.Run
		for _, start := range starts[from:] {
			rows = append(rows, jobs.Run{Task: start.Call.Task, Run: start.Call.Run})
		}
		return rows
	}
	say(2000)
	b.report(0, jobs.Report{Running: rows(1), Ended: []jobs.Ended{{Number: 1, Task: starts[0].Call.Task, Run: starts[0].Call.Run, How: jobs.EndSucceeded}}})
	require.Empty(t, b.starts(), "three tasks run where two fit")
	b.stop(b.find(starts[1].Call.Task), "stopped by the test")
	b.report(0, jobs.Report{Running: rows(1)})
	require.Empty(t, b.starts(), "a task that is being stopped counts")
	say(4000)
	b.report(0, jobs.Report{Running: rows(1)}) // the backoff of the search for workers is over
	require.Len(t, b.starts(), 1, "regained capacity is used")
}
