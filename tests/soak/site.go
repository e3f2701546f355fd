// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/portblock"
	"rillsail.example/rillsail/platform/emulator"
	"rillsail.example/rillsail/services/standin/grid"
	"rillsail.example/rillsail/services/standin/kv"
)

// Properties of the emulated platform.
const (
	maxWorkerLease  = 6 * time.Second
	stopTime        = 200 * time.Millisecond // that stopping a run takes
	clockSlowdown   = 0.02                   // share by which the workers' clocks are slow
	perRack         = 4
	heartbeat       = 500 * time.Millisecond
	maxTaskAttempts = 3 // per task
	host            = "jobs.example"
	prefix          = "/jobs/"
	workerPool      = "pool"
	workerCPU       = 4000 // thousandths of a core
	workerMemory    = 8000 // MB
	// checkpointTime is short compared to the tasks' work of 300 ms and more, so that most runs that end
	// early leave a checkpoint.
	checkpointTime = 50 * time.Millisecond
	restoreTime    = 30 * time.Millisecond
	// workerDowntime is the time from a worker's crash to the start of its next incarnation.
	workerDowntime = 3 * time.Second
)

// site is the emulated platform, which runs in this process, with the daemons, which run as processes.
type site struct {
	config        Config
	ports         portblock.Block
	proxies       *toxiproxy.ApiServer
	allProxies    []*toxiproxy.Proxy
	workerProxies []*toxiproxy.Proxy // by place
	emulator      *emulator.Emulator
	store         *http.Server
	daemons       []*daemon
	cancel        context.CancelFunc
	group         conc.WaitGroup

	storeFaults storeFaults

	mu             sync.Mutex
	storeListeners map[string]*daemon // by address
	reserved       map[string]bool    // targets that faults have reserved
	version        int                // version of the configuration that was written last
}

// newSite starts the platform and the daemons, and waits until the daemons accept callers. On an error it
// also returns the site if anything was started, which must be closed; nil: nothing was started.
func newSite(ctx context.Context, config Config) (*site, error) {
	s := &site{reserved: map[string]bool{}, storeListeners: map[string]*daemon{}, config: config, proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), version: 1}
	var err error
	s.emulator, err = emulator.New(emulator.Config{
		Grid: grid.Config{
			Workers: config.Workers, PerRack: perRack, Domains: config.domains(), Pool: workerPool, Capacity: models.Resources{CPU: workerCPU, Memory: workerMemory},
			EndsPerReport: config.EndsPerReport, LongestLease: maxWorkerLease, StopTime: stopTime, ClockDrift: clockSlowdown, Work: config.outcomeOf,
			Crash: config.crashDelay, RestartDelay: workerDowntime, Naming: gridNamings[config.Naming], CheckpointInterval: checkpointTime, RestoreTime: restoreTime,
		},
		Store: kv.Config{MaxValueSize: config.maxValueSize()}, Queues: queues(s.version), Heartbeat: heartbeat, Expose: s.expose,
	})
	if err != nil {
		return nil, err
	}
	s.startStore()
	running, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	s.group.Go(func() { _ = s.emulator.Run(running) }) // Run fails only if its first write fails, which can't happen within one process
	return s, s.startDaemons(ctx)
}

// domains returns the number of failure domains of the workers.
func (c Config) domains() int {
	if c.Cordons {
		return cordonDomains
	}
	return 1
}

// expose starts a proxy in front of the worker in a place and returns the proxy's address.
func (s *site) expose(place int, address string) (string, error) {
	p, err := s.newProxy(fmt.Sprint("worker ", place), address)
	if err != nil {
		return "", err
	}
	s.workerProxies = append(s.workerProxies, p)
	return p.Listen, nil
}

// startDaemons starts all daemons and waits until they accept callers.
func (s *site) startDaemons(ctx context.Context) error {
	for number := range s.config.Daemons {
		d, err := s.newDaemon(number)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := s.waitReady(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// waitTimeout bounds the wait for an event that must happen; it is long enough for a machine that is
// busy with other work.
const waitTimeout = 90 * time.Second

// pollInterval is the pause between two checks of a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// waitReady waits until the daemon accepts callers.
func (s *site) waitReady(ctx context.Context, d *daemon) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !isReady(ctx, d.readyAddress) {
		if !sleep(ctx, pollInterval) {
			return errors.Newf("%s did not become ready", d.name)
		}
	}
	return nil
}

// newProxy starts a proxy in front of an address.
func (s *site) newProxy(name, upstream string) (*toxiproxy.Proxy, error) {
	address, err := s.ports.Take()
	if err != nil {
		return nil, err
	}
	p := toxiproxy.NewProxy(s.proxies, name, address, upstream)
	s.allProxies = append(s.allProxies, p)
	return p, errors.Wrapf(p.Start(), "start proxy for %s", name)
}

// clearFaults clears all faults of store, connections and workers, and resumes or restarts the daemons.
func (s *site) clearFaults() {
	s.storeFaults.clear()
	for _, p := range s.allProxies {
		p.Toxics.ResetToxics(context.Background())
		_ = p.Start() // fails if the proxy runs
	}
	for place := range s.config.Workers {
		s.emulator.Grid.SetFaults(place, grid.Faults{})
		s.emulator.Grid.SetListed(place, true)
		s.emulator.Grid.StopDraining(place)
	}
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		if _, up := d.running(); !up {
			_ = d.start() // if that fails, waitReady reports it
		}
	}
}

// close stops everything that the site has started.
func (s *site) close() {
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.kill()
		_ = d.log.Close()
	}
	for _, p := range s.allProxies {
		p.Stop()
	}
	s.cancel()
	_ = s.store.Close()
	s.group.Wait()
}

// sleep waits for the duration; false: ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve reserves a target for a fault; false: another fault has reserved it.
func (s *site) reserve(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := !s.reserved[target]
	s.reserved[target] = true
	return free
}

// isReserved reports whether a fault has reserved a target.
func (s *site) isReserved(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved[target]
}

// release makes a target available to other faults.
func (s *site) release(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, target)
}
