// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// Knowledge is what the owner of a cell has learned from reports, as it is stored for its
// successor. All loads and factors are shares of a whole worker.
type Knowledge struct {
	// At is when it was taken, by the owner's clock.
	At models.UnixMilli `json:"at"`
	// Filling are the filling images, in the order in which Factors lists them.
	Filling []ImageName      `json:"filling,omitempty"`
	Factors []ImageKnowledge `json:"factors,omitempty"`
	Loads   []StepLoad       `json:"loads,omitempty"`
	Speeds  []QueueSpeed     `json:"speeds,omitempty"`
}

// ImageKnowledge is how filling images add to the load of one serving image.
type ImageKnowledge struct {
	Serving      ImageName `json:"serving"`
	Mean         []float64 `json:"mean"`
	Covariance   []float64 `json:"covariance"` // row by row
	Observations int       `json:"observations"`
	// Idle is the tail without load that is assumed, as a part of the target; Free and Watched
	// are the sums that it follows from.
	Idle    float64 `json:"idle"`
	Free    float64 `json:"free"`
	Watched float64 `json:"watched"`
}

// StepLoad is the load that the tasks of a serving step have of their own.
type StepLoad struct {
	Job    ID               `json:"job"`
	Number int              `json:"number"` // of the step, over all occurrences
	At     models.UnixMilli `json:"at"`
	// State is the load now, its slope per second, and the load around which it swings.
	State      [3]float64    `json:"state"`
	Covariance [3][3]float64 `json:"covariance"`
	Weights    []float64     `json:"weights"` // of the periods that are tried
}

// QueueSpeed is how fast the tasks of a queue progress on most workers.
type QueueSpeed struct {
	Queue   QueueName `json:"queue"`
	Mean    float64   `json:"mean"` // estimated time over time taken
	Samples int       `json:"samples"`
}

// Check rejects knowledge whose parts don't fit together.
func (k Knowledge) Check() error {
	for _, f := range k.Factors {
		if len(f.Mean) != len(k.Filling) || len(f.Covariance) != len(k.Filling)*len(k.Filling) {
			return errors.Newf("factors of %s are not those of %d images", f.Serving, len(k.Filling))
		}
		if !(f.Idle > 0) || !(f.Free > 0) || !(f.Watched > 0) {
			return errors.Newf("factors of %s have no unit", f.Serving)
		}
		for i := range f.Mean {
			if variance := f.Covariance[i*len(f.Mean)+i]; !(variance >= 0) {
				return errors.Newf("factor %d of %s has the variance %g", i, f.Serving, variance)
			}
		}
	}
	for _, l := range k.Loads {
		for i := range l.State {
			if !(l.Covariance[i][i] >= 0) {
				return errors.Newf("load of step %d of %s has the variance %g", l.Number, l.Job, l.Covariance[i][i])
			}
		}
		for _, weight := range l.Weights {
			if !(weight > 0) {
				return errors.Newf("load of step %d of %s has the weight %g", l.Number, l.Job, weight)
			}
		}
	}
	return nil
}
