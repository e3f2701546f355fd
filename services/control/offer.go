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
	// moveInterval is how often work without a place is looked for: twice in the time after which
	// package dispatch lists it.
	moveInterval = 200 * time.Millisecond
	// moveBatchPause lets some jobs gather that wait to be offered.
	moveBatchPause = 10 * time.Millisecond
	// maxOffersPerQuery bounds the jobs that one call asks about: the other cell's owner looks at all its
	// workers for each. With some hundred jobs waiting, each has its turn within a second.
	maxOffersPerQuery = 32
	// maxMovesInProgress bounds the jobs that move at once: each costs two reads and a transaction of
	// some milliseconds, between which nothing else of the cell is stored.
	maxMovesInProgress = 8
)

// moveLoop offers work that finds no place here to the other cells that it may be in, and cancels jobs in
// further cells that a daemon has left behind.
func (o *Owner) moveLoop(ctx context.Context) {
	if !o.cells.several() {
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
		if o.cells.health.good() {
			o.offerAll(ctx, layout)
			o.finishCancellations(ctx)
		}
	}
}

// offerAll offers work to one cell after the other, until all of it is on its way: first to those that follow
// from the job's id, where it is found without being looked for.
func (o *Owner) offerAll(ctx context.Context, layout *jobs.Layout) {
	offers := o.movableWork()
	for _, further := range []bool{false, true} {
		for _, cell := range o.cells.others(o.cell) {
			if len(offers) > 0 {
				offers = o.offerTo(ctx, offerTarget{cell: cell, further: further}, offers, layout)
			}
		}
	}
}

// offerTarget is a cell that work is offered to.
type offerTarget struct {
	cell jobs.CellName
	// further: work is offered to it whose job's id does not lead there, otherwise work whose id does.
	further bool
}

// accepts tells whether work is offered to the cell. A job that moves as a whole stays where it is looked for.
func (t offerTarget) accepts(offer dispatch.Move, layout *jobs.Layout) bool {
	if t.further && offer.Whole {
		return false
	}
	return slices.Contains(cellsOf(offer.Job, layout), t.cell) != t.further
}

// movableWork lists work to be offered; none while a move is not over.
func (o *Owner) movableWork() []dispatch.Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.moves) > 0 {
		return nil
	}
	return o.core.Movable(maxOffersPerQuery, o.config.Clock.Now())
}

// offerTo asks the owner of a cell how much of the work that may go there finds a place, begins to move
// that, and gives the other work.
func (o *Owner) offerTo(ctx context.Context, to offerTarget, offers []dispatch.Move, layout *jobs.Layout) []dispatch.Move {
	var fitting, others []dispatch.Move
	query := jobs.Query{Cell: to.cell}
	for _, offer := range offers {
		if !to.accepts(offer, layout) {
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
		if !o.startMove(offer, to, answer.Places[i]) {
			others = append(others, offer)
		}
	}
	if len(o.moves) > 0 {
		wake(o.wakeStore)
	}
	return others
}

// startMove begins to move as much of the work as finds a place in the other cell.
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
	o.moves = append(o.moves, &move{Move: offer, further: to.further})
	return true
}

// finishCancellations goes on with the cancellation of closed jobs: the daemon that has begun it may have gone.
func (o *Owner) finishCancellations(ctx context.Context) {
	o.mu.Lock()
	closed := o.closed
	o.closed = nil
	o.mu.Unlock()
	for _, id := range closed {
		if _, done := o.cells.cancelAgain(ctx, id).(platform.Done); done {
			continue
		}
		o.mu.Lock()
		o.closed = append(o.closed, id)
		o.mu.Unlock()
	}
}
