// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

const (
	// moveInterval is how often the owner checks for unplaced work: twice within the time after which package
	// dispatch lists such work.
	moveInterval = 200 * time.Millisecond
	// moveBatchPause lets several waiting jobs accumulate, so that they are offered in one query.
	moveBatchPause = 10 * time.Millisecond
	// maxOffersPerQuery limits the jobs in one query, because the other cell's owner checks all its workers for
	// each job. With some hundred jobs waiting, each has its turn within two seconds.
	maxOffersPerQuery = 32
	// maxMovesInProgress limits the jobs that move at once: those of one query. Until its turn comes, each of them runs in neither
	// cell.
	maxMovesInProgress = maxOffersPerQuery
)

// moveLoop offers work that finds no place in this cell to other cells, and finishes cancellations that another
// daemon has left unfinished.
func (o *Owner) moveLoop(ctx context.Context) {
	if !o.cells.hasMultipleCells() {
		return
	}
	layout := o.cells.layout()
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeMove:
		}
		sleep(ctx, moveBatchPause)
		if o.cells.health.available() {
			o.offerAll(ctx, layout)
			o.finishCancellations(ctx)
		}
	}
}

// offerAll offers work to one cell after the other until all of it is being moved. The cells that the job's ID maps
// to come first, because a job is found there without reading which additional cells it has.
func (o *Owner) offerAll(ctx context.Context, layout *jobs.Layout) {
	offers := o.movableWork()
	for _, additional := range []bool{false, true} {
		for _, cell := range o.cells.otherCells(o.cell) {
			if len(offers) > 0 {
				offers = o.offerTo(ctx, offerTarget{cell: cell, additional: additional}, offers, layout)
			}
		}
	}
}

// offerTarget is a cell that work is offered to.
type offerTarget struct {
	cell jobs.CellName
	// additional is set if the cell is offered jobs whose ID does not map to it, instead of jobs whose ID does.
	additional bool
}

// accepts reports whether work may be offered to the cell. A job that moves as a whole stays in the cells that its ID
// maps to.
func (t offerTarget) accepts(offer dispatch.Move, layout *jobs.Layout) bool {
	if t.additional && offer.Whole {
		return false
	}
	return slices.Contains(cellsForJob(offer.Job, layout), t.cell) != t.additional
}

// movableWork lists the work to offer; it is empty while moves are in progress.
func (o *Owner) movableWork() []dispatch.Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.moves) > 0 {
		return nil
	}
	return o.core.Movable(maxOffersPerQuery, o.config.Clock.Now())
}

// offerTo asks the owner of a cell how much of the work finds a place there, starts to move that part, and returns
// the rest.
func (o *Owner) offerTo(ctx context.Context, to offerTarget, offers []dispatch.Move, layout *jobs.Layout) []dispatch.Move {
	var fitting, rest []dispatch.Move
	query := jobs.Query{Cell: to.cell}
	for _, offer := range offers {
		if !to.accepts(offer, layout) {
			rest = append(rest, offer)
			continue
		}
		fitting = append(fitting, offer)
		query.Demands = append(query.Demands, offer.Demand)
	}
	if len(fitting) == 0 {
		return rest
	}
	answer, err := o.cells.queryOwner(ctx, query)
	if err != nil || len(answer.Places) != len(fitting) {
		return offers // the owner can't be asked now; the work is offered again later
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, offer := range fitting {
		if !o.startMove(offer, to, answer.Places[i]) {
			rest = append(rest, offer)
		}
	}
	if len(o.moves) > 0 {
		wake(o.wakeStore)
	}
	return rest
}

// startMove starts to move as much of the work as finds a place in the other cell. It returns false if none does.
func (o *Owner) startMove(offer dispatch.Move, to offerTarget, places int) bool {
	if places == 0 || offer.Whole && places < offer.Demand.Step.Count || len(o.moves) >= maxMovesInProgress {
		return false
	}
	if !offer.Whole {
		offer.Limit(places)
	}
	if !o.core.BeginMove(offer) {
		return false
	}
	offer.To = to.cell
	o.moves = append(o.moves, &move{Move: offer, toAdditionalCell: to.additional})
	return true
}

// finishCancellations continues the cancellation of jobs that are closed to moves (jobs.Record.MovesClosed), because
// the daemon that began the cancellation may be lost.
func (o *Owner) finishCancellations(ctx context.Context) {
	o.mu.Lock()
	unfinished := o.unfinishedCancels
	o.unfinishedCancels = nil
	o.mu.Unlock()
	for _, id := range unfinished {
		if _, done := o.cells.resumeCancel(ctx, id).(platform.Done); done {
			continue
		}
		o.mu.Lock()
		o.unfinishedCancels = append(o.unfinishedCancels, id)
		o.mu.Unlock()
	}
}
