// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// Runs in real processes were started with checkpoints of other tasks. The tests of this file cover faults that were
// found in the owner during the search for the cause, by TestStartsBringTheNewestTextOfTheirTask or by reading the code:
// the owner kept the checkpoint of the report that arrived last, whatever run it came from. In all these faults the
// checkpoint is the task's own, so none of them alone explains what was observed.

// previousRuns are three runs of previous owners, the latest last.
var previousRuns = []jobs.RunID{4097, 4098, 8193}

// newTakeoverBench makes an owner that has just taken over a cell with one task that saves checkpoints.
func newTakeoverBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(checkpointStep), jobs.Progress{}, false, b.now)
	return b
}

// TestEndOfAnOlderRunDoesNotReplaceANewerText guards against a run that resumes from the checkpoint of whichever
// worker answered last: after a takeover the workers answer in any order, and each lists the runs that have ended
// there. Work that a newer run had saved was repeated.
func TestEndOfAnOlderRunDoesNotReplaceANewerText(t *testing.T) {
	b := newTakeoverBench(t, 2)
	b.report(0, endOf(1, previousRuns[1], jobs.EndStopped, "newer"))
	b.report(1, endOf(1, previousRuns[0], jobs.EndStopped, "older"))
	starts := b.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "newer", starts[0].Call.Checkpoint)
}

// TestEndThatIsListedAgainDoesNotReplaceANewerText covers a worker that was taken for lost, is added again as a new
// worker and lists its ended runs again, while a later run has saved a newer checkpoint.
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

// TestOldRunThatIsTakenOverDoesNotReplaceANewerText covers a run that is still on a worker when a newer run has ended
// elsewhere: the old run continues, but the checkpoint of the newer run stays.
func TestOldRunThatIsTakenOverDoesNotReplaceANewerText(t *testing.T) {
	b := newTakeoverBench(t, 2)
	b.report(0, endOf(1, previousRuns[1], jobs.EndStopped, "newer"))
	b.report(1, running(previousRuns[0], "older"))
	b.report(1, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "newer", starts[0].Call.Checkpoint)
}

// TestReportThatAnEndHasPassedDoesNotReplaceItsText covers answers on different connections that overtake each
// other: the worker's clock does not tell two answers of the same millisecond apart. An end is a run's final row, so
// a row that shows the run as running is older.
func TestReportThatAnEndHasPassedDoesNotReplaceItsText(t *testing.T) {
	b := newTakeoverBench(t, 1)
	b.report(0, jobs.Report{})
	run := b.starts()[0].Call.Run
	b.report(0, endOf(1, run, jobs.EndStopped, "at the stop"))
	late := running(run, "before the stop")
	late.Clock = b.workers[b.ids[0]].reportClock
	b.call(0, late)
	b.report(0, jobs.Report{})
	b.report(0, jobs.Report{})
	require.EqualValues(t, "at the stop", b.starts()[0].Call.Checkpoint)
}

// TestTextOfARunThatNobodyOrderedIsNotTaken covers a worker that reports a run with an id that no owner up to this one
// can have assigned: the run is kept from running beside another, and its checkpoint is ignored. No worker has
// been observed to do this; the rule is a precaution.
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
		require.EqualValues(t, "saved next", b.starts()[0].Call.Checkpoint, "this owner's runs count, whatever their numbers are now")
	}
}

// TestTextThatOnlyAFailedEndShowsIsNotTaken covers a checkpoint that a run saved after the last report before it
// failed: it may be why the run failed, or a failing worker may have damaged it, so the one before stays. No such
// checkpoint has been observed; the rule is a precaution, discussed in docs/design/platform.md.
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

// TestNumbersOfRunsRiseOverOwnersAfterAMove guards against two owners that assign the same run ids, so that the ids do
// not tell which run is newer. Tasks that come from another cell bring the id of their latest run there; the ids
// repeated when that id was above the ids of this cell's epochs.
func TestNumbersOfRunsRiseOverOwnersAfterAMove(t *testing.T) {
	lasting := checkpointStep
	lasting.LongRunning = true
	var before jobs.RunID
	for _, epoch := range []jobs.Epoch{5, 6, 70} {
		b := newBench(t, 1)
		b.config.Epoch = epoch
		record := b.job(lasting)
		record.Rewritten, record.HighestRun = true, 60*runsPerEpoch
		b.AddJob(record, jobs.Progress{}, false, b.now)
		b.report(0, jobs.Report{})
		starts := b.starts()
		require.Len(t, starts, 1)
		require.Greater(t, starts[0].Call.Run, max(before, record.HighestRun))
		before = starts[0].Call.Run
	}
}
