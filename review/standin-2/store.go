//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as the platform's pages describe it. An event is an item with Gone.
type item struct {
	Key      string `json:"@key@"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is the platform's metadata store: linearizable, with leases and watches. It is never slow or down.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*storeLease
	lastID   uint64
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), revision: 1000, items: map[string]item{}, leases: map[uint64]*storeLease{}}
	go s.expireLoop()
	return s
}

// expireLoop removes the keys of leases that are over.
func (s *store) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply writes and removes keys at one revision. The caller holds the mutex.
func (s *store) apply(put []item, remove []string) uint64 {
	s.revision++
	for _, it := range put {
		it.Revision = s.revision
		it.Made = s.revision
		if before, ok := s.items[it.Key]; ok {
			it.Made = before.Made
		}
		s.items[it.Key] = it
		s.events = append(s.events, it)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Gone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// write sets a key as the operator or a runner does.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: data}}, nil)
}

// remove removes a key as the operator or the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET @path@/kv-key", s.get)
	mux.HandleFunc("GET @path@/kv-range", s.list)
	mux.HandleFunc("GET @path@/kv-watch", s.watch)
	mux.HandleFunc("POST @path@/kv-txn", s.txn)
	mux.HandleFunc("POST @path@/kv-lease", s.grant)
	mux.HandleFunc("POST @path@/kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE @path@/kv-lease-end/{lease}", s.end)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only when the peer has gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("@key@")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, it)
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("@prefix@"), r.URL.Query().Get("@after@")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("@after@"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("@prefix@")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Limits of a transaction: its entries, and the bytes of a value (value_bytes).
const (
	maxTxnEntries = 32
	valueBytes    = 1 << 20
)

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Conditions []item   `json:"@conditions@"`
		Put        []item   `json:"put"`
		Remove     []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Conditions)+len(call.Put)+len(call.Remove) > maxTxnEntries {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := []item{}
	holds := true
	for _, c := range call.Conditions {
		now = append(now, s.items[c.Key])
		holds = holds && s.items[c.Key].Revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range call.Put {
		if len(p.Value) > valueBytes {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.apply(call.Put, call.Remove)})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Duration(call.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &storeLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	lease.until = time.Now().Add(lease.ttl)
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
