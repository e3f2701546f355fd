// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"slices"
	"strings"
	"time"

	"rillsail.example/rillsail/models"
)

// Settled reports whether SilentAfter has passed since the start, or a heartbeat of every listed
// member has arrived. Before that, a peer that is not live may just not have been heard yet.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > s.config.SilentAfter {
		return true
	}
	if !s.listRead {
		return false
	}
	for _, p := range s.peers {
		if p.lastHeard.IsZero() {
			return false
		}
	}
	return true
}

// HearsAtLeastHalf reports whether at least half of the known members, including this daemon, are live.
// Otherwise this daemon is more likely to be partitioned than all the others to be lost, and it
// takes no cell over until the others' leases in the store have lapsed.
func (s *Service) HearsAtLeastHalf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := 1 // this daemon
	for _, p := range s.peers {
		if s.isLive(p) {
			live++
		}
	}
	return 2*live >= len(s.peers)+1
}

// Live lists the live members that are not leaving, including this daemon, ordered by id.
func (s *Service) Live() []models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []models.Member
	if !s.self.Leaving {
		live = append(live, s.self)
	}
	for _, p := range s.peers {
		if s.isLive(p) && !p.member.Leaving {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b models.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return live
}

// LiveIDs lists the ids of the members that Live returns, in the same order.
func (s *Service) LiveIDs() []models.MemberID {
	live := s.Live()
	ids := make([]models.MemberID, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// Heartbeats returns the last heartbeat of each peer that is live, including peers that are leaving.
func (s *Service) Heartbeats() map[models.MemberID]models.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	beats := make(map[models.MemberID]models.Heartbeat, len(s.peers))
	for id, p := range s.peers {
		if s.isLive(p) {
			beats[id] = p.heartbeat
		}
	}
	return beats
}

// Find returns the live member with the id, even if the member is leaving.
func (s *Service) Find(id models.MemberID) (models.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.self.ID {
		return s.self, true
	}
	p, ok := s.peers[id]
	if !ok || !s.isLive(p) {
		return models.Member{}, false
	}
	return p.member, true
}

// OwnerOf returns the peer whose heartbeat claims ownership of the cell; if several do, the
// peer with the highest epoch.
func (s *Service) OwnerOf(cell models.CellID) (owner models.Member, epoch models.Epoch, ok bool) {
	for _, beat := range s.Heartbeats() {
		if c, owned := beat.Cells[cell]; owned && (!ok || c.Epoch > epoch) {
			owner, epoch, ok = beat.Member, c.Epoch, true
		}
	}
	return owner, epoch, ok
}

// Uptime returns how long a live member has been running, according to its last heartbeat.
func (s *Service) Uptime(id models.MemberID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.self.ID {
		return time.Since(s.started)
	}
	if p, ok := s.peers[id]; ok {
		return p.heartbeat.Uptime.Duration()
	}
	return 0
}
