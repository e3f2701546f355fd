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

// savedCheckpoint is the checkpoint that a task's next run resumes from, with the row of the report that showed it. The
// row is what operators ask for first when a run resumes from a wrong checkpoint.
type savedCheckpoint struct {
	text   jobs.Text
	run    jobs.RunID
	worker jobs.WorkerID
	row    checkpointRow
	at     time.Time // when the report arrived
}

// checkpointRow is the kind of report row that showed a checkpoint: how its run had ended, or rowRunning.
type checkpointRow string

const rowRunning checkpointRow = "running"

// checkpointResult says whether a reported checkpoint was taken, and if not why, as logged.
type checkpointResult string

const (
	checkpointTaken          checkpointResult = "taken"
	checkpointNotRequested   checkpointResult = "its step doesn't checkpoint"
	checkpointOutdated       checkpointResult = "a later run has saved a checkpoint"
	checkpointOvertakenByEnd checkpointResult = "its run's end is known"
	checkpointOfUnorderedRun checkpointResult = "no owner has ordered its run"
	checkpointOfFailedRun    checkpointResult = "its run has failed"
)

// checkpointDigest identifies a checkpoint in logs without showing it, because it is the caller's data. The digest is
// computed only when the line is written.
type checkpointDigest jobs.Text

// digestBase prints a digest in hexadecimal.
const digestBase = 16

func (d checkpointDigest) String() string {
	return strconv.FormatUint(xxhash.Sum64String(string(d)), digestBase)
}

// keepCheckpoint takes the checkpoint of a row for the task's next run, unless classifyCheckpoint rejects it.
func (c *Core) keepCheckpoint(t *task, shown savedCheckpoint) checkpointResult {
	result := c.classifyCheckpoint(t, shown)
	switch result {
	case checkpointTaken:
		if t.checkpoint == nil {
			t.checkpoint = &savedCheckpoint{}
		}
		*t.checkpoint = shown
	case checkpointNotRequested:
		c.counts.TextsNotAskedOf++
	case checkpointOutdated, checkpointOvertakenByEnd:
		c.counts.TextsOlder++
	case checkpointOfUnorderedRun:
		c.counts.TextsUnordered++
	case checkpointOfFailedRun:
		c.counts.TextsFailed++
	}
	return result
}

// classifyCheckpoint decides whether a checkpoint is taken. Reports arrive in any order, above all after a takeover,
// and workers that come back list their ends again. Only the run ids tell which checkpoint is the newest,
// because they rise over all owners. Without this rule a task resumed from an older run's checkpoint and repeated work
// that a later run had saved.
func (c *Core) classifyCheckpoint(t *task, shown savedCheckpoint) checkpointResult {
	switch {
	case !t.step.spec.Checkpoints:
		return checkpointNotRequested
	case !c.mayHaveBeenOrdered(t, shown.run):
		return checkpointOfUnorderedRun
	case shown.row == checkpointRow(jobs.EndFailed):
		return checkpointOfFailedRun // the checkpoint may be why the run failed, or a failing worker may have damaged it
	case t.checkpoint != nil && shown.run < t.checkpoint.run:
		return checkpointOutdated
	case t.checkpoint != nil && shown.run == t.checkpoint.run && shown.row == rowRunning && t.checkpoint.row != rowRunning:
		return checkpointOvertakenByEnd // answers may overtake each other; a run's end is its final row
	default:
		return checkpointTaken
	}
}

// mayHaveBeenOrdered reports whether this owner has ordered a run, or a previous owner may have: no owner has assigned a
// run id above those of this epoch. Otherwise the checkpoint of a worker that reports an invented run would be preferred
// to all others for good.
func (c *Core) mayHaveBeenOrdered(t *task, run jobs.RunID) bool {
	return t.orderedHere && run == t.run || run < c.baseRun(t.step.job)+runsPerEpoch
}

// checkpointText returns the checkpoint that the task's next run resumes from; empty: the run begins anew.
func (t *task) checkpointText() jobs.Text {
	if t.checkpoint == nil {
		return ""
	}
	return t.checkpoint.text
}

// appendCheckpointFields adds the origin of a start's checkpoint to the fields of its log line.
func (t *task) appendCheckpointFields(fields []zap.Field, now time.Time) []zap.Field {
	s := t.checkpoint
	if s == nil {
		return fields
	}
	return append(fields, zap.Stringer("saved", checkpointDigest(s.text)), zap.Uint64("saved_run", uint64(s.run)),
		zap.String("saved_worker", string(s.worker)), zap.String("saved_row", string(s.row)),
		zap.Int64("saved_age_ms", now.Sub(s.at).Milliseconds()))
}
