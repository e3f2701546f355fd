// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Member describes a daemon to the other daemons. The daemon writes its record to the store under a lease and
// sends it in its heartbeats.
type Member struct {
	ID          MemberID      `json:"id"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      FailureDomain `json:"domain"`
	PeerAddress string        `json:"peer_address"` // IP and port
	Leaving     bool          `json:"leaving,omitempty"`
}

// Check rejects a member with an invalid ID or without a usable peer address.
func (m Member) Check() error {
	if err := checkName("member id", string(m.ID)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(m.PeerAddress); err != nil {
		return errors.Newf("member %s: peer_address %q is not IP:port", m.ID, m.PeerAddress)
	}
	return nil
}

// CellBeat is the summary of a cell that its owner sends in heartbeats.
type CellBeat struct {
	Epoch       Epoch                  `json:"epoch"`
	Free        Resources              `json:"free"`    // sum over the cell's workers
	LargestFree Resources              `json:"room"`    // largest free capacity on one worker
	Teams       map[TeamName]Resources `json:"teams"`   // resources committed to batch tasks
	Waiting     int                    `json:"waiting"` // queued tasks
}

// Heartbeat is the state that daemons exchange. The response to a heartbeat is the receiver's own heartbeat.
type Heartbeat struct {
	Member     Member              `json:"member"`
	Uptime     Milli               `json:"uptime_ms"`
	Revision   Revision            `json:"revision"` // configuration in force at the sender
	Cells      map[CellID]CellBeat `json:"cells,omitempty"`
	Load       map[VMID]int        `json:"load,omitempty"`    // averaged load per upstream, in hundredths of a slot
	Waiting    int                 `json:"waiting,omitempty"` // requests queued at the sender
	LeavingVMs []VMID              `json:"leaving_vms,omitempty"`
}

// Check validates the member and that no load is negative.
func (h Heartbeat) Check() error {
	for id, n := range h.Load {
		if n < 0 {
			return errors.Newf("heartbeat of %s: load %d at %s is negative", h.Member.ID, n, id)
		}
	}
	return h.Member.Check()
}
