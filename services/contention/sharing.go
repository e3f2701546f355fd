// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"cmp"
	"slices"

	"rillsail.example/rillsail/models/jobs"
)

// LearnedFactors lists the factors of all pairs of images that this cell has learned from its own reports.
func (m *Model) LearnedFactors() []jobs.LearnedFactor {
	var list []jobs.LearnedFactor
	for serving, service := range m.services {
		for filling, i := range m.index {
			if i < len(service.mean) {
				list = append(list, jobs.LearnedFactor{Serving: serving, Filler: filling, Factor: max(0, service.mean[i]), StdDev: service.stdDev(i), IdleTail: service.idle.fraction, Observations: service.observations})
			}
		}
	}
	slices.SortFunc(list, func(a, b jobs.LearnedFactor) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	return list
}

// SetRemoteFactors replaces the factors of another cell, which its owner has learned from its own reports.
func (m *Model) SetRemoteFactors(cell jobs.CellName, learned []jobs.LearnedFactor) {
	m.remote[cell] = learned
	for _, l := range learned {
		m.Service(l.Serving)
		m.Index(l.Filler)
	}
	m.combine()
}

// combine computes the factors used for predictions: the means of all cells' estimates, weighted by precision.
// Cells send only the estimates from their own reports, so no estimate returns to the cell where it originated.
func (m *Model) combine() {
	type sum struct{ weighted, weights float64 }
	sums := map[jobs.ImageName][]sum{}
	for serving, service := range m.services {
		service.grow(len(m.index))
		sums[serving] = make([]sum, len(service.mean))
		for i := range service.mean {
			precision := 1 / max(service.covariance[i][i], minFactorVariance)
			sums[serving][i] = sum{service.mean[i] * precision, precision}
		}
	}
	for _, learned := range m.remote {
		for _, l := range learned {
			scale := m.services[l.Serving].idle.fraction / l.IdleTail
			precision := 1 / max(l.StdDev*l.StdDev*scale*scale, minFactorVariance)
			s := &sums[l.Serving][m.index[l.Filler]]
			s.weighted += l.Factor * scale * precision
			s.weights += precision
		}
	}
	for serving, service := range m.services {
		for i, s := range sums[serving] {
			service.combined[i] = s.weighted / s.weights
			service.combinedVariance[i] = 1 / s.weights
		}
	}
}

// minFactorVariance limits the weight of a single cell's estimate.
const minFactorVariance = 1e-4
