// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"container/heap"
	"time"

	"rillsail.example/rillsail/models"
)

// place is a worker that can take a task of a step, with its score.
type place struct {
	worker *worker
	score  float64
}

// placeHeap is a heap of places, the best one first.
type placeHeap []place

// Len implements heap.Interface.
func (p placeHeap) Len() int { return len(p) }

// Less implements heap.Interface.
func (p placeHeap) Less(i, j int) bool {
	if p[i].score != p[j].score {
		return p[i].score > p[j].score
	}
	return p[i].worker.info.ID < p[j].worker.info.ID
}

// Swap implements heap.Interface.
func (p placeHeap) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *placeHeap) Push(x any) { *p = append(*p, x.(place)) }

// Pop implements heap.Interface.
func (p *placeHeap) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

// rescoreFirst updates the score of the first place, or removes that place when its worker can take no more
// tasks of the step.
func (c *Core) rescoreFirst(p *placeHeap, s *step, now time.Time) {
	first := &(*p)[0]
	if !c.mayTake(first.worker, s, now) {
		heap.Pop(p)
		return
	}
	first.score = c.score(first.worker, s)
	heap.Fix(p, 0)
}

// findPlaces returns all workers that can take a task of the step now.
func (c *Core) findPlaces(s *step, now time.Time) placeHeap {
	list := c.placeBuffer[:0]
	noRoomAsOf := c.noRoomAsOf(s)
	if noRoomAsOf == c.workerChanges {
		return list
	}
	for _, w := range c.sortedWorkers {
		if w.changedAs > noRoomAsOf && c.mayTake(w, s, now) {
			list = append(list, place{w, c.score(w, s)})
		}
	}
	if len(list) == 0 {
		c.recordNoRoom(s, now)
	}
	c.placeBuffer = list
	heap.Init(&list)
	return list
}

// placeAfterWait returns the worker for a task for which there is no place, if it has waited beside room for as long as it
// may: the one whose trials end first.
func (c *Core) placeAfterWait(t *task, now time.Time) placeHeap {
	c.noteRoom(t.step, now)
	list := c.placeBuffer[:0]
	if !t.hasWaitedBesideRoom(now) {
		return list
	}
	if w := c.workerBesideTrials(c.sortedWorkers, t.step, now); w != nil {
		list = append(list, place{w, c.score(w, t.step)})
	}
	c.placeBuffer = list
	return list
}

// mayTake reports whether a task of the step may start on the worker now.
func (c *Core) mayTake(w *worker, s *step, now time.Time) bool {
	return !w.isReserved(now) && c.mayTakeSuspect(w, s, now)
}

// isReserved reports whether only suspects may start on the worker.
func (w *worker) isReserved(now time.Time) bool { return w.trials > 0 || !now.After(w.reservedUntil) }

// mayTakeSuspect reports whether a suspect of the step may start on the worker now; it may run beside other suspects on
// trial.
func (c *Core) mayTakeSuspect(w *worker, s *step, now time.Time) bool {
	return c.usable(w, now) && c.fits(w, s) && c.hasCapacity(w, s)
}

// hasCapacity reports whether the worker has enough free capacity for a task of the step.
func (c *Core) hasCapacity(w *worker, s *step) bool {
	return w.countFitting(s, 1, models.Resources{}) > 0 && (!s.spec.Filler || c.mayRunFiller(w, s))
}

// countTasks returns how many tasks of the step are on the worker.
func (w *worker) countTasks(s *step) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == s {
			n++
		}
	}
	return n
}
