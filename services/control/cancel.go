// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
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
	ctx, cancel := withoutCancel(ctx)
	defer cancel()
	outcome := s.cancel(ctx, id)
	s.recordCancel(id, outcome)
	return outcome
}

// cancel tries until the job's entries do not change between a read and the write.
func (s *Service) cancel(ctx context.Context, id jobs.ID) platform.Outcome {
	layout := s.Cells.layout()
	switch {
	case id.Check() != nil: // its keys could be those of something else
		return noSuchJob
	case layout == nil:
		return platform.NotDone{Reason: "cells are not laid out yet", RetryAfter: shortRetryAfter}
	}
	unsure := false // an earlier write of this call may have been done: what is read next tells
	partly := false // the job is cancelled in some of its cells
	for {
		entries, err := s.entriesOf(ctx, id, layout)
		switch {
		case err != nil && (unsure || partly):
			return platform.MaybeDone{Cause: err}
		case err != nil:
			return platform.NotDone{Reason: "store can't be read: " + err.Error(), RetryAfter: shortRetryAfter}
		case entries.known() && entries.state().Ended() && len(entries.open()) == 0:
			return platform.Done{} // the wish has been stored before, or comes too late
		case !entries.known() && entries.barred():
			return noSuchJob
		}
		outcome, tried := s.tryCancel(ctx, id, entries)
		refused, isRefused := outcome.(platform.NotDone)
		switch {
		case isRefused && partly:
			return platform.MaybeDone{Cause: errors.New(refused.Reason)}
		case outcome != nil:
			return outcome
		}
		unsure, partly = tried.unknownOutcome, partly || tried.partial
		if ctx.Err() != nil { // tasks move between cells, or the job ends
			return platform.MaybeDone{Cause: errConcurrentChange}
		}
		sleep(ctx, cancelRetry)
	}
}

// noSuchJob says that a job is not stored, and will not be by an earlier write.
var noSuchJob = platform.NotDone{Reason: "no such job", Why: platform.RefusedNoJob}

// errConcurrentChange says that a job changed again and again while it was to be cancelled.
var errConcurrentChange = errors.New("job changes while it is cancelled")

// cancelRetry is the pause before a cancellation is tried again that met a change of the job:
// a move, which is one transaction of some milliseconds, is over by then.
const cancelRetry = 20 * time.Millisecond

// tryCancel cancels or bars a job whose entries are as they were read. Without an outcome they
// have changed, or there is more to do.
func (s *Service) tryCancel(ctx context.Context, id jobs.ID, entries jobEntries) (platform.Outcome, cancelAttempt) {
	var txn platform.Txn
	var err error
	var done platform.Outcome = platform.Done{}
	if entries.known() {
		var more bool
		txn, more, err = cancellationOf(id, entries)
		if more {
			done = nil
		}
	} else {
		txn, err = barOf(id, entries)
		done = noSuchJob
	}
	if err != nil {
		return platform.NotDone{Reason: err.Error(), Why: platform.RefusedUnfit}, cancelAttempt{}
	}
	if len(txn.Put) == 0 {
		return nil, cancelAttempt{} // read in the middle of a move
	}
	switch w := s.write(ctx, txn).(type) {
	case committed:
		return done, cancelAttempt{partial: done == nil}
	case turnedAway:
		return refusalFor(w), cancelAttempt{}
	case conflicting:
		return nil, cancelAttempt{unknownOutcome: w.unsure}
	case unsettled:
		return platform.MaybeDone{Cause: w.cause}, cancelAttempt{}
	}
	return platform.MaybeDone{Cause: platform.ErrUnknown}, cancelAttempt{} // the set is closed
}

// cancelAttempt is what a try of a cancellation leaves behind that has no outcome yet.
type cancelAttempt struct {
	unknownOutcome bool // it may have been done, or may still be
	partial        bool // the job is cancelled in some of its cells
}

// cancellationOf stores a job's cancellation on condition that its entries are as they were read: in all cells at
// once, or, where they are more than a transaction can change, in several; more tells whether others follow.
func cancellationOf(id jobs.ID, entries jobEntries) (txn platform.Txn, more bool, err error) {
	wish := jobs.Cancellation{At: models.UnixMilliOf(time.Now())}
	txn, err = cancelTxn(id, entries, entries.open(), wish)
	switch {
	case err != nil || txn.Entries() <= platform.MaxTxnEntries:
		return txn, false, err
	case entries.hasMovableTasks():
		txn, err = closeMovesTxn(id, entries, wish)
		return txn, true, err
	default:
		open := entries.open()
		open = open[:min(len(open), maxCancellationsPerTxn)]
		txn, err = cancelTxn(id, open, open, wish)
		return txn, true, err
	}
}

// maxCancellationsPerTxn is in how many cells a transaction can store a cancellation: two conditions and a write each.
const maxCancellationsPerTxn = platform.MaxTxnEntries / 3

// cancelTxn stores the cancellation in some cells, on condition that entries are as they were read.
func cancelTxn(id jobs.ID, entries, in jobEntries, wish jobs.Cancellation) (platform.Txn, error) {
	var txn platform.Txn
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{
			Key: jobKey(entry.cell, id), Version: platform.Version(entry.record.Version),
		})
	}
	var puts []put
	for _, entry := range in {
		key := cancelKey(entry.cell, id)
		txn.Require = append(txn.Require, platform.Precondition{Key: key})
		puts = append(puts, put{key, wish})
	}
	writes, err := encode(puts)
	txn.Put = writes
	return txn, err
}

// hasMovableTasks tells whether tasks of the job may still move between cells while it is being cancelled.
func (e jobEntries) hasMovableTasks() bool {
	return slices.ContainsFunc(e, jobEntry.tasksMayMove)
}

// tasksMayMove tells whether further cells that the entry names may move tasks.
func (e jobEntry) tasksMayMove() bool { return len(e.record.Further) > 0 && !e.record.Closed }

// closeMovesTxn cancels a job in the cells that follow from its id, and keeps its tasks from moving: each move by
// one of the other cells requires the record that names it. What follows meets entries that don't change.
func closeMovesTxn(id jobs.ID, entries jobEntries, wish jobs.Cancellation) (platform.Txn, error) {
	own := slices.DeleteFunc(slices.Clone(entries), func(entry jobEntry) bool { return entry.record.Home != "" })
	txn, err := cancelTxn(id, own, own.open(), wish)
	if err != nil {
		return txn, err
	}
	var puts []put
	for _, entry := range own {
		if entry.tasksMayMove() {
			record := entry.record
			record.Closed, record.Moved = true, true
			puts = append(puts, put{jobKey(entry.cell, id), record})
		}
	}
	writes, err := encode(puts)
	txn.Put = append(txn.Put, writes...)
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

// recordCancel counts and logs what became of a cancellation.
func (s *Service) recordCancel(id jobs.ID, outcome platform.Outcome) {
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
