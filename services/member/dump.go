// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import "rillsail.example/rillsail/models"

// Dump is the state of the service, for operators.
type Dump struct {
	Self    models.Member                        `json:"self"`
	Members map[models.MemberID]models.Heartbeat `json:"members"`
	Silent  map[models.MemberID]models.Member    `json:"silent"`
}

// Dump returns the state of the service.
func (s *Service) Dump() Dump {
	dump := Dump{Self: s.Self(), Members: s.Heartbeats(), Silent: map[models.MemberID]models.Member{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if !s.isLive(p) {
			dump.Silent[id] = p.member
		}
	}
	return dump
}
