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
	// Reserved is the processor time that all tasks except filler tasks declare; they need free capacity for it.
	Reserved float64 `json:"room"`
	// ExpectedUse is the processor time that the same tasks are expected to use, plus what filler tasks declare.
	ExpectedUse float64 `json:"filling"`
	// Capacity is the processor time of the usable workers; 0 while the load is not known.
	Capacity models.MilliCPU `json:"capacity"`
	// Use is what tasks on the cell's workers hold.
	Use UseOfPools `json:"use"`
}

// Use is the least that callers may count as in use on some workers, beside what these have.
type Use struct {
	// Used is what all tasks declare; of filler tasks the memory only.
	Used models.Resources `json:"used"`
	// Present is what the workers have.
	Present models.Resources `json:"present"`
}

// UseOfPools is the use of the workers of each pool.
type UseOfPools map[PoolName]Use

// Add adds another use.
func (u UseOfPools) Add(o UseOfPools) {
	for pool, use := range o {
		u[pool] = u[pool].Add(use)
	}
}

// Add returns the sum of two uses.
func (u Use) Add(o Use) Use { return Use{Used: u.Used.Add(o.Used), Present: u.Present.Add(o.Present)} }

// IsBelow reports whether less than the given share of the CPU and of the memory is in use.
func (u Use) IsBelow(share float64) bool {
	return float64(u.Used.CPU) < share*float64(u.Present.CPU) && float64(u.Used.Memory) < share*float64(u.Present.Memory)
}

// WhereBelow returns the use of those resources of which less than the given share is in use, and nothing of the others. Added to another
// use, it only brings that one's share closer to less than the given share.
func (u Use) WhereBelow(share float64) Use {
	if float64(u.Used.CPU) >= share*float64(u.Present.CPU) {
		u.Used.CPU, u.Present.CPU = 0, 0
	}
	if float64(u.Used.Memory) >= share*float64(u.Present.Memory) {
		u.Used.Memory, u.Present.Memory = 0, 0
	}
	return u
}

// For returns the load that decides for a job: the declared load if any of its tasks needs free capacity, and
// the expected load if all of them are filler tasks.
func (l CellLoad) For(spec *Spec) float64 {
	if spec.ReservesCapacity() {
		return l.Reserved
	}
	return l.ExpectedUse
}

// WithJob returns the load after a job is added, with the processor time that its first steps declare.
func (l CellLoad) WithJob(spec *Spec) CellLoad {
	if l.Capacity <= 0 {
		return l // the owner has not reported the load yet, or the cell has no owner
	}
	reserved, filler := spec.demand()
	capacity := float64(l.Capacity)
	l.Reserved += float64(reserved) / capacity
	l.ExpectedUse += float64(reserved+filler) / capacity
	return l
}

// ReservesCapacity reports whether any task of the job needs free capacity on a worker, as all but filler tasks do.
func (s *Spec) ReservesCapacity() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return !step.Filler })
}

// demand returns the processor time that the steps without predecessors declare: reserved for tasks that need
// free capacity, filler for filler tasks.
func (s *Spec) demand() (reserved, filler models.MilliCPU) {
	for _, step := range s.Steps {
		size := step.Size.CPU * models.MilliCPU(step.Count)
		switch {
		case len(step.After) > 0:
		case step.Filler:
			filler += size
		default:
			reserved += size
		}
	}
	return reserved, filler
}
