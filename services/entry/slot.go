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

// slot is a slot of an upstream that one request holds.
type slot struct {
	gate     *gate
	upstream *upstream
	class    models.Class
	// id and address are copied from the upstream when the slot is taken: the request is sent
	// without the gate's lock, and the VM list may change the upstream's address meanwhile.
	id      models.VMID
	address string
}

// ownInFlight returns the number of this daemon's requests in flight at all upstreams.
func (g *gate) ownInFlight() int {
	total := 0
	for _, u := range g.sorted {
		total += u.ownInFlight
	}
	return total
}

// Borrowing grows by borrowStep with each heartbeat in which this daemon's own shares were
// used up: when a surge reaches all entries at once, each learns of the others' load before
// it has borrowed much. maxBorrow leaves the rest to the lenders for their next surge.
const (
	borrowStep = 0.45
	maxBorrow  = 0.9
)

// updateBorrowing adapts the fraction that may be borrowed to whether this daemon's shares
// were used up since the last heartbeat, and computes the slots that may be borrowed at each
// upstream. Fractions of slots carry over to the next upstream in the list.
func (g *gate) updateBorrowing() {
	if g.shareExhausted {
		g.borrowFraction = min(maxBorrow, g.borrowFraction+borrowStep)
	} else {
		g.borrowFraction = 0
	}
	g.shareExhausted = false
	carry := 0.0
	for _, u := range g.sorted {
		carry += g.borrowFraction * u.peerSpare
		u.borrowable = int(carry)
		carry -= float64(u.borrowable)
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

// release returns the slot and records the verdict on the upstream. timeToHeader is the time
// to the answer's header, 0 if there was none.
func (s *slot) release(v verdict, timeToHeader time.Duration) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s.upstream.ownLoad.update(s.upstream.ownInFlight, now)
	s.upstream.ownInFlight--
	if s.class.Priority == models.PriorityDeferred {
		g.deferredSlots--
	}
	if timeToHeader > 0 {
		g.meanServiceTime.add(timeToHeader.Seconds())
		s.upstream.latency.add(timeToHeader.Seconds())
	}
	if s.upstream.record(v, now) {
		g.config.Scope.Counter("ejections").Inc(1)
		g.config.Logger.Warn("upstream ejected after failures; after the ejection it gets one request at a time until a request succeeds",
			zap.String("upstream", string(s.upstream.id())), zap.Duration("for", s.upstream.ejectedUntil.Sub(now)))
	}
	g.dispatch()
}

// sync applies the VM list, the live members, the peers' heartbeats and the configuration.
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

// hasUpstreams reports whether any upstream is known.
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
