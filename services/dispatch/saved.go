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

// saved is the checkpoint that a task's next run resumes from, and the row and report that it came with: operators
// ask for these first when a run resumes from a wrong checkpoint.
type saved struct {
	text   jobs.Text
	run    jobs.RunID
	worker jobs.WorkerID
	row    savedRow
	at     time.Time // when the report arrived
}

// savedRow is the kind of row that showed a checkpoint: how its run had ended, or rowRunning.
type savedRow string

const rowRunning savedRow = "running"

// textFate is what became of a checkpoint that a report showed, as logged.
type textFate string

const (
	checkpointTaken          textFate = "taken"
	checkpointNotRequested   textFate = "its step doesn't checkpoint"
	checkpointOutdated       textFate = "a later run has saved a checkpoint"
	checkpointOvertakenByEnd textFate = "its run's end is known"
	checkpointOfUnorderedRun textFate = "no owner has ordered its run"
	checkpointOfFailedRun    textFate = "its run has failed"
)

// textDigest identifies a checkpoint in logs without showing it, because it is the caller's data. The digest is
// computed only when the line is written.
type textDigest jobs.Text

// digestBase prints a digest in hexadecimal.
const digestBase = 16

func (d textDigest) String() string {
	return strconv.FormatUint(xxhash.Sum64String(string(d)), digestBase)
}

// keepText takes the checkpoint of a row for the task's next run, unless checkpointFateOf rejects it.
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

// checkpointFateOf decides whether a checkpoint is taken. Reports arrive in any order, above all after a takeover,
// and workers that come back list their ends again. Only the runs' numbers tell which checkpoint is the newest,
// because they rise over all owners. Without this rule a task resumed from an older run's checkpoint and repeated
// work that a later run had saved.
func (c *Core) checkpointFateOf(t *task, shown saved) textFate {
	switch {
	case !t.step.spec.Checkpoints:
		return checkpointNotRequested
	case !c.mayHaveBeenOrdered(t, shown.run):
		return checkpointOfUnorderedRun
	case shown.row == savedRow(jobs.EndFailed):
		return checkpointOfFailedRun // the checkpoint may be why the run failed, or a failing worker may have damaged it
	case t.saved != nil && shown.run < t.saved.run:
		return checkpointOutdated
	case t.saved != nil && shown.run == t.saved.run && shown.row == rowRunning && t.saved.row != rowRunning:
		return checkpointOvertakenByEnd // answers may overtake each other; a run's end is its final row
	default:
		return checkpointTaken
	}
}

// mayHaveBeenOrdered reports whether this owner has ordered a run or a previous owner may have: no number above
// those of this epoch has been given. It keeps a worker that invents runs from having its checkpoint preferred to
// all others for good.
func (c *Core) mayHaveBeenOrdered(t *task, run jobs.RunID) bool {
	return t.ordered && run == t.run || run < c.firstRun(t.step.job)+runsPerEpoch
}

// text returns the checkpoint that the task's next run resumes from; empty: the run begins anew.
func (t *task) text() jobs.Text {
	if t.saved == nil {
		return ""
	}
	return t.saved.text
}

// logOrigin adds the origin of a start's checkpoint to the fields of its log line.
func (t *task) logOrigin(fields []zap.Field, now time.Time) []zap.Field {
	s := t.saved
	if s == nil {
		return fields
	}
	return append(fields, zap.Stringer("saved", textDigest(s.text)), zap.Uint64("saved_run", uint64(s.run)),
		zap.String("saved_worker", string(s.worker)), zap.String("saved_row", string(s.row)),
		zap.Int64("saved_age_ms", now.Sub(s.at).Milliseconds()))
}
