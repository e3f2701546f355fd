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

// refusal is the final answer to a request for which no upstream's answer is relayed.
type refusal struct {
	status     int
	outcome    models.RequestOutcome
	reason     string
	retryAfter time.Duration // time after which the caller may retry; 0 if a retry is pointless
}

// notRunRefusal returns a refusal of a request of which no byte has left this daemon.
func notRunRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: models.RequestNotRun, reason: reason, retryAfter: retryAfter}
}

// adjustOutcome sets the outcome to unknown if an earlier attempt may have reached an upstream.
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

// maxKeptRefusals bounds the refusals that an entry keeps for operators.
const maxKeptRefusals = 256

// refusals keeps the latest refusals.
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

// Refusals returns the latest refusals, the oldest first.
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

// Drain stops the entry as planned: the health check fails and keep-alive connections are
// closed with their next answer, while requests in flight and requests that still arrive are
// served. Drain returns once drainIdlePolls polls in a row have found no request in flight,
// or with ctx's error.
func (s *Service) Drain(ctx context.Context) error {
	s.BeginDrain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for idlePolls := 0; idlePolls < drainIdlePolls; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if s.InFlight() == 0 {
				idlePolls++
			} else {
				idlePolls = 0
			}
		}
	}
	return nil
}

// BeginDrain makes the health check fail and keep-alive connections close with their next answer.
func (s *Service) BeginDrain() { s.draining.Store(true) }

// A drain ends after drainIdlePolls consecutive polls without a request in flight.
const (
	drainPollInterval = 100 * time.Millisecond
	drainIdlePolls    = 10
)

// Healthy reports to the load balancer whether to send new requests to this daemon: false
// during a planned stop, and before any upstream is known.
func (s *Service) Healthy() bool { return !s.draining.Load() && s.gate.hasUpstreams() }
