// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"slices"
	"strings"
	"time"

	"rillsail.example/rillsail/models"
)

// Settled tells whether enough time has passed, or all listed members have been
// heard, so that a peer that isn't live is really gone and not just unheard yet.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > s.config.SilentAfter {
		return true
	}
	if !s.listRead {
		return false
	}
	for _, k := range s.peers {
		if k.lastHeard.IsZero() {
			return false
		}
	}
	return true
}

// HearsMost tells whether this daemon hears at least half of the members it knows,
// itself included. One that doesn't is more likely cut off than left alone, and
// takes nothing over until the others' leases in the store have lapsed.
func (s *Service) HearsMost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := 1
	for _, k := range s.peers {
		if s.isLive(k) {
			heard++
		}
	}
	return 2*heard >= len(s.peers)+1
}

// Live lists the members that work, this one included unless it leaves, by id.
func (s *Service) Live() []models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []models.Member
	if !s.self.Leaving {
		live = append(live, s.self)
	}
	for _, k := range s.peers {
		if s.isLive(k) && !k.member.Leaving {
			live = append(live, k.member)
		}
	}
	slices.SortFunc(live, func(a, b models.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return live
}

// LiveIDs lists the ids of Live.
func (s *Service) LiveIDs() []models.MemberID {
	live := s.Live()
	ids := make([]models.MemberID, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// Beats gives the last heartbeat of each peer that is live or leaving.
func (s *Service) Beats() map[models.MemberID]models.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	beats := make(map[models.MemberID]models.Heartbeat, len(s.peers))
	for id, k := range s.peers {
		if s.isLive(k) {
			beats[id] = k.heartbeat
		}
	}
	return beats
}

// Find gives a member that is live or leaving, by id.
func (s *Service) Find(id models.MemberID) (models.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.self.ID {
		return s.self, true
	}
	k, ok := s.peers[id]
	if !ok || !s.isLive(k) {
		return models.Member{}, false
	}
	return k.member, true
}

// OwnerOf finds who says in its heartbeats that it owns the cell, the highest epoch
// first.
func (s *Service) OwnerOf(cell models.CellID) (owner models.Member, epoch models.Epoch, ok bool) {
	for _, beat := range s.Beats() {
		if c, owned := beat.Cells[cell]; owned && (!ok || c.Epoch > epoch) {
			owner, epoch, ok = beat.Member, c.Epoch, true
		}
	}
	return owner, epoch, ok
}

// Uptime is how long a live member has been running, by its own word.
func (s *Service) Uptime(id models.MemberID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.self.ID {
		return time.Since(s.started)
	}
	if k, ok := s.peers[id]; ok {
		return k.heartbeat.Uptime.Duration()
	}
	return 0
}
