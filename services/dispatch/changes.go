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
	Remove []jobs.Chunk // chunks of progress that is not needed any more
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
	// Chunking is to be stored beside Progress if the failures and suspicions are in chunks; nil: they are not.
	Chunking *jobs.Chunking
	Chunks   []ChunkChange
	// ChunksOnly says that Progress and Chunking are not to be stored yet: further chunks have to be stored before.
	ChunksOnly bool
	// HasProgress says that stored progress is to be deleted with the end.
	HasProgress bool
	// Cancelled says that a stored cancellation is to be deleted with the end.
	Cancelled bool

	job     *job
	version uint64
}

// TakeChanges returns the changes of at most limit jobs, and jobs to be forgotten, in the order of storePriority. Jobs are
// forgotten in what room the changes leave, one at a time at the least: after a takeover all ended jobs are due at the same
// moment. Changes that can't be stored are to be returned with Unstored, and those that the store does not accept with Refused.
func (c *Core) TakeChanges(limit int, now time.Time) Changes {
	changes := Changes{Proof: c.wantsProof, takenAt: now}
	c.storeUrgently = false
	c.resumeSetAside(now)
	slices.SortStableFunc(c.dirty, func(a, b *job) int { return cmp.Compare(a.storePriority(), b.storePriority()) })
	alone := len(c.dirty) > 0 && c.dirty[0].storeAlone
	if !alone {
		changes.Forget = takeFirst(&c.forgotten, max(1, limit-len(c.dirty)))
	}
	room := txnRoom{entries: (limit - len(changes.Forget)) * MaxEntriesPerJob, size: c.config.MaxValueSize}
	c.takeJobs(&changes, &room, now)
	if alone {
		return changes
	}
	changes.Remove = takeFirst(&c.unusedChunks, room.entries)
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

// takeJobs adds the changes of jobs to be stored for which a transaction has room. A job that has to be stored alone is
// taken only as the first one, and then is the only one.
func (c *Core) takeJobs(changes *Changes, room *txnRoom, now time.Time) {
	var left []*job
	for at, j := range c.dirty {
		apart := at > 0 && (j.storeAlone || c.dirty[0].storeAlone)
		if apart || !room.takesJob() {
			left = append(left, j)
			continue
		}
		j.dirty = false
		changes.Jobs = append(changes.Jobs, c.changeOf(j, room, now))
		if j.dirty {
			left = append(left, j)
		}
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
	return len(c.Jobs) == 0 && c.Roster == nil && len(c.Forget) == 0 && len(c.Remove) == 0 && !c.Proof
}

// takeFirst removes and returns up to limit elements of a queue.
func takeFirst[T any](queue *[]T, limit int) []T {
	n := max(0, min(limit, len(*queue)))
	taken := (*queue)[:n:n]
	*queue = (*queue)[n:]
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
	return len(c.dirty) > 0 || len(c.unsharedEnds) > 0 || len(c.forgotten) > 0 || len(c.unusedChunks) > 0 || c.rosterChanged || c.wantsProof
}

// changeOf returns what has to be stored of the job now, as far as the transaction has room. The job stays dirty if
// something is left.
func (c *Core) changeOf(j *job, room *txnRoom, now time.Time) JobChange {
	change := JobChange{ID: j.spec.ID, job: j, version: j.version, Cancelled: j.cancelled, HasProgress: j.hasProgress}
	room.use(MaxEntriesPerJob, 0)
	if j.end != "" && !j.endUnshared {
		active := jobs.Record{Spec: j.spec, Accepted: j.accepted, AdditionalCells: j.additionalCells, MovesClosed: j.movesClosed}
		ended := active.EndedAs(j.end, c.timeOfDay(now))
		change.Ended = &ended
		return change
	}
	if j.chunks == nil {
		change.Progress = progressOf(j)
		if size := change.Progress.EncodedSize(); size <= c.config.MaxValueSize/wholeProgressPart {
			room.use(0, size)
			return change
		}
		c.divideProgress(j, change.Progress)
	}
	j.takeChunks(&change, room)
	changed, missing := j.chunks.left()
	j.dirty, change.ChunksOnly = changed, missing && !j.chunks.complete
	if !change.ChunksOnly {
		change.Progress, change.Chunking = successesOf(j), &j.chunks.Chunking
		room.use(0, change.Progress.EncodedSize())
	}
	return change
}

// Stored records that the changes are stored: callers may be told that jobs have ended, and workers may forget ended
// runs.
func (c *Core) Stored(changes Changes, now time.Time) {
	c.provedAt = latest(c.provedAt, changes.takenAt)
	c.wantsProof = false
	for _, change := range changes.Jobs {
		j := change.job
		j.recordStored(change)
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

// recordStored records that a change of the job is stored.
func (j *job) recordStored(change JobChange) {
	j.storeAlone = false
	version := change.version
	if j.chunks != nil && change.Ended == nil {
		j.chunks.chunksStored(change)
		version = j.chunks.storedThrough(version)
	}
	if !change.ChunksOnly {
		j.storedVersion = max(j.storedVersion, version)
	}
}

// Unstored takes back changes whose outcome is unknown or that were not stored. Progress among them may have been
// stored or may be stored later, so it has to be deleted with the job's end.
func (c *Core) Unstored(changes Changes) {
	for _, change := range changes.Jobs {
		j := change.job
		j.hasProgress = j.hasProgress || change.Ended == nil
		if j.chunks != nil {
			j.chunks.chunksUnstored(change)
		}
		if !j.dirty {
			j.dirty = true
			c.dirty = append(c.dirty, j)
		}
	}
	c.rosterChanged = c.rosterChanged || changes.Roster != nil
	c.forgotten = append(c.forgotten, changes.Forget...)
	c.unusedChunks = append(c.unusedChunks, changes.Remove...)
	c.config.Logger.Debug("changes are not known to be stored; they are kept for the next attempt", zap.Int("jobs", len(changes.Jobs)))
}
