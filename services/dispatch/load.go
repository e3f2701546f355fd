// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Load returns how full the cell is: the resources declared by its tasks, waiting ones included, relative to
// the capacity of its usable workers.
func (c *Core) Load(now time.Time) jobs.CellLoad {
	var declared, used, filling, capacity models.MilliCPU
	for _, w := range c.sortedWorkers {
		declared += w.used.CPU
		used += w.used.CPU - models.MilliCPU((1-longRunningUse)*float64(w.longRunningCPU))
		filling += w.fillerCPU
		if c.usable(w, now) {
			capacity += w.info.Capacity.CPU
		}
	}
	for _, s := range c.waitingSteps {
		waiting := models.MilliCPU(s.waiting) * s.spec.Size.CPU
		if s.spec.Filler {
			filling += waiting
		} else {
			declared += waiting
			used += waiting
		}
	}
	divisor := float64(max(1, capacity))
	return jobs.CellLoad{Reserved: float64(declared) / divisor, ExpectedUse: float64(used+filling) / divisor, Capacity: capacity}
}
