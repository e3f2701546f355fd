// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"maps"
	"slices"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// isUsable reports whether tasks can start on a worker: it is up, listed, sound and reachable, does not drain and is not
// cordoned.
func (g *Grid) isUsable(w *incarnation) bool {
	_, drains := g.draining[w.info.ID]
	return w.isSound() && !g.unlisted[w.info.ID] && !drains && !g.isCordoned(w)
}

// isSound reports whether a worker is up and reachable, be it for new tasks or not.
func (w *incarnation) isSound() bool { return w.up && w.faults == Faults{} }

// WorkerState is what the incarnation in a place really runs.
type WorkerState struct {
	ID     jobs.WorkerID
	Born   models.UnixMilli
	Usable bool // tasks can start there
	Free   models.Resources
	Tasks  []jobs.TaskID
}

// WorkerStates returns what the latest incarnations run, by place.
func (g *Grid) WorkerStates() []WorkerState {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make([]WorkerState, 0, len(g.idsByPlace))
	for _, id := range g.idsByPlace {
		w := g.workers[id]
		states = append(states, WorkerState{
			ID: id, Born: w.info.Born, Usable: g.isUsable(w), Free: w.info.Capacity.Sub(w.used()), Tasks: slices.Collect(maps.Keys(w.runs)),
		})
	}
	return states
}

// roomCache holds for which steps of a job there is room at one moment; the tasks of a step are all alike.
type roomCache map[jobs.TaskID]bool

// hasRoomFor reports the same as Grid.hasRoomFor.
func (r roomCache) hasRoomFor(g *Grid, task jobs.TaskID, step *jobs.Step) bool {
	key := task
	key.Index = 0
	hasRoom, known := r[key]
	if !known {
		hasRoom = g.hasRoomFor(task, step)
		r[key] = hasRoom
	}
	return hasRoom
}

// hasRoomFor reports whether a task fits on the usable workers requiredRoom times.
func (g *Grid) hasRoomFor(task jobs.TaskID, step *jobs.Step) bool {
	room := 0
	for _, id := range g.idsByPlace {
		room += g.roomOn(g.workers[id], task, step)
	}
	return room >= requiredRoom
}

// workersWithRoom returns the usable workers on which a task fits.
func (g *Grid) workersWithRoom(task jobs.TaskID, step *jobs.Step) []jobs.WorkerID {
	return slices.DeleteFunc(slices.Clone(g.idsByPlace), func(id jobs.WorkerID) bool {
		return g.roomOn(g.workers[id], task, step) == 0
	})
}

// roomOn returns how many times a task fits on a worker; 0 if the worker is not usable or lacks the step's label.
func (g *Grid) roomOn(w *incarnation, task jobs.TaskID, step *jobs.Step) int {
	if !g.isUsable(w) || !w.hasLabel(step) {
		return 0
	}
	times := timesThatFit(step.Size, w.info.Capacity, g.usedOn(w, step.Filler))
	if step.PerWorker > 0 {
		times = min(times, step.PerWorker-countOfStep(w, task))
	}
	return max(0, times)
}

// usedOn returns the resources that the runs on a worker hold, with or without the processor time that filler tasks
// declare.
func (g *Grid) usedOn(w *incarnation, withFillers bool) models.Resources {
	used := w.used()
	if !withFillers {
		return used
	}
	for task := range w.runs {
		if step := g.audit.step(task); step != nil && step.Filler {
			used.CPU += step.Size.CPU
		}
	}
	return used
}

// used returns the resources that the runs on a worker hold.
func (w *incarnation) used() models.Resources {
	var used models.Resources
	for _, r := range w.runs {
		used = used.Add(r.size)
	}
	return used
}

// hasLabel reports whether a worker has the label that a step requires.
func (w *incarnation) hasLabel(step *jobs.Step) bool {
	return step.Requires == "" || slices.Contains(w.info.Labels, step.Requires)
}

// countOfStep returns the number of tasks of the same step on a worker, the given task included if it runs there.
func countOfStep(w *incarnation, task jobs.TaskID) int {
	n := 0
	for other := range w.runs {
		if other.Job == task.Job && other.Occurrence == task.Occurrence && other.Step == task.Step {
			n++
		}
	}
	return n
}

// maxTimes bounds how many times a task that needs nothing fits.
const maxTimes = 1000

// timesThatFit returns how many times a size fits beside what is used.
func timesThatFit(size, capacity, used models.Resources) int {
	times := maxTimes
	for _, amount := range [...][3]int64{
		{int64(size.CPU), int64(capacity.CPU), int64(used.CPU)},
		{int64(size.Memory), int64(capacity.Memory), int64(used.Memory)},
		{int64(size.Accelerators), int64(capacity.Accelerators), int64(used.Accelerators)},
	} {
		if needed, free := amount[0], amount[1]-amount[2]; needed > 0 {
			times = min(times, int(max(0, free)/needed))
		}
	}
	return times
}

// leastBusyShare returns the least that callers may find in use: they may or may not count workers on which nothing new may start.
func (g *Grid) leastBusyShare() float64 {
	return min(g.busyShare(g.isUsable), g.busyShare((*incarnation).isSound))
}

// busyShare returns the share of the capacity of some workers that runs hold, of the resource that is scarcest.
func (g *Grid) busyShare(counts func(*incarnation) bool) float64 {
	var used, capacity models.Resources
	for _, id := range g.idsByPlace {
		if w := g.workers[id]; counts(w) {
			used = used.Add(g.usedOn(w, false))
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	return max(
		share(float64(used.CPU), float64(capacity.CPU)),
		share(float64(used.Memory), float64(capacity.Memory)),
		share(float64(used.Accelerators), float64(capacity.Accelerators)),
	)
}

// share returns a part as a share of a whole, or 0 if there is no whole.
func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
