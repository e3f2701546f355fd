// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Listen is section [listen]: the addresses, limits and tokens of the listeners.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
	// PeerAdvertised is the peer address advertised to the other daemons if it is not Peer, such as that of a proxy.
	PeerAdvertised string
	Ready          string // readiness check of the users' platform: whether this daemon accepts callers
	Metrics        string // on the users' platform: address of metrics and the state dump
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
	r.address("caller", &l.Caller, "address for requests of callers")
	r.address("operator", &l.Operator, "address for calls of operators")
	r.address("peer", &l.Peer, "address for calls of the other daemons, to which it is advertised")
	r.address("peer_advertised", &l.PeerAdvertised, "on the users' platform: address advertised to the other daemons; peer by default")
	r.address("ready", &l.Ready, "address where the users' platform checks whether this daemon accepts callers; must be given there")
	r.address("metrics", &l.Metrics, "on the users' platform: address of metrics and the state dump")
	r.text("operator_token", &l.OperatorToken, "token that calls of operators must carry")
	r.text("peer_token", &l.PeerToken, "token that calls of daemons must carry; the same at all daemons")
	r.number("max_header", &l.MaxHeader, 1<<10, 1<<20, "maximum size of a request's header in bytes")
	r.number("max_body", &l.MaxBody, 1<<10, 1<<30, "maximum size of a request's body in bytes")
	r.number("max_connections", &l.MaxConnections, 16, 1<<16, "maximum number of connections of each listener")
	r.duration("header_timeout", &l.HeaderTimeout, 100*time.Millisecond, time.Minute, "time limit for reading a request's header")
	r.duration("body_timeout", &l.BodyTimeout, 100*time.Millisecond, time.Hour, "time limit for reading a request's body")
	r.duration("idle_timeout", &l.IdleTimeout, time.Second, time.Hour, "how long a connection may be idle")
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

// checkUsersListen checks the listeners of a daemon on the users' platform. There are no tokens, because the platform's
// network is closed and its operators write to the store.
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
