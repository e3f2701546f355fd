// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"cmp"
	"slices"

	"rillsail.example/rillsail/models/jobs"
)

// Learned lists what was learned here of all pairs.
func (m *Model) Learned() []jobs.Learned {
	var list []jobs.Learned
	for serving, f := range m.services {
		for filling, i := range m.index {
			if i < len(f.mean) {
				list = append(list, jobs.Learned{Serving: serving, Filling: filling, Factor: max(0, f.mean[i]), Spread: f.spread(i), Idle: f.idle.part, Observations: f.observations})
			}
		}
	}
	slices.SortFunc(list, func(a, b jobs.Learned) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return list
}

// LearnElsewhere takes what the owner of another cell has learned by itself.
func (m *Model) LearnElsewhere(cell jobs.CellName, learned []jobs.Learned) {
	m.elsewhere[cell] = learned
	for _, l := range learned {
		m.Service(l.Serving)
		m.Index(l.Filling)
	}
	m.share()
}

// share puts all cells' estimates together, each weighted by its precision. What others
// send is only what they observed themselves, so nothing comes back to where it began.
func (m *Model) share() {
	type sum struct{ weighted, weights float64 }
	sums := map[jobs.ImageName][]sum{}
	for serving, f := range m.services {
		f.grow(len(m.index))
		sums[serving] = make([]sum, len(f.mean))
		for i := range f.mean {
			precision := 1 / max(f.covariance[i][i], leastVariance)
			sums[serving][i] = sum{f.mean[i] * precision, precision}
		}
	}
	for _, learned := range m.elsewhere {
		for _, l := range learned {
			scale := m.services[l.Serving].idle.part / l.Idle
			precision := 1 / max(l.Spread*l.Spread*scale*scale, leastVariance)
			s := &sums[l.Serving][m.index[l.Filling]]
			s.weighted += l.Factor * scale * precision
			s.weights += precision
		}
	}
	for serving, f := range m.services {
		for i, s := range sums[serving] {
			f.shared[i] = s.weighted / s.weights
			f.sharedVariance[i] = 1 / s.weights
		}
	}
}

// leastVariance bounds the trust in one cell's estimate.
const leastVariance = 1e-4
