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
	known, additional := s.queryState(ctx, id, cellsForJob(id, layout))
	if (known == "" || known == jobs.StateQueued) && len(additional) > 0 { // all running tasks may be in additional cells
		there, _ := s.queryState(ctx, id, additional)
		known = cmp.Or(there, known)
	}
	if known != "" {
		return known, nil
	}
	return s.storedState(ctx, id, layout)
}

// queryState asks the owners of cells for the state of a job; the state is empty if none of them knows the job.
// It also returns the additional cells that they name.
func (s *Service) queryState(ctx context.Context, id jobs.ID, cells []jobs.CellName) (known jobs.State, additional []jobs.CellName) {
	for _, cell := range cells {
		answer, err := s.Cells.queryOwner(ctx, jobs.Query{Cell: cell, Jobs: []jobs.ID{id}})
		state, ok := answer.States[id]
		if err == nil {
			additional = append(additional, answer.AdditionalCells[id]...)
		}
		switch {
		case err != nil || !ok:
		case state != jobs.StateQueued:
			return state, nil
		default:
			known = state // tasks in another cell may be running
		}
	}
	return known, additional
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
