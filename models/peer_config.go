// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// ConfigQuery asks a peer for a configuration newer than the sender's.
type ConfigQuery struct {
	Revision Revision     `json:"revision"`
	Have     []BucketHash `json:"have,omitempty"`
}

// Check is there for the decoder; every value is allowed.
func (q ConfigQuery) Check() error { return nil }

// ConfigTransfer is a peer's configuration: the head and the buckets that the
// asker lacks, in their stored form, and the map of cells.
type ConfigTransfer struct {
	Head    ConfigHead            `json:"head"`
	Buckets map[BucketHash][]byte `json:"buckets,omitempty"`
	Cells   CellMap               `json:"cells"`
}

// Check checks the cells; a head of revision 0 says that the peer has none.
func (t ConfigTransfer) Check() error { return t.Cells.Check() }

// HandoverCall passes a cell to its next owner while the store can't be written.
// The sender does nothing more for the cell, whatever the answer.
type HandoverCall struct {
	Cell     CellID    `json:"cell"`
	Epoch    Epoch     `json:"epoch"`
	Sequence Sequence  `json:"sequence"`
	Snapshot uint64    `json:"snapshot"`    // version of the snapshot key
	SnapSeq  Sequence  `json:"snapshot_at"` // entry it holds
	Versions []uint64  `json:"versions"`    // of the ring's slots
	State    CellState `json:"state"`
	// Pending is the encoded entry whose append is not settled; the peer goes on
	// settling it under the same write id.
	Pending []byte `json:"pending,omitempty"`
}

// Check checks the state that is passed on.
func (c HandoverCall) Check() error {
	if c.Epoch == 0 || len(c.Versions) == 0 {
		return errors.Newf("handover of %s: epoch %d, %d slots", c.Cell, c.Epoch, len(c.Versions))
	}
	return c.State.Check()
}

// HandoverAnswer says whether the peer has taken the cell.
type HandoverAnswer struct {
	Taken bool `json:"taken"`
}

// Check is there for the decoder; every value is allowed.
func (a HandoverAnswer) Check() error { return nil }
