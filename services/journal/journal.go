// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package journal keeps the state of one cell in the platform's store and fences previous owners of the cell. A cell
// has a snapshot key and a ring of log keys. Entry n is written to slot n modulo the ring's size by compare-and-swap
// on the version that the writer last saw there, so of two writers of entry n exactly one succeeds. The daemon that
// writes an entry with the next epoch becomes the owner. The next append of the previous owner finds a changed slot
// and fails with ErrSuperseded.
//
// # Usage
//
//	j := journal.New(journal.Config{Store: store, Cell: cell, Writer: self, Slots: 32})
//	if err := j.Acquire(ctx); err != nil { … }     // reads the journal, writes an entry with epoch+1
//	state := j.State()                             // the state as journalled
//	err := j.Append(ctx, change)                   // nil: journalled, the change may be acted on
//	switch {
//	case errors.Is(err, journal.ErrSuperseded):    // another daemon owns the cell; stop
//	case errors.Is(err, journal.ErrPending):       // outcome unknown: retry j.ResolvePending until it is not ErrPending
//	case err != nil:                               // nothing was written
//	}
//
// A Journal is not safe for concurrent use; the owner's loop uses it.
package journal

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errclass"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/services/platform"
)

// Errors of a journal.
var (
	// ErrSuperseded says that another daemon has become the owner of the cell.
	ErrSuperseded = errors.New("cell has another owner")
	// ErrPending says that the last entry may have been written. The journal accepts no further entry until the
	// outcome of that entry is resolved.
	ErrPending = errors.New("last append is not settled")
	// ErrDamaged says that the journal's keys in the store contradict each other.
	ErrDamaged = errors.New("journal is damaged")
)

// Config configures a journal.
type Config struct {
	Store  platform.Store
	Cell   models.CellID
	Writer models.MemberID
	// Slots is the size of the ring. All daemons must use the same size.
	Slots int
	// NewID returns an id that is unique among all writes.
	NewID func() string
}

// Journal is one daemon's copy of a cell's journal.
type Journal struct {
	config   Config
	state    models.CellState
	epoch    models.Epoch
	sequence models.Sequence
	writer   models.MemberID
	versions []platform.Version // by slot, as last read or written
	snapshot snapshotPosition
	pending  *pendingEntry // nil when no write has an unknown outcome
}

type snapshotPosition struct {
	version  platform.Version
	sequence models.Sequence
}

type pendingEntry struct {
	entry Entry
	data  []byte
}

// New returns an empty journal; load, acquire or import its content before anything else.
func New(config Config) *Journal {
	return &Journal{config: config, state: models.NewCellState(), versions: make([]platform.Version, config.Slots)}
}

// State returns the journalled state. The caller must not modify it.
func (j *Journal) State() models.CellState { return j.state }

// Epoch returns the epoch of the last known entry.
func (j *Journal) Epoch() models.Epoch { return j.epoch }

// Sequence returns the sequence number of the last known entry.
func (j *Journal) Sequence() models.Sequence { return j.sequence }

// Load reads the snapshot and the log from the store.
func (j *Journal) Load(ctx context.Context) error {
	records, _, err := j.config.Store.List(ctx, j.prefix())
	if err != nil {
		return errstep.Wrap(err, "read journal of "+string(j.config.Cell), "store")
	}
	loaded, err := readImage(records, j.config)
	if err != nil {
		return err
	}
	j.state, j.versions, j.snapshot = loaded.state, loaded.versions, loaded.snapshot
	j.epoch, j.sequence, j.writer = loaded.epoch, loaded.sequence, loaded.writer
	j.pending = nil
	return nil
}

// Acquire makes this daemon the owner: it loads the journal and writes the next entry with the next epoch. ErrSuperseded
// means that another daemon wrote that entry first, ErrPending that the entry may have been written and its outcome
// has to be resolved.
func (j *Journal) Acquire(ctx context.Context) error {
	if err := j.Load(ctx); err != nil {
		return err
	}
	return j.write(ctx, j.epoch+1, models.CellChange{})
}

// Append writes one entry. If the error is nil, the change is part of the journalled state.
func (j *Journal) Append(ctx context.Context, change models.CellChange) error {
	if j.pending != nil {
		return ErrPending
	}
	if err := j.snapshotIfNeeded(ctx); err != nil {
		return err
	}
	return j.write(ctx, j.epoch, change)
}

// ResolvePending finds out whether the pending entry was written, by writing the entry again; the compare-and-swap
// ensures that the entry is written at most once. ResolvePending does nothing when no entry is pending.
func (j *Journal) ResolvePending(ctx context.Context) error {
	if j.pending == nil {
		return nil
	}
	err := j.swapPending(ctx)
	if err != nil && !errors.Is(err, ErrSuperseded) {
		return asPending(err)
	}
	return err
}

// asPending returns an error with the text of err whose only class is ErrPending. The other classes of err are
// hidden, because a definite rejection of a later attempt does not show that the first was rejected.
func asPending(err error) error { return errclass.Only(err, ErrPending) }

func (j *Journal) write(ctx context.Context, epoch models.Epoch, change models.CellChange) error {
	entry := Entry{
		Epoch: epoch, Sequence: j.sequence + 1, Writer: j.config.Writer, WriteID: j.config.NewID(), Change: change,
	}
	data, err := encode(entry)
	if err != nil {
		return err
	}
	j.pending = &pendingEntry{entry: entry, data: data}
	err = j.swapPending(ctx)
	if err != nil && !errors.Is(err, platform.ErrUnknownOutcome) {
		j.pending = nil
		return err
	}
	if err != nil {
		return asPending(err)
	}
	return nil
}

// swapPending writes the pending entry and applies it to the state once the entry is known to be stored.
func (j *Journal) swapPending(ctx context.Context) error {
	p := j.pending
	slot := j.slot(p.entry.Sequence)
	version, err := j.config.Store.Swap(ctx, j.slotKey(slot), p.data, j.versions[slot], 0)
	if errors.Is(err, platform.ErrConflict) {
		version, err = j.resolveConflict(ctx, slot)
	}
	if errors.Is(err, ErrSuperseded) {
		j.pending = nil
		return err
	}
	if err != nil {
		return errstep.Wrap(err, "append to journal of "+string(j.config.Cell), "store")
	}
	j.versions[slot] = version
	j.epoch, j.sequence, j.writer = p.entry.Epoch, p.entry.Sequence, p.entry.Writer
	j.state.Apply(p.entry.Change)
	j.pending = nil
	return nil
}

// resolveConflict reads the slot after a version conflict. If the slot holds the pending entry's write id, an earlier
// write whose answer was lost has succeeded; otherwise another owner has written the slot.
func (j *Journal) resolveConflict(ctx context.Context, slot int) (platform.Version, error) {
	record, err := j.config.Store.Get(ctx, j.slotKey(slot))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, errors.Wrapf(ErrDamaged, "cell %s: slot %d of the ring has been deleted", j.config.Cell, slot)
	}
	if err != nil {
		// The conflict is certain but its cause is unknown, so the entry stays pending.
		return 0, platform.AsUnknownOutcome(err)
	}
	found, err := decode[Entry](record.Value)
	if err != nil {
		return 0, err
	}
	if found.WriteID != j.pending.entry.WriteID {
		return 0, errors.Wrapf(ErrSuperseded, "cell %s: entry %d was written by %s in epoch %d",
			j.config.Cell, found.Sequence, found.Writer, found.Epoch)
	}
	return record.Version, nil
}

// snapshotIfNeeded writes a snapshot once half of the ring holds entries that no snapshot covers, so that the ring
// does not overwrite such an entry.
func (j *Journal) snapshotIfNeeded(ctx context.Context) error {
	since := int(j.sequence - j.snapshot.sequence)
	if since < j.config.Slots/2 {
		return nil
	}
	err := j.writeSnapshot(ctx)
	if err != nil && since < j.config.Slots-1 {
		return nil // the ring still has a free slot; the next append retries the snapshot
	}
	return err
}

func (j *Journal) writeSnapshot(ctx context.Context) error {
	data, err := encode(snapshotValue{Epoch: j.epoch, Sequence: j.sequence, Writer: j.writer, State: j.state})
	if err != nil {
		return err
	}
	if len(data) > platform.MaxValueSize {
		return errors.Newf("snapshot of cell %s has %d bytes, the store accepts at most %d", j.config.Cell, len(data), platform.MaxValueSize)
	}
	version, err := j.config.Store.Swap(ctx, j.snapshotKey(), data, j.snapshot.version, 0)
	if errors.Is(err, platform.ErrConflict) {
		return j.reconcileSnapshot(ctx)
	}
	if err != nil {
		return errstep.Wrap(err, "write snapshot of "+string(j.config.Cell), "store")
	}
	j.snapshot = snapshotPosition{version: version, sequence: j.sequence}
	return nil
}

// reconcileSnapshot reads the snapshot that another write stored: an earlier write of this journal whose answer was
// lost, or a previous owner's. Either snapshot is valid up to its sequence number.
func (j *Journal) reconcileSnapshot(ctx context.Context) error {
	record, err := j.config.Store.Get(ctx, j.snapshotKey())
	if err != nil {
		return errstep.Wrap(err, "read snapshot of "+string(j.config.Cell), "store")
	}
	found, err := decode[snapshotValue](record.Value)
	if err != nil {
		return err
	}
	if found.Sequence > j.sequence {
		return errors.Wrapf(ErrSuperseded, "cell %s: snapshot covers entry %d, the last entry known here is %d", j.config.Cell, found.Sequence, j.sequence)
	}
	j.snapshot = snapshotPosition{version: record.Version, sequence: found.Sequence}
	return nil
}

func (j *Journal) slot(s models.Sequence) int { return int(s % models.Sequence(j.config.Slots)) }

func (j *Journal) prefix() string      { return Prefix + string(j.config.Cell) + "/" }
func (j *Journal) snapshotKey() string { return j.prefix() + snapshotName }
func (j *Journal) slotKey(slot int) string {
	return fmt.Sprintf("%s%s%04d", j.prefix(), slotPrefix, slot)
}

// Prefix is the common prefix of the keys of all journals.
const Prefix = "cells/"

const (
	snapshotName = "snapshot"
	slotPrefix   = "log/"
)
