// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"time"

	"rillsail.example/rillsail/models"
)

// shrinkGrace is how long after a worker has said that it has less room a start over that counts as a
// breach: the time that users allow a daemon to be out of touch, and one heartbeat.
const shrinkGrace = 6 * time.Second

// capacityChange is a worker's capacity, and the one before while owners may not have heard of the change.
type capacityChange struct {
	previous models.Resources
	at       time.Time
}

// SetRoom lets the worker in a place have a part of its configured capacity from now on. What runs
// over it runs on.
func (g *Grid) SetRoom(place int, part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.incarnationAt(place)
	w.capacityChange = capacityChange{previous: w.capacityLimit(), at: time.Now()}
	w.info.Capacity = scaled(g.config.Capacity, part)
	g.noteChange(w.info.ID)
}

// capacityLimit is what starts may commit the worker to now.
func (w *incarnation) capacityLimit() models.Resources {
	if time.Since(w.capacityChange.at) > shrinkGrace {
		return w.info.Capacity
	}
	return maxResources(w.capacityChange.previous, w.info.Capacity)
}

// maxResources is the larger of each resource.
func maxResources(a, b models.Resources) models.Resources {
	a.CPU = max(a.CPU, b.CPU)
	a.Memory = max(a.Memory, b.Memory)
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	return a
}

// scaled is a part of the processor time and memory.
func scaled(whole models.Resources, part float64) models.Resources {
	whole.CPU = models.MilliCPU(part * float64(whole.CPU))
	whole.Memory = models.MiB(part * float64(whole.Memory))
	return whole
}
