// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"cmp"
	"math"
	"slices"

	"rillsail.example/rillsail/models/jobs"
)

// restoredFactorVariance is added to the variance of each restored factor, so that the
// successor's own observations soon outweigh the restored estimate.
const restoredFactorVariance = 0.05 * 0.05

// LearnedParameters returns the learned parameters of the images; the caller adds the time, the loads and the speeds.
func (m *Model) LearnedParameters() jobs.LearnedParameters {
	learned := jobs.LearnedParameters{FillerImages: m.images()}
	for serving, s := range m.services {
		s.grow(len(learned.FillerImages))
		known := jobs.ImageParameters{
			Serving: serving, Observations: s.observations, IdleTail: s.idle.fraction, TargetRatioSum: s.idle.targetRatioSum, ObservedSeconds: s.idle.observedSeconds,
		}
		for i, row := range s.covariance {
			known.Mean = append(known.Mean, rounded(s.mean[i]))
			for _, covariance := range row {
				known.Covariance = append(known.Covariance, rounded(covariance))
			}
		}
		learned.Factors = append(learned.Factors, known)
	}
	slices.SortFunc(learned.Factors, func(a, b jobs.ImageParameters) int { return cmp.Compare(a.Serving, b.Serving) })
	return learned
}

// rounded rounds to five decimals, a hundredth of the smallest standard deviation that matters.
func rounded(value float64) float64 { return math.Round(value*1e5) / 1e5 }

// Restore loads the parameters that a previous owner saved, given their age in seconds.
func (m *Model) Restore(learned jobs.LearnedParameters, passed float64) {
	for _, image := range learned.FillerImages {
		m.Index(image)
	}
	n := len(learned.FillerImages)
	for _, known := range learned.Factors {
		s := m.Service(known.Serving)
		s.observations = known.Observations
		s.idle = idleTail{fraction: known.IdleTail, targetRatioSum: known.TargetRatioSum, observedSeconds: known.ObservedSeconds}
		for i := range n {
			s.mean[i] = known.Mean[i]
			copy(s.covariance[i], known.Covariance[i*n:(i+1)*n])
			s.covariance[i][i] += restoredFactorVariance
		}
		s.addDrift(passed)
	}
	m.combine()
}
