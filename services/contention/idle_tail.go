// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

// A tail tells a load only if the tail without load is known, and that one is never seen.
// Nothing that follows depends on it alone: it sets the unit in which loads, factors and
// the room below the target are told. So the unit is chosen: a serving image's mean load
// with nothing beside is taken for assumedMeanLoad, and its idle tail follows from the tails seen
// then. Services whose targets are three idle tails and ones whose are ten differ in nothing
// but idleTail.fraction.
type idleTail struct {
	fraction        float64 // of the target
	targetRatioSum  float64 // sum of target over tail with nothing beside, weighted by time
	observedSeconds float64 // sum of the weights: seconds, over all steps of the image
}

const (
	// assumedMeanLoad is the mean load of serving tasks on the users' sites.
	assumedMeanLoad = 0.45
	// priorIdleFraction is the idle tail of an image that nothing is known of, as a part of its target:
	// that of the users' sites. It counts like priorSeconds seconds of one step.
	priorIdleFraction = 0.2
	priorSeconds      = 5.0
	// maxObservedSeconds bounds the memory, so that an image that changes is followed: some swings of
	// a few steps.
	maxObservedSeconds = 200.0
	// Bounds of the part: a service whose tail is above half of its target with nothing beside
	// has no room to fill.
	minIdleFraction = 0.04
	maxIdleFraction = 0.5
	// minRescale is the relative change of the unit from which on all that is told in it is
	// told anew: a third of the spread of a factor that is well known.
	minRescale = 0.03
	// maxObservationSeconds is the most that a single figure counts, in seconds.
	maxObservationSeconds = 1.0
)

func newIdleTail() idleTail {
	return idleTail{fraction: priorIdleFraction, targetRatioSum: priorSeconds * (1 - assumedMeanLoad) / priorIdleFraction, observedSeconds: priorSeconds}
}

// targetLoad is the load at which the tail reaches its target.
func (i *idleTail) targetLoad() float64 { return 1 - i.fraction }

// loadFromTail gives the load that a tail shows.
func (i *idleTail) loadFromTail(tail, target int) float64 {
	idle := i.fraction * float64(target)
	return 1 - idle/max(float64(tail), idle)
}

// observe takes a tail with nothing beside it that counts for so many seconds, and gives the part
// that follows.
func (i *idleTail) observe(tail, target int, seconds float64) float64 {
	i.targetRatioSum += seconds * float64(target) / float64(tail)
	i.observedSeconds += seconds
	if over := i.observedSeconds / maxObservedSeconds; over > 1 {
		i.targetRatioSum /= over
		i.observedSeconds /= over
	}
	return min(maxIdleFraction, max(minIdleFraction, (1-assumedMeanLoad)*i.observedSeconds/i.targetRatioSum))
}

// TargetLoad is the load at which the service's tail reaches its target.
func (s *Service) TargetLoad() float64 { return s.idle.targetLoad() }

// LoadOf gives the load that a tail shows.
func (s *Service) LoadOf(tail, target int) float64 { return s.idle.loadFromTail(tail, target) }

// SeeAlone takes a tail with nothing beside it that counts for so many seconds. When the
// unit of the service's loads changes, scale is by what all loads below 1 are to be told
// anew (Rescaled, Load.Rescale); otherwise it is 1.
func (s *Service) SeeAlone(tail, target int, seconds float64) (scale float64) {
	part := s.idle.observe(tail, target, min(maxObservationSeconds, seconds))
	scale = part / s.idle.fraction
	if math.Abs(scale-1) < minRescale {
		return 1
	}
	s.idle.fraction = part
	s.rescale(scale)
	return scale
}

// Rescaled is a load in a unit that is so many times as large for what is free.
func Rescaled(load, scale float64) float64 { return 1 - scale*(1-load) }

// rescale tells the factors in another unit.
func (s *Service) rescale(scale float64) {
	for i := range s.mean {
		s.mean[i] *= scale
		s.combined[i] *= scale
		s.combinedVariance[i] *= scale * scale
		for j := range s.covariance[i] {
			s.covariance[i][j] *= scale * scale
		}
	}
}

// Rescale tells the load in another unit.
func (l *Load) Rescale(scale float64) {
	for i := range l.filters {
		l.filters[i].rescale(scale)
	}
}

// rescale tells the load in another unit.
func (s *oscillator) rescale(scale float64) {
	s.level, s.mean = Rescaled(s.level, scale), Rescaled(s.mean, scale)
	s.slope *= scale
	for i := range s.covariance {
		for j := range s.covariance[i] {
			s.covariance[i][j] *= scale * scale
		}
	}
}
