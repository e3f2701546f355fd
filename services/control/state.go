// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// State returns the state of a job. The owners of its cells have the latest state; the store is read when
// no owner knows the job or can be asked.
func (s *Service) State(ctx context.Context, id jobs.ID) (jobs.State, error) {
	if id.Check() != nil {
		return "", platform.ErrNotFound
	}
	layout := s.Cells.layout()
	if layout == nil {
		return "", platform.ErrUnavailable
	}
	if known := s.queryState(ctx, id, layout); known != "" {
		return known, nil
	}
	return s.storedState(ctx, id, layout)
}

// stateOrder lists the states of a job as different cells may tell them, each of which takes precedence over those
// before it. An end is stored in all cells before any of them tells it, but their owners learn of it one after the other.
var stateOrder = []jobs.State{"", jobs.StateQueued, jobs.StateRunning, jobs.StateCancelled, jobs.StateFailed, jobs.StateSucceeded, jobs.StateBarred}

// combineStates returns the state of a job of which two cells tell different states.
func combineStates(a, b jobs.State) jobs.State {
	return stateOrder[max(slices.Index(stateOrder, a), slices.Index(stateOrder, b), 0)]
}

// cellView is what owners tell about a job.
type cellView struct {
	state      jobs.State // empty if no owner that was asked knows the job
	whole      bool       // one of the owners has all tasks of the job
	additional []jobs.CellName
}

// with returns the combination of what two owners tell.
func (v cellView) with(other cellView) cellView {
	return cellView{combineStates(v.state, other.state), v.whole || other.whole, append(v.additional, other.additional...)}
}

// complete reports whether no further owner can tell a different state.
func (v cellView) complete() bool {
	return v.state.Ended() || v.state == jobs.StateRunning && v.whole
}

// queryState asks the owners of a job's cells for its state; the state is empty if none of them knows the job.
func (s *Service) queryState(ctx context.Context, id jobs.ID, layout *jobs.Layout) jobs.State {
	var view cellView
	for _, cell := range cellsForJob(id, layout) {
		if view = view.with(s.queryCell(ctx, id, cell)); view.complete() {
			return view.state
		}
	}
	there := make([]cellView, len(view.additional)) // each cell is named by one record only
	var group conc.WaitGroup
	for i, cell := range view.additional {
		group.Go(func() { there[i] = s.queryCell(ctx, id, cell) })
	}
	group.Wait()
	for _, other := range there {
		view = view.with(other)
	}
	return view.state
}

// queryCell asks the owner of a cell about a job.
func (s *Service) queryCell(ctx context.Context, id jobs.ID, cell jobs.CellName) cellView {
	answer, err := s.Cells.queryOwner(ctx, jobs.Query{Cell: cell, Jobs: []jobs.ID{id}})
	if err != nil {
		return cellView{}
	}
	state, known := answer.States[id]
	additional, divided := answer.AdditionalCells[id]
	return cellView{state: state, whole: known && !divided, additional: additional}
}

// storedState reads a job's state from the store.
func (s *Service) storedState(ctx context.Context, id jobs.ID, layout *jobs.Layout) (jobs.State, error) {
	// Checked before the store is read: a write that completes in between is then included in the read.
	pending, unresolved := s.submissions.pendingWrite(id)
	entries, err := s.readEntries(ctx, id, layout)
	switch {
	case err != nil:
		return "", err
	case entries.stored():
		return entries.state(), nil
	case pending == writeInFlight, pending == writeUnresolved && s.storedStatusOf(ctx, id, unresolved) != statusAbsent:
		return "", errors.Mark(errors.New("job is being handed in, or its acceptance is in doubt"), platform.ErrUnavailable)
	default:
		return "", platform.ErrNotFound
	}
}

// Pending counts the jobs of a queue, over all cells, of which no task has started.
func (s *Service) Pending(ctx context.Context, queue jobs.QueueName) (int, error) {
	layout := s.Cells.layout()
	if layout == nil {
		return 0, platform.ErrUnavailable
	}
	total := 0
	for n := range layout.Cells {
		answer, err := s.Cells.queryOwner(ctx, jobs.Query{Cell: cellName(n), Pending: true})
		if err != nil {
			return 0, errors.Mark(err, platform.ErrUnavailable)
		}
		total += answer.Pending[queue]
	}
	return total, nil
}
