// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/config"
)

// slot is one request's place at an upstream.
type slot struct {
	gate     *gate
	upstream *upstream
	class    models.Class
	// id and address are the upstream's when the slot was taken. Who sends the request holds no
	// lock, and the VM list may give the upstream another address meanwhile.
	id      models.VMID
	address string
}

// used counts this daemon's requests in flight.
func (g *gate) used() int {
	used := 0
	for _, u := range g.order {
		used += u.own
	}
	return used
}

// Borrowing grows with each heartbeat in which this daemon's own share was used up,
// so that when all entries meet a surge at once each hears of the others' before it
// has borrowed much. The rest stays for the lenders' next surge.
const (
	borrowStep = 0.45
	borrowMost = 0.9
)

// adaptBorrowing follows whether the own share was used up since the last heartbeat,
// and says how much may be borrowed of each upstream; parts of slots add up along
// the list.
func (g *gate) adaptBorrowing() {
	if g.contended {
		g.borrow = min(borrowMost, g.borrow+borrowStep)
	} else {
		g.borrow = 0
	}
	g.contended = false
	left := 0.0
	for _, u := range g.order {
		left += g.borrow * u.spare
		u.borrowed = int(left)
		left -= float64(u.borrowed)
	}
}

func (g *gate) take(u *upstream, class models.Class) *slot {
	u.use.note(u.own, time.Now())
	u.own++
	if class.Priority == models.PriorityDeferred {
		g.deferred++
	}
	return &slot{gate: g, upstream: u, class: class, id: u.id(), address: u.vm.Address}
}

// release gives the slot back with what was learned of the upstream. wait is the
// time to the answer's header, 0 when there was none.
func (s *slot) release(v verdict, wait time.Duration) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s.upstream.use.note(s.upstream.own, now)
	s.upstream.own--
	if s.class.Priority == models.PriorityDeferred {
		g.deferred--
	}
	if wait > 0 {
		g.service.add(wait.Seconds())
		s.upstream.latency.add(wait.Seconds())
	}
	if s.upstream.note(v, now) {
		g.config.Scope.Counter("ejections").Inc(1)
		g.config.Logger.Warn("upstream fails; it gets single requests until one succeeds",
			zap.String("upstream", string(s.upstream.id())), zap.Duration("for", s.upstream.ejected.Sub(now)))
	}
	g.dispatch()
}

// sync follows the VM list, the members and their heartbeats.
func (g *gate) sync(vms []models.VM, live []models.MemberID, beats map[models.MemberID]models.Heartbeat, view *config.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[models.VMID]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		u, ok := g.upstreams[vm.ID]
		if !ok {
			u = newUpstream()
			g.upstreams[vm.ID] = u
		}
		u.vm, u.labels = vm, view.LabelsOf(vm)
		u.drained = view.Drained(vm.ID)
	}
	for id := range g.upstreams {
		if !listed[id] {
			delete(g.upstreams, id)
		}
	}
	g.reorder()
	g.share(live)
	g.hear(live, beats)
	g.adaptBorrowing()
	g.dispatch()
	g.config.Scope.Gauge("waiting").Update(float64(g.waiting))
	g.config.Scope.Gauge("capacity").Update(float64(g.capacity))
}

// ready tells whether any upstream is known.
func (g *gate) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.order) > 0
}

func (g *gate) reorder() {
	g.order = g.order[:0]
	for _, u := range g.upstreams {
		g.order = append(g.order, u)
	}
	slices.SortFunc(g.order, func(a, b *upstream) int {
		if a.id() < b.id() {
			return -1
		}
		return 1
	})
}
