// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

// oscillator is a Kalman filter of a load that oscillates around a mean with a given period and is driven
// by random changes of its slope. The state of the filter is the load, its slope and the mean.
type oscillator struct {
	frequency  float64 // radians per second; 0: no period, the slope is constant except for random changes
	slopeNoise float64 // standard deviation of the slope's random change within a second
	level      float64
	slope      float64 // per second
	mean       float64
	covariance [3][3]float64 // of level, slope and mean, in this order
}

// Grid of the filters' periods. Loads of the users' services oscillate with periods from some seconds to half a
// minute; the filter without a period follows slower changes. Adjacent periods differ by a quarter, and the two
// adjacent filters follow a period between them.
const (
	shortestPeriod = 5.0 // seconds
	longestPeriod  = 32.0
	periodStep     = 1.25
)

const (
	// oscillatorSlopeNoise is the slope noise of the filters with a period, which lets the phase drift: the square
	// root of the variance that the slope gains per second.
	oscillatorSlopeNoise = 0.015
	// trendSlopeNoise is the slope noise of the filter without a period, which has to follow whole oscillations.
	trendSlopeNoise = 0.04
	// slopeStdDev is the prior standard deviation of the slope.
	slopeStdDev = 0.08
)

// newFilters returns the bank of filters for a load without observations.
func newFilters() []oscillator {
	filters := []oscillator{newOscillator(0, trendSlopeNoise)}
	for period := shortestPeriod; period < longestPeriod; period *= periodStep {
		filters = append(filters, newOscillator(2*math.Pi/period, oscillatorSlopeNoise))
	}
	return filters
}

func newOscillator(frequency, slopeNoise float64) oscillator {
	s := oscillator{frequency: frequency, slopeNoise: slopeNoise, level: priorLoad, mean: priorLoad}
	s.covariance[0][0] = priorLoadStdDev * priorLoadStdDev
	s.covariance[1][1] = slopeStdDev * slopeStdDev
	s.covariance[2][2] = meanStdDev * meanStdDev
	s.covariance[0][2] = s.covariance[2][2]
	s.covariance[2][0] = s.covariance[2][2]
	return s
}

// variance returns the variance of the level.
func (s *oscillator) variance() float64 { return s.covariance[0][0] }

// advance predicts the state dt seconds later.
func (s *oscillator) advance(dt float64) {
	if dt <= 0 {
		return
	}
	f := s.transition(dt)
	level, slope := s.level, s.slope
	s.level = f[0][0]*level + f[0][1]*slope + f[0][2]*s.mean
	s.slope = f[1][0]*level + f[1][1]*slope + f[1][2]*s.mean
	s.covariance = propagate(f, s.covariance)
	slopeVariance := s.slopeNoise * s.slopeNoise * dt
	s.covariance[0][0] += slopeVariance * dt * dt / 3
	s.covariance[0][1] += slopeVariance * dt / 2
	s.covariance[1][0] += slopeVariance * dt / 2
	s.covariance[1][1] += slopeVariance
	s.clampLevel()
}

// transition returns the matrix that advances the state by dt seconds without random changes.
func (s *oscillator) transition(dt float64) [3][3]float64 {
	if s.frequency == 0 {
		return [3][3]float64{{1, dt, 0}, {0, 1, 0}, {0, 0, 1}}
	}
	sin, cos := math.Sincos(s.frequency * dt)
	w := s.frequency
	return [3][3]float64{{cos, sin / w, 1 - cos}, {-w * sin, cos, w * sin}, {0, 0, 1}}
}

// propagate returns f c fᵀ, the covariance c after the transition f. The third row of f is that of the identity.
func propagate(f, c [3][3]float64) [3][3]float64 {
	var fc, result [3][3]float64
	for i := range 3 {
		for j := range 3 {
			fc[i][j] = f[i][0]*c[0][j] + f[i][1]*c[1][j] + f[i][2]*c[2][j]
		}
	}
	for i := range 3 {
		for j := range 3 {
			result[i][j] = fc[i][0]*f[j][0] + fc[i][1]*f[j][1] + fc[i][2]*f[j][2]
		}
	}
	return result
}

// clampLevel limits the level to the range from minLoad to maxLoad. At a bound the slope becomes 0.
func (s *oscillator) clampLevel() {
	if s.level < minLoad || s.level > maxLoad {
		s.level = min(maxLoad, max(minLoad, s.level))
		s.slope = 0
	}
}

// correct updates the state with an observation of the level: the difference between observation and
// prediction, and the variance of the difference.
func (s *oscillator) correct(difference, variance float64) {
	gain := [3]float64{s.covariance[0][0] / variance, s.covariance[1][0] / variance, s.covariance[2][0] / variance}
	s.level += gain[0] * difference
	s.slope += gain[1] * difference
	s.mean += gain[2] * difference
	first := s.covariance[0]
	for i := range 3 {
		for j := range 3 {
			s.covariance[i][j] -= gain[i] * first[j]
		}
	}
	s.clampLevel()
}
