// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// peerState is the known state of one peer.
type peerState struct {
	member     models.Member
	heartbeat  models.Heartbeat
	lastHeard  time.Time // zero if no heartbeat has arrived
	loggedLive bool      // liveness as last logged
}

// Receive records a peer's heartbeat and returns this daemon's own.
func (s *Service) Receive(beat models.Heartbeat) models.Heartbeat {
	s.recordHeartbeat(beat)
	return s.compose()
}

// recordHeartbeat updates the state of the sender with its heartbeat. A new incarnation means that the
// previous one was lost.
func (s *Service) recordHeartbeat(beat models.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.Member.ID == s.self.ID {
		return
	}
	p := s.peerStateOf(beat.Member.ID)
	if !p.lastHeard.IsZero() && p.member.Incarnation != beat.Member.Incarnation {
		s.recordLost(p)
	}
	p.member, p.heartbeat, p.lastHeard = beat.Member, beat, time.Now()
	s.updateLiveness(p)
}

// peerStateOf returns the state of a peer, and creates it for a new peer; s.mu must be held.
func (s *Service) peerStateOf(id models.MemberID) *peerState {
	p, ok := s.peers[id]
	if !ok {
		p = &peerState{}
		s.peers[id] = p
	}
	return p
}

// forgetPeer removes a peer that is not live, and records it as lost.
func (s *Service) forgetPeer(id models.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[id]; ok && !s.isLive(p) {
		s.recordLost(p)
		delete(s.peers, id)
	}
}

// isLive reports whether a heartbeat of the peer arrived within SilentAfter; s.mu must be held.
func (s *Service) isLive(p *peerState) bool {
	return !p.lastHeard.IsZero() && time.Since(p.lastHeard) < s.config.SilentAfter
}

// updateLiveness logs a change of a peer's liveness, and records a peer that became silent as lost; s.mu must be held.
func (s *Service) updateLiveness(p *peerState) {
	live := s.isLive(p)
	if live == p.loggedLive {
		return
	}
	p.loggedLive = live
	message := "peer is silent: no heartbeat within the limit"
	if live {
		message = "peer is live"
	} else {
		s.recordLost(p)
	}
	s.config.Logger.Info(message, zap.String("peer", string(p.member.ID)), zap.String("address", p.member.PeerAddress))
}

// recordLost records that a member may have been lost together with its state; s.mu must be
// held. A member that left as planned has handed its state over and is not recorded.
func (s *Service) recordLost(p *peerState) {
	if !p.member.Leaving {
		s.lostAt[p.member.ID] = time.Now()
	}
}

// LostSince lists the members that lost their state within the given time.
func (s *Service) LostSince(within time.Duration) []models.MemberID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []models.MemberID
	for id, at := range s.lostAt {
		if time.Since(at) < within {
			ids = append(ids, id)
		} else {
			delete(s.lostAt, id)
		}
	}
	return ids
}
