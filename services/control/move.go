// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// move is a move of work to another cell that is not finished.
type move struct {
	dispatch.Move
	// toAdditionalCell is set if the job's ID does not map to the other cell.
	toAdditionalCell bool
	// unresolved is set if a transaction of unknown outcome may have moved the work, or may still do so.
	unresolved bool
}

// moveOutcome is the combined outcome of all attempts of a move: moveDone, moveJobMissing, moveRejected or
// moveUnresolved. The set is closed and each value is exactly one of them, so that the refusal of the last
// attempt can't be mistaken for that of an earlier attempt of unknown outcome.
type moveOutcome interface {
	// cause is the error of the last attempt, if any.
	cause() error
}

// moveDone means that the move is stored; version is the version of the job's key in this cell.
type moveDone struct{ version platform.Version }

// moveJobMissing means that the store no longer holds the job: it has ended, in this cell or in the other cell.
type moveJobMissing struct{}

// moveRejected means that no attempt has moved the work, and that none still in flight can.
type moveRejected struct {
	err error
	// permanent is set if the job as a whole can never be moved to that cell.
	permanent bool
}

// moveUnresolved means that an attempt may have moved the work, or may still do so.
type moveUnresolved struct{ err error }

func (moveDone) cause() error         { return nil }
func (moveJobMissing) cause() error   { return nil }
func (o moveRejected) cause() error   { return o.err }
func (o moveUnresolved) cause() error { return o.err }

// failure returns the outcome after an attempt that certainly had no effect. A move that the store does not accept will not be
// accepted later either.
func (m *move) failure(err error) moveOutcome {
	if m.unresolved {
		return moveUnresolved{err}
	}
	return moveRejected{err: err, permanent: isInvalid(err)}
}

const (
	// maxMovesPerTurn is how many moves are prepared until the owner's changes have their turn again: those of one query. The
	// records of all of them are read at the same time.
	maxMovesPerTurn = maxMovesInProgress
	// maxMoveTxnsPerTurn is how many transactions store moves until the owner's changes have their turn again. Moves that these do
	// not hold are prepared again in the next turn.
	maxMoveTxnsPerTurn = 8
)

// executeMoves stores the next pending moves, as part of the owner's chain of transactions. It reports whether there are others
// that have not been tried yet.
func (o *Owner) executeMoves(ctx context.Context) (more bool) {
	moves := o.nextMoves()
	batches := batchMoves(o.prepareMoves(ctx, moves, len(moves) > 1))
	for _, batch := range batches[:min(maxMoveTxnsPerTurn, len(batches))] {
		o.storeMoves(ctx, batch)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(moves) > 0 {
		wake(o.wakeDecide)
	}
	if len(moves) > 0 && len(o.moves) == 0 {
		wake(o.wakeMove) // for the work that has found no place beside these
	}
	return slices.ContainsFunc(o.moves, func(m *move) bool { return !m.unresolved })
}

// nextMoves returns the moves to be tried next: first those that have not been tried yet, then those that were tried longest
// ago.
func (o *Owner) nextMoves() []*move {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.SortStableFunc(o.moves, func(a, b *move) int {
		switch {
		case a.unresolved == b.unresolved:
			return 0
		case a.unresolved:
			return 1
		default:
			return -1
		}
	})
	return slices.Clone(o.moves[:min(maxMovesPerTurn, len(o.moves))])
}

// readMove is the result of readRecords for a move.
type readMove struct {
	records moveRecords
	// assumed is set if the record in the other cell was not read and is assumed to be absent.
	assumed bool
	err     error
}

// readAllRecords reads the records that each of the moves depends on. With assumeAbsent, it saves the reads of records that must be
// absent in the other cell.
func (o *Owner) readAllRecords(ctx context.Context, moves []*move, assumeAbsent bool) []readMove {
	read := make([]readMove, len(moves))
	var group conc.WaitGroup
	for n, m := range moves {
		read[n].assumed = assumeAbsent && m.Whole && !m.unresolved
		group.Go(func() { read[n].records, read[n].err = o.readRecords(ctx, m, read[n].assumed) })
	}
	group.Wait()
	return read
}

// finishMove tells the core in which cell the work is after a move. A move of unknown outcome stays in the list
// and is retried with the records that the store holds then.
func (o *Owner) finishMove(m *move, outcome moveOutcome) {
	o.cells.health.record(outcome.cause())
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome := outcome.(type) {
	case moveUnresolved:
		o.moves = append(slices.DeleteFunc(o.moves, func(other *move) bool { return other == m }), m)
		return
	case moveDone:
		o.core.Moved(m.Move, uint64(outcome.version))
		o.config.Scope.Counter("jobs_moved").Inc(1)
	case moveJobMissing:
		o.core.MoveJobMissing(m.Move)
	case moveRejected:
		o.core.CancelMove(m.Move, outcome.permanent)
		o.config.Logger.Info("work is not moved to another cell", append(log.Err(outcome.err), zap.String("job", string(m.Job)),
			zap.String("cell", string(m.To)))...)
	}
	o.moves = slices.DeleteFunc(o.moves, func(other *move) bool { return other == m })
}

// errJobEnded reports that a job has ended in one of the cells.
var errJobEnded = errors.New("job has ended")

// errPreviouslyInCell reports that the other cell already has a record of a job that moves as a whole.
var errPreviouslyInCell = errors.New("job has been in the other cell before")

// prepareMove returns the transaction that stores a move, on condition that the records are as they were read. The outcome is set
// instead if the records decide the move.
func (o *Owner) prepareMove(m *move, read readMove) (txn platform.Txn, outcome moveOutcome) {
	if read.err != nil {
		return txn, m.failure(read.err)
	}
	records := read.records
	switch here := records[o.cell]; {
	case here.Version == 0:
		return txn, moveJobMissing{}
	case here.Ended != "": // which forbids all attempts
		o.learnEnd(here)
		return txn, moveRejected{err: errJobEnded}
	case !o.stillMoving(m, here):
		return txn, moveDone{platform.Version(here.Version)} // done by a transaction of unknown outcome
	case records.forbidMove():
		return txn, moveRejected{err: errJobEnded}
	case m.Whole && records[m.To].Version != 0:
		return txn, moveRejected{err: errPreviouslyInCell, permanent: true}
	}
	txn, err := o.moveTxn(m, records)
	if err != nil {
		return txn, m.failure(err)
	}
	return txn, nil
}

// moveRecords are the records of a job that a move depends on, by cell: those of the source cell and the target
// cell and, if the source is an additional cell, that of the cell whose record names the source.
type moveRecords map[jobs.CellName]jobs.Record

// readRecords reads the records that a move depends on, that of this cell last. If the others forbid the move, no earlier
// attempt can take effect from then on, and the record in this cell then shows whether an attempt did before. In the other
// order, an attempt that takes effect between the reads, and whose work ends at once, would be mistaken for an attempt
// that can't take effect. With assumeAbsent, the record in the other cell is not read, but taken to be absent.
func (o *Owner) readRecords(ctx context.Context, m *move, assumeAbsent bool) (moveRecords, error) {
	records := moveRecords{m.To: {}}
	cells := slices.Compact([]jobs.CellName{m.To, cmp.Or(m.Home, o.cell), o.cell})
	if assumeAbsent {
		cells = cells[1:]
	}
	for _, cell := range cells {
		record, err := o.readRecord(ctx, cell, m.Job)
		if err != nil {
			return nil, err
		}
		records[cell] = record
	}
	return records, nil
}

// forbidMove reports whether the job has ended in one of the cells, or is closed to moves.
func (r moveRecords) forbidMove() bool {
	for _, record := range r {
		if record.Ended != "" || record.MovesClosed {
			return true
		}
	}
	return false
}

// stillMoving reports whether the tasks of a move are still in this cell, by its current record.
func (o *Owner) stillMoving(m *move, here jobs.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.StillMoving(m.Move, here)
}

// moveTxn returns the transaction of a move, which takes the tasks out of the record in this cell and adds them to the record in
// the other cell, on condition that the records are as they were read. A cancellation in either cell forbids the move: the daemon that
// stored it has read which cells had the job.
func (o *Owner) moveTxn(m *move, records moveRecords) (platform.Txn, error) {
	var txn platform.Txn
	for cell, record := range records {
		txn.Require = append(txn.Require, platform.Precondition{Key: jobKey(cell, m.Job), Version: platform.Version(record.Version)})
	}
	for _, cell := range []jobs.CellName{o.cell, m.To} {
		txn.Require = append(txn.Require, platform.Precondition{Key: cancelKey(cell, m.Job)})
	}
	after := records.afterMove(m, o.cell)
	var puts []keyValue
	for cell, record := range after {
		if record.Home != "" && record.AllTasksMoved() { // an additional cell that has no tasks left keeps no keys
			txn.Delete = append(txn.Delete, jobKey(cell, m.Job), progressKey(cell, m.Job))
			continue
		}
		puts = append(puts, keyValue{jobKey(cell, m.Job), record})
	}
	writes, err := encodeWrites(puts)
	txn.Put = writes
	return txn, err
}

// afterMove returns the records that a move changes, as they are after it.
func (r moveRecords) afterMove(m *move, from jobs.CellName) moveRecords {
	here := r[from]
	rest, received := here.WithoutTasks(m.Tasks), r.receivingRecord(m, from)
	namingCell := cmp.Or(m.Home, from)
	entersAdditional := m.toAdditionalCell && r[m.To].Version == 0
	if entersAdditional {
		received.Home = namingCell
	}
	after := moveRecords{from: rest, m.To: received}
	if entersAdditional {
		after.updateAdditionalCells(r, namingCell, func(cells []jobs.CellName) []jobs.CellName { return append(cells, m.To) })
	}
	if m.Home != "" && rest.AllTasksMoved() {
		after.updateAdditionalCells(r, namingCell, func(cells []jobs.CellName) []jobs.CellName {
			return slices.DeleteFunc(cells, func(cell jobs.CellName) bool { return cell == from })
		})
	}
	return after
}

// receivingRecord returns the record of the target cell after the move.
func (r moveRecords) receivingRecord(m *move, from jobs.CellName) jobs.Record {
	here, there := r[from], r[m.To]
	received := here.NewPart(m.Tasks, m.HighestRun)
	if there.Version != 0 {
		received = there.WithTasks(m.Tasks, m.HighestRun)
	}
	received.Suspected = received.Suspected.MergedWith(m.Suspected)
	return received
}

// updateAdditionalCells changes the list of additional cells that a cell's record names. A record that the move has
// not changed yet is taken from before.
func (r moveRecords) updateAdditionalCells(before moveRecords, cell jobs.CellName, change func([]jobs.CellName) []jobs.CellName) {
	record, changed := r[cell]
	if !changed {
		record = before[cell]
		record.Rewritten = true
	}
	record.AdditionalCells = change(slices.Clone(record.AdditionalCells))
	r[cell] = record
}

// readRecord reads a job's record in a cell; its version is 0 if there is none.
func (o *Owner) readRecord(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobs.Record, error) {
	record, version, err := readWithVersion[jobs.Record](ctx, o.config.Store, jobKey(cell, id))
	record.Version = uint64(version)
	return record, err
}
