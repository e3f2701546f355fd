// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// move is work on its way to another cell.
type move struct {
	dispatch.Move
	// further: the other cell does not follow from the job's id.
	further bool
	// unresolved: a transaction without answer may have moved it, or may still do so.
	unresolved bool
}

// moveOutcome is what became of all tries of a move together: moveDone, moveJobGone, moveRejected or
// moveUnresolved. The set is closed, and a value is one of them only, so that the denial of the last
// try can't be taken for that of an earlier one without answer.
type moveOutcome interface {
	// cause is the error of the last try, if it had one.
	cause() error
}

// moveDone: the move is stored, with that version of the job's key.
type moveDone struct{ version platform.Version }

// moveJobGone: the store does not hold the job any more; it has ended, here or there.
type moveJobGone struct{}

// moveRejected: no try has done it, and none that is still on its way can.
type moveRejected struct {
	err error
	// permanent: the job can't be moved there as a whole.
	permanent bool
}

// moveUnresolved: a try may have done it, or may still do so.
type moveUnresolved struct{ err error }

func (moveDone) cause() error         { return nil }
func (moveJobGone) cause() error      { return nil }
func (o moveRejected) cause() error   { return o.err }
func (o moveUnresolved) cause() error { return o.err }

// failure is the outcome after a try that was certainly not done.
func (m *move) failure(err error) moveOutcome {
	if m.unresolved {
		return moveUnresolved{err}
	}
	return moveRejected{err: err}
}

// carryOutMoves stores moves one by one, as part of the owner's chain of transactions.
func (o *Owner) carryOutMoves(ctx context.Context) {
	o.mu.Lock()
	moves := slices.Clone(o.moves)
	o.mu.Unlock()
	for _, m := range moves {
		outcome := o.executeMove(ctx, m)
		o.cells.health.note(outcome.cause())
		o.mu.Lock()
		o.finishMove(m, outcome)
		o.mu.Unlock()
	}
	if len(moves) > 0 {
		wake(o.wakeDecide)
	}
}

// finishMove draws from the outcome of a move where the work is now. A move whose outcome
// isn't known stays, and is tried again with what the store says then.
func (o *Owner) finishMove(m *move, outcome moveOutcome) {
	switch outcome := outcome.(type) {
	case moveUnresolved:
		return
	case moveDone:
		o.core.Moved(m.Move, uint64(outcome.version))
		o.config.Scope.Counter("jobs_moved").Inc(1)
	case moveJobGone:
		o.core.MoveGone(m.Move)
	case moveRejected:
		o.core.KeepMove(m.Move, outcome.permanent)
		o.config.Logger.Info("work is not handed to another cell", append(log.Err(outcome.err), zap.String("job", string(m.Job)),
			zap.String("cell", string(m.To)))...)
	}
	o.moves = slices.DeleteFunc(o.moves, func(other *move) bool { return other == m })
}

// errJobEnded says that a job has ended in one of the cells.
var errJobEnded = errors.New("job has ended")

// errPreviouslyInCell says that a job as a whole was in the other cell before.
var errPreviouslyInCell = errors.New("job has been in the other cell before")

// executeMove hands work to another cell: in one transaction the record here loses the tasks
// and the one there gets them.
func (o *Owner) executeMove(ctx context.Context, m *move) moveOutcome {
	// The other records are read before the one here: if they bar the move, no earlier try can be
	// done from then on, and the record here shows afterwards whether one was done before. In the
	// other order, one that is done between the reads, and whose work ends at once, would be
	// taken for one that can't be done.
	records, err := o.readRecords(ctx, m)
	if err != nil {
		return m.failure(err)
	}
	switch here := records[o.cell]; {
	case here.Version == 0:
		return moveJobGone{}
	case here.Ended != "": // by this owner: the job was cancelled here, which bars all tries
		return moveRejected{err: errJobEnded}
	case !o.stillMoving(m, here):
		return moveDone{platform.Version(here.Version)} // a transaction without answer has done it
	case records.forbidMove():
		return moveRejected{err: errJobEnded}
	case m.Whole && records[m.To].Version != 0:
		return moveRejected{err: errPreviouslyInCell, permanent: true}
	}
	return o.tryMove(ctx, m, records)
}

// moveRecords are a job's records that a move depends on, by cell: of the one that has the tasks, the one that
// gets them, and the one whose record names the former, if the former is a further cell.
type moveRecords map[jobs.CellName]jobs.Record

// readRecords reads them, the one here last.
func (o *Owner) readRecords(ctx context.Context, m *move) (moveRecords, error) {
	records := moveRecords{}
	for _, cell := range []jobs.CellName{m.To, cmp.Or(m.Home, o.cell), o.cell} {
		record, err := o.readRecord(ctx, cell, m.Job)
		if err != nil {
			return nil, err
		}
		records[cell] = record
	}
	return records, nil
}

// forbidMove tells whether the job has ended in one of the cells, or is closed.
func (r moveRecords) forbidMove() bool {
	for _, record := range r {
		if record.Ended != "" || record.Closed {
			return true
		}
	}
	return false
}

// stillMoving tells whether the tasks of a move are still here, by the record as it is now.
func (o *Owner) stillMoving(m *move, here jobs.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.StillMoving(m.Move, here)
}

// tryMove tries a move between the records as they were read.
func (o *Owner) tryMove(ctx context.Context, m *move, records moveRecords) moveOutcome {
	txn, err := o.moveTxn(m, records)
	if err != nil {
		return m.failure(err)
	}
	version, err := o.chain(ctx, txn)
	switch {
	case err == nil:
		return moveDone{version}
	case errors.Is(err, platform.ErrUnknown):
		m.unresolved = true
	}
	return m.failure(err)
}

// moveTxn is the transaction of a move. A cancellation, here or there, bars it: the daemon
// that stores one has seen where the job was.
func (o *Owner) moveTxn(m *move, records moveRecords) (platform.Txn, error) {
	var txn platform.Txn
	for cell, record := range records {
		txn.Require = append(txn.Require, platform.Precondition{Key: jobKey(cell, m.Job), Version: platform.Version(record.Version)})
	}
	for _, cell := range []jobs.CellName{o.cell, m.To} {
		txn.Require = append(txn.Require, platform.Precondition{Key: cancelKey(cell, m.Job)})
	}
	after := records.afterMove(m, o.cell)
	var puts []put
	for cell, record := range after {
		if record.Home != "" && record.Left() { // a further cell is named no more, and keeps nothing
			txn.Delete = append(txn.Delete, jobKey(cell, m.Job), progressKey(cell, m.Job))
			continue
		}
		puts = append(puts, put{jobKey(cell, m.Job), record})
	}
	writes, err := encode(puts)
	txn.Put = writes
	return txn, err
}

// afterMove gives the records that a move changes as they are after it.
func (r moveRecords) afterMove(m *move, from jobs.CellName) moveRecords {
	here := r[from]
	rest, sum := here.Without(m.Tasks), r.receivingRecord(m, from)
	naming := cmp.Or(m.Home, from)
	comes := m.further && r[m.To].Version == 0
	if comes {
		sum.Home = naming
	}
	after := moveRecords{from: rest, m.To: sum}
	if comes {
		after.setFurther(r, naming, func(cells []jobs.CellName) []jobs.CellName { return append(cells, m.To) })
	}
	if m.Home != "" && rest.Left() {
		after.setFurther(r, naming, func(cells []jobs.CellName) []jobs.CellName {
			return slices.DeleteFunc(cells, func(cell jobs.CellName) bool { return cell == from })
		})
	}
	return after
}

// receivingRecord is the record of the cell that gets the tasks.
func (r moveRecords) receivingRecord(m *move, from jobs.CellName) jobs.Record {
	here, there := r[from], r[m.To]
	sum := here.NewPart(m.Tasks, m.LeastRun)
	if there.Version != 0 {
		sum = there.WithTasks(m.Tasks, m.LeastRun)
	}
	sum.Suspected = sum.Suspected.With(m.Suspected)
	return sum
}

// setFurther changes which further cells a cell's record names; as it was before, if the move has not changed it yet.
func (r moveRecords) setFurther(before moveRecords, cell jobs.CellName, change func([]jobs.CellName) []jobs.CellName) {
	record, changed := r[cell]
	if !changed {
		record = before[cell]
		record.Moved = true
	}
	record.Further = change(slices.Clone(record.Further))
	r[cell] = record
}

// readRecord reads a job's record in a cell; one with version 0 when there is none.
func (o *Owner) readRecord(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobs.Record, error) {
	record, version, err := readVersion[jobs.Record](ctx, o.config.Store, jobKey(cell, id))
	record.Version = uint64(version)
	return record, err
}
