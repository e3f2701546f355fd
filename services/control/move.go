// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
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
	// unsure: a transaction without answer may have moved it, or may still do so.
	unsure bool
}

// carryOutMoves stores moves one by one, as part of the owner's chain of transactions.
func (o *Owner) carryOutMoves(ctx context.Context) {
	o.mu.Lock()
	moves := slices.Clone(o.moves)
	o.mu.Unlock()
	for _, m := range moves {
		version, err := o.carryOut(ctx, m)
		o.cells.health.note(err)
		o.mu.Lock()
		o.finishMove(m, version, err)
		o.mu.Unlock()
	}
	if len(moves) > 0 {
		wake(o.wakeDecide)
	}
}

// finishMove draws from the outcome of a move where the work is now. A move whose outcome
// isn't known stays, and is tried again with what the store says then.
func (o *Owner) finishMove(m *move, version platform.Version, err error) {
	switch {
	case err == nil:
		o.core.Moved(m.Move, uint64(version))
		o.config.Scope.Counter("jobs_moved").Inc(1)
	case errors.Is(err, platform.ErrUnknown):
		m.unsure = true
		return
	case m.unsure && !errors.Is(err, errNotMovable):
		return
	default:
		o.core.KeepMove(m.Move, errors.Is(err, errBeenThere))
		o.config.Logger.Info("work is not handed to another cell", append(log.Err(err), zap.String("job", string(m.Job)),
			zap.String("cell", string(m.To)))...)
	}
	o.moves = slices.DeleteFunc(o.moves, func(other *move) bool { return other == m })
}

// errNotMovable says that a move can't be done any more, also by a transaction that is
// still on its way.
var errNotMovable = errors.New("job is cancelled or has ended")

// errBeenThere says that a job as a whole was in the other cell before.
var errBeenThere = errors.New("job has been in the other cell before")

// carryOut hands work to another cell: in one transaction the record here loses the tasks
// and the one there gets them.
func (o *Owner) carryOut(ctx context.Context, m *move) (platform.Version, error) {
	here, err := o.readRecord(ctx, o.cell, m.Job)
	if err != nil {
		return 0, err
	}
	if here.Version == 0 || here.Ended != "" {
		return 0, errNotMovable
	}
	o.mu.Lock()
	still := o.core.StillMoving(m.Move, here)
	o.mu.Unlock()
	if !still {
		return platform.Version(here.Version), nil // a transaction without answer has done it
	}
	there, err := o.readRecord(ctx, m.To, m.Job)
	switch {
	case err != nil:
		return 0, err
	case there.Ended != "":
		return 0, errNotMovable
	case m.Whole && there.Version != 0:
		return 0, errBeenThere
	}
	txn, err := o.moveTxn(m, here, there)
	if err != nil {
		return 0, err
	}
	return o.chain(ctx, txn)
}

// moveTxn is the transaction of a move. A cancellation, here or there, bars it: the daemon
// that stores one has seen where the job was.
func (o *Owner) moveTxn(m *move, here, there jobs.Record) (platform.Txn, error) {
	sum := here.NewPart(m.Tasks, m.LeastRun)
	if there.Version != 0 {
		sum = there.WithTasks(m.Tasks, m.LeastRun)
	}
	writes, err := encode([]put{{jobKey(o.cell, m.Job), here.Without(m.Tasks)}, {jobKey(m.To, m.Job), sum}})
	return platform.Txn{
		Require: []platform.Precondition{
			{Key: jobKey(o.cell, m.Job), Version: platform.Version(here.Version)},
			{Key: jobKey(m.To, m.Job), Version: platform.Version(there.Version)},
			{Key: cancelKey(o.cell, m.Job)},
			{Key: cancelKey(m.To, m.Job)},
		},
		Put: writes,
	}, err
}

// readRecord reads a job's record in a cell; one with version 0 when there is none.
func (o *Owner) readRecord(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobs.Record, error) {
	record, version, err := readVersion[jobs.Record](ctx, o.config.Store, jobKey(cell, id))
	record.Version = uint64(version)
	return record, err
}
