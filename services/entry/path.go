// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"net/http"
	"time"

	"rillsail.example/rillsail/models"
)

// request is the state of a caller's request while it passes the filters.
type request struct {
	id             string
	arrived        time.Time
	class          models.Class
	labels         map[string]string
	deadline       time.Time // zero means none
	key            string    // idempotency key, used if the class is unrepeatable; cleared if its claim is not granted
	body           []byte
	incoming       *http.Request
	triedUpstreams map[models.VMID]bool
	sendCount      int // attempts that may have reached an upstream
}

// ServeHTTP passes a request through the filters. Each filter either passes the request on or refuses it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close") // makes the load balancer close its keep-alive connection
	}
	req, refusal := s.decode(w, r)
	if refusal != nil {
		s.refuse(w, req, *refusal)
		return
	}
	s.budget.deposit()
	s.classify(req)
	ctx, cancel := req.context(r.Context())
	defer cancel()
	if refusal := s.claim(ctx, req); refusal != nil {
		s.refuse(w, req, *refusal)
		return
	}
	outcome := s.forward(ctx, w, req)
	s.endClaim(req, outcome)
	if outcome.refusal != nil {
		s.refuse(w, req, *outcome.refusal)
		return
	}
	s.finish(req, outcome)
}

// outcome is the result of forwarding a request.
type outcome struct {
	refusal    *refusal // nil if an answer was relayed
	truncated  bool     // the answer ended early, after its header had been relayed
	callerGone bool     // the caller disconnected
}

// forward admits the request, picks an upstream, sends the request and relays the answer.
// After a failure it retries as long as that is safe and within the retry budget.
func (s *Service) forward(ctx context.Context, w http.ResponseWriter, req *request) outcome {
	for {
		slot, refusal := s.gate.admit(ctx, req)
		if refusal != nil {
			return outcome{refusal: refusal.adjustOutcome(req)}
		}
		answer, failure := s.send(ctx, req, slot)
		if failure == nil {
			return s.relay(w, req, slot, answer)
		}
		slot.release(failure.verdict(), 0)
		req.triedUpstreams[slot.id] = true
		if !s.mayRetry(req, failure) {
			if failure.answer != nil {
				return s.relayBuffered(w, failure.answer)
			}
			return outcome{refusal: failure.refusal(req), callerGone: ctx.Err() != nil}
		}
		s.counters.forClass(req.class.Name).retried.Inc(1)
	}
}

// finish updates the metrics of a request whose answer was relayed.
func (s *Service) finish(req *request, o outcome) {
	c := s.counters.forClass(req.class.Name)
	switch {
	case o.truncated:
		c.unknown.Inc(1)
		panic(http.ErrAbortHandler) // aborts the connection, so that the caller cannot take the answer for complete
	case o.callerGone:
		return
	default:
		c.answered.Inc(1)
		c.latency.RecordDuration(time.Since(req.arrived))
	}
}

func (r *request) context(parent context.Context) (context.Context, context.CancelFunc) {
	if r.deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, r.deadline)
}

// mayRetry reports whether a failed request may be sent to another upstream, and charges the retry budget if so.
func (s *Service) mayRetry(req *request, f *failure) bool {
	if req.incoming.Context().Err() != nil {
		return false
	}
	if f.notRun && len(req.triedUpstreams) < maxTries {
		return s.budget.tryWithdraw()
	}
	return !req.class.Unrepeatable && len(req.triedUpstreams) < maxTries && s.budget.tryWithdraw()
}

// maxTries bounds how often one request is sent.
const maxTries = 3
