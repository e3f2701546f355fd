// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package entry forwards callers' requests to upstreams. Each request passes the same
// filters; see Service.ServeHTTP in path.go:
//
//	decode → classify → admit → pick → send → relay
//
// A refusal always states whether the request may have run: "not-run" only if no byte
// reached an upstream or the upstream itself said so, "unknown" otherwise. A refusal is
// sent as soon as it is certain, with the time after which the caller may retry.
//
// # Usage
//
//	service := entry.New(entry.Config{…})
//	service.Sync(vms, live, beats)          // with each heartbeat and VM list
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
	// Claim requests the right to send the request that holder names. If the key is
	// already taken, ended reports whether the request that holds the key has ended.
	Claim(ctx context.Context, key, holder string) (state models.ClaimState, ended bool, err error)
	// End reports that the request that holds the key has ended; notRun releases the key.
	End(key, holder string, notRun bool)
}

// Config holds the settings and dependencies of the entry.
type Config struct {
	Self     models.MemberID
	Settings setting.Entry
	MaxBody  int64
	// BodyTimeout limits the time in which a request's body must arrive; 0 means no limit.
	BodyTimeout time.Duration
	View        func() *config.View
	Claims      Claimer
	Logger      *zap.Logger
	Scope       tally.Scope
	NewID       func() string
}

// Service receives callers' requests at one daemon.
type Service struct {
	config             Config
	selectors          *selector.Set
	gate               *gate
	budget             *retryBudget
	pooledTransport    http.RoundTripper // reuses idle connections
	singleUseTransport http.RoundTripper // opens a connection per request, so that the transport never resends
	draining           atomic.Bool
	inFlight           atomic.Int64
	counters           counters
	refusals           refusals
}

// maxIdlePerUpstream bounds the idle connections kept to each upstream.
const maxIdlePerUpstream = 16

// New returns an entry without upstreams; Sync adds them.
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

func newTransport(dialTimeout time.Duration, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     time.Minute,
	}
}

// Sync applies the upstreams of the VM list, the live members and the peers' heartbeats.
func (s *Service) Sync(vms []models.VM, live []models.MemberID, beats map[models.MemberID]models.Heartbeat) {
	s.gate.sync(vms, live, beats, s.config.View())
}

// FillHeartbeat adds the entry's load, queue length and leaving upstreams to a heartbeat.
func (s *Service) FillHeartbeat(beat *models.Heartbeat) { s.gate.fillHeartbeat(beat) }

// InFlight returns the number of requests that have not ended.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// counters caches the metrics of each class, so that the request path does not look them up in the scope.
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
