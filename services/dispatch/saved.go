// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// saved is the text that a task's next run goes on from, and which row of which report it
// is from: operators ask that first when a run goes on from something wrong.
type saved struct {
	text   jobs.Text
	run    jobs.RunID
	worker jobs.WorkerID
	row    savedRow
	at     time.Time // when the report came
}

// savedRow is the kind of row that showed a text: how its run had ended, or rowRunning.
type savedRow string

const rowRunning savedRow = "running"

// textFate is what became of a text that a report showed, as logged.
type textFate string

const (
	checkpointTaken          textFate = "taken"
	checkpointNotRequested   textFate = "its step doesn't checkpoint"
	checkpointOutdated       textFate = "a later run has saved"
	checkpointOvertakenByEnd textFate = "its run's end is known"
	checkpointOfUnorderedRun textFate = "no owner has ordered its run"
	checkpointOfFailedRun    textFate = "its run has failed"
)

// textDigest shows in logs which text is meant, never the text: it is the caller's data. It is
// made only when the line is.
type textDigest jobs.Text

// digestBase makes of a digest what a person can compare.
const digestBase = 16

func (d textDigest) String() string {
	return strconv.FormatUint(xxhash.Sum64String(string(d)), digestBase)
}

// keepText takes the text of a row for the task's next run.
func (c *Core) keepText(t *task, shown saved) textFate {
	fate := c.checkpointFateOf(t, shown)
	switch fate {
	case checkpointTaken:
		if t.saved == nil {
			t.saved = &saved{}
		}
		*t.saved = shown
	case checkpointNotRequested:
		c.counts.TextsNotAskedOf++
	case checkpointOutdated, checkpointOvertakenByEnd:
		c.counts.TextsOlder++
	case checkpointOfUnorderedRun:
		c.counts.TextsUnordered++
	case checkpointOfFailedRun:
		c.counts.TextsFailed++
	}
	return fate
}

// checkpointFateOf says whether a text is to be taken. Reports come in any order, above all after a takeover,
// and workers that come back list their ends again; which text is the newest only the runs'
// numbers tell, for they rise over all owners. Without it a task went on from an older run's
// text, and did again what a later run had saved.
func (c *Core) checkpointFateOf(t *task, shown saved) textFate {
	switch {
	case !t.step.spec.Checkpoints:
		return checkpointNotRequested
	case !c.mayHaveBeenOrdered(t, shown.run):
		return checkpointOfUnorderedRun
	case shown.row == savedRow(jobs.EndFailed):
		return checkpointOfFailedRun // what was saved just before may be why, or a failing worker's making
	case t.saved != nil && shown.run < t.saved.run:
		return checkpointOutdated
	case t.saved != nil && shown.run == t.saved.run && shown.row == rowRunning && t.saved.row != rowRunning:
		return checkpointOvertakenByEnd // answers pass each other, and an end is a run's last word
	default:
		return checkpointTaken
	}
}

// mayHaveBeenOrdered tells whether this owner has ordered a run, or a former one may have: no number
// above those of this epoch has been given. It keeps a worker that invents runs from having its
// text go before all others for good.
func (c *Core) mayHaveBeenOrdered(t *task, run jobs.RunID) bool {
	return t.ordered && run == t.run || run < c.firstRun(t.step.job)+runsPerEpoch
}

// text is what the task's next run goes on from; empty: it begins anew.
func (t *task) text() jobs.Text {
	if t.saved == nil {
		return ""
	}
	return t.saved.text
}

// logOrigin adds to the line of a start where its text is from.
func (t *task) logOrigin(fields []zap.Field, now time.Time) []zap.Field {
	s := t.saved
	if s == nil {
		return fields
	}
	return append(fields, zap.Stringer("saved", textDigest(s.text)), zap.Uint64("saved_run", uint64(s.run)),
		zap.String("saved_worker", string(s.worker)), zap.String("saved_row", string(s.row)),
		zap.Int64("saved_age_ms", now.Sub(s.at).Milliseconds()))
}
