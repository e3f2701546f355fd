// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"math"
	"time"

	"rillsail.example/rillsail/models"
)

// Upstreams lists the upstreams with this daemon's view of their state and load.
func (s *Service) Upstreams() []models.UpstreamStatus {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	statuses := make([]models.UpstreamStatus, 0, len(g.sorted))
	for _, u := range g.sorted {
		statuses = append(statuses, models.UpstreamStatus{
			VM: u.id(), State: u.state(now), OwnInFlight: u.ownInFlight, PeersInFlight: int(math.Round(u.peerLoad)), Share: u.share, Slots: u.vm.Slots,
			Latency: models.MilliOf(time.Duration(u.latency.value * float64(time.Second))),
		})
	}
	return statuses
}

func (u *upstream) state(now time.Time) string {
	switch {
	case u.vm.State == models.VMLeaving || now.Before(u.leavingUntil):
		return "leaving"
	case u.drained:
		return "drained"
	case now.Before(u.ejectedUntil) || u.consecutiveEjections > 0:
		return "ejected"
	default:
		return "live"
	}
}

// Dump is the state of the entry, for operators.
type Dump struct {
	InFlight           int64                    `json:"in_flight"`
	Waiting            map[models.ClassName]int `json:"waiting"`
	Capacity           int                      `json:"capacity"`
	Deferred           int                      `json:"deferred"`
	MeanServiceSeconds float64                  `json:"mean_service_seconds"`
	RetryTokens        float64                  `json:"retry_tokens"`
	Upstreams          []models.UpstreamStatus  `json:"upstreams"`
}

// Dump returns the state of the entry.
func (s *Service) Dump() Dump {
	d := Dump{InFlight: s.InFlight(), Waiting: map[models.ClassName]int{}, Upstreams: s.Upstreams()}
	s.budget.mu.Lock()
	d.RetryTokens = s.budget.tokens
	s.budget.mu.Unlock()
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Capacity, d.Deferred, d.MeanServiceSeconds = g.capacity, g.deferredSlots, g.meanServiceTime.value
	for name, q := range g.classes {
		d.Waiting[name] = len(q.waiters)
	}
	return d
}
