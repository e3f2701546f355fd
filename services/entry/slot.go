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

// ownInFlight counts this daemon's requests in flight.
func (g *gate) ownInFlight() int {
	used := 0
	for _, u := range g.sorted {
		used += u.ownInFlight
	}
	return used
}

// Borrowing grows with each heartbeat in which this daemon's own share was used up,
// so that when all entries meet a surge at once each hears of the others' before it
// has borrowed much. The rest stays for the lenders' next surge.
const (
	borrowStep = 0.45
	maxBorrow  = 0.9
)

// updateBorrowing follows whether the own share was used up since the last heartbeat,
// and says how much may be borrowed of each upstream; parts of slots add up along
// the list.
func (g *gate) updateBorrowing() {
	if g.shareExhausted {
		g.borrowFraction = min(maxBorrow, g.borrowFraction+borrowStep)
	} else {
		g.borrowFraction = 0
	}
	g.shareExhausted = false
	left := 0.0
	for _, u := range g.sorted {
		left += g.borrowFraction * u.peerSpare
		u.borrowable = int(left)
		left -= float64(u.borrowable)
	}
}

func (g *gate) takeSlot(u *upstream, class models.Class) *slot {
	u.ownLoad.update(u.ownInFlight, time.Now())
	u.ownInFlight++
	if class.Priority == models.PriorityDeferred {
		g.deferredSlots++
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
	s.upstream.ownLoad.update(s.upstream.ownInFlight, now)
	s.upstream.ownInFlight--
	if s.class.Priority == models.PriorityDeferred {
		g.deferredSlots--
	}
	if wait > 0 {
		g.meanServiceTime.add(wait.Seconds())
		s.upstream.latency.add(wait.Seconds())
	}
	if s.upstream.record(v, now) {
		g.config.Scope.Counter("ejections").Inc(1)
		g.config.Logger.Warn("upstream fails; it gets single requests until one succeeds",
			zap.String("upstream", string(s.upstream.id())), zap.Duration("for", s.upstream.ejectedUntil.Sub(now)))
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
	g.sortUpstreams()
	g.computeShares(live)
	g.applyHeartbeats(live, beats)
	g.updateBorrowing()
	g.dispatch()
	g.config.Scope.Gauge("waiting").Update(float64(g.waiting))
	g.config.Scope.Gauge("capacity").Update(float64(g.capacity))
}

// hasUpstreams tells whether any upstream is known.
func (g *gate) hasUpstreams() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sorted) > 0
}

func (g *gate) sortUpstreams() {
	g.sorted = g.sorted[:0]
	for _, u := range g.upstreams {
		g.sorted = append(g.sorted, u)
	}
	slices.SortFunc(g.sorted, func(a, b *upstream) int {
		if a.id() < b.id() {
			return -1
		}
		return 1
	})
}
