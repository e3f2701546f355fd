// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// State tells the state of a job: its owner knows it best, the store knows it when the
// owner can't be asked.
func (s *Service) State(ctx context.Context, id jobs.ID) (jobs.State, error) {
	if id.Check() != nil {
		return "", platform.ErrNotFound
	}
	layout := s.Cells.layout()
	if layout == nil {
		return "", platform.ErrUnavailable
	}
	known, further := s.queryState(ctx, id, cellsOf(id, layout))
	if (known == "" || known == jobs.StateQueued) && len(further) > 0 { // its tasks may run there alone
		there, _ := s.queryState(ctx, id, further)
		known = cmp.Or(there, known)
	}
	if known != "" {
		return known, nil
	}
	return s.storedState(ctx, id, layout)
}

// queryState asks the owners of cells for the state of a job; empty: none of them knows it. Other cells that
// have tasks of it are named.
func (s *Service) queryState(ctx context.Context, id jobs.ID, cells []jobs.CellName) (known jobs.State, further []jobs.CellName) {
	for _, cell := range cells {
		answer, err := s.Cells.ask(ctx, jobs.Query{Cell: cell, Jobs: []jobs.ID{id}})
		state, ok := answer.States[id]
		if err == nil {
			further = append(further, answer.Further[id]...)
		}
		switch {
		case err != nil || !ok:
		case state != jobs.StateQueued:
			return state, nil
		default:
			known = state // tasks in another cell may run
		}
	}
	return known, further
}

// storedState finds a job's state in the store.
func (s *Service) storedState(ctx context.Context, id jobs.ID, layout *jobs.Layout) (jobs.State, error) {
	// Asked before the store is read: a write that ends in between is in what is read.
	follows, doubt := s.submissions.pendingWrite(id)
	entries, err := s.entriesOf(ctx, id, layout)
	switch {
	case err != nil:
		return "", err
	case entries.known():
		return entries.state(), nil
	case follows == writeInFlight, follows == writeUnresolved && s.storedStatusOf(ctx, id, doubt) != statusAbsent:
		return "", errors.Mark(errors.New("job is being handed in, or its acceptance is in doubt"), platform.ErrUnavailable)
	default:
		return "", platform.ErrNotFound
	}
}

// Pending counts a queue's jobs that have no task begun, over all cells.
func (s *Service) Pending(ctx context.Context, queue jobs.QueueName) (int, error) {
	layout := s.Cells.layout()
	if layout == nil {
		return 0, platform.ErrUnavailable
	}
	total := 0
	for n := range layout.Cells {
		answer, err := s.Cells.ask(ctx, jobs.Query{Cell: cellName(n), Pending: true})
		if err != nil {
			return 0, errors.Mark(err, platform.ErrUnavailable)
		}
		total += answer.Pending[queue]
	}
	return total, nil
}
