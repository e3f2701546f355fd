// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

const (
	priorFactor       = 0.35 // of a pair that nothing is known of: the mean of the fitted ones
	priorFactorStdDev = 0.5  // its standard deviation
	// priorFactorVariance is also the most that an estimate gets by drifting.
	priorFactorVariance = priorFactorStdDev * priorFactorStdDev
	// factorDriftVariance is the variance that a factor gains in a second.
	factorDriftVariance = 5e-4
	// taskStdDev is the standard deviation by which tasks of one filling image differ, as a
	// part of their factor.
	taskStdDev = 0.35
	// saturatedLoad is a load above which the tail says little more than that it is too long.
	saturatedLoad = 0.95
)

// Service is what is known of one serving image: the factors of all filling images beside
// it, estimated by Bayesian linear regression, and the unit of its loads.
type Service struct {
	mean         []float64
	covariance   [][]float64
	observations int
	idle         idleTail
	// combined is the mean with what other cells have learned, and combinedVariance its variance;
	// they are what decides.
	combined, combinedVariance []float64
}

// grow makes room for so many filling images.
func (s *Service) grow(n int) {
	for len(s.mean) < n {
		s.mean = append(s.mean, priorFactor)
		s.combined = append(s.combined, priorFactor)
		s.combinedVariance = append(s.combinedVariance, priorFactorVariance)
		for i := range s.covariance {
			s.covariance[i] = append(s.covariance[i], 0)
		}
		row := make([]float64, len(s.mean))
		row[len(row)-1] = priorFactorVariance
		s.covariance = append(s.covariance, row)
	}
}

// stdDev is the standard deviation of a factor.
func (s *Service) stdDev(i int) float64 { return math.Sqrt(max(0, s.covariance[i][i])) }

// Added is the load that shares of a worker add, with its variance.
func (s *Service) Added(shares []float64) (mean, variance float64) {
	for i, share := range shares {
		m, v := s.AddedBy(i, share)
		mean += m
		variance += v
	}
	return mean, variance
}

// AddedBy is the load that a share of the filling image with an index adds, with its
// variance.
func (s *Service) AddedBy(i int, share float64) (mean, variance float64) {
	if share == 0 {
		return 0, 0
	}
	mean = s.Factor(i) * share
	return mean, share*share*s.combinedVariance[i] + taskStdDev*taskStdDev*mean*mean
}

// predictAdded is what this cell's own estimates say that shares add, with its variance
// and the covariances of each factor with it.
func (s *Service) predictAdded(shares []float64) (mean, variance float64, gain []float64) {
	s.grow(len(shares))
	gain = make([]float64, len(s.mean))
	for i := range s.mean {
		for j, share := range shares {
			gain[i] += s.covariance[i][j] * share
		}
	}
	for i, share := range shares {
		part := max(0, s.mean[i]) * share
		mean += part
		variance += share*gain[i] + taskStdDev*taskStdDev*part*part
	}
	return mean, variance, gain
}

// correct takes an observation: by how much it differs from what was expected, the
// variance of that difference, and the gain that expectation gave.
func (s *Service) correct(difference, variance float64, gain []float64) {
	for i := range gain {
		s.mean[i] += gain[i] * difference / variance
		for j := range gain {
			s.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	s.observations++
}

// addDrift lets knowledge fade with time.
func (s *Service) addDrift(passed float64) {
	for i := range s.covariance {
		s.covariance[i][i] = min(priorFactorVariance, s.covariance[i][i]+factorDriftVariance*passed)
	}
}

// Factor is the load that the filling image with an index adds when it uses a whole worker;
// it is never negative.
func (s *Service) Factor(i int) float64 { return max(0, s.combined[i]) }
