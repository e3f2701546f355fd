// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

const (
	priorFactor       = 0.35 // of a pair without observations: the mean of the fitted factors
	priorFactorStdDev = 0.5  // standard deviation of priorFactor
	// priorFactorVariance is also the maximum variance that an estimate reaches by drift.
	priorFactorVariance = priorFactorStdDev * priorFactorStdDev
	// factorDriftVariance is the variance that a factor gains per second.
	factorDriftVariance = 5e-4
	// taskStdDev is the standard deviation between tasks of the same filler image, as a fraction
	// of their factor.
	taskStdDev = 0.35
	// saturatedLoad is the load above which a tail shows little more than that it is too long.
	saturatedLoad = 0.95
)

// Service holds the parameters of one serving image: the interference factors of all filler
// images on it, estimated by Bayesian linear regression, and the idle tail, which sets the unit of its loads.
type Service struct {
	mean         []float64
	covariance   [][]float64
	observations int
	idle         idleTail
	// combined holds the means combined with the factors of other cells, and combinedVariance their
	// variances. Predictions use these two.
	combined, combinedVariance []float64
}

// grow extends the parameters to n filler images.
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

// stdDev returns the standard deviation of this cell's own estimate of a factor.
func (s *Service) stdDev(i int) float64 { return math.Sqrt(max(0, s.covariance[i][i])) }

// AddedLoad returns the load that filler images add by using shares of a worker, and its variance. The shares are in
// the order of the images' indexes.
func (s *Service) AddedLoad(shares []float64) (mean, variance float64) {
	for i, share := range shares {
		m, v := s.AddedLoadBy(i, share)
		mean += m
		variance += v
	}
	return mean, variance
}

// AddedLoadBy returns the load that the filler image with index i adds by using a share of a worker, and
// its variance.
func (s *Service) AddedLoadBy(i int, share float64) (mean, variance float64) {
	if share == 0 {
		return 0, 0
	}
	mean = s.Factor(i) * share
	return mean, share*share*s.combinedVariance[i] + taskStdDev*taskStdDev*mean*mean
}

// predictAdded returns the added load that this cell's own estimates predict for shares of a worker, its
// variance, and the covariance of each factor with the prediction.
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

// correct updates the factors with an observation: the difference between observation and prediction, the
// variance of the difference, and the covariances that predictAdded returned as gain.
func (s *Service) correct(difference, variance float64, gain []float64) {
	for i := range gain {
		s.mean[i] += gain[i] * difference / variance
		for j := range gain {
			s.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	s.observations++
}

// addDrift increases the variances of the factors, which may have changed in the seconds passed.
func (s *Service) addDrift(passed float64) {
	for i := range s.covariance {
		s.covariance[i][i] = min(priorFactorVariance, s.covariance[i][i]+factorDriftVariance*passed)
	}
}

// Factor returns the load that the filler image with index i adds when it uses a whole worker. The factor
// is never negative.
func (s *Service) Factor(i int) float64 { return max(0, s.combined[i]) }
