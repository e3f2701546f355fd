// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "rillsail.example/rillsail/models/jobs"

// Weights of a place's score beside the share of the worker that stays free, which is
// at most 1: data far away doubles the time of the work, and so does a second rack.
const (
	dataWeight = 2.0
	rackWeight = 2.0
	// avoidWeight is more than all else together.
	avoidWeight = 100.0
)

// score is how good a place the worker is for a task of the step; the highest is taken.
func (c *Core) score(w *worker, s *step) float64 {
	spec := s.spec
	capacity := w.cpuCapacity()
	var score float64
	switch {
	case spec.Fills:
		score = c.fillerScore(w, s)
	case spec.Lasts:
		score = w.imageAffinity(spec.Image) - float64(w.free().CPU)/capacity
	default:
		score = -float64(w.free().CPU-spec.Size.CPU) / capacity // the tightest, so that large tasks find room as well
	}
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

// imageAffinity is how well a serving image fits to those on the worker: workers whose serving
// tasks are of one image leave room for all filling images that don't harm this one.
// 2: only this image, 1: no serving task, below 1: others as well.
func (w *worker) imageAffinity(image jobs.ImageName) float64 {
	same, all := 0, 0
	for _, t := range w.tasks {
		if t.step.spec.Lasts {
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

// onRack tells whether a task of the step is on the rack.
func (s *step) onRack(rack jobs.RackLabel) bool {
	for i := range s.tasks {
		if w := s.tasks[i].worker; w != nil && w.info.Rack == rack {
			return true
		}
	}
	return false
}
