// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// Changes are what has to be stored next.
type Changes struct {
	Jobs   []JobChange
	Roster *jobs.Roster // nil: unchanged
	Forget []jobs.ID    // ended jobs whose records have been kept long enough
	// LearnedParameters holds the learned parameters. They are stored along with other changes from time to time and
	// are no reason to store by themselves.
	LearnedParameters *jobs.LearnedParameters
	// Proof says that a transaction is wanted for the proof of ownership alone.
	Proof bool

	takenAt time.Time
}

// JobChange is a job's progress or its end.
type JobChange struct {
	ID       jobs.ID
	Ended    *jobs.Record // the ended record; nil while the job is active
	Progress jobs.Progress
	// HasProgress says that stored progress is to be deleted with the end.
	HasProgress bool
	// Cancelled says that a stored cancellation is to be deleted with the end.
	Cancelled bool

	job     *job
	version uint64
}

// TakeChanges returns at most limit changed and forgotten jobs, in the order of storePriority. Jobs are
// forgotten in what room the changes leave, one at a time at the least: after a takeover all ended jobs are due at the same
// moment. Changes that can't be stored are to be returned with Unstored, and those
// that the store does not accept with Refused.
func (c *Core) TakeChanges(limit int, now time.Time) Changes {
	changes := Changes{Proof: c.wantsProof, takenAt: now}
	c.storeUrgently = false
	c.resumeSetAside(now)
	slices.SortStableFunc(c.dirty, func(a, b *job) int { return cmp.Compare(a.storePriority(), b.storePriority()) })
	if len(c.dirty) > 0 && c.dirty[0].storeAlone {
		c.takeJobs(&changes, 1, now)
		return changes
	}
	changes.Forget = c.takeForgotten(max(1, limit-len(c.dirty)))
	limit -= len(changes.Forget)
	c.takeJobs(&changes, limit, now)
	if c.rosterChanged && !slices.ContainsFunc(c.dirty, (*job).hasUnstoredLoss) {
		changes.Roster = c.roster()
		c.rosterUnresolved = true
		for _, w := range c.sortedWorkers {
			w.inPendingRoster = w.isInRosters()
		}
		c.rosterChanged = false
	}
	if !changes.Empty() {
		changes.LearnedParameters = c.takeLearnedParameters(now)
	}
	return changes
}

// takeJobs adds the changes of at most limit jobs. A job that has to be stored alone is left unless it is the first one.
func (c *Core) takeJobs(changes *Changes, limit int, now time.Time) {
	var left []*job
	for at, j := range c.dirty {
		if at >= limit || j.storeAlone && at > 0 {
			left = append(left, j)
			continue
		}
		j.dirty = false
		changes.Jobs = append(changes.Jobs, c.changeOf(j, now))
	}
	c.dirty = left
}

// storePriority returns a job's rank among those to be stored, lowest first: starts wait until counted losses are stored, and so
// does the roster, and callers wait for ends.
func (j *job) storePriority() int {
	switch {
	case j.hasUnstoredLoss():
		return 0
	case j.end != "":
		return 1
	default:
		return 2
	}
}

// hasUnstoredLoss reports whether a lost run of the job is counted and not stored yet. Until the loss is stored, the
// roster must not omit the run's worker: a successor that finds neither would not know that there was a run.
func (j *job) hasUnstoredLoss() bool { return j.storedVersion < j.lossVersion }

// Empty reports whether there is nothing to store.
func (c Changes) Empty() bool {
	return len(c.Jobs) == 0 && c.Roster == nil && len(c.Forget) == 0 && !c.Proof
}

// takeForgotten returns up to limit ended jobs to be deleted from the store.
func (c *Core) takeForgotten(limit int) []jobs.ID {
	n := min(limit, len(c.forgotten))
	taken := c.forgotten[:n:n]
	c.forgotten = c.forgotten[n:]
	return taken
}

// HasUrgentChanges reports whether there are changes to be stored at once, such as ends of jobs, for which callers wait.
func (c *Core) HasUrgentChanges() bool {
	for _, j := range c.dirty {
		if j.end != "" {
			return true
		}
	}
	return c.rosterChanged || c.wantsProof || c.storeUrgently || len(c.unsharedEnds) > 0
}

// HasChanges reports whether there is anything to store.
func (c *Core) HasChanges() bool {
	return len(c.dirty) > 0 || len(c.unsharedEnds) > 0 || len(c.forgotten) > 0 || c.rosterChanged || c.wantsProof
}

// changeOf returns what has to be stored of the job now.
func (c *Core) changeOf(j *job, now time.Time) JobChange {
	change := JobChange{ID: j.spec.ID, job: j, version: j.version, Cancelled: j.cancelled, HasProgress: j.hasProgress}
	if j.end != "" && !j.endUnshared {
		active := jobs.Record{Spec: j.spec, Accepted: j.accepted, AdditionalCells: j.additionalCells, MovesClosed: j.movesClosed}
		ended := active.EndedAs(j.end, c.timeOfDay(now))
		change.Ended = &ended
		return change
	}
	change.Progress = progressOf(j)
	return change
}

// progressOf collects the state of the job's tasks that would be lost when workers forget the ends of their runs.
func progressOf(j *job) jobs.Progress {
	progress := jobs.Progress{DoneOccurrences: j.doneOccurrences, Done: map[int][]int{}, Failed: map[int]map[int]jobs.Failures{}, Suspected: suspicionsOf(j)}
	for s := range j.heldSteps() {
		if s.spec.LongRunning || s.occurrence.isDone() {
			continue
		}
		flat := s.flat()
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.state == taskDone {
				progress.Done[flat] = append(progress.Done[flat], i)
			} else if len(t.failures) > 0 {
				if progress.Failed[flat] == nil {
					progress.Failed[flat] = map[int]jobs.Failures{}
				}
				progress.Failed[flat][i] = t.failures
			}
		}
	}
	return progress
}

// Stored records that the changes are stored: callers may be told that jobs have ended, and workers may forget ended
// runs.
func (c *Core) Stored(changes Changes, now time.Time) {
	c.provedAt = latest(c.provedAt, changes.takenAt)
	c.wantsProof = false
	for _, change := range changes.Jobs {
		j := change.job
		j.storeAlone = false
		j.storedVersion = max(j.storedVersion, change.version)
		c.letDoneOccurrencesGo(j)
		if change.Ended == nil {
			j.hasProgress = true
			continue
		}
		c.rememberEnd(j.spec.ID, j.end, now)
		c.forgetIfStored(j)
	}
	if changes.Roster == nil {
		return
	}
	c.takeovers.rosterStored(changes.Roster)
	c.rosterUnresolved = false
	for _, w := range c.sortedWorkers {
		w.inStoredRoster = false
	}
	for _, info := range changes.Roster.Workers {
		w, ok := c.workers[info.ID]
		if !ok {
			continue
		}
		w.inStoredRoster = true
		if !w.info.Incarnation().Differs(info.Incarnation()) {
			w.inRoster = true
		}
	}
}

// Unstored takes back changes whose outcome is unknown or that were not stored. Progress among them may have been
// stored or may be stored later, so it has to be deleted with the job's end.
func (c *Core) Unstored(changes Changes) {
	for _, change := range changes.Jobs {
		change.job.hasProgress = change.job.hasProgress || change.Ended == nil
		if j := change.job; !j.dirty {
			j.dirty = true
			c.dirty = append(c.dirty, j)
		}
	}
	c.rosterChanged = c.rosterChanged || changes.Roster != nil
	c.forgotten = append(c.forgotten, changes.Forget...)
	c.config.Logger.Debug("changes are not known to be stored; they are kept for the next attempt", zap.Int("jobs", len(changes.Jobs)))
}
