// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/platform"
)

// Export returns everything that another daemon needs to continue the journal in the same epoch, including a pending
// entry. The caller must not append afterwards.
func (j *Journal) Export() models.HandoverCall {
	call := models.HandoverCall{
		Cell: j.config.Cell, Epoch: j.epoch, Sequence: j.sequence,
		SnapshotVersion: uint64(j.snapshot.version), SnapshotSequence: j.snapshot.sequence, State: j.state.Clone(),
	}
	for _, version := range j.versions {
		call.SlotVersions = append(call.SlotVersions, uint64(version))
	}
	if j.pending != nil {
		call.PendingEntry = j.pending.data
	}
	return call
}

// Import initializes the journal from the result of Export, as another daemon returned it.
func (j *Journal) Import(call models.HandoverCall) error {
	if len(call.SlotVersions) != j.config.Slots {
		return errors.Newf("handover of %s has %d slots, this daemon's settings say %d", call.Cell, len(call.SlotVersions), j.config.Slots)
	}
	for i, version := range call.SlotVersions {
		j.versions[i] = platform.Version(version)
	}
	j.snapshot = snapshotPosition{version: platform.Version(call.SnapshotVersion), sequence: call.SnapshotSequence}
	j.epoch, j.sequence, j.writer = call.Epoch, call.Sequence, j.config.Writer
	if err := j.importPending(call.PendingEntry); err != nil {
		return err
	}
	if call.State.Tasks != nil {
		j.state.Tasks = call.State.Tasks
	}
	if call.State.Jobs != nil {
		j.state.Jobs = call.State.Jobs
	}
	if call.State.Generations != nil {
		j.state.Generations = call.State.Generations
	}
	return nil
}

func (j *Journal) importPending(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	entry, err := decode[Entry](data)
	if err != nil {
		return err
	}
	if entry.Sequence != j.sequence+1 {
		return errors.Wrapf(ErrDamaged, "pending entry %d follows entry %d", entry.Sequence, j.sequence)
	}
	j.pending = &pendingEntry{entry: entry, data: data}
	return nil
}

// PendingChange returns the change of the entry that may have been written and awaits resolution; ok is false when
// no entry is pending.
func (j *Journal) PendingChange() (change models.CellChange, ok bool) {
	if j.pending == nil {
		return models.CellChange{}, false
	}
	return j.pending.entry.Change, true
}
