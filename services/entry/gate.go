// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/selector"
	"rillsail.example/rillsail/modules/setting"
)

type gateConfig struct {
	Settings  setting.Entry
	Self      models.MemberID
	Selectors *selector.Set
	Logger    *zap.Logger
	Scope     tally.Scope
}

// gate grants requests slots of upstreams. A request that finds no free slot waits in the
// queue of its class. Queues are served by priority, but a class with a floor earns that
// percentage of the grants while its requests wait.
type gate struct {
	config gateConfig
	picker Picker

	mu              sync.Mutex
	upstreams       map[models.VMID]*upstream
	sorted          []*upstream // by VM id
	classes         map[models.ClassName]*classQueue
	waiting         int                         // requests in all queues
	meanServiceTime average                     // time to the answer's header, in seconds
	deferredSlots   int                         // slots held by deferred requests
	capacity        int                         // this daemon's shares of the slots of all usable upstreams
	shareExhausted  bool                        // this daemon's shares were used up since the last heartbeat
	peerSlack       map[models.MemberID]float64 // unused fraction of each peer's shares, averaged
	borrowFraction  float64                     // fraction of the peers' unused shares that this daemon may borrow
}

// classQueue is the queue of one class, the oldest request first.
type classQueue struct {
	class         models.Class
	waiters       []*waiter
	credit        float64   // grants earned by the class's floor; from 1 on the class precedes others
	grantInterval average   // seconds between two grants while requests of the class wait
	lastGrant     time.Time // zero if the queue was empty after the last grant
}

// waiter is a request in a queue.
type waiter struct {
	req    *request
	result chan admitResult // receives at most one value
}

// admitResult is either a slot or the final refusal.
type admitResult struct {
	slot    *slot
	refusal *refusal
}

func newGate(c gateConfig) *gate {
	return &gate{
		config: c, picker: newPicker(c.Settings.Picker),
		upstreams: map[models.VMID]*upstream{}, classes: map[models.ClassName]*classQueue{},
		peerSlack: map[models.MemberID]float64{},
	}
}

// admit waits for a slot. A request that cannot meet its deadline is refused at once; a
// request whose deadline passes in the queue is refused at that moment.
func (g *gate) admit(ctx context.Context, req *request) (*slot, *refusal) {
	w := &waiter{req: req, result: make(chan admitResult, 1)}
	if refusal := g.enqueue(w); refusal != nil {
		return nil, refusal
	}
	select {
	case result := <-w.result:
		return result.slot, result.refusal
	case <-ctx.Done():
	}
	if result, ok := g.removeWaiter(w); ok {
		return result.slot, result.refusal
	}
	return nil, notRunRefusal("deadline passed while waiting for a slot", g.estimateWait(req.class))
}

func (g *gate) enqueue(w *waiter) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := w.req.class
	if !g.hasUpstreamFor(class) {
		return notRunRefusal("no upstream serves class "+string(class.Name)+" now", minRetryAfter)
	}
	if wait := g.estimateWaitLocked(class); g.wouldMissDeadline(w.req, wait) {
		return notRunRefusal("the queue is too long for the request's deadline", max(wait, minRetryAfter))
	}
	if g.waiting >= g.config.Settings.MaxWaiting && !g.displace(class) {
		return notRunRefusal("too many requests wait", max(g.estimateWaitLocked(class), minRetryAfter))
	}
	q := g.queueFor(class)
	q.waiters = append(q.waiters, w)
	g.waiting++
	g.dispatch()
	return nil
}

// minRetryAfter is the shortest time after which a refused caller is told to retry.
const minRetryAfter = time.Second

// hasUpstreamFor reports whether any upstream accepts requests of the class; g.mu must be held.
func (g *gate) hasUpstreamFor(class models.Class) bool {
	return slices.ContainsFunc(g.sorted, func(u *upstream) bool { return u.serves(class, g.config.Selectors) })
}

func (g *gate) queueFor(class models.Class) *classQueue {
	q, ok := g.classes[class.Name]
	if !ok {
		q = &classQueue{}
		g.classes[class.Name] = q
	}
	q.class = class
	return q
}

// removeWaiter removes a waiter whose context has ended from its queue. If the waiter has
// received a result in the meantime, removeWaiter returns that result and true instead.
func (g *gate) removeWaiter(w *waiter) (result admitResult, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case result = <-w.result:
		return result, true
	default:
	}
	q := g.classes[w.req.class.Name]
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		g.waiting--
	}
	return admitResult{}, false
}
