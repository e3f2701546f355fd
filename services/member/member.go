// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package member knows which daemons there are. Each daemon keeps a leased key in
// the platform's store, by which the others learn its address, and exchanges
// heartbeats with every other one, which carry load and cells. Who counts as live
// is decided by heartbeats alone, on this daemon's own clock, so that an outage of
// the store, in which leases lapse, removes nobody.
//
// # Usage
//
//	members := member.New(member.Config{Self: self, Store: store, Client: client, …})
//	members.AddSource(func(b *models.Heartbeat) { b.Load = entry.Load() })
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

// Config says who this daemon is and whom it talks to.
type Config struct {
	Self   models.Member
	Store  platform.Store
	Client *peer.Client
	Logger *zap.Logger
	Scope  tally.Scope

	Lease       time.Duration
	Heartbeat   time.Duration
	SilentAfter time.Duration
	Sync        time.Duration
	// Seeds are peers' addresses to try when the store can't be read.
	Seeds []string
}

// Source adds its part to each heartbeat that is sent.
type Source func(*models.Heartbeat)

// Service knows the members.
type Service struct {
	config         Config
	sources        []Source
	started        time.Time
	roundRequested chan struct{} // asks for a round of heartbeats at once

	mu    sync.Mutex
	self  models.Member
	peers map[models.MemberID]*peerState
	// lostAt holds when members were last seen to lose their memory, by dying or by
	// starting anew, without having passed it on.
	lostAt map[models.MemberID]time.Time
	// listRead tells that the member list has been read once from the store.
	listRead bool

	registration
}

// New makes the service.
func New(config Config) *Service {
	return &Service{
		config: config, self: config.Self, peers: map[models.MemberID]*peerState{}, lostAt: map[models.MemberID]time.Time{},
		roundRequested: make(chan struct{}, 1), started: time.Now(),
		registration: registration{trouble: log.NewTrouble(log.TroubleConfig{
			Logger: config.Logger,
			Began:  "membership key can't be kept; heartbeats go on without it",
			Ended:  "membership key is in the store",
		})},
	}
}

// AddSource adds a part to the heartbeats. Call it before Run.
func (s *Service) AddSource(source Source) { s.sources = append(s.sources, source) }

// Run keeps this daemon's key, reads the others' and exchanges heartbeats until
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.registerLoop(ctx) })
	group.Go(func() { s.watchLoop(ctx) })
	group.Go(func() { s.heartbeatLoop(ctx) })
	group.Wait()
}

// Self is this daemon as it tells the others.
func (s *Service) Self() models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}
