// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// stepAfter is a step of one task that waits for an earlier step.
func stepAfter(earlier int) jobs.Step {
	s := singleTaskStep
	s.After = []int{earlier}
	return s
}

// runOf is a run of a step's only task, as a worker reports it.
func runOf(step int) jobs.Run {
	return jobs.Run{Task: jobs.TaskID{Job: testJob, Step: step}, Run: 2}
}

// takenOver returns a bench of two workers on which a previous owner has started tasks of the job.
func takenOver(t *testing.T, steps ...jobs.Step) *bench {
	t.Helper()
	b := newBench(t, 2)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(steps...), jobs.Progress{}, false, b.now)
	return b
}

// TestStepOpensAfterAnInferredEnd guards against a step that never opens. A previous owner was lost before it had stored
// that the first step was done; its successor infers that from a run of one of the two steps that follow.
func TestStepOpensAfterAnInferredEnd(t *testing.T) {
	lasting := servingStep
	lasting.After = []int{0}
	b := takenOver(t, singleTaskStep, lasting, stepAfter(0))
	b.report(0, jobs.Report{Running: []jobs.Run{runOf(1)}})
	b.report(1, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 1, How: jobs.EndSucceeded}}})
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Call.Task.Step)
}

// TestAllEarlierStepsOfARunAreDone guards against a task that runs again after its success: a previous owner was lost
// before it had stored two ends, and its successor inferred only the later one.
func TestAllEarlierStepsOfARunAreDone(t *testing.T) {
	b := takenOver(t, singleTaskStep, stepAfter(0), stepAfter(1))
	b.report(0, jobs.Report{Running: []jobs.Run{runOf(2)}})
	b.report(1, jobs.Report{})
	require.Empty(t, b.storedStarts(), "the third step runs, so both steps before it are done")
}

// TestAllEarlierStepsOfAnEndedRunAreDone guards against the same when the run of the later step has ended, however it
// ended: it was started, and so both steps before it were done.
func TestAllEarlierStepsOfAnEndedRunAreDone(t *testing.T) {
	for _, how := range []jobs.End{jobs.EndSucceeded, jobs.EndFailed, jobs.EndLapsed, jobs.EndStopped, jobs.EndGangIncomplete} {
		t.Run(string(how), func(t *testing.T) {
			b := takenOver(t, singleTaskStep, stepAfter(0), stepAfter(1))
			b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: runOf(2).Task, Run: runOf(2).Run, How: how}}})
			b.report(1, jobs.Report{})
			starts := b.storedStarts()
			for _, start := range starts {
				require.Equal(t, 2, start.Call.Task.Step, "a step that was done is started again")
			}
			if how != jobs.EndSucceeded {
				require.Len(t, starts, 1, "the third step runs again")
				return
			}
			state, known := b.State(testJob)
			require.True(t, known)
			require.Equal(t, jobs.StateSucceeded, state)
		})
	}
}
