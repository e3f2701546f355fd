// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package demo runs a simulated platform and three daemons in one process and shows their main functions: a request is
// answered, a service and a batch job are placed.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Config{Out: os.Stdout, PrintNextSteps: printNext, Routers: routers.For})
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/portblock"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/daemon"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

// Config configures a demonstration.
type Config struct {
	Out            io.Writer                  // receives the progress
	Once           bool                       // end after the demonstration instead of running on
	PrintNextSteps func(io.Writer, Endpoints) // prints what the user can try next; not called with Once
	Routers        func(*daemon.Daemon) daemon.Handlers
}

// Endpoints contains the addresses of one of the daemons, the operators' token, and a task of the batch job.
type Endpoints struct {
	Operator string
	Token    string
	Caller   string
	Task     models.TaskID
}

const (
	daemonCount   = 3
	operatorToken = "demo-operator"
	peerToken     = "demo-peer"
)

// Run starts the platform and the daemons, runs the demonstration, and keeps them running until the context ends.
func Run(ctx context.Context, c Config) error {
	stop := &stopper{}
	defer stop.stopAll()
	store, vms, err := startPlatform(stop)
	if err != nil {
		return err
	}
	running, err := startDaemons(c, stop, store, vms)
	if err != nil {
		return err
	}
	if err := show(ctx, c.Out, &running); err != nil {
		return err
	}
	if c.Once {
		return nil
	}
	c.PrintNextSteps(c.Out, running)
	<-ctx.Done()
	return nil
}

// stopper stops parts in the reverse order of their start.
type stopper struct {
	cancels []func()
}

func (s *stopper) start(run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { run(ctx) })
	s.cancels = append(s.cancels, func() { cancel(); group.Wait() })
}

func (s *stopper) stopAll() {
	for i := len(s.cancels) - 1; i >= 0; i-- {
		s.cancels[i]()
	}
}

func startPlatform(stop *stopper) (store, vms string, err error) {
	f, err := fleet.New(fleet.Config{
		RunName: fmt.Sprint(os.Getpid()), Workers: 8, PerRack: 4, Worker: models.Resources{CPU: 16_000, Memory: 61_440},
		Upstreams: 4, Slots: 8, Conns: 64, Domains: []string{"south/a", "south/b"}, ListLag: time.Second,
		ReportLag: time.Second, RejectOvercommit: true,
		UpstreamServiceTimes: fleet.ServiceTimes{Median: 10 * time.Millisecond, Sigma: 0.6, Max: 500 * time.Millisecond},
	})
	if err != nil {
		return "", "", err
	}
	stop.start(f.Run)
	if vms, err = listenAndServe(stop, f.Handler()); err != nil {
		return "", "", err
	}
	store, err = listenAndServe(stop, kv.New(kv.Config{WritesPerSecond: 100, ReadsPerSecond: 2000}).Handler())
	return store, vms, err
}

func listenAndServe(stop *stopper, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop.start(func(ctx context.Context) {
		end := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer end()
		_ = server.Serve(listener) // returns when the server is closed
	})
	return listener.Addr().String(), nil
}

func startDaemons(c Config, stop *stopper, store, vms string) (Endpoints, error) {
	var running Endpoints
	var ports portblock.Block
	for i := range daemonCount {
		settings, err := settingsFor(i, store, vms, &ports)
		if err != nil {
			return running, err
		}
		logger, err := log.New(log.Config{Level: "error", Process: "rillsaild", ID: settings.Daemon.ID})
		if err != nil {
			return running, err
		}
		d, err := daemon.New(daemon.Config{Settings: settings, Logger: logger, Routers: c.Routers})
		if err != nil {
			return running, err
		}
		stop.start(d.Run)
		running = Endpoints{Operator: settings.Listen.Operator, Token: operatorToken, Caller: settings.Listen.Caller}
		logger.Debug("daemon runs", zap.String("operator", running.Operator))
	}
	return running, nil
}

func settingsFor(i int, store, vms string, ports *portblock.Block) (*setting.Settings, error) {
	s := setting.Defaults()
	s.Daemon.ID = fmt.Sprintf("entry-%d", i)
	s.Daemon.Domain = []string{"south/a", "south/b"}[i%2]
	s.Platform.Store, s.Platform.List = store, vms
	s.Platform.ListEvery = 500 * time.Millisecond
	s.Listen.OperatorToken, s.Listen.PeerToken = operatorToken, peerToken
	s.Member.Heartbeat, s.Member.SilentAfter = 200*time.Millisecond, 2*time.Second
	s.Cell.Renew, s.Cell.Append, s.Cell.Tick = 500*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	for _, into := range []*string{&s.Listen.Caller, &s.Listen.Operator, &s.Listen.Peer} {
		address, err := ports.Take()
		if err != nil {
			return nil, err
		}
		*into = address
	}
	return s, nil
}
