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

// Cancel cancels a job: the request is stored in each cell that has tasks of the job, and the owners of the
// cells act on it. A job that is not stored is barred, so that no daemon can store it later.
func (s *Service) Cancel(ctx context.Context, id jobs.ID) platform.Outcome {
	ctx, cancel := withoutCancel(ctx)
	defer cancel()
	outcome := s.cancel(ctx, id)
	s.recordCancel(id, outcome)
	return outcome
}

// cancel retries until the job's entries do not change between the read and the write.
func (s *Service) cancel(ctx context.Context, id jobs.ID) platform.Outcome {
	layout := s.Cells.layout()
	switch {
	case id.Check() != nil: // the keys of an invalid ID could be those of something else
		return noSuchJob
	case layout == nil:
		return platform.NotDone{Reason: "cells are not laid out yet", RetryAfter: shortRetryAfter}
	}
	unknownOutcome := false // an earlier write of this call may have taken effect; the next read shows whether it did
	partial := false        // the job is cancelled in some of its cells
	for {
		entries, err := s.readEntries(ctx, id, layout)
		switch {
		case err != nil && (unknownOutcome || partial):
			return platform.MaybeDone{Cause: err}
		case err != nil:
			return platform.NotDone{Reason: "store can't be read: " + err.Error(), RetryAfter: shortRetryAfter}
		case entries.stored() && entries.state().Ended() && len(entries.uncancelled()) == 0:
			return platform.Done{} // the cancellation is already stored, or the job had ended before
		case !entries.stored() && entries.barred():
			return noSuchJob
		}
		outcome, attempt := s.tryCancel(ctx, id, entries)
		refused, isRefused := outcome.(platform.NotDone)
		switch {
		case isRefused && partial:
			return platform.MaybeDone{Cause: errors.New(refused.Reason)}
		case outcome != nil:
			return outcome
		}
		unknownOutcome, partial = attempt.unknownOutcome, partial || attempt.partial
		if ctx.Err() != nil { // tasks kept moving between cells, or the job is ending
			return platform.MaybeDone{Cause: errConcurrentChange}
		}
		sleep(ctx, cancelRetry)
	}
}

// noSuchJob reports that a job is not stored, and that no earlier write will store it.
var noSuchJob = platform.NotDone{Reason: "no such job", Refusal: platform.RefusedJobNotFound}

// errConcurrentChange reports that a job changed at each attempt to cancel it.
var errConcurrentChange = errors.New("job changes while it is cancelled")

// cancelRetry is the pause before a cancellation is retried that conflicted with a change of the job. A
// move is one transaction of some milliseconds, so it is over by then.
const cancelRetry = 20 * time.Millisecond

// tryCancel cancels or bars a job, on condition that its entries are as they were read. The outcome is nil
// if the entries have changed, or if further transactions are needed.
func (s *Service) tryCancel(ctx context.Context, id jobs.ID, entries jobEntries) (platform.Outcome, cancelAttempt) {
	var txn platform.Txn
	var err error
	var done platform.Outcome = platform.Done{}
	if entries.stored() {
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
		return platform.NotDone{Reason: err.Error(), Refusal: platform.RefusedInvalid}, cancelAttempt{}
	}
	if len(txn.Put) == 0 {
		return nil, cancelAttempt{} // read in the middle of a move
	}
	switch w := s.write(ctx, txn).(type) {
	case committed:
		return done, cancelAttempt{partial: done == nil}
	case rejected:
		return refusalFor(w), cancelAttempt{}
	case conflicted:
		return nil, cancelAttempt{unknownOutcome: w.maybeCommitted}
	case undetermined:
		return platform.MaybeDone{Cause: w.cause}, cancelAttempt{}
	}
	return platform.MaybeDone{Cause: platform.ErrUnknownOutcome}, cancelAttempt{} // unreachable: the set of results is closed
}

// cancelAttempt describes an attempt to cancel a job that has no final outcome.
type cancelAttempt struct {
	unknownOutcome bool // the write may have taken effect, or may still do so
	partial        bool // the job is cancelled in some of its cells
}

// cancellationOf returns a transaction that stores a job's cancellation on condition that its entries are as they
// were read. If one transaction can't cover all cells, more tells that further transactions have to follow.
func cancellationOf(id jobs.ID, entries jobEntries) (txn platform.Txn, more bool, err error) {
	if ended := entries.endedRecord(); ended != nil {
		return restEndedTxn(id, entries, *ended)
	}
	request := jobs.Cancellation{At: models.UnixMilliOf(time.Now())}
	txn, err = cancelTxn(id, entries, entries.uncancelled(), request)
	switch {
	case err != nil || txn.Entries() <= platform.MaxTxnEntries:
		return txn, false, err
	case entries.hasMovableTasks():
		txn, err = closeMovesTxn(id, entries, request)
		return txn, true, err
	default:
		uncancelled := entries.uncancelled()
		uncancelled = uncancelled[:min(len(uncancelled), maxCancellationsPerTxn)]
		txn, err = cancelTxn(id, uncancelled, uncancelled, request)
		return txn, true, err
	}
}

// maxCancellationsPerTxn is the number of cells in which one transaction can store a cancellation. Each cell takes
// two conditions and a write.
const maxCancellationsPerTxn = platform.MaxTxnEntries / 3

// cancelTxn returns a transaction that stores the cancellation in the cells of the entries in, on condition that
// entries are as they were read.
func cancelTxn(id jobs.ID, entries, in jobEntries, request jobs.Cancellation) (platform.Txn, error) {
	var txn platform.Txn
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{
			Key: jobKey(entry.cell, id), Version: platform.Version(entry.record.Version),
		})
	}
	var puts []keyValue
	for _, entry := range in {
		key := cancelKey(entry.cell, id)
		txn.Require = append(txn.Require, platform.Precondition{Key: key})
		puts = append(puts, keyValue{key, request})
	}
	writes, err := encodeWrites(puts)
	txn.Put = writes
	return txn, err
}

// hasMovableTasks reports whether tasks of the job may still move between cells during its cancellation.
func (e jobEntries) hasMovableTasks() bool {
	return slices.ContainsFunc(e, jobEntry.tasksMayMove)
}

// tasksMayMove reports whether the additional cells that the entry names may move tasks.
func (e jobEntry) tasksMayMove() bool {
	return len(e.record.AdditionalCells) > 0 && !e.record.MovesClosed
}

// closeMovesTxn returns a transaction that cancels a job in the cells that its ID maps to and stops further moves
// of its tasks: each move by an additional cell is conditioned on the record that names that cell. The transactions
// that follow then read entries that no longer change.
func closeMovesTxn(id jobs.ID, entries jobEntries, request jobs.Cancellation) (platform.Txn, error) {
	mapped := slices.DeleteFunc(slices.Clone(entries), func(entry jobEntry) bool { return entry.record.Home != "" })
	txn, err := cancelTxn(id, mapped, mapped.uncancelled(), request)
	if err != nil {
		return txn, err
	}
	var puts []keyValue
	for _, entry := range mapped {
		if entry.tasksMayMove() {
			record := entry.record
			record.MovesClosed, record.Rewritten = true, true
			puts = append(puts, keyValue{jobKey(entry.cell, id), record})
		}
	}
	writes, err := encodeWrites(puts)
	txn.Put = append(txn.Put, writes...)
	return txn, err
}

// barOf returns a transaction that stores a record which bars a job. The answer "no such job" promises that the
// job does not start later, but a write of it by another daemon may still be in flight. The owner of the cell
// removes the record like the records of jobs that ended long ago.
func barOf(id jobs.ID, entries jobEntries) (platform.Txn, error) {
	var txn platform.Txn
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{Key: jobKey(entry.cell, id)})
	}
	record := jobs.Record{Spec: jobs.Spec{ID: id}, Ended: jobs.StateBarred, EndedAt: models.UnixMilliOf(time.Now())}
	writes, err := encodeWrites([]keyValue{{jobKey(entries[0].cell, id), record}})
	txn.Put = writes
	return txn, err
}

// recordCancel counts and logs the outcome of a cancellation.
func (s *Service) recordCancel(id jobs.ID, outcome platform.Outcome) {
	job := zap.String("job", string(id))
	switch o := outcome.(type) {
	case platform.Done:
		s.config.Scope.Counter("jobs_cancelled").Inc(1) // jobs are counted by queue when they end
		s.config.Logger.Info("job's cancellation is stored", job)
	case platform.NotDone:
		s.config.Logger.Info("job is not cancelled", job, zap.String("reason", o.Reason), zap.Duration("retry_after", o.RetryAfter))
	case platform.MaybeDone:
		s.config.Logger.Warn("outcome of a job's cancellation is unknown: the store did not confirm the write", job, zap.Error(o.Cause))
	}
}
