// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models/jobs"
)

// Services is how serving tasks behave: the load of a step's tasks swings around a mean,
// filling tasks add to it by a factor of the pair of images, and the tail is that of a queue.
type Services struct {
	Idle   float64       // the tail without load, as a part of the target
	Load   float64       // the mean load
	Swing  float64       // by which the load swings to both sides, as a part of the mean
	Period time.Duration // of the swing
	Heavy  int           // one pair of images in so many is heavy
}

// defaultServices are fitted to the users' sites.
var defaultServices = Services{Idle: 0.2, Load: 0.45, Swing: 0.5, Period: 20 * time.Second, Heavy: 4}

const (
	heavyFactor = 1.4
	lightFactor = 0.12
	maxLoad     = 0.98
)

// SetServices changes how serving tasks behave.
func (g *Grid) SetServices(services Services) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Services = services
}

// interferenceFactor is what a filling image that uses a whole worker adds to a serving image's load.
func (s Services) interferenceFactor(serving, filling jobs.ImageName) float64 {
	if xxhash.Sum64String(string(serving)+"/"+string(filling))%uint64(s.Heavy) == 0 {
		return heavyFactor
	}
	return lightFactor
}

// baselineLoad is the load that a serving task has of its own.
func (s Services) baselineLoad(task jobs.TaskID, passed time.Duration) float64 {
	task.Index = 0 // the tasks of a step serve the same users
	phase := float64(xxhash.Sum64String(task.String())%1000) / 1000
	turn := 2 * math.Pi * (passed.Seconds()/s.Period.Seconds() + phase)
	return s.Load * (1 + s.Swing*math.Sin(turn))
}

// tail is the tail at a load, as a part of the target.
func (s Services) tail(load float64) float64 { return s.Idle / (1 - min(load, maxLoad)) }

// figure is what a report says of a run: the tail of a serving one in milliseconds, the
// processor time in use of any other.
func (g *Grid) figure(w *incarnation, r *run) int {
	step := g.audit.step(r.task)
	switch {
	case step == nil:
		return 0
	case !step.Lasts || step.Target == 0:
		return int(float64(step.Size.CPU) * float64(r.pace) / float64(jobs.FullSpeed))
	}
	own, added := g.loads(w, r, step)
	return int(g.config.Services.tail(own+added) * float64(step.Target))
}

// loads are the load that a serving run has of its own, and what fills beside it adds.
func (g *Grid) loads(w *incarnation, r *run, step *jobs.Step) (own, added float64) {
	own = g.config.Services.baselineLoad(r.task, time.Since(g.begin))
	for _, other := range w.runs {
		beside := g.audit.step(other.task)
		if beside == nil || !beside.Fills {
			continue
		}
		share := float64(beside.Size.CPU) * float64(other.pace) / float64(jobs.FullSpeed) / float64(max(1, w.info.Capacity.CPU))
		added += g.config.Services.interferenceFactor(step.Image, beside.Image) * share
	}
	return own, added
}
