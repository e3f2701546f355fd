// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"container/heap"
	"time"

	"rillsail.example/rillsail/models"
)

// place is a worker that may take a task of a step, with its score.
type place struct {
	worker *worker
	score  float64
}

// places is a heap of places, the best one first.
type places []place

// Len implements heap.Interface.
func (p places) Len() int { return len(p) }

// Less implements heap.Interface.
func (p places) Less(i, j int) bool {
	if p[i].score != p[j].score {
		return p[i].score > p[j].score
	}
	return p[i].worker.info.ID < p[j].worker.info.ID
}

// Swap implements heap.Interface.
func (p places) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *places) Push(x any) { *p = append(*p, x.(place)) }

// Pop implements heap.Interface.
func (p *places) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

// lookAgain gives the first place its new score, or removes it when it takes no more tasks
// of the step.
func (c *Core) lookAgain(p *places, s *step, now time.Time) {
	first := &(*p)[0]
	if !c.mayTake(first.worker, s, now) {
		heap.Pop(p)
		return
	}
	first.score = c.score(first.worker, s)
	heap.Fix(p, 0)
}

// places finds all workers that may take a task of the step now.
func (c *Core) places(s *step, now time.Time) places {
	list := c.placeBuffer[:0]
	for _, w := range c.order {
		if c.mayTake(w, s, now) {
			list = append(list, place{w, c.score(w, s)})
		}
	}
	c.placeBuffer = list
	heap.Init(&list)
	return list
}

// mayTake tells whether a task of the step may start on the worker now.
func (c *Core) mayTake(w *worker, s *step, now time.Time) bool {
	return !w.isKept(now) && c.mayTry(w, s, now)
}

// isKept tells whether nothing but suspects may start on the worker.
func (w *worker) isKept(now time.Time) bool { return w.trials > 0 || !now.After(w.keptUntil) }

// mayTry tells the same of a suspect, which may start beside others on trial.
func (c *Core) mayTry(w *worker, s *step, now time.Time) bool {
	return c.usable(w, now) && c.fits(w, s) && c.hasRoom(w, s)
}

// hasRoom tells whether what is left on the worker is enough for a task of the step.
func (c *Core) hasRoom(w *worker, s *step) bool {
	return w.placesFor(s, 1, models.Resources{}) > 0 && (!s.spec.Fills || c.mayFill(w, s))
}

// count is how many tasks of a step are on the worker.
func (w *worker) count(s *step) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == s {
			n++
		}
	}
	return n
}
