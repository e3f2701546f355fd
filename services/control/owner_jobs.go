// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// loadRetryPause is the pause after a failed call to the store, when a cell is loaded, watched or stored.
const loadRetryPause = 100 * time.Millisecond

// load reads the cell's jobs, progress and roster, and returns the version to watch from. It retries until the
// cell is loaded or lost.
func (o *Owner) load(ctx context.Context) (platform.Version, bool) {
	for ctx.Err() == nil {
		at, err := o.tryLoad(ctx)
		o.cells.health.record(err)
		if err == nil {
			return at, true
		}
		if errors.Is(err, errCellLost) {
			o.cells.dropOwner(o.cell, o, "the owner's key among the cell's jobs names another owner or none")
			return 0, false
		}
		o.config.Logger.Warn("cell can't be loaded yet", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		sleep(ctx, loadRetryPause)
	}
	return 0, false
}

// tryLoad reads the cell once. It returns errCellLost if the cell has another owner or none.
func (o *Owner) tryLoad(ctx context.Context) (platform.Version, error) {
	store := o.config.Store
	roster, err := o.loadRoster(ctx)
	if err != nil {
		return 0, err
	}
	if err := o.journal.load(ctx, o.config, o.cell); err != nil {
		return 0, err
	}
	progress, err := o.loadProgress(ctx)
	if err != nil {
		return 0, err
	}
	sent := o.config.Clock.Now()
	records, at, err := store.List(ctx, jobKeyPrefix(o.cell))
	if err != nil {
		return 0, err
	}
	learned, err := o.loadLearned(ctx)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.core.RestoreRoster(roster, now)
	o.core.RestoreParameters(learned, now)
	o.core.RestoreChunks(progress.chunkings, progress.chunks)
	if !o.applyAll(records, progress.byJob, now) {
		return 0, errCellLost
	}
	o.core.DropUnusedChunks()
	o.core.JobsReadAsOf(sent)
	o.loaded = true
	o.config.Logger.Info("cell is loaded", zap.String("cell", string(o.cell)), zap.Int("keys", len(records)),
		zap.Int("roster", len(roster.Workers)),
		zap.Int("images_learned", len(learned.Factors)), zap.Duration("after", now.Sub(o.takenAt)))
	return at, nil
}

// unknownWorker stands for the workers of a roster that cannot be decoded. It never answers, so that the recovery waits
// until all runs of previous owners on unknown workers have ended.
const unknownWorker jobs.WorkerID = "roster cannot be decoded"

// loadRoster reads the roster. A roster that cannot be decoded costs the longest wait for runs on silent workers, and is no
// reason to leave the cell without owner.
func (o *Owner) loadRoster(ctx context.Context) (jobs.Roster, error) {
	record, err := o.config.Store.Get(ctx, rosterKey(o.cell))
	if errors.Is(err, platform.ErrNotFound) {
		return jobs.Roster{}, nil
	}
	if err != nil {
		return jobs.Roster{}, err
	}
	roster, err := decode[jobs.Roster](record)
	if err != nil {
		o.config.Logger.Error("roster of a cell cannot be decoded; recovery waits for unknown workers", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		return jobs.Roster{
			Workers: []jobs.Worker{{ID: unknownWorker}}, MaxLease: models.MilliOf(o.config.Settings.LongestLease),
		}, nil
	}
	return roster, nil
}

// loadLearned reads the parameters that the previous owner has learned. A value that cannot be decoded
// costs some seconds of learning, and is no reason to leave the cell without owner.
func (o *Owner) loadLearned(ctx context.Context) (jobs.LearnedParameters, error) {
	record, err := o.config.Store.Get(ctx, learnedKey(o.cell))
	if errors.Is(err, platform.ErrNotFound) {
		return jobs.LearnedParameters{}, nil
	}
	if err != nil {
		return jobs.LearnedParameters{}, err
	}
	learned, err := decode[jobs.LearnedParameters](record)
	if err != nil {
		o.config.Logger.Error("learned parameters of the previous owner cannot be decoded; learning starts over", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		return jobs.LearnedParameters{}, nil
	}
	return learned, nil
}

// errCellLost reports that the cell has another owner or none.
var errCellLost = errors.New("cell is lost")

// applyAll applies the complete list of keys with the cell's job prefix. It reports false if the cell is
// lost, which includes that this owner's key is missing: its removal may be too old for the watch to
// report it.
func (o *Owner) applyAll(records []platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) bool {
	owned := slices.ContainsFunc(records, func(r platform.Record) bool { return r.Key == markerKey(o.cell) })
	return owned && o.applyRecords(records, progress, now)
}

// applyRecords applies keys with the cell's job prefix in the order in which they were written, up to a
// change of the owner, and reports whether there was none. Later changes belong to the next owner,
// which may assume that jobs accepted since then were never started.
func (o *Owner) applyRecords(records []platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) bool {
	slices.SortStableFunc(records, func(a, b platform.Record) int { return cmp.Compare(a.Version, b.Version) })
	for _, record := range records {
		if record.Key != markerKey(o.cell) {
			o.applyRecord(record, progress, now)
			continue
		}
		if record.Deleted || record.Version != platform.Version(o.epoch) {
			return false
		}
	}
	return true
}

// applyRecord applies one key of a job to the core.
func (o *Owner) applyRecord(record platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) {
	id, cancel := parseJobKey(o.cell, record.Key)
	switch {
	case record.Deleted && cancel:
	case record.Deleted:
		o.core.Dropped(id)
	case cancel:
		o.core.Cancel(id)
	default:
		job, err := decodeRecord(record)
		if err != nil {
			o.config.Logger.Error("stored job cannot be decoded; ignoring it", append(log.Err(err), zap.String("job", string(id)))...)
			return
		}
		o.core.AddJob(job, progress[id], jobs.Epoch(record.Version) > o.epoch, now)
		if job.MovesClosed {
			o.unfinishedCancels = append(o.unfinishedCancels, id)
		}
	}
}

// watchPause is the pause between two watches. It batches changes because each watch has a cost, and
// delays the start of a job by half of the pause on average.
const watchPause = 10 * time.Millisecond

// jobsLoop watches the cell's jobs and cancellations until ctx ends or the cell is lost.
func (o *Owner) jobsLoop(ctx context.Context, at platform.Version) {
	for ctx.Err() == nil {
		apply := o.applyRecords
		sent := o.config.Clock.Now()
		records, next, err := o.config.Store.Watch(ctx, jobKeyPrefix(o.cell), at)
		if mustReload(err) {
			apply = o.applyAll
			records, next, err = o.config.Store.List(ctx, jobKeyPrefix(o.cell))
		}
		o.cells.health.record(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		at = next
		o.mu.Lock()
		now := o.config.Clock.Now()
		owned := apply(records, nil, now)
		o.core.JobsReadAsOf(sent)
		o.mu.Unlock()
		if !owned {
			o.cells.dropOwner(o.cell, o, "the owner's key among the cell's jobs names another owner or none")
			return
		}
		if len(records) == 0 {
			continue
		}
		wake(o.wakeDecide)
		sleep(ctx, watchPause)
	}
}
