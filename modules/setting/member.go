// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Member is section [member]: membership of the daemons.
type Member struct {
	Lease       time.Duration // of this daemon's membership key in the store
	Heartbeat   time.Duration
	SilentAfter time.Duration // time without heartbeats after which a peer's cells are taken over
	Sync        time.Duration // how often the members are read while no watch answers
	Seeds       []string      // addresses of peers, for a start during an outage of the store
}

func defaultMember() Member {
	return Member{
		Lease:       10 * time.Second,
		Heartbeat:   time.Second,
		SilentAfter: 4 * time.Second,
		Sync:        15 * time.Second,
	}
}

func (m *Member) register(r *registry) {
	r.duration("lease", &m.Lease, 200*time.Millisecond, 10*time.Minute, "lease of this daemon's membership key in the store")
	r.duration("heartbeat", &m.Heartbeat, 20*time.Millisecond, time.Minute, "how often load and cells are sent to the peers")
	r.duration("silent_after", &m.SilentAfter, 50*time.Millisecond, 10*time.Minute, "time without heartbeats after which a peer counts as lost")
	r.duration("sync", &m.Sync, 100*time.Millisecond, 10*time.Minute, "how often the members are read while no watch answers")
	r.addresses("seeds", &m.Seeds, "peers to ask for the members when the store can't be read")
}

func checkMember(s *Settings) *Error {
	m := s.Member
	if m.SilentAfter < 2*m.Heartbeat {
		return &Error{Section: "member", Key: "silent_after", Value: m.SilentAfter.String(), Allowed: "must be at least twice heartbeat"}
	}
	if m.Lease < 2*m.Heartbeat {
		return &Error{Section: "member", Key: "lease", Value: m.Lease.String(), Allowed: "must be at least twice heartbeat"}
	}
	return nil
}
