// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Load returns the load of the cell: the CPU that its tasks, waiting tasks included, declare and are expected to use,
// relative to the capacity of its usable workers. Cordoned workers count on neither side.
func (c *Core) Load(now time.Time) jobs.CellLoad {
	var reserved, used, declaredByFillers, capacity models.MilliCPU
	for _, w := range c.sortedWorkers {
		if w.cordoned {
			continue // what runs there runs on, and nothing is added
		}
		reserved += w.used.CPU
		used += w.used.CPU - models.MilliCPU((1-longRunningUse)*float64(w.longRunningCPU))
		declaredByFillers += w.fillerCPU
		if c.usable(w, now) {
			capacity += w.info.Capacity.CPU
		}
	}
	for _, s := range c.waitingSteps {
		waiting := models.MilliCPU(s.waiting) * s.spec.Size.CPU
		if s.spec.Filler {
			declaredByFillers += waiting
		} else {
			reserved += waiting
			used += waiting
		}
	}
	divisor := float64(max(1, capacity))
	return jobs.CellLoad{Reserved: float64(reserved) / divisor, ExpectedUse: float64(used+declaredByFillers) / divisor, Capacity: capacity, Use: c.use(now)}
}
