// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package contention learns from reports how tasks that share a worker slow each other down,
// and predicts loads with their variance. The package makes no scheduling decisions and reads no clock.
//
// A serving task is modelled as a queue: its tail latency is idle / (1 - load), where idle is the
// tail latency without load. The load is the sum of two parts. The baseline load of the step
// oscillates with its users' demand. The added load is caused by the filler tasks on the same worker:
// the share of the worker's processor time that they use, times an interference factor that
// depends on the pair of serving and filler image (Service). Fitted to quiet days of the users' sites
// (docs/measurements/interference-platform.md), most factors are 0.05 to 0.25, and one to
// three of nine filler images have factors of 1.0 to 1.7 on a given serving image.
//
// Observations update the baseline load and the cell's own factors at once. They take effect in predicted added
// loads only when the caller refreshes the factors. A successor can restore the learned parameters.
//
// # Usage
//
//	model := contention.NewModel()
//	service := model.Service("serving")
//	filler := model.Index("filling")
//	correction := service.Observe(&load, contention.Observation{…})
//	baseline, variance := load.Predict(at)
//	added, addedVariance := service.AddedLoadBy(filler, share)
package contention

import "rillsail.example/rillsail/models/jobs"

// Model holds the interference factors of filler images on serving images.
type Model struct {
	index    map[jobs.ImageName]int // of filler images
	services map[jobs.ImageName]*Service
	// remote holds the factors that the owners of other cells have learned from their own reports.
	remote map[jobs.CellName][]jobs.LearnedFactor
}

// NewModel returns a model without images.
func NewModel() *Model {
	return &Model{
		index: map[jobs.ImageName]int{}, services: map[jobs.ImageName]*Service{}, remote: map[jobs.CellName][]jobs.LearnedFactor{},
	}
}

// Service returns the parameters of a serving image. A new image starts with the prior factors and idle tail,
// which are means of the users' sites.
func (m *Model) Service(image jobs.ImageName) *Service {
	s, ok := m.services[image]
	if !ok {
		s = &Service{idle: newIdleTail()}
		m.services[image] = s
	}
	s.grow(len(m.index))
	return s
}

// Index returns the index of a filler image. A new image is assigned the next index.
func (m *Model) Index(image jobs.ImageName) int {
	i, ok := m.index[image]
	if !ok {
		i = len(m.index)
		m.index[image] = i
		for _, s := range m.services {
			s.grow(len(m.index))
		}
	}
	return i
}

// images returns the filler images in the order of their indexes.
func (m *Model) images() []jobs.ImageName {
	images := make([]jobs.ImageName, len(m.index))
	for image, i := range m.index {
		images[i] = image
	}
	return images
}

// RefreshFactors makes new observations take effect in predictions and adds drift variance for the seconds passed.
func (m *Model) RefreshFactors(passed float64) {
	for _, s := range m.services {
		s.addDrift(passed)
	}
	m.combine()
}
