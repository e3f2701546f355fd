// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// LearnedParameters holds the parameters that the owner of a cell has learned from reports, as they are stored for its
// successor. Loads and interference factors are fractions of a whole worker.
type LearnedParameters struct {
	// At is when the parameters were saved, by the owner's clock.
	At models.UnixMilli `json:"at"`
	// FillerImages lists the images of filler tasks, in the order of the coefficients in Factors.
	FillerImages []ImageName       `json:"filling,omitempty"`
	Factors      []ImageParameters `json:"factors,omitempty"`
	Loads        []StepLoad        `json:"loads,omitempty"`
	Speeds       []QueueSpeed      `json:"speeds,omitempty"`
}

// ImageParameters holds the interference factors of all filler images on one serving image.
type ImageParameters struct {
	Serving      ImageName `json:"serving"`
	Mean         []float64 `json:"mean"`
	Covariance   []float64 `json:"covariance"` // in row-major order
	Observations int       `json:"observations"`
	// IdleTail is the assumed tail latency without load, as a fraction of the target. The fraction is
	// computed from the two sums below.
	IdleTail float64 `json:"idle"`
	// TargetRatioSum is the sum of the target divided by the tail latency over tails without filler tasks
	// beside, weighted by seconds.
	TargetRatioSum float64 `json:"free"`
	// ObservedSeconds is the sum of these seconds.
	ObservedSeconds float64 `json:"watched"`
}

// StepLoad is the estimated baseline load of a serving step: the load of its tasks without filler tasks.
type StepLoad struct {
	Job    ID               `json:"job"`
	Number int              `json:"number"` // of the step, counted over all occurrences
	At     models.UnixMilli `json:"at"`
	// State is the load at the time At, its slope per second, and the mean load around which it oscillates.
	State      [3]float64    `json:"state"`
	Covariance [3][3]float64 `json:"covariance"`
	Weights    []float64     `json:"weights"` // of the filters: the one without a period first, then one per period
}

// QueueSpeed is the usual speed of a queue's tasks over all workers.
type QueueSpeed struct {
	Queue   QueueName `json:"queue"`
	Mean    float64   `json:"mean"` // estimated run time divided by the actual run time
	Samples int       `json:"samples"`
}

// Check rejects parameters whose dimensions don't match, and sums, variances or weights out of range.
func (p LearnedParameters) Check() error {
	for _, f := range p.Factors {
		if len(f.Mean) != len(p.FillerImages) || len(f.Covariance) != len(p.FillerImages)*len(p.FillerImages) {
			return errors.Newf("interference factors of %s do not match the %d filler images", f.Serving, len(p.FillerImages))
		}
		if !(f.IdleTail > 0) || !(f.TargetRatioSum > 0) || !(f.ObservedSeconds > 0) {
			return errors.Newf("interference factors of %s: idle tail or one of its sums is not positive", f.Serving)
		}
		for i := range f.Mean {
			if variance := f.Covariance[i*len(f.Mean)+i]; !(variance >= 0) {
				return errors.Newf("interference factor %d of %s has the invalid variance %g", i, f.Serving, variance)
			}
		}
	}
	for _, l := range p.Loads {
		for i := range l.State {
			if !(l.Covariance[i][i] >= 0) {
				return errors.Newf("baseline load of step %d of %s has the invalid variance %g", l.Number, l.Job, l.Covariance[i][i])
			}
		}
		for _, weight := range l.Weights {
			if !(weight > 0) {
				return errors.Newf("baseline load of step %d of %s has the invalid filter weight %g", l.Number, l.Job, weight)
			}
		}
	}
	return nil
}
