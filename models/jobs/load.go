// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"slices"

	"rillsail.example/rillsail/models"
)

// CellLoad is the utilization of a cell. Both loads include tasks that wait for a place and are fractions of
// the processor time that the cell's usable workers have.
type CellLoad struct {
	// Room is the processor time that all tasks except filler tasks declare; they need free capacity for it.
	Room float64 `json:"room"`
	// Filling is the processor time that the same tasks are expected to use, plus what filler tasks declare.
	Filling float64 `json:"filling"`
	// Capacity is the processor time of the usable workers; 0 while the load is not known.
	Capacity models.MilliCPU `json:"capacity"`
}

// Of returns the load that decides for a job: the declared load if any of its tasks needs free capacity, and
// the expected load if all of them are filler tasks.
func (l CellLoad) Of(spec *Spec) float64 {
	if spec.NeedsRoom() {
		return l.Room
	}
	return l.Filling
}

// With returns the load after a job is added, with the processor time that its first steps declare.
func (l CellLoad) With(spec *Spec) CellLoad {
	if l.Capacity <= 0 {
		return l // the owner has not reported the load yet, or the cell has no owner
	}
	room, filling := spec.demand()
	capacity := float64(l.Capacity)
	l.Room += float64(room) / capacity
	l.Filling += float64(room+filling) / capacity
	return l
}

// NeedsRoom reports whether any task of the job needs free capacity on a worker, as all but filler tasks do.
func (s *Spec) NeedsRoom() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return !step.Fills })
}

// demand returns the processor time that the steps without predecessors declare: room for tasks that need
// free capacity, filling for filler tasks.
func (s *Spec) demand() (room, filling models.MilliCPU) {
	for _, step := range s.Steps {
		size := step.Size.CPU * models.MilliCPU(step.Count)
		switch {
		case len(step.After) > 0:
		case step.Fills:
			filling += size
		default:
			room += size
		}
	}
	return room, filling
}
