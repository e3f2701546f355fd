// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// jobEntry is what the store holds about a job in one cell.
type jobEntry struct {
	cell      jobs.CellName
	record    jobs.Record // its version is 0 if there is no record
	cancelled bool
}

// jobEntries are the entries of a job in all its cells.
type jobEntries []jobEntry

// entryReader reads the entries of jobs from the store.
type entryReader struct {
	store  platform.Store
	health *storeHealth
}

// readEntries reads what the store holds about a job.
func (s *Service) readEntries(ctx context.Context, id jobs.ID, layout *jobs.Layout) (jobEntries, error) {
	return entryReader{s.config.Store, s.health}.read(ctx, id, layout)
}

// read reads the entries of a job: first in the cells that follow from its id, then in the additional cells that the
// records there name.
func (r entryReader) read(ctx context.Context, id jobs.ID, layout *jobs.Layout) (jobEntries, error) {
	if !r.health.available() {
		return nil, platform.ErrUnavailable
	}
	entries, err := r.readIn(ctx, cellsForJob(id, layout), id)
	if err != nil {
		return nil, err
	}
	additional, err := r.readIn(ctx, entries.additionalCells(), id)
	return append(entries, additional...), err
}

// readIn reads the entries of a job in the given cells.
func (r entryReader) readIn(ctx context.Context, cells []jobs.CellName, id jobs.ID) (jobEntries, error) {
	entries := make(jobEntries, 0, len(cells))
	for _, cell := range cells {
		entry, err := r.readEntry(ctx, cell, id)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// additionalCells returns the additional cells that the records name, without duplicates.
func (e jobEntries) additionalCells() []jobs.CellName {
	var cells []jobs.CellName
	for _, entry := range e {
		cells = append(cells, entry.record.AdditionalCells...)
	}
	slices.Sort(cells)
	return slices.Compact(cells)
}

// readEntry reads the entry of a job in one cell.
func (r entryReader) readEntry(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobEntry, error) {
	entry := jobEntry{cell: cell}
	records, _, err := r.store.List(ctx, jobKey(cell, id))
	r.health.record(err)
	if err != nil {
		return entry, err
	}
	for _, record := range records {
		if _, cancel := parseJobKey(cell, record.Key); cancel {
			entry.cancelled = true
			continue
		}
		if entry.record, err = decodeRecord(record); err != nil {
			return entry, err
		}
	}
	return entry, nil
}

// active reports whether the cell has tasks of the job and the job has not ended there.
func (e *jobEntry) active() bool {
	return e.record.Version != 0 && e.record.Ended == "" && !e.record.AllTasksMoved()
}

// selected returns the entries for which a condition holds.
func (e jobEntries) selected(holds func(entry jobEntry) bool) jobEntries {
	var found jobEntries
	for _, entry := range e {
		if holds(entry) {
			found = append(found, entry)
		}
	}
	return found
}

// active returns the entries of the cells that have tasks of the job, which has not ended there.
func (e jobEntries) active() jobEntries {
	return e.selected(func(entry jobEntry) bool { return entry.active() })
}

// uncancelled returns the entries of the cells that have tasks of the job and no cancellation of it yet.
func (e jobEntries) uncancelled() jobEntries {
	return e.selected(func(entry jobEntry) bool { return entry.active() && !entry.cancelled })
}

// cancelled reports whether the job is cancelled in any cell.
func (e jobEntries) cancelled() bool {
	return slices.ContainsFunc(e, func(entry jobEntry) bool { return entry.cancelled })
}

// in returns the entry in a cell; its version is 0 if the cell is not among the entries.
func (e jobEntries) in(cell jobs.CellName) jobEntry {
	for _, entry := range e {
		if entry.cell == cell {
			return entry
		}
	}
	return jobEntry{cell: cell}
}

// state returns the job's state as far as one cell's entry tells; empty if it tells none.
func (e *jobEntry) state() jobs.State {
	if e.record.Ended == "" && e.cancelled {
		return jobs.StateCancelled
	}
	return e.record.Ended
}

// stored reports whether any cell has a record of the job other than one that bars it.
func (e jobEntries) stored() bool {
	return slices.ContainsFunc(e, func(entry jobEntry) bool {
		return entry.record.Version != 0 && entry.record.Ended != jobs.StateBarred
	})
}

// barred reports whether the job was cancelled before it was stored.
func (e jobEntries) barred() bool {
	return slices.ContainsFunc(e, func(entry jobEntry) bool { return entry.record.Ended == jobs.StateBarred })
}

// state returns the job's state as far as the store knows it.
func (e jobEntries) state() jobs.State {
	state := jobs.StateQueued // also if one entry was read before a move and the other after it
	for _, entry := range e {
		state = combineStates(state, entry.state())
	}
	return state
}
