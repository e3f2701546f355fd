// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package member maintains the membership of the daemons. Each daemon keeps a leased key in
// the platform's store, from which the others learn its address, and exchanges heartbeats,
// which carry load and cells, with every other daemon. Liveness is decided by heartbeats
// alone, on this daemon's own clock, so that an outage of the store, in which leases lapse,
// removes no member.
//
// # Usage
//
//	members := member.New(member.Config{Self: self, Store: store, Client: client, …})
//	members.AddSource(entry.FillHeartbeat)
//	manager.Loop("members", members.Run)
//	for _, m := range members.Live() { … }
package member

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/peer"
	"rillsail.example/rillsail/services/platform"
)

// Config holds the settings and dependencies of the service.
type Config struct {
	Self   models.Member
	Store  platform.Store
	Client *peer.Client
	Logger *zap.Logger
	Scope  tally.Scope

	Lease          time.Duration // of the member key in the store
	Heartbeat      time.Duration // interval between heartbeats
	SilentAfter    time.Duration // time without a heartbeat after which a peer is not live
	MaxRelistDelay time.Duration // longest wait before the member list is read again after a failed watch
	// Seeds are addresses of peers that receive heartbeats even if the store cannot be read.
	Seeds []string
}

// Source adds its part to each heartbeat that is sent.
type Source func(*models.Heartbeat)

// Service maintains the list of members and their liveness.
type Service struct {
	config         Config
	sources        []Source
	started        time.Time
	roundRequested chan struct{} // requests an immediate round of heartbeats

	mu    sync.Mutex
	self  models.Member
	peers map[models.MemberID]*peerState
	// lostAt holds the times at which members were last observed to lose their state, by a
	// crash or a restart, without having handed it over.
	lostAt map[models.MemberID]time.Time
	// listRead is set once the member list has been read from the store.
	listRead bool

	registration
}

// New returns a service that knows no peers; Run starts it.
func New(config Config) *Service {
	return &Service{
		config: config, self: config.Self, peers: map[models.MemberID]*peerState{}, lostAt: map[models.MemberID]time.Time{},
		roundRequested: make(chan struct{}, 1), started: time.Now(),
		registration: registration{outageLog: log.NewOutageLogger(log.OutageLoggerConfig{
			Logger: config.Logger,
			Began:  "cannot keep the membership key in the store; heartbeats continue without it",
			Ended:  "membership key is in the store again",
		})},
	}
}

// AddSource registers a source of heartbeat contents. It must be called before Run.
func (s *Service) AddSource(source Source) { s.sources = append(s.sources, source) }

// Run keeps this daemon's key in the store, follows the other daemons' keys and exchanges
// heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.registerLoop(ctx) })
	group.Go(func() { s.watchLoop(ctx) })
	group.Go(func() { s.heartbeatLoop(ctx) })
	group.Wait()
}

// Self returns this daemon as announced to the others.
func (s *Service) Self() models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}
