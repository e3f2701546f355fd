// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

// oscillator is a Kalman filter of a load that swings around a mean with a given period, as an
// oscillator that is pushed at random. Its state is the load, its slope and the mean.
type oscillator struct {
	frequency  float64 // radians per second; 0: the slope stays but for random changes
	slopeNoise float64 // by which the slope changes at random within a second
	level      float64
	slope      float64 // per second
	mean       float64
	covariance [3][3]float64 // of level, slope and mean
}

// The periods that are tried: loads of users' services swing within some seconds to half a
// minute, and what swings more slowly is followed without a period. Neighbours differ by a
// quarter; a period between two is followed by both.
const (
	shortestPeriod = 5.0 // seconds
	longestPeriod  = 32.0
	periodStep     = 1.25
)

const (
	// oscillatorSlopeNoise lets the phase of a swing drift: the square root of the variance that its
	// slope gains in a second.
	oscillatorSlopeNoise = 0.015
	// trendSlopeNoise is the same of the filter without period, which has to follow whole swings.
	trendSlopeNoise = 0.04
	// slopeStdDev is the standard deviation of the slope that nothing is known of.
	slopeStdDev = 0.08
)

// newFilters makes the filters of a load that nothing is known of.
func newFilters() []oscillator {
	swings := []oscillator{newOscillator(0, trendSlopeNoise)}
	for period := shortestPeriod; period < longestPeriod; period *= periodStep {
		swings = append(swings, newOscillator(2*math.Pi/period, oscillatorSlopeNoise))
	}
	return swings
}

func newOscillator(frequency, push float64) oscillator {
	s := oscillator{frequency: frequency, slopeNoise: push, level: priorLoad, mean: priorLoad}
	s.covariance[0][0] = priorLoadStdDev * priorLoadStdDev
	s.covariance[1][1] = slopeStdDev * slopeStdDev
	s.covariance[2][2] = meanStdDev * meanStdDev
	s.covariance[0][2] = s.covariance[2][2]
	s.covariance[2][0] = s.covariance[2][2]
	return s
}

// variance is that of the level.
func (s *oscillator) variance() float64 { return s.covariance[0][0] }

// advance moves the state on by so many seconds.
func (s *oscillator) advance(dt float64) {
	if dt <= 0 {
		return
	}
	f := s.transition(dt)
	level, slope := s.level, s.slope
	s.level = f[0][0]*level + f[0][1]*slope + f[0][2]*s.mean
	s.slope = f[1][0]*level + f[1][1]*slope + f[1][2]*s.mean
	s.covariance = propagate(f, s.covariance)
	push := s.slopeNoise * s.slopeNoise * dt
	s.covariance[0][0] += push * dt * dt / 3
	s.covariance[0][1] += push * dt / 2
	s.covariance[1][0] += push * dt / 2
	s.covariance[1][1] += push
	s.clampLevel()
}

// transition is how the state moves on within so many seconds when nothing pushes it.
func (s *oscillator) transition(dt float64) [3][3]float64 {
	if s.frequency == 0 {
		return [3][3]float64{{1, dt, 0}, {0, 1, 0}, {0, 0, 1}}
	}
	sin, cos := math.Sincos(s.frequency * dt)
	w := s.frequency
	return [3][3]float64{{cos, sin / w, 1 - cos}, {-w * sin, cos, w * sin}, {0, 0, 1}}
}

// propagate is f c fᵀ for the covariance c, whose third row f leaves as it is.
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

// clampLevel keeps the level within what is possible.
func (s *oscillator) clampLevel() {
	if s.level < minLoad || s.level > maxLoad {
		s.level = min(maxLoad, max(minLoad, s.level))
		s.slope = 0
	}
}

// correct takes an observation of the level: by how much it differs from what was
// expected, and the variance of that difference.
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
