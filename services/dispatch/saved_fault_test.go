// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// On real processes runs were started with checkpoints that were not their tasks'. The tests of
// this file hold what was found in the owner while that was looked into: a text was kept by the
// order in which reports came, whatever run it was of. Each was found by
// TestStartsBringTheNewestTextOfTheirTask, or by reading; the text is always the task's own, so
// that none of them alone explains what was seen.

// previousRuns are three runs of former owners, the latest last.
var previousRuns = []jobs.RunID{4097, 4098, 8193}

// newTakeoverBench is an owner that has just taken a cell with one task that saves its work.
func newTakeoverBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(checkpointStep), jobs.Progress{}, false, b.now)
	return b
}

// TestEndOfAnOlderRunDoesNotReplaceANewerText: after a takeover the workers answer in any order,
// and each lists what has ended there. The run that started next went on from the text of
// whichever answered last, and what a newer run had saved was done again.
func TestEndOfAnOlderRunDoesNotReplaceANewerText(t *testing.T) {
	b := newTakeoverBench(t, 2)
	b.report(0, endOf(1, previousRuns[1], jobs.EndStopped, "newer"))
	b.report(1, endOf(1, previousRuns[0], jobs.EndStopped, "older"))
	starts := b.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "newer", starts[0].Call.Checkpoint)
}

// TestEndThatIsListedAgainDoesNotReplaceANewerText: a worker that was taken for gone comes back,
// is new to the owner and lists its ends again, while a later run has saved more.
func TestEndThatIsListedAgainDoesNotReplaceANewerText(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(checkpointStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	first := b.starts()[0].Call
	old := endOf(1, first.Run, jobs.EndStopped, "older")
	b.report(0, old)
	second := b.starts()[0].Call
	b.report(0, running(second.Run, "newer"))
	b.report(1, old)
	b.report(0, endOf(2, second.Run, jobs.EndLapsed, ""))
	require.EqualValues(t, "newer", b.starts()[0].Call.Checkpoint)
}

// TestOldRunThatIsTakenOverDoesNotReplaceANewerText: a run that still is on a worker when a
// newer one has ended elsewhere goes on, but what is saved is the newer one's.
func TestOldRunThatIsTakenOverDoesNotReplaceANewerText(t *testing.T) {
	b := newTakeoverBench(t, 2)
	b.report(0, endOf(1, previousRuns[1], jobs.EndStopped, "newer"))
	b.report(1, running(previousRuns[0], "older"))
	b.report(1, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "newer", starts[0].Call.Checkpoint)
}

// TestReportThatAnEndHasPassedDoesNotReplaceItsText: answers on different connections may pass
// each other, and two of the same millisecond can't be told apart by the worker's clock. The
// end is a run's last word, a row that shows it running is older.
func TestReportThatAnEndHasPassedDoesNotReplaceItsText(t *testing.T) {
	b := newTakeoverBench(t, 1)
	b.report(0, jobs.Report{})
	run := b.starts()[0].Call.Run
	b.report(0, endOf(1, run, jobs.EndStopped, "at the stop"))
	late := running(run, "before the stop")
	late.Clock = b.workers[b.ids[0]].clock
	b.call(0, late)
	b.report(0, jobs.Report{})
	b.report(0, jobs.Report{})
	require.EqualValues(t, "at the stop", b.starts()[0].Call.Checkpoint)
}

// TestTextOfARunThatNobodyOrderedIsNotTaken: a worker shows a run with a number that no owner
// up to this one can have given. It is kept from running beside another, as before, but what
// it has saved is nobody's. No worker has been seen to do this; it is a precaution.
func TestTextOfARunThatNobodyOrderedIsNotTaken(t *testing.T) {
	for _, invented := range []jobs.Report{
		running(1<<40, "invented"), endOf(1, 1<<40, jobs.EndStopped, "invented"),
	} {
		b := newTakeoverBench(t, 2)
		b.report(0, endOf(1, previousRuns[2], jobs.EndStopped, "saved"))
		b.report(1, invented)
		b.report(1, jobs.Report{})
		starts := b.starts()
		require.Len(t, starts, 1)
		require.EqualValues(t, "saved", starts[0].Call.Checkpoint)
		b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
		next := starts[0].Call.Run
		b.report(int(starts[0].Worker.ID[1]-'0'), endOf(2, next, jobs.EndStopped, "saved next"))
		require.EqualValues(t, "saved next", b.starts()[0].Call.Checkpoint, "its own runs count, whatever numbers they have now")
	}
}

// TestTextThatOnlyAFailedEndShowsIsNotTaken: what a run has saved since the last report when it
// fails may be what made it fail, or a failing worker's making. That before stands. No such text
// has been seen; it is a precaution, weighed in docs/design/platform.md.
func TestTextThatOnlyAFailedEndShowsIsNotTaken(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(checkpointStep), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	first := b.starts()[0].Call.Run
	b.report(0, running(first, "while it ran"))
	b.report(0, endOf(1, first, jobs.EndFailed, "when it failed"))
	second := b.starts()[0].Call
	require.EqualValues(t, "while it ran", second.Checkpoint)
	b.report(0, running(second.Run, "of the next"))
	b.report(0, endOf(2, second.Run, jobs.EndStopped, "at its stop"))
	require.EqualValues(t, "at its stop", b.starts()[0].Call.Checkpoint)
}

// TestNumbersOfRunsRiseOverOwnersAfterAMove: tasks that come from another cell bring the number of
// their latest run there. When that was above the numbers of this cell's epochs, two owners of
// this cell in turn gave the same numbers, so that a run's number did not tell which was newer.
func TestNumbersOfRunsRiseOverOwnersAfterAMove(t *testing.T) {
	lasting := checkpointStep
	lasting.Lasts = true
	var before jobs.RunID
	for _, epoch := range []jobs.Epoch{5, 6, 70} {
		b := newBench(t, 1)
		b.config.Epoch = epoch
		record := b.job(lasting)
		record.Moved, record.LeastRun = true, 60*runsPerEpoch
		b.AddJob(record, jobs.Progress{}, false, b.now)
		b.report(0, jobs.Report{})
		starts := b.starts()
		require.Len(t, starts, 1)
		require.Greater(t, starts[0].Call.Run, max(before, record.LeastRun))
		before = starts[0].Call.Run
	}
}
