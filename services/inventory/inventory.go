// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package inventory knows the platform's VMs: the list as last read, when a VM left
// it, and to which cell each worker belongs. The map of cells is kept in the store
// and only ever grows.
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

// Config says where list and map come from.
type Config struct {
	List   platform.List
	Store  platform.Store
	Every  time.Duration // between two reads of the list
	Logger *zap.Logger
	Scope  tally.Scope
	// Changed is called after a read that found another list or map.
	Changed func()
}

// Service holds the list and the map.
type Service struct {
	config  Config
	trouble *log.Trouble

	mu        sync.RWMutex
	list      models.VMList
	vms       map[models.VMID]models.VM
	removedAt map[models.VMID]time.Time
	readAt    time.Time // of the list, zero before the first
	cells     models.CellMap
	version   platform.Version // of the map's key
}

// New makes a service that knows nothing yet.
func New(config Config) *Service {
	return &Service{
		config: config, vms: map[models.VMID]models.VM{}, removedAt: map[models.VMID]time.Time{},
		trouble: log.NewTrouble(log.TroubleConfig{
			Logger: config.Logger,
			Began:  "VM list or cell map can't be read; the last one stays in use",
			Ended:  "VM list and cell map are read again",
		}),
	}
}

// Run reads the list until ctx ends.
func (s *Service) Run(ctx context.Context) { s.loop(ctx) }

func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Every)
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
	s.trouble.Note(err)
}

// Refresh reads the list once and enters new racks in the map.
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

// VMs is the list as last read.
func (s *Service) VMs() models.VMList {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list
}

// Get gives a VM of the list.
func (s *Service) Get(id models.VMID) (models.VM, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	vm, ok := s.vms[id]
	return vm, ok
}

// Listed tells whether the VM is listed; if not, since when this daemon has known
// so. A VM that was never seen counts from the first read of the list.
func (s *Service) Listed(id models.VMID) (listed bool, goneSince time.Time) {
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

// WorkersOf lists the workers of a cell.
func (s *Service) WorkersOf(cell models.CellID) []models.VM {
	return s.filter(func(vm models.VM) bool { return vm.Kind == models.KindWorker && s.cells.Racks[vm.Rack] == cell })
}

// Upstreams lists the upstreams.
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
