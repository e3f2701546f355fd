// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
)

// displace refuses the newest waiting request of a lower priority to make room.
func (g *gate) displace(class models.Class) bool {
	var lowest *classQueue
	for _, q := range g.classes {
		if len(q.waiters) > 0 && priorityRank(q.class) > priorityRank(class) && (lowest == nil || priorityRank(q.class) > priorityRank(lowest.class)) {
			lowest = q
		}
	}
	if lowest == nil {
		return false
	}
	last := len(lowest.waiters) - 1
	w := lowest.waiters[last]
	lowest.waiters = lowest.waiters[:last]
	g.waiting--
	w.result <- admitResult{refusal: notRunRefusal("too many requests wait; one of a higher priority took the place", max(g.estimateWaitLocked(class), minRetryAfter))}
	return true
}

// priorityRank orders priorities, served first first.
func priorityRank(class models.Class) int {
	switch class.Priority {
	case models.PriorityUrgent:
		return 0
	case models.PriorityOrdinary:
		return 1
	default:
		return 2
	}
}

// estimateWait is how long a request of the class would wait now.
func (g *gate) estimateWait(class models.Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.estimateWaitLocked(class), minRetryAfter)
}

func (g *gate) estimateWaitLocked(class models.Class) time.Duration {
	q, ok := g.classes[class.Name]
	if !ok || len(q.waiters) == 0 {
		return 0
	}
	gap := q.grantInterval.value
	if !q.grantInterval.known {
		gap = g.meanServiceTime.value / float64(max(g.capacity, 1))
	}
	return time.Duration(float64(len(q.waiters)) * gap * float64(time.Second))
}

// serviceMargin is how many mean service times a request needs from its grant on
// to be likely answered in time.
const serviceMargin = 2

// wouldMissDeadline tells whether a request that waits so long would likely miss its
// deadline; sending it then would only waste the slot.
func (g *gate) wouldMissDeadline(req *request, wait time.Duration) bool {
	if req.deadline.IsZero() {
		return false
	}
	needed := time.Duration(serviceMargin * g.meanServiceTime.value * float64(time.Second))
	return time.Now().Add(wait + needed).After(req.deadline)
}

// dispatch grants slots to waiters while there are any; the caller holds the lock.
func (g *gate) dispatch() {
	g.refuseLateWaiters()
	for g.waiting > 0 {
		if !g.grantNext() {
			return
		}
	}
}

// refuseLateWaiters refuses the requests at the head of each class that can't make it.
func (g *gate) refuseLateWaiters() {
	for _, q := range g.classes {
		for len(q.waiters) > 0 && g.wouldMissDeadline(q.waiters[0].req, 0) {
			w := q.waiters[0]
			q.waiters = q.waiters[1:]
			g.waiting--
			w.result <- admitResult{refusal: notRunRefusal("the deadline is too near for an upstream to make it", max(g.estimateWaitLocked(q.class), minRetryAfter))}
		}
	}
}

// grantNext serves the class that is due: one whose floor is due before all others,
// then by priority, then by age.
func (g *gate) grantNext() bool {
	for _, q := range g.queuesInServiceOrder() {
		w := q.waiters[0]
		u := g.pick(q.class, w.req)
		if u == nil {
			continue
		}
		q.waiters = q.waiters[1:]
		g.waiting--
		q.recordGrant(time.Now())
		g.updateCredits(q)
		w.result <- admitResult{slot: g.takeSlot(u, q.class)}
		return true
	}
	return false
}

func (g *gate) queuesInServiceOrder() []*classQueue {
	due := make([]*classQueue, 0, len(g.classes))
	for _, q := range g.classes {
		if len(q.waiters) > 0 {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, func(a, b *classQueue) int {
		switch {
		case (a.credit >= 1) != (b.credit >= 1):
			if a.credit >= 1 {
				return -1
			}
			return 1
		case priorityRank(a.class) != priorityRank(b.class):
			return priorityRank(a.class) - priorityRank(b.class)
		default:
			return a.waiters[0].req.arrived.Compare(b.waiters[0].req.arrived)
		}
	})
	return due
}

// recordGrant measures how fast the class is served while others of it wait.
func (q *classQueue) recordGrant(now time.Time) {
	if !q.lastGrant.IsZero() {
		q.grantInterval.add(now.Sub(q.lastGrant).Seconds())
	}
	q.lastGrant = now
	if len(q.waiters) == 0 {
		q.lastGrant = time.Time{} // the next gap says nothing of the speed
	}
}

// maxCredit bounds what a class can save up.
const maxCredit = 4

// updateCredits counts a grant: each waiting class earns its floor, the served one pays.
func (g *gate) updateCredits(served *classQueue) {
	for _, q := range g.classes {
		if len(q.waiters) > 0 || q == served {
			q.credit = min(maxCredit, q.credit+float64(q.class.Floor)/100)
		}
	}
	if served.credit >= 1 {
		served.credit--
	}
}

// pick chooses an upstream with a free slot that the request has not tried.
func (g *gate) pick(class models.Class, req *request) *upstream {
	if class.Priority == models.PriorityDeferred && g.deferredSlots*100 >= g.capacity*g.config.Settings.WatcherSlots {
		return nil
	}
	now := time.Now()
	candidates := make([]*upstream, 0, len(g.sorted))
	for _, u := range g.sorted {
		if u.serves(class, g.config.Selectors) && u.healthy(now) && !req.triedUpstreams[u.id()] {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		candidates = g.fallbackCandidates(class)
	}
	if g.ownInFlight() >= g.capacity {
		g.shareExhausted = true
	}
	return g.picker.pick(candidates)
}

// fallbackCandidates is for requests that have tried all healthy upstreams: any that serves.
func (g *gate) fallbackCandidates(class models.Class) []*upstream {
	var all []*upstream
	for _, u := range g.sorted {
		if u.serves(class, g.config.Selectors) {
			all = append(all, u)
		}
	}
	return all
}
