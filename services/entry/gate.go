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

// gate admits requests to upstreams' slots. What finds no slot waits in its class;
// classes are served by priority, with a floor for those that can wait.
type gate struct {
	config gateConfig
	picker Picker

	mu              sync.Mutex
	upstreams       map[models.VMID]*upstream
	sorted          []*upstream // by id
	classes         map[models.ClassName]*classQueue
	waiting         int
	meanServiceTime average // of service times, in seconds
	deferredSlots   int     // slots held by deferred requests
	capacity        int     // slots that are this daemon's to give
	shareExhausted  bool    // the own share was used up since the last heartbeat
	peerSlack       map[models.MemberID]float64
	borrowFraction  float64 // part of peers' unused shares that may be used
}

// classQueue holds the waiting requests of one class, the oldest first.
type classQueue struct {
	class         models.Class
	waiters       []*waiter
	credit        float64 // of the class's floor; a grant is due from 1 on
	grantInterval average // seconds between two grants while others wait
	lastGrant     time.Time
}

type waiter struct {
	req    *request
	result chan admitResult // receives once
}

// admitResult is what a waiter gets: a slot, or the final refusal.
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

// admit waits for a slot. A request that cannot make its deadline is refused at
// once; one whose deadline passes while it waits, at that moment.
func (g *gate) admit(ctx context.Context, req *request) (*slot, *refusal) {
	w := &waiter{req: req, result: make(chan admitResult, 1)}
	if refusal := g.enqueue(w); refusal != nil {
		return nil, refusal
	}
	select {
	case given := <-w.result:
		return given.slot, given.refusal
	case <-ctx.Done():
	}
	if given, ok := g.removeWaiter(w); ok {
		return given.slot, given.refusal
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

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = time.Second

// hasUpstreamFor tells whether any upstream may serve the class; the caller holds the lock.
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

// removeWaiter takes a waiter out; ok gives what it was granted a moment before.
func (g *gate) removeWaiter(w *waiter) (given admitResult, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case given = <-w.result:
		return given, true
	default:
	}
	q := g.classes[w.req.class.Name]
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		g.waiting--
	}
	return admitResult{}, false
}
