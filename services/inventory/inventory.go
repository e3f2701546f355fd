// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package inventory tracks the platform's VMs: the list as last read, when a VM was removed from the list, and to which
// cell each worker belongs. The store holds the cell map, which only ever grows.
//
// # Usage
//
//	vms := inventory.New(inventory.Config{List: list, Store: store, …})
//	manager.Loop("inventory", vms.Run)
//	for _, vm := range vms.WorkersOf(cell) { … }
package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// Config configures the service.
type Config struct {
	List     platform.VMList
	Store    platform.Store
	Interval time.Duration // between two reads of the VM list
	Logger   *zap.Logger
	Scope    tally.Scope
	// Changed is called after the VM list or the cell map has changed.
	Changed func()
}

// Service holds the VM list and the cell map. It is safe for concurrent use.
type Service struct {
	config    Config
	outageLog *log.OutageLogger

	mu        sync.RWMutex
	list      models.VMList
	vms       map[models.VMID]models.VM
	removedAt map[models.VMID]time.Time
	readAt    time.Time // when the list was last read; zero before the first read
	cells     models.CellMap
	version   platform.Version // of the cell map's key; 0 until the map was read from the store
}

// New returns a service that has not read the list or the map yet.
func New(config Config) *Service {
	return &Service{
		config: config, vms: map[models.VMID]models.VM{}, removedAt: map[models.VMID]time.Time{},
		outageLog: log.NewOutageLogger(log.OutageLoggerConfig{
			Logger: config.Logger,
			Began:  "VM list or cell map cannot be refreshed; the last known versions stay in use",
			Ended:  "VM list and cell map are refreshed again",
		}),
	}
}

// Run reads the list at each interval until ctx ends.
func (s *Service) Run(ctx context.Context) { s.loop(ctx) }

func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	for {
		s.recordResult(s.Refresh(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) recordResult(err error) {
	if err != nil {
		s.config.Scope.Counter("reads_failed").Inc(1)
	}
	s.outageLog.Observe(err)
}

// Refresh reads the list once and adds new racks to the cell map.
func (s *Service) Refresh(ctx context.Context) error {
	list, err := s.config.List.VMs(ctx)
	if err != nil {
		return err
	}
	changed := s.replaceList(list)
	err = s.addMissingRacks(ctx, list)
	if changed {
		s.config.Changed()
	}
	return err
}

func (s *Service) replaceList(list models.VMList) (changed bool) {
	now := time.Now()
	vms := make(map[models.VMID]models.VM, len(list.VMs))
	for _, vm := range list.VMs {
		vms[vm.ID] = vm
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, vm := range vms {
		old, known := s.vms[id]
		changed = changed || !known || old.State != vm.State || old.Address != vm.Address
		delete(s.removedAt, id)
	}
	for id := range s.vms {
		if _, ok := vms[id]; !ok {
			s.removedAt[id] = now
			changed = true
		}
	}
	s.list, s.vms, s.readAt = list, vms, now
	return changed
}

// VMs returns the list as last read.
func (s *Service) VMs() models.VMList {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list
}

// Get returns a VM of the list.
func (s *Service) Get(id models.VMID) (models.VM, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	vm, ok := s.vms[id]
	return vm, ok
}

// Listed reports whether the VM is in the list and, if it is not, since when this daemon has known that the VM is
// missing. A VM that was never in the list counts as missing since the first read of the list.
func (s *Service) Listed(id models.VMID) (listed bool, missingSince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.vms[id]; ok || s.readAt.IsZero() {
		return true, time.Time{}
	}
	since, ok := s.removedAt[id]
	if !ok {
		since = time.Now()
		s.removedAt[id] = since
	}
	return false, since
}

// WorkersOf returns the workers of a cell.
func (s *Service) WorkersOf(cell models.CellID) []models.VM {
	return s.filter(func(vm models.VM) bool { return vm.Kind == models.KindWorker && s.cells.Racks[vm.Rack] == cell })
}

// Upstreams returns the upstreams of the list.
func (s *Service) Upstreams() []models.VM {
	return s.filter(func(vm models.VM) bool { return vm.Kind == models.KindUpstream })
}

func (s *Service) filter(keep func(models.VM) bool) []models.VM {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var kept []models.VM
	for _, vm := range s.list.VMs {
		if keep(vm) {
			kept = append(kept, vm)
		}
	}
	return kept
}
