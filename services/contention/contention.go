// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package contention learns from reports how tasks that share a worker slow each other down,
// and foresees loads with their uncertainty. It decides nothing and reads no clock.
//
// A serving task behaves like a queue: its tail is idle / (1 - load), where idle is the tail
// of a task without load. The load has two parts. One is the step's own, which swings with
// what its users do (Load). The other comes from what fills beside it, in proportion to the
// processor time that this uses as a share of the worker; the factor depends on the pair of
// images (Service). Fitted to quiet days of the users' sites
// (docs/measurements/interference-platform.md), most factors are 0.05 to 0.25 and one to
// three of nine images have 1.0 to 1.7 beside a given serving image.
//
// # Usage
//
//	model := contention.NewModel()
//	service := model.Service("serving")
//	shares := make([]float64, model.Index("filling")+1) // by the images' indexes
//	apart := service.Observe(&load, contention.Observation{…})
//	model.Settle(passed)                                // observations come into force
//	own, variance := load.Predict(at)
//	added, addedVariance := service.Added(shares)
//	knowledge := model.Knowledge()                      // for a successor: Restore
package contention

import "rillsail.example/rillsail/models/jobs"

// Model is what is known of how filling images add to the load of serving ones.
type Model struct {
	index    map[jobs.ImageName]int // of the filling images
	services map[jobs.ImageName]*Service
	// remote is what the owners of other cells have learned by themselves.
	remote map[jobs.CellName][]jobs.Learned
}

// NewModel makes a model that knows no images.
func NewModel() *Model {
	return &Model{
		index: map[jobs.ImageName]int{}, services: map[jobs.ImageName]*Service{}, remote: map[jobs.CellName][]jobs.Learned{},
	}
}

// Service gives what is known of a serving image; a new one starts with the users' mean.
func (m *Model) Service(image jobs.ImageName) *Service {
	s, ok := m.services[image]
	if !ok {
		s = &Service{idle: newIdleTail()}
		m.services[image] = s
	}
	s.grow(len(m.index))
	return s
}

// Index gives the index of a filling image; a new one gets the next.
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

// images are the filling images in the order of their indexes.
func (m *Model) images() []jobs.ImageName {
	images := make([]jobs.ImageName, len(m.index))
	for image, i := range m.index {
		images[i] = image
	}
	return images
}

// Settle brings the observations of the last seconds into force.
func (m *Model) Settle(passed float64) {
	for _, s := range m.services {
		s.addDrift(passed)
	}
	m.combine()
}
