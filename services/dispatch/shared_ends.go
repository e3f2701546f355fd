// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// SharedEnd is the end of a job that is divided between cells, as decided in this cell. It has to be stored in the
// records of all of them, because the owner of each cell knows only the tasks of its own.
type SharedEnd struct {
	ID    jobs.ID
	State jobs.State

	job     *job
	version uint64 // of the job's progress, which is not needed any more with the end
}

// SharedEnds lists the ends that have to be stored in all cells of their jobs. If all tasks have been moved away since,
// the cell that has them decides.
func (c *Core) SharedEnds() []SharedEnd {
	c.unsharedEnds = slices.DeleteFunc(c.unsharedEnds, func(j *job) bool { return !j.endUnshared || c.jobs[j.spec.ID] != j })
	ends := make([]SharedEnd, 0, len(c.unsharedEnds))
	for _, j := range c.unsharedEnds {
		ends = append(ends, SharedEnd{ID: j.spec.ID, State: j.end, job: j, version: j.version})
	}
	return ends
}

// SharedEndStored records that an end is stored and that the job's progress in this cell is deleted.
func (c *Core) SharedEndStored(end SharedEnd, now time.Time) {
	j := end.job
	j.hasProgress = false
	if j.storedVersion = max(j.storedVersion, end.version); j.storedVersion == j.version {
		c.dirty = slices.DeleteFunc(c.dirty, func(other *job) bool { return other == j })
		j.dirty = false
	}
	c.JobEnded(end.ID, end.State, now)
}

// SharedEndOvertaken records that the job of an end was cancelled before the end could be stored.
func (c *Core) SharedEndOvertaken(end SharedEnd) {
	if j := end.job; j.endUnshared {
		j.end, j.endUnshared = "", false
		c.Cancel(end.ID)
	}
}

// JobEnded records that the store holds the end of a job, which this cell or another one has decided.
func (c *Core) JobEnded(id jobs.ID, state jobs.State, now time.Time) {
	c.rememberEnd(id, state, now)
	j, known := c.jobs[id]
	if !known || j.end != "" && !j.endUnshared {
		return
	}
	if j.endUnshared {
		c.recordJobEnd(j, state, now)
	} else {
		c.config.Logger.Info("job has ended in another cell", zap.String("job", string(id)), zap.String("state", string(state)), zap.Int("running", j.running))
	}
	j.end, j.endUnshared = state, false
	c.stopJob(j, "its job has ended")
	if j.hasProgress || j.cancelled || j.version > j.storedVersion {
		c.markChanged(j) // the store may hold keys besides the record, to be deleted with the end
	}
	c.forgetIfStored(j)
}

// applyEndedRecord takes the record of a job that has ended. Progress that is stored beside it is that of an owner that
// was lost before it learned of the end; the end is stored again, which deletes the progress.
func (c *Core) applyEndedRecord(record jobs.Record, progress jobs.Progress, now time.Time) {
	id := record.Spec.ID
	c.JobEnded(id, record.Ended, now)
	if _, known := c.jobs[id]; known || progress.Empty() {
		return
	}
	j := newJob(record, false)
	j.end, j.hasProgress = record.Ended, true
	c.jobs[id] = j
	c.markChanged(j)
}
