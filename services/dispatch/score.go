// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "rillsail.example/rillsail/models/jobs"

// Weights in the score of a place; the share of the worker that stays free counts at most 1. Remote data
// doubles the duration of the work, and so does spreading a step over a second rack.
const (
	dataWeight = 2.0
	rackWeight = 2.0
	// avoidWeight exceeds all other terms together.
	avoidWeight = 100.0
)

// score returns how good a place the worker is for a task of the step; the highest score wins.
func (c *Core) score(w *worker, s *step) float64 {
	return c.useScore(w, s) + c.positionScore(w, s)
}

// useScore returns how well the worker's free capacity and its tasks suit a task of the step.
func (c *Core) useScore(w *worker, s *step) float64 {
	spec := s.spec
	capacity := w.cpuCapacity()
	switch {
	case spec.Filler:
		return c.fillerScore(w, s)
	case spec.LongRunning:
		return w.imageAffinity(spec.Image) - float64(w.free().CPU)/capacity
	default:
		return -float64(w.free().CPU-spec.Size.CPU) / capacity // best fit, which keeps large free blocks for large tasks
	}
}

// positionScore returns how good the worker is for a task of the step whatever runs there: near its data and the step's other
// tasks, and with no reason to avoid it.
func (c *Core) positionScore(w *worker, s *step) float64 {
	spec, score := s.spec, 0.0
	if spec.DataRack != "" && w.info.Rack == spec.DataRack {
		score += dataWeight
	}
	if spec.SameRack && s.onRack(w.info.Rack) {
		score += rackWeight
	}
	if c.now.Before(w.avoidUntil) {
		score -= avoidWeight
	}
	return score
}

// imageAffinity returns how well a serving image suits the images already on the worker: a worker whose serving
// tasks share one image remains usable by all filler images that don't harm this image. The result is 2 if only
// this image is there, 1 if there is no serving task, and less than 1 if there are other images as well.
func (w *worker) imageAffinity(image jobs.ImageName) float64 {
	same, all := 0, 0
	for _, t := range w.tasks {
		if t.step.spec.LongRunning {
			all++
			if t.step.spec.Image == image {
				same++
			}
		}
	}
	switch all {
	case 0:
		return 1
	case same:
		return 2
	default:
		return float64(same) / float64(all)
	}
}

// onRack reports whether a task of the step is on the rack.
func (s *step) onRack(rack jobs.RackLabel) bool {
	for i := range s.tasks {
		if w := s.tasks[i].worker; w != nil && w.info.Rack == rack {
			return true
		}
	}
	return false
}
