// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

func TestTaskWaitsForSilentWorkerAfterATakeover(t *testing.T) {
	b := newBench(t, 3)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Empty(t, b.starts(), "the third worker may run it")
	b.report(2, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 2}}})
	require.Empty(t, b.starts(), "it does")
	state, ok := b.State(testJob)
	require.True(t, ok)
	require.Equal(t, jobs.StateRunning, state)
}

// TestWorkerThatHasLeftEndsTheWaitAfterATakeover holds what cost 14 s of all lasting tasks
// on a played day: one worker of the roster had left while all daemons were down.
func TestWorkerThatHasLeftEndsTheWaitAfterATakeover(t *testing.T) {
	b := newBench(t, 3)
	gone := jobs.Worker{ID: "gone", Pool: testPool, Address: "gone"}
	b.Enrol(jobs.Roster{Workers: []jobs.Worker{gone}}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	listed := make([]jobs.Worker, 0, len(b.ids))
	for _, id := range b.ids {
		listed = append(listed, b.workers[id].info)
	}
	look := func() []StartOrder {
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		b.SetWorkers(listed, b.now)
		return b.storedStarts()
	}
	require.Empty(t, look(), "the worker that doesn't answer may run it")
	b.Unreached(gone.ID, true, b.now)
	require.Empty(t, look(), "it may be cut off, and come back into the list")
	began := b.now
	for b.now.Sub(began) <= maxRelistDelay {
		b.Unreached(gone.ID, false, b.now)
		require.Empty(t, look(), "a connection that doesn't come about proves nothing")
	}
	b.Unreached(gone.ID, true, b.now)
	require.Len(t, look(), 1)
}

// TestWorkerThatDrainedBeforeATakeoverIsNotWaitedFor holds what the incident inc-c56b of the
// grown site of Samferð showed: 27 workers had drained and left while all daemons were down.
func TestWorkerThatDrainedBeforeATakeoverIsNotWaitedFor(t *testing.T) {
	former := newBench(t, 3)
	drains := former.workers[former.ids[2]].info
	drains.Draining, drains.Remaining = true, time.Second
	former.SetWorkers([]jobs.Worker{drains}, former.now)
	roster := former.TakeChanges(10, former.now).Roster
	require.NotNil(t, roster, "that it drains is stored")

	b := newBench(t, 2)
	b.now = b.now.Add(2 * time.Second)
	b.Enrol(*roster, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.SetWorkers([]jobs.Worker{b.workers[b.ids[0]].info, b.workers[b.ids[1]].info}, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Empty(t, b.starts())
	b.Unreached(drains.ID, false, b.now)
	require.Len(t, b.starts(), 1)
}

// TestStaleEntryOfADrainedWorkerIsNotWaitedFor holds what cost 1,172 tasks 7 s each:
// workers had drained and left during an outage of the store, whose list went on naming
// them, with the rest of time that they had before it.
func TestStaleEntryOfADrainedWorkerIsNotWaitedFor(t *testing.T) {
	former := newBench(t, 3)
	drains := former.workers[former.ids[2]].info
	drains.Draining, drains.Remaining = true, 2*time.Second
	former.SetWorkers([]jobs.Worker{drains}, former.now)
	roster := former.TakeChanges(10, former.now).Roster

	b := newBench(t, 2)
	b.now = b.now.Add(time.Second)
	b.Enrol(*roster, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	list := []jobs.Worker{b.workers[b.ids[0]].info, b.workers[b.ids[1]].info, drains}
	look := func() []StartOrder {
		b.SetWorkers(list, b.now)
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		return b.starts()
	}
	b.Unreached(drains.ID, true, b.now)
	require.Empty(t, look(), "it has a second left by the roster")
	b.now = b.now.Add(time.Second)
	b.Unreached(drains.ID, false, b.now)
	require.Empty(t, look(), "it is in the list, and may be cut off")
	b.Unreached(drains.ID, true, b.now)
	require.Len(t, look(), 1)
	require.NotContains(t, b.workers, drains.ID, "its entry doesn't bring it back")
}

func TestWaitAfterATakeoverIsAsLongAsTheRosterSays(t *testing.T) {
	b := newBench(t, 3)
	b.Enrol(jobs.Roster{Workers: []jobs.Worker{{ID: "silent", Pool: testPool}}, Lease: 4000}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	began := b.now
	for {
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		if len(b.storedStarts()) > 0 {
			break
		}
		require.Less(t, b.now.Sub(began), 8*time.Second, "the longest lease is 8 s, the roster says 4 s")
	}
	require.Greater(t, b.now.Sub(began), 7*time.Second, "the former owner may have gone on for 3 s")
	require.EqualValues(t, 4000, b.roster().Lease)
}

// TestFailuresOfASilentWorkerAreWaitedForAfterATakeover holds what a played day showed: a run
// that a successor had taken over failed, and the task was started a fourth time. Two of its
// three failures were known only to the former owner, which could not store them, and to a
// worker that had not answered yet.
func TestFailuresOfASilentWorkerAreWaitedForAfterATakeover(t *testing.T) {
	b := newBench(t, 2)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(0, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 3}}})
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 3, How: jobs.EndFailed}}})
	require.Empty(t, b.starts(), "the other worker may know of more failures")
	b.report(1, jobs.Report{Ended: []jobs.Ended{
		{Number: 1, Task: taskOf(0), Run: 1, How: jobs.EndFailed}, {Number: 2, Task: taskOf(0), Run: 2, How: jobs.EndFailed},
	}})
	require.Empty(t, b.starts(), "it has failed as often as it may")
	require.Equal(t, jobs.StateFailed, b.jobs[testJob].end)
}

// TestCellWithoutWorkersHandsItsJobsOn guards against jobs that wait for ever in a cell that has no workers.
func TestCellWithoutWorkersHandsItsJobsOn(t *testing.T) {
	b := newBench(t, 0)
	b.Enrol(jobs.Roster{}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.Decide(b.now)
	require.Empty(t, b.Movable(10, b.now), "what former owners have started may run yet")
	b.now = b.now.Add(maxBlindTime + time.Second)
	b.Decide(b.now)
	b.now = b.now.Add(offerAfter)
	b.Decide(b.now)
	require.Len(t, b.Movable(10, b.now), 1)
}
