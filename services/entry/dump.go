// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"math"
	"time"

	"rillsail.example/rillsail/models"
)

// Upstreams lists the upstreams as this daemon sees them.
func (s *Service) Upstreams() []models.UpstreamStatus {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	statuses := make([]models.UpstreamStatus, 0, len(g.order))
	for _, u := range g.order {
		statuses = append(statuses, models.UpstreamStatus{
			VM: u.id(), State: u.state(now), Own: u.own, Peers: int(math.Round(u.peers)), Share: u.share, Slots: u.vm.Slots,
			Latency: models.MilliOf(time.Duration(u.latency.value * float64(time.Second))),
		})
	}
	return statuses
}

func (u *upstream) state(now time.Time) string {
	switch {
	case u.vm.State == models.VMLeaving || now.Before(u.leaving):
		return "leaving"
	case u.drained:
		return "drained"
	case now.Before(u.ejected) || u.strikes > 0:
		return "ejected"
	default:
		return "live"
	}
}

// Dump is the entry's whole state.
type Dump struct {
	InFlight  int64                    `json:"in_flight"`
	Waiting   map[models.ClassName]int `json:"waiting"`
	Capacity  int                      `json:"capacity"`
	Deferred  int                      `json:"deferred"`
	Service   float64                  `json:"mean_service_seconds"`
	Retries   float64                  `json:"retry_tokens"`
	Upstreams []models.UpstreamStatus  `json:"upstreams"`
}

// Dump gives the whole state for operators.
func (s *Service) Dump() Dump {
	d := Dump{InFlight: s.InFlight(), Waiting: map[models.ClassName]int{}, Upstreams: s.Upstreams()}
	s.budget.mu.Lock()
	d.Retries = s.budget.tokens
	s.budget.mu.Unlock()
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Capacity, d.Deferred, d.Service = g.capacity, g.deferred, g.service.value
	for name, q := range g.classes {
		d.Waiting[name] = len(q.waiters)
	}
	return d
}
