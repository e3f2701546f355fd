// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Faults are what goes wrong with the calls to one worker.
type Faults struct {
	// Cut: calls have neither effect nor answer.
	Cut bool
	// Late: orders have no answer and are carried out so much later.
	Late time.Duration
	// LoseAnswers: calls take effect and have no answer.
	LoseAnswers bool
}

// SetFaults replaces the faults of the worker in a place.
func (g *Grid) SetFaults(place int, faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workers[g.slots[place]].faults = faults
}

// SetListed lets the worker in a place be in the list, or missing there.
func (g *Grid) SetListed(place int, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlisted[g.slots[place]] = !listed
	g.noteChange(g.slots[place])
}

// Drain lets the worker in a place say that it leaves after some time.
func (g *Grid) Drain(place int, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining[g.slots[place]] = time.Now().Add(remaining)
	g.noteChange(g.slots[place])
}

// StopDraining lets the worker in a place say that it stays.
func (g *Grid) StopDraining(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.draining, g.slots[place])
	g.noteChange(g.slots[place])
}

// Crash ends the worker in a place with all that runs there; another incarnation comes
// up at its address.
func (g *Grid) Crash(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.workers[g.slots[place]]
	w.up = false
	for _, r := range w.runs {
		r.timer.Stop()
		g.audit.ended(w.info.ID, r.task, jobs.EndLapsed)
	}
	w.runs = map[jobs.TaskID]*run{}
	former := g.slots[place]
	g.slots[place] = g.boot(place)
	g.noteChange(former)
	g.noteChange(g.slots[place])
}

// reach finds the worker that a call is meant for and applies its faults. The order is
// carried out by perform, now or later.
func (g *Grid) reach(ctx context.Context, worker jobs.Worker, perform func(w *incarnation) error) error {
	g.mu.Lock()
	w := g.workers[worker.ID]
	if w == nil || !w.up {
		g.mu.Unlock()
		return platform.ErrIncarnation
	}
	faults := w.faults
	if faults.Late > 0 {
		time.AfterFunc(faults.Late, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if w.up {
				_ = perform(w) // nobody hears what comes of it
			}
		})
	}
	if faults.Cut || faults.Late > 0 {
		g.mu.Unlock()
		<-ctx.Done()
		return platform.ErrUnknown
	}
	err := perform(w)
	g.mu.Unlock()
	if faults.LoseAnswers {
		<-ctx.Done()
		return platform.ErrUnknown
	}
	return err
}
