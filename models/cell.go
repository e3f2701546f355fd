// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// CellState is everything that must survive a change of the cell's owner. A snapshot of the journal holds
// a CellState, and the journal entries after the snapshot are changes to it.
type CellState struct {
	Tasks map[TaskID]Task `json:"tasks"`
	Jobs  map[JobID]Job   `json:"jobs"`
	// Generations holds the last generation of each replica whose home is this cell, by "service/replica".
	Generations map[string]int `json:"generations,omitempty"`
}

// NewCellState returns the empty state of a cell that has never had an owner.
func NewCellState() CellState {
	return CellState{Tasks: map[TaskID]Task{}, Jobs: map[JobID]Job{}, Generations: map[string]int{}}
}

// Check validates every record, and that each task is stored under its own ID.
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

// Clone returns a copy of s whose maps can be changed without affecting s. The records share their maps and
// slices with s; this is safe because nothing changes the maps and slices of a record in place.
func (s CellState) Clone() CellState {
	return CellState{Tasks: maps.Clone(s.Tasks), Jobs: maps.Clone(s.Jobs), Generations: maps.Clone(s.Generations)}
}

// CellChange is one batch of new and removed records. Applying it twice has the same effect as applying it once.
type CellChange struct {
	Tasks       []Task         `json:"tasks,omitempty"`
	DropTasks   []TaskID       `json:"drop_tasks,omitempty"`
	Jobs        []Job          `json:"jobs,omitempty"`
	DropJobs    []JobID        `json:"drop_jobs,omitempty"`
	Generations map[string]int `json:"generations,omitempty"`
}

// IsZero reports whether the change is empty.
func (c CellChange) IsZero() bool {
	return len(c.Tasks)+len(c.DropTasks)+len(c.Jobs)+len(c.DropJobs)+len(c.Generations) == 0
}

// Check validates every record.
func (c CellChange) Check() error {
	if err := checkAll(c.Tasks); err != nil {
		return err
	}
	return checkAll(c.Jobs)
}

// Apply applies c to s in place.
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

// CellMap assigns racks to cells. A rack is assigned once and never moves to another cell, so all daemons
// agree on the cell of a worker. Daemons write the map to the store by compare-and-swap.
type CellMap struct {
	Racks map[RackID]CellID        `json:"racks"`
	Cells map[CellID]FailureDomain `json:"cells"`
}

// MaxCells bounds the number of cells of a fleet, and with it the number of calls to the store.
const MaxCells = 40

// Check validates that the cell of every rack is in the map.
func (m CellMap) Check() error {
	for rack, cell := range m.Racks {
		if _, ok := m.Cells[cell]; !ok {
			return errors.Newf("rack %s: cell %s is not in the map", rack, cell)
		}
	}
	return nil
}

// WithRacks returns a copy of the map that also holds the racks of the list's workers; changed reports whether
// any of them was missing.
func (m CellMap) WithRacks(list VMList) (next CellMap, changed bool) {
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

// assignCell opens a cell for a new rack while the map has fewer than MaxCells cells, and otherwise chooses
// the smallest cell of the rack's failure domain.
func (m CellMap) assignCell(vm VM) CellID {
	newCell := CellID("cell-" + string(vm.Rack))
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
		m.Cells[newCell] = vm.Domain
		return newCell
	}
	return smallest
}
