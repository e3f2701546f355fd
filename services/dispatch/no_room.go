// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Filler tasks wait in large numbers while the loads are high, and where no worker has room for one of them, none has room for a task
// of the same kind that is no smaller. So one decision searches the workers once for such tasks, and then only those workers
// whose tasks or paces have changed since.

// fillerKind is what decides, beside the size, which workers have room for a filler task.
type fillerKind struct {
	pool     jobs.PoolName
	requires string
	image    jobs.ImageName
	ignores  bool // it may start whatever the loads
}

// fullSize is a size for which no worker has room.
type fullSize struct {
	size models.Resources
	asOf int // Core.workerChanges at that time
}

// fullSizes are the sizes of each kind for which no worker has room, the latest last.
type fullSizes map[fillerKind][]fullSize

// fillerKind returns the kind of a step's tasks. Steps with a limit for each worker are of no kind.
func (c *Core) fillerKind(s *step) (kind fillerKind, ok bool) {
	if !s.spec.Filler || s.spec.PerWorker > 0 {
		return kind, false
	}
	return fillerKind{c.terms(s.job).Pool, s.spec.Requires, s.spec.Image, c.mayIgnoreLoads(s)}, true
}

// asOf returns the latest number of changes as of which no worker has room for the size; notSearched: not known.
func (f fullSizes) asOf(kind fillerKind, size models.Resources) int {
	for _, full := range slices.Backward(f[kind]) {
		if full.size.Fits(size) {
			return full.asOf
		}
	}
	return notSearched
}

// notSearched is less than any number of changes.
const notSearched = -1

// numberChange numbers a change of the worker.
func (c *Core) numberChange(w *worker) {
	c.workerChanges++
	w.changedAs = c.workerChanges
}

// noRoomAsOf returns the latest number of changes as of which no worker has room for a task of the step; notSearched: not known. A
// worker that has changed since may have room.
func (c *Core) noRoomAsOf(s *step) int {
	kind, ok := c.fillerKind(s)
	if !ok {
		return notSearched
	}
	return c.full.asOf(kind, s.spec.Size)
}

// recordNoRoom records that no worker has room for a task of the step. Those that are kept for suspects were not searched, and
// count as changed.
func (c *Core) recordNoRoom(s *step, now time.Time) {
	kind, ok := c.fillerKind(s)
	if !ok {
		return
	}
	c.full[kind] = append(c.full[kind], fullSize{s.spec.Size, c.workerChanges})
	for _, w := range c.sortedWorkers {
		if w.isReserved(now) {
			c.numberChange(w)
		}
	}
}

// hasRoomBeside does what Core.hasRoom does, while no worker changes; full are the sizes for which it has found no room, and gets the
// step's size if there is none for that either.
func (c *Core) hasRoomBeside(full fullSizes, s *step) bool {
	kind, ok := c.fillerKind(s)
	if ok && full.asOf(kind, s.spec.Size) != notSearched {
		return false
	}
	hasRoom := c.hasRoom(s)
	if ok && !hasRoom {
		full[kind] = append(full[kind], fullSize{s.spec.Size, c.workerChanges})
	}
	return hasRoom
}
