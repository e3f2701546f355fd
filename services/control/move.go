// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

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
	to jobs.CellName
	// unsure: a transaction without answer may have moved it, or may still do so.
	unsure bool
}

const (
	// moveEvery is how often work without a place is looked for.
	moveEvery = 200 * time.Millisecond
	// movePause lets some jobs gather that wait to be offered.
	movePause = 10 * time.Millisecond
	// movesAtOnce bounds the jobs that are offered at once: each costs two reads and a
	// transaction of some milliseconds, between which nothing else of the cell is stored.
	movesAtOnce = 8
)

// moveLoop offers work that finds no place here to the other cells that it may be in.
func (o *Owner) moveLoop(ctx context.Context) {
	if !o.cells.several() {
		return
	}
	layout := o.cells.layout()
	ticker := time.NewTicker(moveEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeMove:
		}
		sleep(ctx, movePause)
		if !o.cells.health.good() {
			continue
		}
		o.mu.Lock()
		var offers []dispatch.Move
		if len(o.moves) == 0 {
			offers = o.core.Movable(movesAtOnce, time.Now())
		}
		o.mu.Unlock()
		for n := range layout.Cells {
			if cell := cellName(n); cell != o.cell && len(offers) > 0 {
				offers = o.offer(ctx, cell, offers, layout)
			}
		}
	}
}

// offer asks the owner of a cell how much of the work finds a place there, begins to move
// that, and gives the other work.
func (o *Owner) offer(ctx context.Context, to jobs.CellName, offers []dispatch.Move, layout *jobs.Layout) []dispatch.Move {
	var fitting, others []dispatch.Move
	query := jobs.Query{Cell: to}
	for _, offer := range offers {
		if !slices.Contains(cellsOf(offer.Job, layout), to) {
			others = append(others, offer)
			continue
		}
		fitting = append(fitting, offer)
		query.Demands = append(query.Demands, offer.Demand)
	}
	if len(fitting) == 0 {
		return others
	}
	answer, err := o.cells.ask(ctx, query)
	if err != nil || len(answer.Places) != len(fitting) {
		return offers // its owner can't be asked now; the work is offered again
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, offer := range fitting {
		if !o.begin(offer, to, answer.Places[i]) {
			others = append(others, offer)
		}
	}
	if len(o.moves) > 0 {
		wake(o.wakeStore)
	}
	return others
}

// begin begins to move as much of the work as finds a place in the other cell.
func (o *Owner) begin(offer dispatch.Move, to jobs.CellName, places int) bool {
	if places == 0 || offer.Whole && places < offer.Demand.Step.Count {
		return false
	}
	if !offer.Whole {
		offer.Limit(places)
	}
	if !o.core.BeginMove(offer) {
		return false
	}
	o.moves = append(o.moves, &move{Move: offer, to: to})
	return true
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
		o.core.KeepMove(m.Move)
		o.config.Logger.Info("work is not handed to another cell", append(log.Err(err), zap.String("job", string(m.Job)),
			zap.String("cell", string(m.to)))...)
	}
	o.moves = slices.DeleteFunc(o.moves, func(other *move) bool { return other == m })
}

// errNotMovable says that a move can't be done any more, also by a transaction that is
// still on its way.
var errNotMovable = errors.New("job is cancelled or has ended")

// carryOut hands work to another cell: in one transaction the record here loses the tasks
// and the one there gets them.
func (o *Owner) carryOut(ctx context.Context, m *move) (platform.Version, error) {
	here, err := o.readRecord(ctx, o.cell, m.Job)
	if err != nil {
		return 0, err
	}
	there, err := o.readRecord(ctx, m.to, m.Job)
	switch {
	case err != nil:
		return 0, err
	case here.Version == 0 || here.Ended != "" || there.Ended != "":
		return 0, errNotMovable
	}
	o.mu.Lock()
	still := o.core.StillMoving(m.Move, here)
	o.mu.Unlock()
	if !still {
		return platform.Version(here.Version), nil // a transaction without answer has done it
	}
	if m.Whole && there.Version != 0 {
		return 0, errors.Newf("job has been in cell %s before", m.to)
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
	writes, err := encode([]put{{jobKey(o.cell, m.Job), here.Without(m.Tasks)}, {jobKey(m.to, m.Job), sum}})
	return platform.Txn{
		Require: []platform.Precondition{
			{Key: jobKey(o.cell, m.Job), Version: platform.Version(here.Version)},
			{Key: jobKey(m.to, m.Job), Version: platform.Version(there.Version)},
			{Key: cancelKey(o.cell, m.Job)},
			{Key: cancelKey(m.to, m.Job)},
		},
		Put: writes,
	}, err
}

// readRecord reads a job's record in a cell; one with version 0 when there is none.
func (o *Owner) readRecord(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobs.Record, error) {
	stored, err := o.config.Store.Get(ctx, jobKey(cell, id))
	if errors.Is(err, platform.ErrNotFound) {
		return jobs.Record{}, nil
	}
	if err != nil {
		return jobs.Record{}, err
	}
	return decodeRecord(stored)
}
