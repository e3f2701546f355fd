// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// job is an active job.
type job struct {
	spec               jobs.Spec
	terms              jobs.Terms
	accepted           models.UnixMilli
	objectiveStart     models.UnixMilli // the start of its latency objective
	drawn              float64          // see drawnFrom
	criticalPath       time.Duration    // the longest chain of its steps' estimates
	fresh              bool             // accepted after this owner took the cell: no previous owner has started any of its tasks
	fromOtherCell      bool             // moved here from another cell
	occurrences        []*occurrence    // those that are held, by their numbers; see occurrence.go
	doneOccurrences    jobs.Numbers     // those of which all tasks are done
	nextOccurrence     int              // all before it are held or done
	heldTasks          int              // of all occurrences that are held
	begun              bool             // a task of it is known to have run
	cancelled          bool
	end                jobs.State      // decided but perhaps not stored yet; empty while the job is active
	endUnshared        bool            // end has to be stored in all cells of the job at once; see SharedEnd
	running            int             // tasks that may be on a worker
	uncertain          bool            // whether any of these runs is not known; see Core.updateIdleJobs
	silentSince        time.Time       // since when the last of their workers does not answer; zero: all do, or something is known to run
	waitedElsewhere    time.Duration   // how long a job that has never run has waited in other cells, as far as it counts
	lastRunEndedAt     time.Time       // when a run of it last left its worker, or else when the job was added
	runSpan            runSpan         // the times in which something of it runs
	version            uint64          // of its progress, incremented by each change
	storedVersion      uint64          // the latest version that is stored
	lossVersion        uint64          // the version at which a lost run was last counted
	hasProgress        bool            // the store may hold progress of it
	chunks             *chunks         // of its progress; nil: the progress is stored whole
	storeAlone         bool            // the store has refused changes of it together with others; see refused.go
	storeAgainAt       time.Time       // until when it is set aside, if the store has refused its changes alone
	dirty              bool            // is among the core's dirty jobs
	firstStartRecorded bool            // its first start is among the job figures
	offeredAt          time.Time       // when it was last listed as movable
	immovable          bool            // must not be moved as a whole
	recordVersion      uint64          // version of the record that says which tasks this cell has
	highestRun         jobs.RunID      // highest run id that other cells have assigned to its tasks
	importedSuspicions jobs.Suspicions // suspicions that came with tasks from other cells
	home               jobs.CellName   // the cell whose record names this one, if it does not follow from the job's id
	additionalCells    []jobs.CellName // other cells with tasks of the job, named by the job's record in this cell
	tooLargeLogged     bool            // it was logged that it has too many tasks to be run
	cordonWaitLogged   bool            // it was logged that it waits for cordoned workers
	cordonsSearchedAt  time.Time       // when cordoned workers were last searched for it
	movesClosed        bool            // none of its tasks may move between cells any more; see jobs.Record
}

// movedOutJob is a job whose tasks are all in other cells.
type movedOutJob struct {
	version         uint64 // of the job's key in this cell
	additionalCells []jobs.CellName
}

// AddJob takes a job that the store holds. fresh says that the job was accepted after this process took the
// cell, so that no previous owner has started any of its tasks.
func (c *Core) AddJob(record jobs.Record, progress jobs.Progress, fresh bool, now time.Time) {
	c.now = now
	id := record.Spec.ID
	if record.Ended != "" {
		c.applyEndedRecord(record, progress, now)
		return
	}
	if j, known := c.jobs[id]; known {
		c.applyRecord(j, record)
		return
	}
	if _, known := c.ended[id]; known {
		return
	}
	if moved := c.movedOut[id]; record.AllTasksMoved() || record.Version > 0 && record.Version <= moved.version {
		if record.Version >= moved.version {
			c.movedOut[id] = movedOutJob{version: record.Version, additionalCells: record.AdditionalCells}
		}
		return
	}
	delete(c.movedOut, id)
	j := newJob(record, fresh && !record.Rewritten)
	j.lastRunEndedAt, j.runSpan.lastSeenAt = now, now
	if j.fresh && j.fromOtherCell {
		j.waitedElsewhere = min(maxFillerWait, max(0, time.Duration(c.timeOfDay(now)-j.accepted)*time.Millisecond))
		j.runSpan.elsewhere = j.waitedElsewhere
	}
	c.jobs[id] = j
	if record.Part {
		c.markElsewhere(j, record)
	}
	j.chunks = c.restoredChunks[id]
	delete(c.restoredChunks, id)
	c.applyProgress(j, progress)
	j.hasProgress = !progress.Empty() || j.chunks != nil
	for _, o := range j.occurrences {
		c.beginOccurrence(o)
	}
	c.unheld[id] = j
	c.holdDueOccurrences(j)
	c.endIfDone(j)
}

// newJob returns a job of which no task has run yet, and none is held.
func newJob(record jobs.Record, fresh bool) *job {
	j := &job{
		spec: record.Spec, terms: record.Terms, accepted: record.Accepted, objectiveStart: record.Accepted,
		drawn: drawnFrom(record.Spec.ID), criticalPath: record.Spec.CriticalPath(), fresh: fresh, fromOtherCell: record.Transferred, recordVersion: record.Version,
		highestRun: record.HighestRun, importedSuspicions: record.Suspected, home: record.Home, additionalCells: record.AdditionalCells, movesClosed: record.MovesClosed,
	}
	return j
}

// applyProgress applies the stored progress to the job's tasks: ends, failures and suspicions.
func (c *Core) applyProgress(j *job, progress jobs.Progress) {
	j.doneOccurrences = progress.DoneOccurrences
	j.addDoneOccurrences(progress.Done)
	j.begun = j.begun || len(j.doneOccurrences) > 0
	for flat, indexes := range progress.Done {
		for _, index := range indexes {
			if t := c.task(j, flat, index); t != nil {
				c.finishTask(t)
			}
		}
	}
	c.applySuspicions(j, j.importedSuspicions.MergedWith(progress.Suspected))
	for flat, failures := range progress.Failed {
		for index, f := range failures {
			if t := c.task(j, flat, index); t != nil {
				t.failures = f
			}
		}
	}
}

// endIfDone ends the job when nothing is left to do for it, and forgets a job that has ended and is stored.
func (c *Core) endIfDone(j *job) {
	if j.end != "" {
		c.forgetIfStored(j)
		return
	}
	switch {
	case j.cancelled && j.running == 0 && !j.hasUnknownTasks():
		c.endJob(j, jobs.StateCancelled)
	case !j.cancelled && j.doneOccurrences.Len() == j.spec.Occurrences():
		c.endJob(j, jobs.StateSucceeded)
	}
}

// isOver reports whether the job's tasks need not start any more.
func (j *job) isOver() bool { return j.end != "" || j.cancelled }

// forgetIfStored drops an ended job once its end is stored and none of its tasks can be on a worker.
func (c *Core) forgetIfStored(j *job) {
	if j.running == 0 && j.storedVersion >= j.version && !j.endUnshared {
		c.drop(j)
	}
}

// drop forgets a job.
func (c *Core) drop(j *job) {
	delete(c.jobs, j.spec.ID)
	delete(c.unheld, j.spec.ID)
	c.dropChunks(j)
	for _, o := range j.occurrences {
		c.letGo(o)
	}
	j.occurrences = nil
}

// hasUnknownTasks reports whether a task of the job may run on a worker that has not reported yet.
func (j *job) hasUnknownTasks() bool {
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if s.tasks[i].state == taskUnknown {
				return true
			}
		}
	}
	return false
}

// endJob decides how the job ends; callers learn of the end once it is stored. A cancellation is stored in all cells of
// the job before any of them ends it; any other end of a divided job has to be stored in all of them.
func (c *Core) endJob(j *job, state jobs.State) {
	j.end = state
	if state != jobs.StateCancelled && j.isDivided() {
		j.endUnshared = true
		c.unsharedEnds = append(c.unsharedEnds, j)
	} else {
		c.markChanged(j)
		c.recordJobEnd(j, state, c.now)
	}
	c.config.Logger.Info("job ends", zap.String("job", string(j.spec.ID)), zap.String("state", string(state)),
		zap.Int64("age_ms", int64(c.timeOfDay(c.now)-j.accepted)), zap.Int("running", j.running))
}

// markChanged marks what is stored of the job as changed, so that it will be stored; see markTaskChanged for what is stored of
// one of its tasks.
func (c *Core) markChanged(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// Cancel stops the runs of a job whose cancellation is already stored; the job ends when none is left.
func (c *Core) Cancel(id jobs.ID) {
	j, ok := c.jobs[id]
	if !ok || j.cancelled || j.end != "" {
		return
	}
	j.cancelled = true
	c.config.Logger.Info("job is cancelled", zap.String("job", string(id)), zap.Int("running", j.running))
	c.stopJob(j, "its job is cancelled")
	c.endIfDone(j)
}

// stopJob stops all runs of the job.
func (c *Core) stopJob(j *job, reason string) {
	for s := range j.heldSteps() {
		for i := range s.tasks {
			c.stop(&s.tasks[i], reason)
		}
	}
}
