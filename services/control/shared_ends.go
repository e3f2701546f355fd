// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// storeSharedEnds stores the ends of jobs that are divided between cells. It precedes the store of progress, so that a
// successor does not find the losses that have ended a job without the end. Ends that are not stored are tried again.
func (o *Owner) storeSharedEnds(ctx context.Context) (failed error) {
	o.mu.Lock()
	ends := o.core.SharedEnds()
	o.mu.Unlock()
	for _, end := range ends {
		err := o.storeSharedEnd(ctx, end)
		failed = errors.CombineErrors(failed, err)
		if err != nil && !isOutage(err) {
			o.config.Logger.Info("end of a job is not stored in its cells yet", append(log.Err(err), zap.String("job", string(end.ID)), zap.String("cell", string(o.cell)))...)
		}
	}
	if len(ends) > 0 {
		wake(o.wakeDecide)
	}
	return failed
}

// storeSharedEnd stores the end of a job in the records of all cells that have tasks of it, in one transaction. An
// attempt without answer is followed by one with the records that the store holds then, which show whether the first one
// took effect. A cancellation that is stored in the meantime prevails.
func (o *Owner) storeSharedEnd(ctx context.Context, end dispatch.SharedEnd) error {
	entries, err := entryReader{o.config.Store, o.cells.health}.read(ctx, end.ID, o.cells.layout())
	if err != nil {
		return err
	}
	here := entries.in(o.cell)
	switch {
	case here.record.Ended != "":
		o.learnEnd(here.record)
		return nil
	case entries.cancelled():
		o.mu.Lock()
		o.core.SharedEndOvertaken(end)
		o.mu.Unlock()
		return nil
	case len(entries.active()) == 0: // ended so long ago that the records are being deleted
		o.learnEnd(jobs.Record{Spec: jobs.Spec{ID: end.ID}, Ended: end.State})
		return nil
	case !here.active(): // an earlier attempt has moved the tasks away, of which the core learns next
		return errConcurrentChange
	}
	txn, err := o.sharedEndTxn(entries, end)
	if err != nil {
		return err
	}
	_, err = o.commitJournaled(ctx, txn)
	o.cells.health.record(err)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.core.SharedEndStored(end, o.config.Clock.Now())
	o.mu.Unlock()
	return nil
}

// learnEnd takes the end of a job from its record in this cell.
func (o *Owner) learnEnd(here jobs.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.JobEnded(here.Spec.ID, here.Ended, o.config.Clock.Now())
}

// sharedEndTxn returns the transaction that ends a job in all of its cells, on condition that the entries are as they
// were read and that there is no cancellation here: one that covers all cells is stored in this cell as well.
func (o *Owner) sharedEndTxn(entries jobEntries, end dispatch.SharedEnd) (platform.Txn, error) {
	at := o.timeOfDay()
	in := entries
	if len(entries) > maxSharedEndCells {
		in = entries.mappedAnd(o.cell)
	}
	txn, err := endedTxn(end.ID, in, end.State, at, len(in) < len(entries))
	txn.Require = append(txn.Require, platform.Precondition{Key: cancelKey(o.cell, end.ID)})
	txn.Delete = append(txn.Delete, progressKey(o.cell, end.ID))
	return txn, err
}

// timeOfDay returns the time of day as this owner's records tell it.
func (o *Owner) timeOfDay() models.UnixMilli {
	return models.UnixMilliOf(o.config.Clock.TimeOfDay(o.config.Clock.Now()))
}

const (
	// sharedEndEntries are the entries of the transaction of an end besides those for each cell: those of the journal, a
	// cancellation that must not exist, and the progress that is deleted.
	sharedEndEntries = journalEntries + 2
	// maxSharedEndCells is the number of cells in which one transaction of an owner can end a job. Each takes a condition
	// and a write.
	maxSharedEndCells = (platform.MaxTxnEntries - sharedEndEntries) / 2
	// maxEndedCellsPerTxn is the same for a transaction that is not an owner's.
	maxEndedCellsPerTxn = platform.MaxTxnEntries / 2
)

// mappedAnd returns the entries of the cells that the job's id maps to, and that of one cell more.
func (e jobEntries) mappedAnd(cell jobs.CellName) jobEntries {
	return e.selected(func(entry jobEntry) bool { return entry.record.Home == "" || entry.cell == cell })
}

// endedTxn returns a transaction that ends a job in the cells of the entries in, on condition that these are as they
// were read. If further transactions have to follow for other cells, it closes the job to moves, so that the owner of
// each cell whose record names others continues.
func endedTxn(id jobs.ID, in jobEntries, state jobs.State, at models.UnixMilli, closeMoves bool) (platform.Txn, error) {
	var txn platform.Txn
	var puts []keyValue
	for _, entry := range in {
		key := jobKey(entry.cell, id)
		txn.Require = append(txn.Require, platform.Precondition{Key: key, Version: platform.Version(entry.record.Version)})
		record := entry.record
		closes := closeMoves && entry.tasksMayMove()
		if closes {
			record.MovesClosed, record.Rewritten = true, true
		}
		switch {
		case entry.active():
			puts = append(puts, keyValue{key, record.EndedAs(state, at)})
		case closes:
			puts = append(puts, keyValue{key, record})
		}
	}
	writes, err := encodeWrites(puts)
	txn.Put = writes
	return txn, err
}

// endedRecord returns a record of a cell in which the job has ended other than by a cancellation; nil if there is none.
func (e jobEntries) endedRecord() *jobs.Record {
	for i, entry := range e {
		if ended := entry.record.Ended; ended != "" && ended != jobs.StateCancelled && ended != jobs.StateBarred {
			return &e[i].record
		}
	}
	return nil
}

// restEndedTxn returns a transaction that continues the end of a job which has ended in some of its cells only. The job
// is closed to moves. If one transaction can't cover all cells, more tells that further transactions have to follow.
func restEndedTxn(id jobs.ID, entries jobEntries, ended jobs.Record) (txn platform.Txn, more bool, err error) {
	rest := entries.active()
	if more = len(rest) > maxEndedCellsPerTxn; more {
		rest = rest[:maxEndedCellsPerTxn]
	}
	txn, err = endedTxn(id, rest, ended.Ended, ended.EndedAt, false)
	return txn, more, err
}
