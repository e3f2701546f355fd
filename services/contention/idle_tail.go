// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import "math"

// idleTail estimates the tail latency of a serving image without load. A load can be computed from a tail only if
// the idle tail is known, but the idle tail can't be observed. No decision depends on its value alone: the idle tail
// only sets the unit of loads, factors and the headroom below the target. The unit is therefore chosen such that the
// image's mean load without filler tasks is assumedMeanLoad, and the idle tail is computed from the tails observed
// without filler tasks. Services whose targets are three and ten idle tails differ only in idleTail.fraction.
type idleTail struct {
	fraction        float64 // idle tail as a fraction of the target
	targetRatioSum  float64 // sum of target / tail without filler tasks beside, weighted by seconds
	observedSeconds float64 // sum of the weights over all steps of the image
}

const (
	// assumedMeanLoad is the mean baseline load of serving tasks on the users' sites.
	assumedMeanLoad = 0.45
	// priorIdleFraction is the idle tail of an image without observations, as a fraction of its target:
	// the value on the users' sites. The prior weighs as much as priorSeconds seconds of one step.
	priorIdleFraction = 0.2
	priorSeconds      = 5.0
	// maxObservedSeconds limits the weight of past observations, so that the estimate follows an image that
	// changes: it covers some oscillation periods of a few steps.
	maxObservedSeconds = 200.0
	// Bounds of the fraction: a service whose idle tail is above half of its target has no free capacity
	// for filler tasks.
	minIdleFraction = 0.04
	maxIdleFraction = 0.5
	// minRescale is the minimum relative change of the unit at which all values expressed in the unit are
	// converted: a third of the standard deviation of a well-known factor.
	minRescale = 0.03
	// maxObservationSeconds is the maximum weight of a single observation, in seconds.
	maxObservationSeconds = 1.0
)

func newIdleTail() idleTail {
	return idleTail{fraction: priorIdleFraction, targetRatioSum: priorSeconds * (1 - assumedMeanLoad) / priorIdleFraction, observedSeconds: priorSeconds}
}

// targetLoad returns the load at which the tail reaches its target.
func (i *idleTail) targetLoad() float64 { return 1 - i.fraction }

// loadFromTail returns the load that corresponds to a tail; the load is 0 for a tail below the idle tail.
func (i *idleTail) loadFromTail(tail, target int) float64 {
	idle := i.fraction * float64(target)
	return 1 - idle/max(float64(tail), idle)
}

// observe adds a tail observed without filler tasks beside, with a weight in seconds, and returns the new
// estimate of the fraction.
func (i *idleTail) observe(tail, target int, seconds float64) float64 {
	i.targetRatioSum += seconds * float64(target) / float64(tail)
	i.observedSeconds += seconds
	if over := i.observedSeconds / maxObservedSeconds; over > 1 {
		i.targetRatioSum /= over
		i.observedSeconds /= over
	}
	return min(maxIdleFraction, max(minIdleFraction, (1-assumedMeanLoad)*i.observedSeconds/i.targetRatioSum))
}

// TargetLoad returns the load at which the service's tail reaches its target.
func (s *Service) TargetLoad() float64 { return s.idle.targetLoad() }

// LoadFromTail returns the load that corresponds to a tail.
func (s *Service) LoadFromTail(tail, target int) float64 { return s.idle.loadFromTail(tail, target) }

// ObserveAlone adds a tail observed without filler tasks beside, with a weight in seconds. If the unit of the
// service's loads changes, scale is the factor by which the distances of all loads below 1 change, and the caller
// must convert the loads (Rescaled, BaselineLoad.Rescale); otherwise scale is 1.
func (s *Service) ObserveAlone(tail, target int, seconds float64) (scale float64) {
	fraction := s.idle.observe(tail, target, min(maxObservationSeconds, seconds))
	scale = fraction / s.idle.fraction
	if math.Abs(scale-1) < minRescale {
		return 1
	}
	s.idle.fraction = fraction
	s.rescale(scale)
	return scale
}

// Rescaled converts a load to a unit in which the idle tail is larger by the factor scale: 1 - load, the fraction
// that is free, is multiplied by scale.
func Rescaled(load, scale float64) float64 { return 1 - scale*(1-load) }

// rescale converts the factors to another unit.
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

// Rescale converts the estimate to another unit.
func (l *BaselineLoad) Rescale(scale float64) {
	for i := range l.filters {
		l.filters[i].rescale(scale)
	}
}

// rescale converts the state to another unit.
func (s *oscillator) rescale(scale float64) {
	s.level, s.mean = Rescaled(s.level, scale), Rescaled(s.mean, scale)
	s.slope *= scale
	for i := range s.covariance {
		for j := range s.covariance[i] {
			s.covariance[i][j] *= scale * scale
		}
	}
}
