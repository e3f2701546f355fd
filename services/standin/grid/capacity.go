// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"time"

	"rillsail.example/rillsail/models"
)

// shrinkGrace is how long after a worker has announced a smaller capacity the audit still accepts starts within the
// previous one: the time for which users allow a daemon to be out of touch, plus one heartbeat.
const shrinkGrace = 6 * time.Second

// capacityChange is the latest change of a worker's capacity, which owners may not have heard of yet.
type capacityChange struct {
	previous models.Resources
	at       time.Time
}

// SetCapacity sets the capacity of the worker in a place to a part of the configured one. Runs that exceed the
// new capacity continue.
func (g *Grid) SetCapacity(place int, part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.incarnationAt(place)
	w.capacityChange = capacityChange{previous: w.capacityLimit(), at: time.Now()}
	capacity := scaled(g.config.Capacity, part)
	if capacity != w.info.Capacity {
		g.audit.noteFault()
	}
	w.info.Capacity = capacity
	g.noteChange(w.info.ID)
}

// capacityLimit returns the most resources that the runs on the worker may hold now.
func (w *incarnation) capacityLimit() models.Resources {
	if time.Since(w.capacityChange.at) > shrinkGrace {
		return w.info.Capacity
	}
	return maxResources(w.capacityChange.previous, w.info.Capacity)
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b models.Resources) models.Resources {
	a.CPU = max(a.CPU, b.CPU)
	a.Memory = max(a.Memory, b.Memory)
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	return a
}

// scaled returns a part of the processor time and memory, and all accelerators.
func scaled(whole models.Resources, part float64) models.Resources {
	whole.CPU = models.MilliCPU(part * float64(whole.CPU))
	whole.Memory = models.MiB(part * float64(whole.Memory))
	return whole
}
