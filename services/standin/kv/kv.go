// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package kv is an in-memory implementation of the platform's key-value service, for tests and trials only. It offers
// compare-and-swap, leases and watches, enforces the platform's rate limits, counts calls, and simulates outages, delays
// and lost answers when a test asks for them.
//
// # Usage
//
//	service := kv.New(kv.Config{WritesPerSecond: 100, ReadsPerSecond: 2000})
//	http.Serve(listener, service.Handler())
package kv

import (
	"cmp"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rillsail.example/rillsail/services/platform"
)

// Config contains the limits of a service; a rate of 0 is unlimited.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxValueSize is the size of the largest value that is accepted, in bytes; 0: platform.MaxValueSize.
	MaxValueSize int
}

// Faults are the faults of the service until they are replaced.
type Faults struct {
	Outage bool `json:"outage"`   // calls have no effect and get no answer
	Delay  int  `json:"delay_ms"` // delay before a call takes effect
	// LoseAnswers is the number of coming writes that take effect and get no answer.
	LoseAnswers int    `json:"lose_answers"`
	LosePrefix  string `json:"lose_prefix"` // LoseAnswers affects only keys with this prefix
}

// Check implements wire.Checker; it accepts everything.
func (f Faults) Check() error { return nil }

// Stats counts calls.
type Stats struct {
	Reads        int64            `json:"reads"`
	Writes       int64            `json:"writes"`
	Watches      int64            `json:"watches"`
	Limited      int64            `json:"limited"`
	BytesIn      int64            `json:"bytes_in"`
	BytesOut     int64            `json:"bytes_out"`
	Keys         int              `json:"keys"`
	WritesByKind map[string]int64 `json:"writes_by_kind"`
}

// Check implements wire.Checker; it accepts everything.
func (s Stats) Check() error { return nil }

// historyLength is the least number of changes that are kept for watches.
const historyLength = 4096

type entry struct {
	value   []byte
	version platform.Version
	lease   platform.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// Service is the key-value service.
type Service struct {
	maxValueSize int

	mu          sync.Mutex
	revision    platform.Version
	keys        map[string]entry
	leases      map[platform.LeaseID]*lease
	history     []platform.Record
	compactedTo platform.Version // changes up to this revision are not available to watches
	changed     chan struct{}    // closed and replaced with each change
	faults      Faults
	stats       Stats
	writes      *rate.Limiter
	reads       *rate.Limiter
}

// New returns an empty service.
func New(config Config) *Service {
	return &Service{
		maxValueSize: cmp.Or(config.MaxValueSize, platform.MaxValueSize),
		keys:         map[string]entry{},
		leases:       map[platform.LeaseID]*lease{},
		changed:      make(chan struct{}),
		stats:        Stats{WritesByKind: map[string]int64{}},
		writes:       limiter(config.WritesPerSecond),
		reads:        limiter(config.ReadsPerSecond),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Keys = len(s.keys)
	stats.WritesByKind = make(map[string]int64, len(s.stats.WritesByKind))
	for kind, n := range s.stats.WritesByKind {
		stats.WritesByKind[kind] = n
	}
	return stats
}

func (s *Service) get(key string) (platform.StoreAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return platform.StoreAnswer{}, platform.ErrNotFound
	}
	record := platform.Record{Key: key, Value: e.value, Version: e.version}
	return platform.StoreAnswer{Records: []platform.Record{record}, Version: s.revision}, nil
}

func (s *Service) list(prefix string) platform.StoreAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := platform.StoreAnswer{Version: s.revision}
	for key, e := range s.keys {
		if strings.HasPrefix(key, prefix) {
			answer.Records = append(answer.Records, platform.Record{Key: key, Value: e.value, Version: e.version})
		}
	}
	sort.Slice(answer.Records, func(i, j int) bool { return answer.Records[i].Key < answer.Records[j].Key })
	return answer
}

func (s *Service) swap(call platform.StoreCall) (platform.StoreAnswer, error) {
	return s.commit(platform.Txn{
		Require: []platform.Precondition{{Key: call.Key, Version: call.Expect}},
		Put:     []platform.Write{{Key: call.Key, Value: call.Value, Lease: call.Lease}},
	})
}

// commit applies a transaction atomically, under one revision.
func (s *Service) commit(txn platform.Txn) (platform.StoreAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range txn.Require {
		if s.keys[p.Key].version != p.Version {
			return platform.StoreAnswer{}, platform.ErrConflict
		}
	}
	for _, w := range txn.Put {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return platform.StoreAnswer{}, platform.ErrNoLease
		}
	}
	s.revision++
	for _, w := range txn.Put {
		s.put(w)
	}
	for _, key := range txn.Delete {
		if _, ok := s.keys[key]; ok {
			delete(s.keys, key)
			s.recordChange(platform.Record{Key: key, Version: s.revision, Deleted: true})
		}
	}
	return platform.StoreAnswer{Version: s.revision}, nil
}

// put writes a key under the current revision; the caller holds the lock.
func (s *Service) put(w platform.Write) {
	if w.Lease != 0 {
		s.leases[w.Lease].keys[w.Key] = true
	}
	s.keys[w.Key] = entry{value: w.Value, version: s.revision, lease: w.Lease}
	kind, _, _ := strings.Cut(w.Key, "/")
	s.stats.WritesByKind[kind]++
	s.recordChange(platform.Record{Key: w.Key, Value: w.Value, Version: s.revision})
}

func (s *Service) remove(key string, expect platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok || e.version != expect {
		return platform.ErrConflict
	}
	s.dropKey(key)
	return nil
}

// dropKey removes a key under a new revision; the caller holds the lock.
func (s *Service) dropKey(key string) {
	delete(s.keys, key)
	s.revision++
	s.recordChange(platform.Record{Key: key, Version: s.revision, Deleted: true})
}

// recordChange adds a change to the history and wakes waiting watches; the caller holds the lock.
func (s *Service) recordChange(record platform.Record) {
	s.history = append(s.history, record)
	if len(s.history) > 2*historyLength {
		s.history = append([]platform.Record(nil), s.history[historyLength:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) watch(ctx context.Context, prefix string, after platform.Version, wait time.Duration) (platform.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		answer, err := s.changesAfter(prefix, after)
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(answer.Records) > 0 {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer, nil
		}
	}
}

func (s *Service) changesAfter(prefix string, after platform.Version) (platform.StoreAnswer, error) {
	if after < s.compactedTo || len(s.history) > 0 && after+1 < s.history[0].Version {
		return platform.StoreAnswer{}, platform.ErrCompacted
	}
	answer := platform.StoreAnswer{Version: s.revision}
	for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
		if strings.HasPrefix(s.history[i].Key, prefix) {
			answer.Records = append(answer.Records, s.history[i])
		}
	}
	sort.Slice(answer.Records, func(i, j int) bool { return answer.Records[i].Version < answer.Records[j].Version })
	return answer, nil
}

func (s *Service) grant(ttl time.Duration) platform.StoreAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := platform.LeaseID(s.revision)
	s.leases[id] = &lease{ttl: ttl, keys: map[string]bool{}, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	return platform.StoreAnswer{Lease: id}
}

func (s *Service) keepAlive(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrNoLease
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Compact drops the history: watches from earlier revisions fail with ErrCompacted.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.revision
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) expire(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		if s.keys[key].lease == id {
			s.dropKey(key)
		}
	}
}
