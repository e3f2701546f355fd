// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// peerState is what is known of one peer.
type peerState struct {
	member     models.Member
	heartbeat  models.Heartbeat
	lastHeard  time.Time // zero: never
	loggedLive bool      // as last logged
}

// Receive takes a peer's heartbeat and gives this daemon's own.
func (s *Service) Receive(beat models.Heartbeat) models.Heartbeat {
	s.recordHeartbeat(beat)
	return s.compose()
}

// recordHeartbeat takes a heartbeat into what is known of its sender.
func (s *Service) recordHeartbeat(beat models.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.Member.ID == s.self.ID {
		return
	}
	k := s.peerStateOf(beat.Member.ID)
	if !k.lastHeard.IsZero() && k.member.Incarnation != beat.Member.Incarnation {
		s.recordLost(k)
	}
	k.member, k.heartbeat, k.lastHeard = beat.Member, beat, time.Now()
	s.updateLiveness(k)
}

// peerStateOf gives the state of a peer and makes it for a new one; the caller holds the lock.
func (s *Service) peerStateOf(id models.MemberID) *peerState {
	k, ok := s.peers[id]
	if !ok {
		k = &peerState{}
		s.peers[id] = k
	}
	return k
}

// forgetPeer drops a peer that isn't live.
func (s *Service) forgetPeer(id models.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.peers[id]; ok && !s.isLive(k) {
		s.recordLost(k)
		delete(s.peers, id)
	}
}

// isLive tells whether the peer was heard lately; the caller holds the lock.
func (s *Service) isLive(k *peerState) bool {
	return !k.lastHeard.IsZero() && time.Since(k.lastHeard) < s.config.SilentAfter
}

// updateLiveness logs when a peer comes or goes; the caller holds the lock.
func (s *Service) updateLiveness(k *peerState) {
	live := s.isLive(k)
	if live == k.loggedLive {
		return
	}
	k.loggedLive = live
	state := "peer is silent"
	if live {
		state = "peer is live"
	} else {
		s.recordLost(k)
	}
	s.config.Logger.Info(state, zap.String("peer", string(k.member.ID)), zap.String("address", k.member.PeerAddress))
}

// recordLost notes that a member may have died with what it knew; the caller holds
// the lock. One that left as planned has passed it on.
func (s *Service) recordLost(k *peerState) {
	if !k.member.Leaving {
		s.lostAt[k.member.ID] = time.Now()
	}
}

// LostSince lists the members that lost their memory within the time.
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
