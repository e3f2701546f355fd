// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// ConfigQuery asks a peer for a configuration that is newer than the sender's.
type ConfigQuery struct {
	Revision Revision     `json:"revision"`
	Have     []BucketHash `json:"have,omitempty"` // buckets that the sender already has
}

// Check implements wire.Checker; every value is valid.
func (q ConfigQuery) Check() error { return nil }

// ConfigTransfer is the response to a ConfigQuery: the head of the peer's configuration, the buckets that the
// sender of the query lacks, in their stored form, and the map of cells.
type ConfigTransfer struct {
	Head    ConfigHead            `json:"head"`
	Buckets map[BucketHash][]byte `json:"buckets,omitempty"`
	Cells   CellMap               `json:"cells"`
}

// Check validates the map of cells. A head with revision 0 is valid: the peer has no newer configuration.
func (t ConfigTransfer) Check() error { return t.Cells.Check() }

// HandoverCall passes a cell to its next owner while the store can't be written. The sender stops acting for
// the cell whatever the response is.
type HandoverCall struct {
	Cell             CellID    `json:"cell"`
	Epoch            Epoch     `json:"epoch"`
	Sequence         Sequence  `json:"sequence"`
	SnapshotVersion  uint64    `json:"snapshot"`    // version of the snapshot key
	SnapshotSequence Sequence  `json:"snapshot_at"` // sequence of the last entry that the snapshot holds
	SlotVersions     []uint64  `json:"versions"`    // versions of the journal's ring slots
	State            CellState `json:"state"`
	// PendingEntry is the encoded journal entry whose append has an unknown outcome. The next owner continues to
	// settle the entry under the same write ID.
	PendingEntry []byte `json:"pending,omitempty"`
}

// Check rejects a call without an epoch or slot versions, and validates the state.
func (c HandoverCall) Check() error {
	if c.Epoch == 0 || len(c.SlotVersions) == 0 {
		return errors.Newf("handover of %s: epoch %d, %d slots", c.Cell, c.Epoch, len(c.SlotVersions))
	}
	return c.State.Check()
}

// HandoverAnswer tells whether the peer has become the owner of the cell.
type HandoverAnswer struct {
	Accepted bool `json:"taken"`
}

// Check implements wire.Checker; every value is valid.
func (a HandoverAnswer) Check() error { return nil }
