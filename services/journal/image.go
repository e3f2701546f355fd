// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/platform"
)

// Entry is one entry of the log, written by the owner of the cell in the entry's epoch.
type Entry struct {
	Epoch    models.Epoch      `json:"epoch"`
	Sequence models.Sequence   `json:"sequence"`
	Writer   models.MemberID   `json:"writer"`
	WriteID  string            `json:"write_id"`
	Change   models.CellChange `json:"change"`
}

// Check rejects an entry without sequence number, epoch or write id, or with an invalid change.
func (e Entry) Check() error {
	if e.Epoch == 0 || e.Sequence == 0 || e.WriteID == "" {
		return errors.Newf("entry has epoch %d, sequence %d, write id %q", e.Epoch, e.Sequence, e.WriteID)
	}
	return e.Change.Check()
}

// snapshotValue is the whole state of the cell after the entry with the sequence number.
type snapshotValue struct {
	Epoch    models.Epoch     `json:"epoch"`
	Sequence models.Sequence  `json:"sequence"`
	Writer   models.MemberID  `json:"writer"`
	State    models.CellState `json:"state"`
}

// Check implements wire.Checker.
func (s snapshotValue) Check() error { return s.State.Check() }

// image is the content of a journal as read from the store in one listing.
type image struct {
	state    models.CellState
	versions []platform.Version
	snapshot snapshotPosition
	epoch    models.Epoch
	sequence models.Sequence
	writer   models.MemberID
}

// readImage replays the log entries on the snapshot. An owner may have written while the keys were listed. A missed
// entry makes the next append fail on its slot, so the only requirement here is that the entries after the snapshot
// are contiguous.
func readImage(records []platform.Record, config Config) (image, error) {
	im := image{state: models.NewCellState(), versions: make([]platform.Version, config.Slots)}
	entries := make([]Entry, 0, len(records))
	for _, record := range records {
		name := strings.TrimPrefix(record.Key, Prefix+string(config.Cell)+"/")
		if name == snapshotName {
			if err := im.readSnapshot(record); err != nil {
				return im, err
			}
			continue
		}
		entry, err := im.readSlot(name, record)
		if err != nil {
			return im, errors.Wrapf(err, "cell %s: key %s", config.Cell, record.Key)
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.Sequence) - int(b.Sequence) })
	for _, entry := range entries {
		if err := im.replay(entry); err != nil {
			return im, errors.Wrapf(err, "cell %s", config.Cell)
		}
	}
	return im, nil
}

func (im *image) readSnapshot(record platform.Record) error {
	s, err := decode[snapshotValue](record.Value)
	if err != nil {
		return err
	}
	if s.State.Generations == nil {
		s.State.Generations = map[string]int{}
	}
	im.state = s.State
	im.snapshot = snapshotPosition{version: record.Version, sequence: s.Sequence}
	im.epoch, im.sequence, im.writer = s.Epoch, s.Sequence, s.Writer
	return nil
}

func (im *image) readSlot(name string, record platform.Record) (Entry, error) {
	slot, err := strconv.Atoi(strings.TrimPrefix(name, slotPrefix))
	if err != nil || slot < 0 || slot >= len(im.versions) {
		return Entry{}, errors.Wrapf(ErrDamaged, "key is not a slot of the ring of %d slots", len(im.versions))
	}
	entry, err := decode[Entry](record.Value)
	if err != nil {
		return Entry{}, err
	}
	im.versions[slot] = record.Version
	return entry, nil
}

func (im *image) replay(entry Entry) error {
	if entry.Sequence <= im.snapshot.sequence {
		return nil
	}
	if entry.Sequence != im.sequence+1 {
		return errors.Wrapf(ErrDamaged, "entry %d follows entry %d, expected entry %d", entry.Sequence, im.sequence, im.sequence+1)
	}
	im.state.Apply(entry.Change)
	im.epoch, im.sequence, im.writer = entry.Epoch, entry.Sequence, entry.Writer
	return nil
}
