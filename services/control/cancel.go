// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Cancel ends a job: the wish is stored in each cell that has tasks of it, then their owners
// act on it. A job that is not stored is barred.
func (s *Service) Cancel(ctx context.Context, id jobs.ID) platform.Outcome {
	ctx, cancel := detached(ctx)
	defer cancel()
	outcome := s.cancel(ctx, id)
	s.noteCancel(id, outcome)
	return outcome
}

// cancel tries until the job's entries do not change between a read and the write.
func (s *Service) cancel(ctx context.Context, id jobs.ID) platform.Outcome {
	layout := s.Cells.layout()
	switch {
	case id.Check() != nil: // its keys could be those of something else
		return noSuchJob
	case layout == nil:
		return platform.NotDone{Reason: "cells are not laid out yet", RetryAfter: retrySoon}
	}
	unsure := false // an earlier write of this call may have been done: what is read next tells
	for {
		entries, err := s.entriesOf(ctx, id, layout)
		switch {
		case err != nil && unsure:
			return platform.MaybeDone{Cause: err}
		case err != nil:
			return platform.NotDone{Reason: "store can't be read: " + err.Error(), RetryAfter: retrySoon}
		case entries.known() && entries.state().Ended():
			return platform.Done{} // the wish has been stored before, or comes too late
		case !entries.known() && entries.barred():
			return noSuchJob
		}
		outcome, conflict := s.tryCancel(ctx, id, entries)
		if outcome != nil {
			return outcome
		}
		unsure = conflict.unsure
		if ctx.Err() != nil { // tasks move between cells, or the job ends
			return platform.MaybeDone{Cause: errChanging}
		}
		sleep(ctx, cancelRetry)
	}
}

// noSuchJob says that a job is not stored, and will not be by an earlier write.
var noSuchJob = platform.NotDone{Reason: "no such job", Why: platform.RefusedNoJob}

// errChanging says that a job changed again and again while it was to be cancelled.
var errChanging = errors.New("job changes while it is cancelled")

// cancelRetry is the pause before a cancellation is tried again that met a change of the job:
// a move, which is one transaction of some milliseconds, is over by then.
const cancelRetry = 20 * time.Millisecond

// tryCancel cancels or bars a job whose entries are as they were read. Without an outcome they
// have changed.
func (s *Service) tryCancel(ctx context.Context, id jobs.ID, entries jobEntries) (platform.Outcome, conflicting) {
	var txn platform.Txn
	var err error
	var done platform.Outcome = platform.Done{}
	if entries.known() {
		txn, err = cancellationOf(id, entries)
	} else {
		txn, err = barOf(id, entries)
		done = noSuchJob
	}
	if err != nil {
		return platform.NotDone{Reason: err.Error(), Why: platform.RefusedUnfit}, conflicting{}
	}
	if len(txn.Put) == 0 {
		return nil, conflicting{} // read in the middle of a move
	}
	switch w := s.write(ctx, txn).(type) {
	case committed:
		return done, conflicting{}
	case turnedAway:
		return refusalOf(w), conflicting{}
	case conflicting:
		return nil, w
	case unsettled:
		return platform.MaybeDone{Cause: w.cause}, conflicting{}
	}
	return platform.MaybeDone{Cause: platform.ErrUnknown}, conflicting{} // the set is closed
}

// cancellationOf stores a job's cancellation on condition that its entries are as they were read.
func cancellationOf(id jobs.ID, entries jobEntries) (platform.Txn, error) {
	wish := jobs.Cancellation{At: models.UnixMilliOf(time.Now())}
	var txn platform.Txn
	var puts []put
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{
			Key: jobKey(entry.cell, id), Version: platform.Version(entry.record.Version),
		})
		if !entry.active() {
			continue
		}
		key := cancelKey(entry.cell, id)
		txn.Require = append(txn.Require, platform.Precondition{Key: key})
		puts = append(puts, put{key, wish})
	}
	writes, err := encode(puts)
	txn.Put = writes
	return txn, err
}

// barOf stores in place of a job that there is none: "no such job" promises that nothing of it
// starts later, and a write of it by another daemon may still be on its way. The owner of the
// cell removes the record as it does those of jobs that have ended long ago.
func barOf(id jobs.ID, entries jobEntries) (platform.Txn, error) {
	var txn platform.Txn
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{Key: jobKey(entry.cell, id)})
	}
	record := jobs.Record{Spec: jobs.Spec{ID: id}, Ended: jobs.StateBarred, EndedAt: models.UnixMilliOf(time.Now())}
	writes, err := encode([]put{{jobKey(entries[0].cell, id), record}})
	txn.Put = writes
	return txn, err
}

// noteCancel counts and logs what became of a cancellation.
func (s *Service) noteCancel(id jobs.ID, outcome platform.Outcome) {
	job := zap.String("job", string(id))
	switch o := outcome.(type) {
	case platform.Done:
		s.config.Scope.Counter("jobs_cancelled").Inc(1) // by queue when they have ended
		s.config.Logger.Info("job's cancellation is stored", job)
	case platform.NotDone:
		s.config.Logger.Info("job is not cancelled", job, zap.String("reason", o.Reason), zap.Duration("retry_after", o.RetryAfter))
	case platform.MaybeDone:
		s.config.Logger.Warn("job may be cancelled, the store has not said so", job, zap.Error(o.Cause))
	}
}
