// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package daemon

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/calltime"
	"rillsail.example/rillsail/modules/graceful"
	"rillsail.example/rillsail/modules/idleconn"
	"rillsail.example/rillsail/modules/listen"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/control"
	"rillsail.example/rillsail/services/platform"
)

// SchedulerConfig configures a scheduler. Its clients of the platform come from an adapter.
type SchedulerConfig struct {
	Settings *setting.Settings
	Logger   *zap.Logger
	Store    platform.TxnStore
	Workers  platform.JobWorkers
	// WorkerCalls is the time limit of calls through Workers.
	WorkerCalls *calltime.Limit
	Connections func() idleconn.Counts // counts the connections of Store, Workers, List, Cordons and Feed so far
	Problems    func() int64           // counts the versions of entries and cordons that List and Cordons could not use as they are
	List        platform.WorkerList
	Cordons     platform.CordonList
	Feed        platform.ConfigurationFeed
	// Callers and Ready return the handlers for the platform's form of the callers' interface and the readiness probe.
	Callers func(platform.JobService) http.Handler
	Ready   func(ready func() bool) http.Handler
}

// Scheduler is a rillsaild on a platform that provides workers for jobs of steps: together with its peers, it accepts
// jobs from callers and runs them. A scheduler does not start the path of requests to upstreams or the journalled cells.
type Scheduler struct {
	settings *setting.Settings
	logger   *zap.Logger
	metrics  *metrics.Registry
	control  *control.Service
	manager  *graceful.Manager
	callers  *listen.Server
}

// NewScheduler returns a scheduler with open listeners.
func NewScheduler(c SchedulerConfig) (*Scheduler, error) {
	ids, err := newIDGenerator()
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings: c.Settings, logger: c.Logger, metrics: metrics.New(metrics.Config{Process: "rillsail"}),
		manager: graceful.New(graceful.Config{Logger: c.Logger}),
	}
	advertised := cmp.Or(c.Settings.Listen.PeerAdvertised, c.Settings.Listen.Peer)
	s.control = control.New(control.Config{
		Self: c.Settings.Daemon.ID, Address: advertised, Settings: c.Settings.Jobs, MaxValueSize: c.Settings.Platform.MaxValueSize,
		Store: c.Store, Workers: c.Workers, WorkerCalls: c.WorkerCalls, Connections: c.Connections, Problems: c.Problems, List: c.List, Cordons: c.Cordons, Feed: c.Feed, NewID: ids.newID,
		Logger: c.Logger, Scope: s.metrics.Scope.SubScope("control"),
	})
	if err := s.openListeners(c); err != nil {
		return nil, err
	}
	s.manager.Loop("configuration", s.control.Configurations.Run)
	s.manager.Loop("cells", s.control.Cells.Run)
	s.manager.Loop("metrics", s.control.Cells.RunMetrics)
	s.manager.OnStop("report not ready", s.control.BeginStop)
	s.manager.OnStop("hand over the cells and drain the callers", s.release)
	return s, nil
}

// openListeners opens the listeners whose addresses are set.
func (s *Scheduler) openListeners(c SchedulerConfig) error {
	l := c.Settings.Listen
	for _, each := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", l.Caller, c.Callers(s.control)},
		{"readiness", l.Ready, c.Ready(s.control.Ready)},
		{"peers", l.Peer, listen.LimitBody(int64(l.MaxBody), s.control.Handler())},
		{"metrics and state", l.Metrics, s.metricsHandler()},
	} {
		if each.address == "" {
			continue
		}
		server, err := listen.Open(listen.Config{
			Address: each.address, Handler: each.handler, MaxHeader: l.MaxHeader, MaxConnections: l.MaxConnections,
			HeaderTimeout: l.HeaderTimeout, BodyTimeout: l.BodyTimeout, IdleTimeout: l.IdleTimeout,
			ShutdownTimeout: shareOf(c.Settings.Jobs.StopGrace, shutdownShare),
		})
		if err != nil {
			return err
		}
		if each.name == "callers" {
			s.callers = server
		}
		s.manager.Loop(each.name, server.Run)
	}
	return nil
}

// metricsHandler returns the handler for the metrics and the state dump.
func (s *Scheduler) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.metrics.Handler)
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, s.control.Dump())
	})
	return mux
}

// Shares of the time for a planned stop. Cells are handed over while callers are drained, and a fifth of the time stays
// in reserve.
const (
	releaseShare  = 0.6  // for handing over the cells, which waits for the store during an outage
	drainShare    = 0.45 // for connected callers, and callers that connect before the balancer has noticed the stop
	shutdownShare = 0.2  // for requests that are still in flight after the drain
)

// shareOf returns a share of the time for a planned stop.
func shareOf(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// release hands over the cells that this daemon owns and drains the callers at the same time.
func (s *Scheduler) release(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { s.drain(ctx) })
	// The new context needs its own variable, because the draining goroutine reads ctx concurrently.
	limited, cancel := context.WithTimeout(ctx, shareOf(s.settings.Jobs.StopGrace, releaseShare))
	defer cancel()
	err := s.control.Cells.Release(limited)
	group.Wait()
	return err
}

// drain waits for the balancer to notice that this daemon is not ready, and for callers to finish.
func (s *Scheduler) drain(ctx context.Context) {
	timer := time.NewTimer(shareOf(s.settings.Jobs.StopGrace, drainShare))
	defer timer.Stop()
	s.callers.Drain()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run runs the scheduler until the context ends and the planned stop is complete.
func (s *Scheduler) Run(ctx context.Context) {
	s.logger.Info("daemon starts", zap.String("domain", s.settings.Daemon.Domain),
		zap.String("callers", s.settings.Listen.Caller), zap.String("peers", s.settings.Listen.Peer),
		zap.String("store", s.settings.Platform.Store))
	s.manager.Run(ctx)
	if err := s.metrics.Close(); err != nil {
		s.logger.Warn("closing the metrics failed", zap.Error(err))
	}
}
