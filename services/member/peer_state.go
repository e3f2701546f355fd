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
	member models.Member
	beat   models.Heartbeat
	heard  time.Time // zero: never
	live   bool      // as last logged
}

// Receive takes a peer's heartbeat and gives this daemon's own.
func (s *Service) Receive(beat models.Heartbeat) models.Heartbeat {
	s.hear(beat)
	return s.compose()
}

// hear takes a heartbeat into what is known of its sender.
func (s *Service) hear(beat models.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.Member.ID == s.self.ID {
		return
	}
	k := s.stateOf(beat.Member.ID)
	if !k.heard.IsZero() && k.member.Incarnation != beat.Member.Incarnation {
		s.noteLost(k)
	}
	k.member, k.beat, k.heard = beat.Member, beat, time.Now()
	s.noteLive(k)
}

// stateOf gives the state of a peer and makes it for a new one; the caller holds the lock.
func (s *Service) stateOf(id models.MemberID) *peerState {
	k, ok := s.known[id]
	if !ok {
		k = &peerState{}
		s.known[id] = k
	}
	return k
}

// forget drops a peer that isn't live.
func (s *Service) forget(id models.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.known[id]; ok && !s.isLive(k) {
		s.noteLost(k)
		delete(s.known, id)
	}
}

// isLive tells whether the peer was heard lately; the caller holds the lock.
func (s *Service) isLive(k *peerState) bool {
	return !k.heard.IsZero() && time.Since(k.heard) < s.config.SilentAfter
}

// noteLive logs when a peer comes or goes; the caller holds the lock.
func (s *Service) noteLive(k *peerState) {
	live := s.isLive(k)
	if live == k.live {
		return
	}
	k.live = live
	state := "peer is silent"
	if live {
		state = "peer is live"
	} else {
		s.noteLost(k)
	}
	s.config.Logger.Info(state, zap.String("peer", string(k.member.ID)), zap.String("address", k.member.PeerAddress))
}

// noteLost notes that a member may have died with what it knew; the caller holds
// the lock. One that left as planned has passed it on.
func (s *Service) noteLost(k *peerState) {
	if !k.member.Leaving {
		s.lost[k.member.ID] = time.Now()
	}
}

// LostSince lists the members that lost their memory within the time.
func (s *Service) LostSince(within time.Duration) []models.MemberID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []models.MemberID
	for id, at := range s.lost {
		if time.Since(at) < within {
			ids = append(ids, id)
		} else {
			delete(s.lost, id)
		}
	}
	return ids
}
