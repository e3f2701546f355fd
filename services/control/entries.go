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

// readEntries reads what the store holds about a job: first in the cells that follow from its id, then in the
// additional cells that the records there name.
func (s *Service) readEntries(ctx context.Context, id jobs.ID, layout *jobs.Layout) (jobEntries, error) {
	if !s.health.available() {
		return nil, platform.ErrUnavailable
	}
	entries, err := s.readEntriesIn(ctx, cellsForJob(id, layout), id)
	if err != nil {
		return nil, err
	}
	additional, err := s.readEntriesIn(ctx, entries.additionalCells(), id)
	return append(entries, additional...), err
}

// readEntriesIn reads the entries of a job in the given cells.
func (s *Service) readEntriesIn(ctx context.Context, cells []jobs.CellName, id jobs.ID) (jobEntries, error) {
	entries := make(jobEntries, 0, len(cells))
	for _, cell := range cells {
		entry, err := s.readEntry(ctx, cell, id)
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
func (s *Service) readEntry(ctx context.Context, cell jobs.CellName, id jobs.ID) (jobEntry, error) {
	entry := jobEntry{cell: cell}
	records, _, err := s.config.Store.List(ctx, jobKey(cell, id))
	s.health.record(err)
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

// uncancelled returns the entries of the cells that have tasks of the job and no cancellation of it yet.
func (e jobEntries) uncancelled() jobEntries {
	var found jobEntries
	for _, entry := range e {
		if entry.active() && !entry.cancelled {
			found = append(found, entry)
		}
	}
	return found
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
		switch {
		case entry.record.Ended != "":
			state = entry.record.Ended
		case entry.cancelled:
			return jobs.StateCancelled
		}
	}
	return state
}
