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
		if len(q.waiters) > 0 && rank(q.class) > rank(class) && (lowest == nil || rank(q.class) > rank(lowest.class)) {
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
	w.granted <- grant{refusal: notRunYet("too many requests wait; one of a higher priority took the place", max(g.estimateLocked(class), comeBack))}
	return true
}

// rank orders priorities, served first first.
func rank(class models.Class) int {
	switch class.Priority {
	case models.PriorityUrgent:
		return 0
	case models.PriorityOrdinary:
		return 1
	default:
		return 2
	}
}

// estimate is how long a request of the class would wait now.
func (g *gate) estimate(class models.Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.estimateLocked(class), comeBack)
}

func (g *gate) estimateLocked(class models.Class) time.Duration {
	q, ok := g.classes[class.Name]
	if !ok || len(q.waiters) == 0 {
		return 0
	}
	gap := q.gap.value
	if !q.gap.known {
		gap = g.service.value / float64(max(g.capacity, 1))
	}
	return time.Duration(float64(len(q.waiters)) * gap * float64(time.Second))
}

// serviceMargin is how many mean service times a request needs from its grant on
// to be likely answered in time.
const serviceMargin = 2

// tooLate tells whether a request that waits so long would likely miss its
// deadline; sending it then would only waste the slot.
func (g *gate) tooLate(req *request, wait time.Duration) bool {
	if req.deadline.IsZero() {
		return false
	}
	needed := time.Duration(serviceMargin * g.service.value * float64(time.Second))
	return time.Now().Add(wait + needed).After(req.deadline)
}

// dispatch grants slots to waiters while there are any; the caller holds the lock.
func (g *gate) dispatch() {
	g.dropTooLate()
	for g.waiting > 0 {
		if !g.grantNext() {
			return
		}
	}
}

// dropTooLate refuses the requests at the head of each class that can't make it.
func (g *gate) dropTooLate() {
	for _, q := range g.classes {
		for len(q.waiters) > 0 && g.tooLate(q.waiters[0].req, 0) {
			w := q.waiters[0]
			q.waiters = q.waiters[1:]
			g.waiting--
			w.granted <- grant{refusal: notRunYet("the deadline is too near for an upstream to make it", max(g.estimateLocked(q.class), comeBack))}
		}
	}
}

// grantNext serves the class that is due: one whose floor is due before all others,
// then by priority, then by age.
func (g *gate) grantNext() bool {
	for _, q := range g.dueOrder() {
		w := q.waiters[0]
		u := g.pick(q.class, w.req)
		if u == nil {
			continue
		}
		q.waiters = q.waiters[1:]
		g.waiting--
		q.noteGrant(time.Now())
		g.payCredit(q)
		w.granted <- grant{slot: g.take(u, q.class)}
		return true
	}
	return false
}

func (g *gate) dueOrder() []*classQueue {
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
		case rank(a.class) != rank(b.class):
			return rank(a.class) - rank(b.class)
		default:
			return a.waiters[0].req.arrived.Compare(b.waiters[0].req.arrived)
		}
	})
	return due
}

// noteGrant measures how fast the class is served while others of it wait.
func (q *classQueue) noteGrant(now time.Time) {
	if !q.granted.IsZero() {
		q.gap.add(now.Sub(q.granted).Seconds())
	}
	q.granted = now
	if len(q.waiters) == 0 {
		q.granted = time.Time{} // the next gap says nothing of the speed
	}
}

// maxCredit bounds what a class can save up.
const maxCredit = 4

// payCredit counts a grant: each waiting class earns its floor, the served one pays.
func (g *gate) payCredit(served *classQueue) {
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
	if class.Priority == models.PriorityDeferred && g.deferred*100 >= g.capacity*g.config.Settings.WatcherSlots {
		return nil
	}
	now := time.Now()
	candidates := make([]*upstream, 0, len(g.order))
	for _, u := range g.order {
		if u.serves(class, g.config.Selectors) && u.healthy(now) && !req.tried[u.id()] {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		candidates = g.lastResort(class)
	}
	if g.used() >= g.capacity {
		g.contended = true
	}
	return g.picker.pick(candidates)
}

// lastResort is for requests that have tried all healthy upstreams: any that serves.
func (g *gate) lastResort(class models.Class) []*upstream {
	var all []*upstream
	for _, u := range g.order {
		if u.serves(class, g.config.Selectors) {
			all = append(all, u)
		}
	}
	return all
}
