// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"maps"
	"slices"
)

// TaskSet is a set of a job's tasks: their indexes by step, steps counted over all
// occurrences.
type TaskSet map[int][]int

// Has tells whether a task is in the set.
func (s TaskSet) Has(flat, index int) bool { return slices.Contains(s[flat], index) }

// Len is the number of tasks.
func (s TaskSet) Len() int {
	n := 0
	for _, indexes := range s {
		n += len(indexes)
	}
	return n
}

// union gives the set with the tasks of another one.
func (s TaskSet) union(other TaskSet) TaskSet {
	sum := TaskSet{}
	maps.Copy(sum, s)
	for flat, indexes := range other {
		all := append(slices.Clone(sum[flat]), indexes...)
		slices.Sort(all)
		sum[flat] = slices.Compact(all)
	}
	return sum
}

// difference gives the set without the tasks of another one.
func (s TaskSet) difference(other TaskSet) TaskSet {
	rest := TaskSet{}
	for flat, indexes := range s {
		kept := slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return other.Has(flat, i) })
		if len(kept) > 0 {
			rest[flat] = kept
		}
	}
	return rest
}

// allTasks are all tasks of a job.
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

// Held are the tasks of an active job that the record's cell has.
func (r *Record) Held() TaskSet {
	if r.Part {
		return r.Tasks
	}
	return r.Spec.allTasks()
}

// Holds tells whether the record's cell has a task.
func (r *Record) Holds(flat, index int) bool { return !r.Part || r.Tasks.Has(flat, index) }

// Left tells whether all tasks of the job have been handed to another cell.
func (r *Record) Left() bool { return r.Ended == "" && r.Part && len(r.Tasks) == 0 }

// Without gives the record after tasks have been handed to another cell.
func (r *Record) Without(tasks TaskSet) Record {
	rest := *r
	rest.Part, rest.Tasks, rest.Moved = true, r.Held().difference(tasks), true
	return rest
}

// WithTasks gives the record after its cell has got tasks from another one, whose runs
// had numbers up to least.
func (r *Record) WithTasks(tasks TaskSet, least RunID) Record {
	sum := *r
	sum.Tasks, sum.Moved = r.Held().union(tasks), true
	if sum.Part = sum.Tasks.Len() < r.Spec.allTasks().Len(); !sum.Part {
		sum.Tasks = nil
	}
	sum.LeastRun = max(r.LeastRun, least)
	return sum
}

// NewPart is the first record of tasks in a cell that had none of the job.
func (r *Record) NewPart(tasks TaskSet, least RunID) Record {
	none := *r
	none.Part, none.Tasks = true, nil
	none.Further, none.Home = nil, ""
	part := none.WithTasks(tasks, least)
	part.Moved, part.Came = false, true
	return part
}

// Divisible tells whether each cell can run any of the job's tasks for itself: all of them
// last, at once and wherever they are.
func (s *Spec) Divisible() bool {
	return s.Repeat.Count == 0 && !slices.ContainsFunc(s.Steps, func(step Step) bool {
		return !step.Lasts || step.SameRack
	})
}
