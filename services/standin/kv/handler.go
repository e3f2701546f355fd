// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package kv

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// The HTTP paths by which tests and trials control the service.
const (
	PathFaults = "/standin/faults"
	PathStats  = "/standin/stats"
)

// maxCallSize bounds the body of a call: a value in base64 and space for the other fields.
const maxCallSize = 2 * platform.MaxValueSize

// Handler returns the handler for the store's interface and the control paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, write := range map[string]bool{
		platform.PathGet: false, platform.PathList: false, platform.PathWatch: false,
		platform.PathSwap: true, platform.PathDelete: true, platform.PathGrant: true, platform.PathKeepAlive: true,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, path, write) })
	}
	mux.HandleFunc("POST "+PathFaults, s.serveFaults)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { wire.Write(w, http.StatusOK, s.Stats()) })
	return mux
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := wire.Decode[Faults](r.Body, maxCallSize)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	s.SetFaults(faults)
	wire.Write(w, http.StatusOK, faults)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request, path string, write bool) {
	call, err := wire.Decode[platform.StoreCall](r.Body, maxCallSize)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay > 0 && !clock.Sleep(r.Context(), time.Duration(faults.Delay)*time.Millisecond) {
		return
	}
	if !s.countCall(path, write, r.ContentLength) {
		wire.Write(w, http.StatusTooManyRequests, wire.Problem{Error: "rate limit reached"})
		return
	}
	answer, err := s.perform(r.Context(), path, call)
	if s.countAnswer(write, err, call.Key, answer) {
		panic(http.ErrAbortHandler) // the call has taken effect and gets no answer
	}
	if err != nil {
		wire.Write(w, statusOf(err), wire.Problem{Error: err.Error()})
		return
	}
	wire.Write(w, http.StatusOK, answer)
}

func (s *Service) perform(ctx context.Context, path string, call platform.StoreCall) (platform.StoreAnswer, error) {
	switch path {
	case platform.PathGet:
		return s.get(call.Key)
	case platform.PathList:
		return s.list(call.Prefix), nil
	case platform.PathSwap:
		return s.swap(call)
	case platform.PathDelete:
		return platform.StoreAnswer{}, s.remove(call.Key, call.Expect)
	case platform.PathWatch:
		return s.watch(ctx, call.Prefix, call.After, call.Wait.Duration())
	case platform.PathGrant:
		return s.grant(call.TTL.Duration()), nil
	default:
		return platform.StoreAnswer{}, s.keepAlive(call.Lease)
	}
}

// countCall counts a call and returns whether the rate limits allow it.
func (s *Service) countCall(path string, write bool, bytes int64) bool {
	limit := s.reads
	if write {
		limit = s.writes
	}
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allowed:
		s.stats.Limited++
	case write:
		s.stats.Writes++
	case path == platform.PathWatch:
		s.stats.Watches++
		s.stats.Reads++
	default:
		s.stats.Reads++
	}
	s.stats.BytesIn += max(bytes, 0)
	return allowed
}

// countAnswer counts the bytes of an answer and returns whether the answer is to be lost.
func (s *Service) countAnswer(write bool, err error, key string, answer platform.StoreAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range answer.Records {
		s.stats.BytesOut += int64(len(record.Value))
	}
	if s.faults.Outage {
		return true // a watch that was waiting when the outage began
	}
	if !write || err != nil || s.faults.LoseAnswers == 0 || !strings.HasPrefix(key, s.faults.LosePrefix) {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, platform.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, platform.ErrNoLease):
		return http.StatusPreconditionFailed
	case errors.Is(err, platform.ErrInvalid):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}
