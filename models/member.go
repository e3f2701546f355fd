// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Member is a daemon as the others know it. The daemon writes it under a lease of
// the store and sends it in its heartbeats.
type Member struct {
	ID          MemberID      `json:"id"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      FailureDomain `json:"domain"`
	PeerAddress string        `json:"peer_address"` // IP and port
	Leaving     bool          `json:"leaving,omitempty"`
}

// Check rejects a member that can't be reached.
func (m Member) Check() error {
	if err := checkName("member id", string(m.ID)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(m.PeerAddress); err != nil {
		return errors.Newf("member %s: peer_address %q is not IP:port", m.ID, m.PeerAddress)
	}
	return nil
}

// CellBeat is what the owner of a cell tells of it in its heartbeats.
type CellBeat struct {
	Epoch Epoch                  `json:"epoch"`
	Free  Resources              `json:"free"`    // sum over its workers
	Room  Resources              `json:"room"`    // the largest free place on one worker
	Teams map[TeamName]Resources `json:"teams"`   // committed by batch tasks
	Waits int                    `json:"waiting"` // queued tasks
}

// Heartbeat is what daemons tell each other. The answer is the peer's own.
type Heartbeat struct {
	Member     Member              `json:"member"`
	Uptime     Milli               `json:"uptime_ms"`
	Revision   Revision            `json:"revision"` // configuration in force at the sender
	Cells      map[CellID]CellBeat `json:"cells,omitempty"`
	Load       map[VMID]int        `json:"load,omitempty"`    // per upstream, hundredths of a slot, averaged
	Waiting    int                 `json:"waiting,omitempty"` // requests queued at the sender
	LeavingVMs []VMID              `json:"leaving_vms,omitempty"`
}

// Check checks the member and that no count is negative.
func (h Heartbeat) Check() error {
	for id, n := range h.Load {
		if n < 0 {
			return errors.Newf("heartbeat of %s: load %d at %s is negative", h.Member.ID, n, id)
		}
	}
	return h.Member.Check()
}
