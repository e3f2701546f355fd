// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Listen is section [listen]: the listeners, their limits and tokens.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
	// PeerAdvertised is what the other daemons are told, when it is not Peer: a proxy's.
	PeerAdvertised string
	Ready          string // on the users' platform: where it asks whether this daemon takes callers
	Metrics        string // on the users' platform: where figures and the state dump are served
	OperatorToken  string
	PeerToken      string

	MaxHeader      int // bytes
	MaxBody        int // bytes
	MaxConnections int // of each listener
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
}

func defaultListen() Listen {
	return Listen{
		MaxHeader:      16 << 10,
		MaxBody:        4 << 20,
		MaxConnections: 4096,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		IdleTimeout:    2 * time.Minute,
	}
}

func (l *Listen) register(r *registry) {
	r.address("caller", &l.Caller, "where callers' requests are taken")
	r.address("operator", &l.Operator, "where operators' calls are taken")
	r.address("peer", &l.Peer, "where the other daemons call; they are told this address")
	r.address("peer_advertised", &l.PeerAdvertised, "on the users' platform: the address that the other daemons are told; by default peer")
	r.address("ready", &l.Ready, "where the users' platform asks whether this daemon takes callers")
	r.address("metrics", &l.Metrics, "on the users' platform: where metrics and the state dump are served")
	r.text("operator_token", &l.OperatorToken, "token that operators' calls must carry")
	r.text("peer_token", &l.PeerToken, "token that daemons' calls must carry; the same at all")
	r.number("max_header", &l.MaxHeader, 1<<10, 1<<20, "bytes of a request's header")
	r.number("max_body", &l.MaxBody, 1<<10, 1<<30, "bytes of a request's body")
	r.number("max_connections", &l.MaxConnections, 16, 1<<16, "connections of each listener")
	r.duration("header_timeout", &l.HeaderTimeout, 100*time.Millisecond, time.Minute, "time for a request's header to arrive")
	r.duration("body_timeout", &l.BodyTimeout, 100*time.Millisecond, time.Hour, "time for a request's body to arrive")
	r.duration("idle_timeout", &l.IdleTimeout, time.Second, time.Hour, "time a connection may be idle")
}

func checkListen(s *Settings) *Error {
	if s.Platform.Adapter == AdapterUsers {
		return checkUsersListen(s.Listen)
	}
	l := s.Listen
	if err := checkRequired("listen", []requiredKey{
		{"caller", l.Caller},
		{"operator", l.Operator},
		{"peer", l.Peer},
		{"operator_token", l.OperatorToken},
		{"peer_token", l.PeerToken},
	}); err != nil {
		return err
	}
	if l.Caller == l.Operator || l.Caller == l.Peer {
		return &Error{Section: "listen", Key: "caller", Value: l.Caller, Allowed: "must differ from operator and peer"}
	}
	if l.Operator == l.Peer {
		return &Error{Section: "listen", Key: "operator", Value: l.Operator, Allowed: "must differ from peer"}
	}
	if l.OperatorToken == l.PeerToken {
		return &Error{Section: "listen", Key: "operator_token", Value: "(hidden)", Allowed: "must differ from peer_token"}
	}
	return nil
}

// checkUsersListen checks the listeners of a daemon on the users' platform: its network
// is closed, its operators write to the store, so there are no tokens.
func checkUsersListen(l Listen) *Error {
	if err := checkRequired("listen", []requiredKey{
		{"caller", l.Caller},
		{"peer", l.Peer},
		{"ready", l.Ready},
	}); err != nil {
		return err
	}
	if l.Caller == l.Peer || l.Caller == l.Ready {
		return &Error{Section: "listen", Key: "caller", Value: l.Caller, Allowed: "must differ from peer and ready"}
	}
	return nil
}
