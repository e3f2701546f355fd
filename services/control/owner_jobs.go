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

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// loadRetryPause is the pause after a read that failed while the cell is being loaded.
const loadRetryPause = 100 * time.Millisecond

// load reads the cell's jobs, progress and roster; it gives the version to watch from.
func (o *Owner) load(ctx context.Context) (platform.Version, bool) {
	for ctx.Err() == nil {
		at, err := o.tryLoad(ctx)
		o.cells.health.note(err)
		if err == nil {
			return at, true
		}
		if errors.Is(err, errCellLost) {
			o.cells.dropOwner(o.cell, o, "its key among the jobs names another owner, or none")
			return 0, false
		}
		o.config.Logger.Warn("cell can't be loaded yet", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		sleep(ctx, loadRetryPause)
	}
	return 0, false
}

// tryLoad reads the cell once; errCellLost when it has another owner, or none.
func (o *Owner) tryLoad(ctx context.Context) (platform.Version, error) {
	store := o.config.Store
	roster, err := read[jobs.Roster](ctx, store, rosterKey(o.cell))
	if err != nil {
		return 0, err
	}
	if err := o.journal.load(ctx, store, o.cell); err != nil {
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
	knowledge, err := o.loadLearned(ctx)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.core.Enrol(roster, now)
	o.core.Restore(knowledge, now)
	if !o.applyAll(records, progress, now) {
		return 0, errCellLost
	}
	o.core.JobsKnown(sent)
	o.loaded = true
	o.config.Logger.Info("cell is loaded", zap.String("cell", string(o.cell)), zap.Int("keys", len(records)),
		zap.Int("roster", len(roster.Workers)),
		zap.Int("images_learned", len(knowledge.Factors)), zap.Duration("after", now.Sub(o.takenAt)))
	return at, nil
}

// loadLearned reads what the former owner has learned. A value that can't be read costs
// some seconds of learning, and is no reason to leave the cell without owner.
func (o *Owner) loadLearned(ctx context.Context) (jobs.Knowledge, error) {
	record, err := o.config.Store.Get(ctx, learnedKey(o.cell))
	if errors.Is(err, platform.ErrNotFound) {
		return jobs.Knowledge{}, nil
	}
	if err != nil {
		return jobs.Knowledge{}, err
	}
	knowledge, err := decode[jobs.Knowledge](record)
	if err != nil {
		o.config.Logger.Error("what the former owner has learned can't be read", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		return jobs.Knowledge{}, nil
	}
	return knowledge, nil
}

// loadProgress reads the progress of the cell's active jobs.
func (o *Owner) loadProgress(ctx context.Context) (map[jobs.ID]jobs.Progress, error) {
	prefix := progressKeyPrefix(o.cell)
	records, _, err := o.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	progress := make(map[jobs.ID]jobs.Progress, len(records))
	for _, record := range records {
		p, err := decode[jobs.Progress](record)
		if err != nil {
			o.config.Logger.Error("stored progress can't be read", append(log.Err(err), zap.String("key", record.Key))...)
			continue
		}
		progress[jobs.ID(record.Key[len(prefix):])] = p
	}
	return progress, nil
}

// errCellLost says that the cell has another owner, or none.
var errCellLost = errors.New("cell is lost")

// applyAll takes all keys with the cell's job prefix there are. The cell is lost when the
// owner's own key is not among them: its removal may be too old to be heard of.
func (o *Owner) applyAll(records []platform.Record, progress map[jobs.ID]jobs.Progress, now time.Time) bool {
	mine := slices.ContainsFunc(records, func(r platform.Record) bool { return r.Key == markerKey(o.cell) })
	return mine && o.applyRecords(records, progress, now)
}

// applyRecords takes keys with the cell's job prefix in the order in which they were
// written, up to the change of the owner: what comes after it belongs to the next one,
// which may take jobs accepted since then for never started.
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

// applyRecord takes one key of a job.
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
			o.config.Logger.Error("stored job can't be read", append(log.Err(err), zap.String("job", string(id)))...)
			return
		}
		o.core.AddJob(job, progress[id], jobs.Epoch(record.Version) > o.epoch, now)
		if job.Closed {
			o.closed = append(o.closed, id)
		}
	}
}

// watchPause lets some changes gather between two watches, because each watch is paid
// for; it delays the start of a job by half of it on average.
const watchPause = 10 * time.Millisecond

// jobsLoop follows the cell's jobs and cancellations.
func (o *Owner) jobsLoop(ctx context.Context, at platform.Version) {
	for ctx.Err() == nil {
		take := o.applyRecords
		sent := o.config.Clock.Now()
		records, next, err := o.config.Store.Watch(ctx, jobKeyPrefix(o.cell), at)
		if mustReload(err) {
			take = o.applyAll
			records, next, err = o.config.Store.List(ctx, jobKeyPrefix(o.cell))
		}
		o.cells.health.note(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		at = next
		o.mu.Lock()
		now := o.config.Clock.Now()
		mine := take(records, nil, now)
		o.core.JobsKnown(sent)
		o.mu.Unlock()
		if !mine {
			o.cells.dropOwner(o.cell, o, "its key among the jobs names another owner, or none")
			return
		}
		if len(records) == 0 {
			continue
		}
		wake(o.wakeDecide)
		sleep(ctx, watchPause)
	}
}
