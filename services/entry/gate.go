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

	mu        sync.Mutex
	upstreams map[models.VMID]*upstream
	order     []*upstream // by id
	classes   map[models.ClassName]*classQueue
	waiting   int
	service   average // of service times, in seconds
	deferred  int     // slots held by deferred requests
	capacity  int     // slots that are this daemon's to give
	contended bool    // the own share was used up since the last heartbeat
	slacks    map[models.MemberID]float64
	borrow    float64 // part of peers' unused shares that may be used
}

// classQueue holds the waiting requests of one class, the oldest first.
type classQueue struct {
	class   models.Class
	waiters []*waiter
	credit  float64 // of the class's floor; a grant is due from 1 on
	gap     average // seconds between two grants while others wait
	granted time.Time
}

type waiter struct {
	req     *request
	granted chan grant // receives once
}

// grant is what a waiter gets: a slot, or the final refusal.
type grant struct {
	slot    *slot
	refusal *refusal
}

func newGate(c gateConfig) *gate {
	return &gate{
		config: c, picker: pickerOf(c.Settings.Picker),
		upstreams: map[models.VMID]*upstream{}, classes: map[models.ClassName]*classQueue{},
		slacks: map[models.MemberID]float64{},
	}
}

// admit waits for a slot. A request that cannot make its deadline is refused at
// once; one whose deadline passes while it waits, at that moment.
func (g *gate) admit(ctx context.Context, req *request) (*slot, *refusal) {
	w := &waiter{req: req, granted: make(chan grant, 1)}
	if refusal := g.enqueue(w); refusal != nil {
		return nil, refusal
	}
	select {
	case given := <-w.granted:
		return given.slot, given.refusal
	case <-ctx.Done():
	}
	if given, ok := g.withdraw(w); ok {
		return given.slot, given.refusal
	}
	return nil, notRunYet("deadline passed while waiting for a slot", g.estimate(req.class))
}

func (g *gate) enqueue(w *waiter) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := w.req.class
	if !g.anyFor(class) {
		return notRunYet("no upstream serves class "+string(class.Name)+" now", comeBack)
	}
	if wait := g.estimateLocked(class); g.tooLate(w.req, wait) {
		return notRunYet("the queue is too long for the request's deadline", max(wait, comeBack))
	}
	if g.waiting >= g.config.Settings.MaxWaiting && !g.displace(class) {
		return notRunYet("too many requests wait", max(g.estimateLocked(class), comeBack))
	}
	q := g.queueOf(class)
	q.waiters = append(q.waiters, w)
	g.waiting++
	g.dispatch()
	return nil
}

// comeBack is the least time that a refused caller is told to wait.
const comeBack = time.Second

// anyFor tells whether any upstream may serve the class; the caller holds the lock.
func (g *gate) anyFor(class models.Class) bool {
	return slices.ContainsFunc(g.order, func(u *upstream) bool { return u.serves(class, g.config.Selectors) })
}

func (g *gate) queueOf(class models.Class) *classQueue {
	q, ok := g.classes[class.Name]
	if !ok {
		q = &classQueue{}
		g.classes[class.Name] = q
	}
	q.class = class
	return q
}

// withdraw takes a waiter out; ok gives what it was granted a moment before.
func (g *gate) withdraw(w *waiter) (given grant, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case given = <-w.granted:
		return given, true
	default:
	}
	q := g.classes[w.req.class.Name]
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		g.waiting--
	}
	return grant{}, false
}
