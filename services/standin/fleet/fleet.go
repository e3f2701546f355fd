// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package fleet simulates the platform's VMs, for tests and trials only: worker agents, upstreams that answer requests,
// and the lagging VM list. Each VM has an address of its own on the loopback interface. An audit follows what actually
// runs and lists violated guarantees.
//
// # Usage
//
//	f, err := fleet.New(fleet.Config{Workers: 16, Upstreams: 8, Domains: []string{"south/a", "south/b"}})
//	go http.Serve(listener, f.Handler())  // list, control, audit
//	f.Run(ctx)                            // until ctx ends
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models"
)

// Config configures a fleet.
type Config struct {
	RunName              string // name of this run of the fleet; part of the workers' incarnations
	Workers              int
	PerRack              int
	Worker               models.Resources
	Upstreams            int
	Slots                int
	Conns                int
	Domains              []string
	ListLag              time.Duration        // delay of changes in the VM list
	ReportLag            time.Duration        // delay of latencies in worker reports
	RejectOvercommit     bool                 // workers refuse starts that exceed their free capacity
	SizeError            float64              // actual sizes and run times are 1/(1+e) to 1+e times the declared ones
	Slowdowns            func() SlowdownTable // the current table; nil: no slowdowns
	UpstreamServiceTimes ServiceTimes         // time that upstreams take for a request
	Tick                 time.Duration
	// NoListeners makes the fleet open no listeners: workers are reachable through Local only.
	NoListeners bool
}

// SlowdownTable contains how much each batch task slows down a service on the same worker. The scheduler never sees it.
type SlowdownTable map[Pair]float64

// Pair is a service and a batch task, each identified by its label "app".
type Pair struct{ Service, Batch string }

// Slowdown returns what one batch task adds to the service's latency, as a fraction of the latency without it.
func (t SlowdownTable) Slowdown(service, batch string) float64 { return t[Pair{service, batch}] }

// slowdowns returns the current table.
func (f *Fleet) slowdowns() SlowdownTable {
	if f.config.Slowdowns == nil {
		return nil
	}
	return f.config.Slowdowns()
}

const appLabel = "app"

// Fleet simulates the VMs.
type Fleet struct {
	config    Config
	audit     *auditor
	workers   map[models.VMID]*worker
	upstreams map[models.VMID]*upstream
	servers   []*http.Server
	listeners []net.Listener

	mu        sync.Mutex
	actualVMs []models.VM // the VMs as the list shows them after its lag
	published []listSnapshot
}

// listSnapshot is the content of the list from a time on.
type listSnapshot struct {
	from time.Time
	vms  []models.VM
}

const defaultTick = 20 * time.Millisecond

// New returns a fleet and opens a listener for each VM.
func New(config Config) (*Fleet, error) {
	if config.Tick == 0 {
		config.Tick = defaultTick
	}
	f := &Fleet{
		config: config, audit: newAuditor(),
		workers: map[models.VMID]*worker{}, upstreams: map[models.VMID]*upstream{},
	}
	for i := range config.Workers {
		if err := f.addWorker(i); err != nil {
			return nil, err
		}
	}
	for i := range config.Upstreams {
		if err := f.addUpstream(i); err != nil {
			return nil, err
		}
	}
	f.publish(0)
	return f, nil
}

func (f *Fleet) addWorker(i int) error {
	rack := i / f.config.PerRack
	domain := f.config.Domains[rack%len(f.config.Domains)]
	vm := models.VM{
		ID: models.VMID(fmt.Sprintf("worker-%d", i)), Kind: models.KindWorker, State: models.VMLive,
		Domain: models.FailureDomain(domain), Rack: models.RackID(fmt.Sprintf("rack-%d", rack)), Capacity: f.config.Worker,
	}
	listener, err := f.open(&vm)
	if err != nil {
		return err
	}
	w := newWorker(f, vm)
	f.workers[vm.ID] = w
	f.serve(listener, w.handler())
	return nil
}

func (f *Fleet) addUpstream(i int) error {
	vm := models.VM{
		ID: models.VMID(fmt.Sprintf("upstream-%d", i)), Kind: models.KindUpstream, State: models.VMLive,
		Domain: models.FailureDomain(f.config.Domains[i%len(f.config.Domains)]), Rack: "upstreams",
		Slots: f.config.Slots, MaxConns: f.config.Conns,
	}
	listener, err := f.open(&vm)
	if err != nil {
		return err
	}
	u := newUpstream(f, vm)
	f.upstreams[vm.ID] = u
	f.serve(listener, u)
	return nil
}

// open opens a listener on the loopback interface and adds the VM to the list.
func (f *Fleet) open(vm *models.VM) (net.Listener, error) {
	if f.config.NoListeners {
		vm.Address = fmt.Sprintf("127.0.0.1:%d", len(f.actualVMs)+1)
		f.actualVMs = append(f.actualVMs, *vm)
		return nil, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", vm.ID)
	}
	vm.Address = listener.Addr().String()
	f.actualVMs = append(f.actualVMs, *vm)
	return listener, nil
}

func (f *Fleet) serve(listener net.Listener, handler http.Handler) {
	f.listeners = append(f.listeners, listener)
	f.servers = append(f.servers, &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute})
}

// publish makes the list show actualVMs after the lag.
func (f *Fleet) publish(lag time.Duration) {
	f.published = append(f.published, listSnapshot{from: time.Now().Add(lag), vms: slices.Clone(f.actualVMs)})
}

// VMs returns the current content of the list.
func (f *Fleet) VMs() models.VMList {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for len(f.published) > 1 && !f.published[1].from.After(now) {
		f.published = f.published[1:]
	}
	return models.VMList{VMs: f.published[0].vms}
}

// Audit returns what has actually happened so far.
func (f *Fleet) Audit() Audit { return f.audit.snapshot() }

// RunsOf returns how often upstreams have run the request with a load id.
func (f *Fleet) RunsOf(id string) int { return f.audit.runsOf(id) }

// Run serves all VMs until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	var group conc.WaitGroup
	for i, server := range f.servers {
		group.Go(func() { _ = server.Serve(f.listeners[i]) })
	}
	f.loop(ctx)
	for _, server := range f.servers {
		_ = server.Close()
	}
	group.Wait()
}

// loop advances the tasks of all workers with each tick.
func (f *Fleet) loop(ctx context.Context) {
	ticker := time.NewTicker(f.config.Tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			for _, w := range f.workers {
				w.advance(now, now.Sub(last))
			}
			last = now
		}
	}
}

// sizeFactor returns the ratio of a task's actual size and run time to the declared ones; it is the same for all tasks
// of a job.
func (f *Fleet) sizeFactor(call models.StartCall) float64 {
	if f.config.SizeError == 0 {
		return 1
	}
	s := hashFraction(call.Labels[appLabel] + string(call.Task))
	if s < 0.5 {
		return 1 / (1 + f.config.SizeError*2*s)
	}
	return 1 + f.config.SizeError*(2*s-1)
}
