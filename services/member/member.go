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
	"maps"
	"slices"
	"strings"
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
	config  Config
	sources []Source
	started time.Time
	nudge   chan struct{} // asks for a round of heartbeats at once

	mu    sync.Mutex
	self  models.Member
	known map[models.MemberID]*known
	// lost holds when members were last seen to lose their memory, by dying or by
	// starting anew, without having passed it on.
	lost map[models.MemberID]time.Time
	// listRead tells that the member list has been read once from the store.
	listRead bool

	registration
}

// known is what is known of one peer.
type known struct {
	member models.Member
	beat   models.Heartbeat
	heard  time.Time // zero: never
	live   bool      // as last logged
}

// New makes the service.
func New(config Config) *Service {
	return &Service{
		config: config, self: config.Self, known: map[models.MemberID]*known{}, lost: map[models.MemberID]time.Time{},
		nudge: make(chan struct{}, 1), started: time.Now(),
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
	group.Go(func() { s.beatLoop(ctx) })
	group.Wait()
}

// Self is this daemon as it tells the others.
func (s *Service) Self() models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

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
	for _, k := range s.known {
		if k.heard.IsZero() {
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
	for _, k := range s.known {
		if s.isLive(k) {
			heard++
		}
	}
	return 2*heard >= len(s.known)+1
}

// Live lists the members that work, this one included unless it leaves, by id.
func (s *Service) Live() []models.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []models.Member
	if !s.self.Leaving {
		live = append(live, s.self)
	}
	for _, k := range s.known {
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
	beats := make(map[models.MemberID]models.Heartbeat, len(s.known))
	for id, k := range s.known {
		if s.isLive(k) {
			beats[id] = k.beat
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
	k, ok := s.known[id]
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

// isLive tells whether the peer was heard lately; the caller holds the lock.
func (s *Service) isLive(k *known) bool {
	return !k.heard.IsZero() && time.Since(k.heard) < s.config.SilentAfter
}

// Receive takes a peer's heartbeat and gives this daemon's own.
func (s *Service) Receive(beat models.Heartbeat) models.Heartbeat {
	s.hear(beat)
	return s.compose()
}

func (s *Service) hear(beat models.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat.Member.ID == s.self.ID {
		return
	}
	k := s.knownOf(beat.Member.ID)
	if !k.heard.IsZero() && k.member.Incarnation != beat.Member.Incarnation {
		s.noteLost(k)
	}
	k.member, k.beat, k.heard = beat.Member, beat, time.Now()
	s.noteLive(k)
}

func (s *Service) knownOf(id models.MemberID) *known {
	k, ok := s.known[id]
	if !ok {
		k = &known{}
		s.known[id] = k
	}
	return k
}

// noteLive logs when a peer comes or goes; the caller holds the lock.
func (s *Service) noteLive(k *known) {
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
func (s *Service) noteLost(k *known) {
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

// Uptime is how long a live member has been running, by its own word.
func (s *Service) Uptime(id models.MemberID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == s.self.ID {
		return time.Since(s.started)
	}
	if k, ok := s.known[id]; ok {
		return k.beat.Uptime.Duration()
	}
	return 0
}

func (s *Service) compose() models.Heartbeat {
	beat := models.Heartbeat{Member: s.Self(), Uptime: models.MilliOf(time.Since(s.started))}
	for _, source := range s.sources {
		source(&beat)
	}
	return beat
}

// Dump is the service's whole state.
type Dump struct {
	Self    models.Member                        `json:"self"`
	Members map[models.MemberID]models.Heartbeat `json:"members"`
	Silent  map[models.MemberID]models.Member    `json:"silent"`
}

// Dump gives the whole state for operators.
func (s *Service) Dump() Dump {
	dump := Dump{Self: s.Self(), Members: s.Beats(), Silent: map[models.MemberID]models.Member{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.known {
		if !s.isLive(k) {
			dump.Silent[id] = k.member
		}
	}
	return dump
}

// addresses lists whom to send heartbeats: the known members that were not heard
// within the time, and the seeds that are no known members.
func (s *Service) addresses(unheardFor time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for _, seed := range s.config.Seeds {
		set[seed] = true
	}
	for _, k := range s.known {
		set[k.member.PeerAddress] = k.heard.IsZero() || time.Since(k.heard) >= unheardFor
	}
	delete(set, s.self.PeerAddress)
	maps.DeleteFunc(set, func(_ string, wanted bool) bool { return !wanted })
	return slices.Collect(maps.Keys(set))
}
