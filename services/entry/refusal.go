// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/modules/ring"
	"rillsail.example/rillsail/modules/wire"
)

// refusal is the final answer to a request that gets none of an upstream.
type refusal struct {
	status     int
	outcome    models.RequestOutcome
	reason     string
	retryAfter time.Duration // when to come back; 0: not worth it
}

// notRunRefusal refuses a request of which no byte has left this daemon.
func notRunRefusal(reason string, retry time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: models.RequestNotRun, reason: reason, retryAfter: retry}
}

// adjustOutcome makes the refusal of a request that may have reached an upstream before say so.
func (r *refusal) adjustOutcome(req *request) *refusal {
	if req.sendCount > 0 {
		r.outcome = models.RequestUnknown
	}
	return r
}

// Problem is the body of a refusal.
type Problem struct {
	Outcome models.RequestOutcome `json:"outcome"`
	Reason  string                `json:"reason"`
	Class   models.ClassName      `json:"class"`
}

func (s *Service) refuse(w http.ResponseWriter, req *request, r refusal) {
	c := s.counters.forClass(req.class.Name)
	if r.outcome == models.RequestNotRun {
		c.refused.Inc(1)
	} else {
		c.unknown.Inc(1)
	}
	s.refusals.add(models.RequestRefusal{
		ID: req.id, At: models.UnixMilliOf(time.Now()), Class: req.class.Name, Status: r.status,
		Outcome: r.outcome, Reason: r.reason, Waited: models.MilliOf(time.Since(req.arrived)),
	})
	w.Header().Set(models.HeaderRequestID, req.id)
	w.Header().Set(models.HeaderOutcome, string(r.outcome))
	w.Header().Set(models.HeaderReason, r.reason)
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	wire.Write(w, r.status, Problem{Outcome: r.outcome, Reason: r.reason, Class: req.class.Name})
}

// maxKeptRefusals bounds what an entry remembers for operators.
const maxKeptRefusals = 256

// refusals are the latest refusals.
type refusals struct {
	mu     sync.Mutex
	latest *ring.Ring[models.RequestRefusal]
}

func newRefusals() refusals {
	return refusals{latest: ring.New[models.RequestRefusal](maxKeptRefusals)}
}

func (r *refusals) add(refusal models.RequestRefusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest.Add(refusal)
}

// Refusals gives the latest refusals, the oldest first.
func (s *Service) Refusals() []models.RequestRefusal {
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	return s.refusals.latest.All()
}

func (c *counters) forClass(class models.ClassName) classCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	counters, ok := c.byClass[class]
	if !ok {
		scope := c.scope.Tagged(map[string]string{"class": string(class)})
		counters = classCounters{
			answered: scope.Counter("answered"), refused: scope.Counter("refused_not_run"),
			unknown: scope.Counter("outcome_unknown"), retried: scope.Counter("retried"),
			latency: scope.Histogram(metrics.ServiceLatency, metrics.LatencyBuckets),
		}
		c.byClass[class] = counters
	}
	return counters
}

// Drain ends the entry for a planned stop: the health check fails and kept
// connections are closed with their next answer, while everything in flight, and
// what still arrives, is served. It returns when nothing has been in flight for a
// moment, or with ctx's error.
func (s *Service) Drain(ctx context.Context) error {
	s.BeginDrain()
	quiet := time.NewTicker(drainPollInterval)
	defer quiet.Stop()
	for calm := 0; calm < drainIdlePolls; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-quiet.C:
			if s.InFlight() == 0 {
				calm++
			} else {
				calm = 0
			}
		}
	}
	return nil
}

// BeginDrain lets the health check fail and kept connections end.
func (s *Service) BeginDrain() { s.draining.Store(true) }

// A drain ends when so many looks one after the other have found nothing in flight.
const (
	drainPollInterval = 100 * time.Millisecond
	drainIdlePolls    = 10
)

// Healthy tells the balancer whether to send new requests here: not during a planned
// stop, and not before the upstreams are known.
func (s *Service) Healthy() bool { return !s.draining.Load() && s.gate.hasUpstreams() }
