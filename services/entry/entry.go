// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package entry is the path of callers' requests to upstreams. Each request passes
// the same filters, see Service.ServeHTTP in path.go:
//
//	decode → classify → admit → pick → send → relay
//
// A refusal always says whether the request may have run: "not-run" only when no
// byte reached an upstream or the upstream itself said so, "unknown" otherwise. It
// is given as soon as it is certain, with a time to come back.
//
// # Usage
//
//	service := entry.New(entry.Config{…})
//	service.Sync(upstreams, peers)          // with each heartbeat and VM list
//	server := &http.Server{Handler: service}
//	service.Drain(ctx)                      // planned stop: returns when nothing is in flight
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/selector"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
)

// Claimer claims idempotency keys of unrepeatable requests.
type Claimer interface {
	// Claim gives the right to send; ended tells, of a key that is taken, whether
	// the request that holds it is over.
	Claim(ctx context.Context, key, holder string) (state models.ClaimState, ended bool, err error)
	// End says that the request that holds the key is over; notRun frees the key.
	End(key, holder string, notRun bool)
}

// Config is what the entry works with.
type Config struct {
	Self     models.MemberID
	Settings setting.Entry
	MaxBody  int64
	// BodyTimeout bounds the arrival of a request's body.
	BodyTimeout time.Duration
	View        func() *config.View
	Claims      Claimer
	Logger      *zap.Logger
	Scope       tally.Scope
	NewID       func() string
}

// Service is the entry of one daemon.
type Service struct {
	config             Config
	selectors          *selector.Set
	gate               *gate
	budget             *retryBudget
	pooledTransport    http.RoundTripper // keeps connections
	singleUseTransport http.RoundTripper // a new connection for each request, never resent
	draining           atomic.Bool
	inFlight           atomic.Int64
	counters           counters
	refusals           refusals
}

const maxIdlePerUpstream = 16

// New makes an entry that knows no upstream yet.
func New(c Config) *Service {
	selectors := selector.New()
	return &Service{
		config: c, selectors: selectors, budget: newRetryBudget(c.Settings.RetryPercent),
		gate:               newGate(gateConfig{Settings: c.Settings, Self: c.Self, Selectors: selectors, Logger: c.Logger, Scope: c.Scope}),
		pooledTransport:    newTransport(c.Settings.DialTimeout, false),
		singleUseTransport: newTransport(c.Settings.DialTimeout, true),
		counters:           newCounters(c.Scope), refusals: newRefusals(),
	}
}

func newTransport(dialTimeout time.Duration, single bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   single,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     time.Minute,
	}
}

// Sync takes the upstreams of the VM list and the peers' heartbeats.
func (s *Service) Sync(vms []models.VM, live []models.MemberID, beats map[models.MemberID]models.Heartbeat) {
	s.gate.sync(vms, live, beats, s.config.View())
}

// Beat is the source of the entry's part in heartbeats.
func (s *Service) Beat(beat *models.Heartbeat) { s.gate.fillHeartbeat(beat) }

// InFlight counts the requests that are not over.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// counters are the entry's metrics, kept at hand for the request path.
type counters struct {
	scope   tally.Scope
	mu      sync.Mutex
	byClass map[models.ClassName]classCounters
}

type classCounters struct {
	answered, refused, unknown, retried tally.Counter
	latency                             tally.Histogram
}

func newCounters(scope tally.Scope) counters {
	return counters{scope: scope, byClass: map[models.ClassName]classCounters{}}
}
