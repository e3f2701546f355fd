// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package journal keeps the state of one cell in the platform's store and fences
// its owners. A cell has a snapshot key and a ring of log keys. Entry n is written
// to slot n modulo the ring's size by compare-and-swap on the version that the
// writer last saw there, so of two writers of entry n exactly one succeeds. Whoever
// writes an entry with the next epoch is the owner; the former owner's next append
// meets a changed slot and fails with ErrSuperseded.
//
// # Usage
//
//	j := journal.New(journal.Config{Store: store, Cell: cell, Writer: self, Slots: 32})
//	if err := j.Take(ctx); err != nil { … }        // reads all, writes epoch+1
//	state := j.State()                             // what is journalled
//	err := j.Append(ctx, change)                   // nil: journalled, act on it
//	switch {
//	case errors.Is(err, journal.ErrSuperseded):    // another owner; stop
//	case errors.Is(err, journal.ErrPending):       // may be written: call Settle until it says
//	case err != nil:                               // nothing was written
//	}
//
// A Journal is used by one goroutine, the owner's loop.
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
	// ErrSuperseded says that another daemon owns the cell now.
	ErrSuperseded = errors.New("cell has another owner")
	// ErrPending says that the last entry may have been written; only Settle goes on.
	ErrPending = errors.New("last append is not settled")
	// ErrDamaged says that the keys in the store contradict each other.
	ErrDamaged = errors.New("journal is damaged")
)

// Config says whose journal it is.
type Config struct {
	Store  platform.Store
	Cell   models.CellID
	Writer models.MemberID
	// Slots is the size of the ring; the same at all daemons.
	Slots int
	// NewID makes ids that no other write has.
	NewID func() string
}

// Journal is one daemon's view of a cell's journal.
type Journal struct {
	config   Config
	state    models.CellState
	epoch    models.Epoch
	sequence models.Sequence
	writer   models.MemberID
	versions []platform.Version // of the slots
	snapshot snapshotPosition
	pending  *pendingEntry
}

type snapshotPosition struct {
	version  platform.Version
	sequence models.Sequence
}

type pendingEntry struct {
	entry Entry
	data  []byte
}

// New makes a journal that knows nothing yet; call Load or Take next.
func New(config Config) *Journal {
	return &Journal{config: config, state: models.NewCellState(), versions: make([]platform.Version, config.Slots)}
}

// State is what is journalled. The caller must not change it.
func (j *Journal) State() models.CellState { return j.state }

// Epoch is the epoch of the last entry known.
func (j *Journal) Epoch() models.Epoch { return j.epoch }

// Sequence is the number of the last entry known.
func (j *Journal) Sequence() models.Sequence { return j.sequence }

// Load reads the snapshot and the ring.
func (j *Journal) Load(ctx context.Context) error {
	records, _, err := j.config.Store.List(ctx, j.prefix())
	if err != nil {
		return errstep.Wrap(err, "read journal of "+string(j.config.Cell), "store")
	}
	image, err := readImage(records, j.config)
	if err != nil {
		return err
	}
	j.state, j.versions, j.snapshot = image.state, image.versions, image.snapshot
	j.epoch, j.sequence, j.writer = image.epoch, image.sequence, image.writer
	j.pending = nil
	return nil
}

// Take makes this daemon the owner: it reads everything and writes the next entry
// with the next epoch. ErrSuperseded means that somebody else was faster;
// ErrPending that the entry may be written, and Settle has to say.
func (j *Journal) Take(ctx context.Context) error {
	if err := j.Load(ctx); err != nil {
		return err
	}
	return j.write(ctx, j.epoch+1, models.CellChange{})
}

// Append writes one entry. On nil the change is part of State.
func (j *Journal) Append(ctx context.Context, change models.CellChange) error {
	if j.pending != nil {
		return ErrPending
	}
	if err := j.snapshotIfNeeded(ctx); err != nil {
		return err
	}
	return j.write(ctx, j.epoch, change)
}

// Settle finds out whether a pending entry was written, by writing it once more:
// the compare-and-swap lets it be written at most once. It does nothing when no
// entry is pending.
func (j *Journal) Settle(ctx context.Context) error {
	if j.pending == nil {
		return nil
	}
	err := j.swapPending(ctx)
	if err != nil && !errors.Is(err, ErrSuperseded) {
		return asPending(err)
	}
	return err
}

// asPending makes of any error one that says only that the entry may be written. The classes
// that err had are hidden: a try that was refused for sure says nothing of the first one.
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
	if err != nil && !errors.Is(err, platform.ErrUnknown) {
		j.pending = nil
		return err
	}
	if err != nil {
		return asPending(err)
	}
	return nil
}

// swapPending tries to write the pending entry and takes it into the state when it is there.
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

// resolveConflict looks whose entry is in the slot after a conflict: a write whose answer
// was lost shows its own id there.
func (j *Journal) resolveConflict(ctx context.Context, slot int) (platform.Version, error) {
	record, err := j.config.Store.Get(ctx, j.slotKey(slot))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, errors.Wrapf(ErrDamaged, "slot %d of %s is gone", slot, j.config.Cell)
	}
	if err != nil {
		// The conflict is certain but its cause isn't: stay pending.
		return 0, platform.Unknown(err)
	}
	found, err := decode[Entry](record.Value)
	if err != nil {
		return 0, err
	}
	if found.WriteID != j.pending.entry.WriteID {
		return 0, errors.Wrapf(ErrSuperseded, "cell %s: entry %d is by %s in epoch %d",
			j.config.Cell, found.Sequence, found.Writer, found.Epoch)
	}
	return record.Version, nil
}

// snapshotIfNeeded writes a snapshot in good time before the ring would overwrite an entry
// that no snapshot holds.
func (j *Journal) snapshotIfNeeded(ctx context.Context) error {
	since := int(j.sequence - j.snapshot.sequence)
	if since < j.config.Slots/2 {
		return nil
	}
	err := j.writeSnapshot(ctx)
	if err != nil && since < j.config.Slots-1 {
		return nil // there is room yet; the next append tries again
	}
	return err
}

func (j *Journal) writeSnapshot(ctx context.Context) error {
	data, err := encode(snapshotValue{Epoch: j.epoch, Sequence: j.sequence, Writer: j.writer, State: j.state})
	if err != nil {
		return err
	}
	if len(data) > platform.MaxValue {
		return errors.Newf("snapshot of %s has %d bytes, the store takes %d", j.config.Cell, len(data), platform.MaxValue)
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

// reconcileSnapshot looks at the snapshot another write left, our own lost one or a
// former owner's; either is true as far as it goes.
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
		return errors.Wrapf(ErrSuperseded, "cell %s: snapshot is at entry %d", j.config.Cell, found.Sequence)
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

// Prefix stands before the keys of all journals.
const Prefix = "cells/"

const (
	snapshotName = "snapshot"
	slotPrefix   = "log/"
)
