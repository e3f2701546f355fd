// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"maps"
	"slices"
)

// TaskSet is a set of a job's tasks: the tasks' indexes by step, where steps are counted over
// all occurrences of the job.
type TaskSet map[int][]int

// Has reports whether the set contains a task.
func (s TaskSet) Has(step, index int) bool { return slices.Contains(s[step], index) }

// Len returns the number of tasks in the set.
func (s TaskSet) Len() int {
	n := 0
	for _, indexes := range s {
		n += len(indexes)
	}
	return n
}

// union returns the tasks that are in either set.
func (s TaskSet) union(other TaskSet) TaskSet {
	sum := TaskSet{}
	maps.Copy(sum, s)
	for step, indexes := range other {
		all := append(slices.Clone(sum[step]), indexes...)
		slices.Sort(all)
		sum[step] = slices.Compact(all)
	}
	return sum
}

// difference returns the tasks of s that are not in other.
func (s TaskSet) difference(other TaskSet) TaskSet {
	rest := TaskSet{}
	for step, indexes := range s {
		kept := slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return other.Has(step, i) })
		if len(kept) > 0 {
			rest[step] = kept
		}
	}
	return rest
}

// allTasks returns the set of all tasks of the job, in all occurrences.
func (s *Spec) allTasks() TaskSet {
	all := TaskSet{}
	for occurrence := range s.Occurrences() {
		for number, step := range s.Steps {
			indexes := make([]int, step.Count)
			for i := range indexes {
				indexes[i] = i
			}
			all[occurrence*len(s.Steps)+number] = indexes
		}
	}
	return all
}

// HeldTasks returns the tasks of an active job that belong to the record's cell.
func (r *Record) HeldTasks() TaskSet {
	if r.Part {
		return r.Tasks
	}
	return r.Spec.allTasks()
}

// Holds reports whether a task belongs to the record's cell.
func (r *Record) Holds(step, index int) bool { return !r.Part || r.Tasks.Has(step, index) }

// AllTasksMoved reports whether the job is active and the record's cell has moved all of its tasks to other cells.
func (r *Record) AllTasksMoved() bool { return r.Ended == "" && r.Part && len(r.Tasks) == 0 }

// WithoutTasks returns the record after tasks have been moved to another cell.
func (r *Record) WithoutTasks(tasks TaskSet) Record {
	rest := *r
	rest.Part, rest.Tasks, rest.Rewritten = true, r.HeldTasks().difference(tasks), true
	return rest
}

// WithTasks returns the record after its cell has received tasks from another cell. The runs of the
// tasks had numbers up to highestRun.
func (r *Record) WithTasks(tasks TaskSet, highestRun RunID) Record {
	sum := *r
	sum.Tasks, sum.Rewritten = r.HeldTasks().union(tasks), true
	if sum.Part = sum.Tasks.Len() < r.Spec.allTasks().Len(); !sum.Part {
		sum.Tasks = nil
	}
	sum.HighestRun = max(r.HighestRun, highestRun)
	return sum
}

// NewPart returns the record of a cell that receives tasks of the job and has had none before. The runs of the
// tasks had numbers up to highestRun.
func (r *Record) NewPart(tasks TaskSet, highestRun RunID) Record {
	empty := *r
	empty.Part, empty.Tasks = true, nil
	empty.AdditionalCells, empty.Home = nil, ""
	part := empty.WithTasks(tasks, highestRun)
	part.Rewritten, part.Transferred = false, true
	return part
}

// Divisible reports whether cells can run any subset of the job's tasks independently: the job is not repeated,
// and all of its tasks are long-running and need not share a rack.
func (s *Spec) Divisible() bool {
	return s.Repeat.Count == 0 && !slices.ContainsFunc(s.Steps, func(step Step) bool {
		return !step.LongRunning || step.SameRack
	})
}
