// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models/jobs"
)

// Services is the load model of serving tasks: the load of a step's tasks oscillates around a mean, filler tasks add
// to it by a factor that depends on the pair of images, and the tail latency is that of a queue at the sum.
type Services struct {
	IdleTail   float64       // tail latency without load, as a fraction of the target
	MeanLoad   float64       // mean load, 1 is saturation
	Swing      float64       // amplitude of the load, as a fraction of the mean
	Period     time.Duration // of the oscillation
	HeavyEvery int           // one in this many pairs of images has heavyFactor
}

// defaultServices are fitted to the users' sites.
var defaultServices = Services{IdleTail: 0.2, MeanLoad: 0.45, Swing: 0.5, Period: 20 * time.Second, HeavyEvery: 4}

const (
	heavyFactor = 1.4
	lightFactor = 0.12
	maxLoad     = 0.98
)

// SetServices changes the load model of serving tasks.
func (g *Grid) SetServices(services Services) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Services = services
}

// interferenceFactor returns what a filler image that uses a whole worker adds to a serving image's load.
func (s Services) interferenceFactor(serving, filling jobs.ImageName) float64 {
	if xxhash.Sum64String(string(serving)+"/"+string(filling))%uint64(s.HeavyEvery) == 0 {
		return heavyFactor
	}
	return lightFactor
}

// baselineLoad returns the load of a serving task without filler tasks.
func (s Services) baselineLoad(task jobs.TaskID, passed time.Duration) float64 {
	task.Index = 0 // the tasks of a step serve the same users and have the same load
	phase := float64(xxhash.Sum64String(task.String())%1000) / 1000
	turn := 2 * math.Pi * (passed.Seconds()/s.Period.Seconds() + phase)
	return s.MeanLoad * (1 + s.Swing*math.Sin(turn))
}

// tail returns the tail latency at a load, as a fraction of the target.
func (s Services) tail(load float64) float64 { return s.IdleTail / (1 - min(load, maxLoad)) }

// figure returns the figure that a report has for a run: the tail latency in milliseconds of a serving task, the
// processor time in use of any other.
func (g *Grid) figure(w *incarnation, r *run) int {
	step := g.audit.step(r.task)
	switch {
	case step == nil:
		return 0
	case !step.LongRunning || step.Target == 0:
		return int(float64(step.Size.CPU) * float64(r.pace) / float64(jobs.FullSpeed))
	}
	baseline, added := g.loads(w, r, step)
	return int(g.config.Services.tail(baseline+added) * float64(step.Target))
}

// loads returns the baseline load of a serving run and what the filler tasks on its worker add.
func (g *Grid) loads(w *incarnation, r *run, step *jobs.Step) (baseline, added float64) {
	baseline = g.config.Services.baselineLoad(r.task, time.Since(g.begin))
	for _, other := range w.runs {
		filler := g.audit.step(other.task)
		if filler == nil || !filler.Filler {
			continue
		}
		share := float64(filler.Size.CPU) * float64(other.pace) / float64(jobs.FullSpeed) / float64(max(1, w.info.Capacity.CPU))
		added += g.config.Services.interferenceFactor(step.Image, filler.Image) * share
	}
	return baseline, added
}
