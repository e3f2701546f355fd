// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// CellState is everything that must outlive the owner of a cell. It is what a
// snapshot holds and what the entries after it change.
type CellState struct {
	Tasks map[TaskID]Task `json:"tasks"`
	Jobs  map[JobID]Job   `json:"jobs"`
	// Generations holds the last generation of each replica homed here.
	Generations map[string]int `json:"generations,omitempty"`
}

// NewCellState makes the state of a cell that has never had an owner.
func NewCellState() CellState {
	return CellState{Tasks: map[TaskID]Task{}, Jobs: map[JobID]Job{}, Generations: map[string]int{}}
}

// Check checks every record.
func (s CellState) Check() error {
	for id, t := range s.Tasks {
		if id != t.ID {
			return errors.Newf("task %s stands under %s", t.ID, id)
		}
		if err := t.Check(); err != nil {
			return err
		}
	}
	for _, j := range s.Jobs {
		if err := j.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Clone copies s so that changes to the copy don't show in s. Records are values
// whose maps and slices are never changed in place.
func (s CellState) Clone() CellState {
	return CellState{Tasks: maps.Clone(s.Tasks), Jobs: maps.Clone(s.Jobs), Generations: maps.Clone(s.Generations)}
}

// CellChange is one batch of new records. Applying it twice is the same as once.
type CellChange struct {
	Tasks       []Task         `json:"tasks,omitempty"`
	DropTasks   []TaskID       `json:"drop_tasks,omitempty"`
	Jobs        []Job          `json:"jobs,omitempty"`
	DropJobs    []JobID        `json:"drop_jobs,omitempty"`
	Generations map[string]int `json:"generations,omitempty"`
}

// IsZero tells whether the change holds nothing.
func (c CellChange) IsZero() bool {
	return len(c.Tasks)+len(c.DropTasks)+len(c.Jobs)+len(c.DropJobs)+len(c.Generations) == 0
}

// Check checks every record.
func (c CellChange) Check() error {
	if err := checkAll(c.Tasks); err != nil {
		return err
	}
	return checkAll(c.Jobs)
}

// Apply changes s in place.
func (s *CellState) Apply(c CellChange) {
	for _, t := range c.Tasks {
		s.Tasks[t.ID] = t
	}
	for _, id := range c.DropTasks {
		delete(s.Tasks, id)
	}
	for _, j := range c.Jobs {
		s.Jobs[j.ID] = j
	}
	for _, id := range c.DropJobs {
		delete(s.Jobs, id)
	}
	maps.Copy(s.Generations, c.Generations)
}

// CellMap says which racks make up which cell. A rack is entered once and never
// moves, so every daemon agrees on the cell of a worker. Daemons write it to the
// store by compare-and-swap.
type CellMap struct {
	Racks map[RackID]CellID        `json:"racks"`
	Cells map[CellID]FailureDomain `json:"cells"`
}

// MaxCells bounds the cells of a fleet, and with them the store's calls.
const MaxCells = 40

// Check checks that every rack's cell is known.
func (m CellMap) Check() error {
	for rack, cell := range m.Racks {
		if _, ok := m.Cells[cell]; !ok {
			return errors.Newf("rack %s: cell %s is not in the map", rack, cell)
		}
	}
	return nil
}

// With enters the racks of the list that the map lacks; changed tells whether any.
func (m CellMap) With(list VMList) (next CellMap, changed bool) {
	next = CellMap{Racks: maps.Clone(m.Racks), Cells: maps.Clone(m.Cells)}
	if next.Racks == nil {
		next = CellMap{Racks: map[RackID]CellID{}, Cells: map[CellID]FailureDomain{}}
	}
	for _, vm := range list.VMs {
		if _, ok := next.Racks[vm.Rack]; ok || vm.Kind != KindWorker {
			continue
		}
		next.Racks[vm.Rack] = next.assignCell(vm)
		changed = true
	}
	return next, changed
}

// assignCell opens a cell for a new rack while there may be more, and otherwise adds
// the rack to the smallest cell of its failure domain.
func (m CellMap) assignCell(vm VM) CellID {
	own := CellID("cell-" + string(vm.Rack))
	sizes := map[CellID]int{}
	for _, cell := range m.Racks {
		sizes[cell]++
	}
	var smallest CellID
	for cell, domain := range m.Cells {
		if domain != vm.Domain {
			continue
		}
		if smallest == "" || sizes[cell] < sizes[smallest] || sizes[cell] == sizes[smallest] && cell < smallest {
			smallest = cell
		}
	}
	if len(m.Cells) < MaxCells || smallest == "" {
		m.Cells[own] = vm.Domain
		return own
	}
	return smallest
}
