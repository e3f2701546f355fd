// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// listEntry is what the list names under the id of a worker that has restarted.
type listEntry int

const (
	entryOfPresent  listEntry = iota // the present incarnation
	entryOfPrevious                  // the previous incarnation
	noEntry
)

// newBarredLateStart makes a core with two workers. The first one has restarted after a start without answer, and the
// run is barred at its new incarnation, so that the task waits.
func newBarredLateStart(t *testing.T, step jobs.Step, entry listEntry) (*bench, StartOrder) {
	t.Helper()
	b := newBench(t, 2)
	second := b.workers[b.ids[1]].info
	b.list(firstStartTime)
	b.AddJob(b.job(step), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{Born: firstStartTime})
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	b.reportIncarnation(secondStartTime, 30, jobs.Report{})
	stops := b.stops()
	require.Len(t, stops, 1)
	b.Stopped(stops[0], Result{Outcome: OutcomeDone}, b.now)
	list := []jobs.Worker{second}
	first := b.workers[b.ids[0]].info
	switch entry {
	case entryOfPresent:
		list = append(list, first)
	case entryOfPrevious:
		first.Born = firstStartTime
		list = append(list, first)
	case noEntry:
	}
	b.SetWorkers(list, b.now)
	b.report(1, jobs.Report{})
	b.storedStarts()
	b.reportIncarnation(secondStartTime, 300, jobs.Report{})
	require.Nil(t, b.taskOf(testJob).worker, "the run is barred")
	return b, starts[0]
}

// TestTaskWithLateStartRunsAgainUnderTheSameID guards against a task that runs on two workers: its start has no answer
// and may be carried out by a later incarnation of the worker, also after the present one has barred it.
func TestTaskWithLateStartRunsAgainUnderTheSameID(t *testing.T) {
	b, late := newBarredLateStart(t, singleTaskStep, entryOfPresent)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	require.Equal(t, late.Worker.ID, starts[0].Worker.ID)
}

// TestTaskWithLateStartWaitsForItsWorker guards against a task that starts elsewhere at once because the list names the
// worker's new incarnation later than it answers, and against one that waits for it without end.
func TestTaskWithLateStartWaitsForItsWorker(t *testing.T) {
	for name, c := range map[string]struct {
		entry   listEntry
		longest time.Duration
	}{
		"the list names the previous incarnation": {entryOfPrevious, maxStaleEntryWait},
		"the list names none":                     {noEntry, maxRosterWait},
	} {
		t.Run(name, func(t *testing.T) {
			b, late := newBarredLateStart(t, singleTaskStep, c.entry)
			began := b.now
			var starts []StartOrder
			for len(starts) == 0 && b.now.Sub(began) < 2*c.longest {
				b.report(1, jobs.Report{})
				starts = b.storedStarts()
			}
			require.Len(t, starts, 1)
			require.NotEqual(t, late.Worker.ID, starts[0].Worker.ID)
			require.InDelta(t, c.longest.Seconds(), b.now.Sub(began).Seconds(), 0.2)
		})
	}
}

// TestTaskThatMayRunTwiceDoesNotWaitForItsWorker checks that a task of which copies may run at once starts on any worker.
func TestTaskThatMayRunTwiceDoesNotWaitForItsWorker(t *testing.T) {
	step := singleTaskStep
	step.AllowDuplicates = true
	b, late := newBarredLateStart(t, step, entryOfPrevious)
	b.now = b.now.Add(scanBackoff + time.Millisecond)
	starts := b.storedStarts()
	require.Len(t, starts, 1)
	require.NotEqual(t, late.Worker.ID, starts[0].Worker.ID)
}

// TestNextIncarnationIsUrgentWhileLateStartsMayArrive guards against an incarnation that carries out a late start because
// its owner calls it only after a pause.
func TestNextIncarnationIsUrgentWhileLateStartsMayArrive(t *testing.T) {
	b, start := newIncarnationStart(t, 1)
	require.False(t, b.MayCarryOutLateStart(start.Worker.ID, b.now))
	b.Started(start, Result{Outcome: OutcomeUnknown}, b.now)
	require.True(t, b.MayCarryOutLateStart(start.Worker.ID, b.now.Add(maxOrderDelay-time.Second)))
	require.False(t, b.MayCarryOutLateStart(start.Worker.ID, b.now.Add(maxOrderDelay)))
	b.TakeImmediatePolls()
	b.OtherIncarnationAnswered(start.Worker.Incarnation(), secondStartTime, b.now)
	require.Equal(t, []jobs.WorkerID{start.Worker.ID}, b.TakeImmediatePolls())
}

// TestLateStartWaitCountsAsWaitBesideRoom guards against a task that waits for the worker of its late start for as long as it
// may, and then begins to wait anew beside workers that are kept for suspects.
func TestLateStartWaitCountsAsWaitBesideRoom(t *testing.T) {
	b := newLongWaitBench(t, 2)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
	late, kept := b.workers[b.ids[0]], b.workers[b.ids[1]]
	task := &b.waitingSteps[0].tasks[0]
	task.lateStart = lateStart{worker: late.info.ID, until: b.now.Add(time.Minute)}
	late.otherEntry, late.inRoster, late.stalledUntil = late.listEntry(), true, b.now.Add(time.Minute)
	kept.reservedUntil = b.now.Add(time.Minute)
	began := b.now
	for b.counts.Starts == 0 && b.now.Sub(began) < 10*time.Second {
		b.waits(100*time.Millisecond, 1)
	}
	require.LessOrEqual(t, b.now.Sub(began), maxStaleEntryWait+500*time.Millisecond)
}
