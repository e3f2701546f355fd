// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
)

// displace refuses the newest waiting request of the lowest priority below the class's, to free
// a place in the queue. It reports whether there was such a request.
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

// priorityRank returns the position of the class's priority in the order of service, 0 for the first.
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

// estimateWait estimates how long a request of the class would wait now, at least minRetryAfter.
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

// serviceMargin is the number of mean service times that must remain to the deadline at the
// grant, so that the request is likely answered in time.
const serviceMargin = 2

// wouldMissDeadline reports whether a request that waits for the given time would likely miss
// its deadline; sending such a request would only waste the slot.
func (g *gate) wouldMissDeadline(req *request, wait time.Duration) bool {
	if req.deadline.IsZero() {
		return false
	}
	needed := time.Duration(serviceMargin * g.meanServiceTime.value * float64(time.Second))
	return time.Now().Add(wait + needed).After(req.deadline)
}

// dispatch grants free slots to waiters; g.mu must be held.
func (g *gate) dispatch() {
	g.refuseLateWaiters()
	for g.waiting > 0 {
		if !g.grantNext() {
			return
		}
	}
}

// refuseLateWaiters refuses the requests at the head of each queue that cannot meet their deadlines.
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

// grantNext grants a slot to the first queue that can use a slot: queues that have earned a
// grant by their floor come first, then the order is by priority, then by age. grantNext
// reports whether a slot was granted.
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
	queues := make([]*classQueue, 0, len(g.classes))
	for _, q := range g.classes {
		if len(q.waiters) > 0 {
			queues = append(queues, q)
		}
	}
	slices.SortFunc(queues, func(a, b *classQueue) int {
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
	return queues
}

// recordGrant measures the interval between grants while further requests of the class wait.
func (q *classQueue) recordGrant(now time.Time) {
	if !q.lastGrant.IsZero() {
		q.grantInterval.add(now.Sub(q.lastGrant).Seconds())
	}
	q.lastGrant = now
	if len(q.waiters) == 0 {
		q.lastGrant = time.Time{} // the interval to the next grant would include idle time
	}
}

// maxCredit bounds the grants that a class can accumulate by its floor.
const maxCredit = 4

// updateCredits accounts for a grant: each class that waits, and the served class, earns its floor
// percentage of a grant; the served class pays a whole grant if it has the credit.
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

// pick returns an upstream with a free slot that the request has not tried, or nil.
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

// fallbackCandidates returns every upstream that serves the class, for requests that have tried all healthy upstreams.
func (g *gate) fallbackCandidates(class models.Class) []*upstream {
	var candidates []*upstream
	for _, u := range g.sorted {
		if u.serves(class, g.config.Selectors) {
			candidates = append(candidates, u)
		}
	}
	return candidates
}
