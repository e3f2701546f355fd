// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	leasePlays       = 400
	leaseStep        = 10 * time.Millisecond
	leaseCallTimeout = 500 * time.Millisecond // in addition to the wait of a call
	leaseSlowest     = 0.98                   // of the workers' clocks
	// leaseSlack is how close the end of a lease of the previous owner has to come to the time at which its successor
	// counts it as over, in some play. Otherwise the plays show nothing.
	leaseSlack = 400 * time.Millisecond
)

// leaseWorker is a worker with its own clock, and the leases that it has been granted.
type leaseWorker struct {
	id       jobs.WorkerID
	rate     float64
	fence    jobs.Fence
	leaseEnd models.Milli
	reached  map[*leaseOwner]bool
}

func (w *leaseWorker) clock(p *leasePlay) models.Milli {
	return 1000 + models.Milli(float64(p.now.Sub(p.began).Milliseconds())*w.rate)
}

// take carries out a call, and reports whether the worker does not refuse it.
func (w *leaseWorker) take(fence jobs.Fence, until models.Milli) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	w.leaseEnd = max(w.leaseEnd, until)
	return true
}

// leaseOwner is an owner of the cell with its calls.
type leaseOwner struct {
	*Core
	suspendedUntil time.Time
	calling        map[jobs.WorkerID]bool
}

// leaseEvent is something that happens at a time; owner is not nil if it waits until that owner is not suspended.
type leaseEvent struct {
	at    time.Time
	owner *leaseOwner
	run   func()
}

// leasePlay is a cell whose previous owner is suspended, loses the store and is followed by another owner, while calls
// to the workers arrive late or get no answer.
type leasePlay struct {
	*testing.T
	random         *rand.Rand
	reportWait     time.Duration
	answerTime     time.Duration // the longest time that a call or its answer is on its way, if none of them gets lost
	began, now     time.Time
	claimedAt      time.Time // when the successor's claim was stored; zero: it was not
	workers        []*leaseWorker
	previous, next *leaseOwner
	events         []leaseEvent
	closest        time.Duration // from the end of a lease to the time at which the successor counts it as over
}

func (p *leasePlay) draw(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most)))
}

func (p *leasePlay) after(delay time.Duration, owner *leaseOwner, run func()) {
	p.events = append(p.events, leaseEvent{p.now.Add(delay), owner, run})
}

// runDue runs the events that are due.
func (p *leasePlay) runDue() {
	for {
		n := slices.IndexFunc(p.events, func(e leaseEvent) bool {
			return !e.at.After(p.now) && (e.owner == nil || !p.now.Before(e.owner.suspendedUntil))
		})
		if n < 0 {
			return
		}
		e := p.events[n]
		p.events = slices.Delete(p.events, n, n+1)
		e.run()
	}
}

func (p *leasePlay) newOwner(epoch jobs.Epoch) *leaseOwner {
	return &leaseOwner{calling: map[jobs.WorkerID]bool{}, Core: New(Config{
		Epoch: epoch, Taken: p.now, Lease: 4500 * time.Millisecond, LongestLease: 10 * time.Second, Logger: zap.NewNop(),
	})}
}

// callDelay draws how long a call is in flight, and whether its answer gets lost.
func (p *leasePlay) callDelay() (delay time.Duration, lost bool) {
	if p.random.Float64() < 0.1 {
		return p.draw(maxOrderDelay), true
	}
	return p.draw(p.answerTime), false
}

// poll asks a worker for a report, as an owner does again and again.
func (p *leasePlay) poll(o *leaseOwner, w *leaseWorker) {
	call, known := o.LeaseCall(w.id, p.reportWait, p.now)
	if !known || o.Superseded() {
		return
	}
	o.calling[w.id] = true
	done := func(after time.Duration, result func()) {
		p.after(after, o, func() {
			result()
			o.calling[w.id] = false
		})
	}
	sent := p.now
	if !w.reached[o] {
		done(200*time.Millisecond, func() { o.Unreached(w.id, false, p.now) })
		return
	}
	delay, lost := p.callDelay()
	p.after(delay, nil, func() {
		taken := w.take(call.Fence, call.Until)
		report := jobs.Report{Clock: w.clock(p)}
		switch {
		case lost:
		case taken:
			done(call.Wait+p.draw(p.answerTime), func() {
				if call.Wait > 0 {
					report.Clock = max(report.Clock, w.clock(p)-50)
				}
				o.Reported(w.id, sent, report, p.now)
			})
		default:
			done(0, func() { o.FenceRefused(w.id, call.Fence) })
		}
	})
	if lost {
		done(call.Wait+leaseCallTimeout, func() { o.Overdue(w.id, p.now) })
	}
}

// decide carries out the starts of an owner.
func (p *leasePlay) decide(o *leaseOwner) {
	if o.Superseded() {
		return
	}
	for _, order := range o.Decide(p.now) {
		start, ok := order.(StartOrder)
		if !ok {
			continue
		}
		n := slices.IndexFunc(p.workers, func(w *leaseWorker) bool { return w.id == start.Worker.ID })
		w := p.workers[n]
		if !w.reached[o] {
			p.after(0, o, func() { o.Started(start, Result{Outcome: OutcomeUnreached}, p.now) })
			continue
		}
		delay, lost := p.callDelay()
		p.after(delay, nil, func() {
			result := Result{Outcome: OutcomeDone}
			if !w.take(start.Call.Fence, start.Call.Until) {
				result = Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedFence}
			}
			if !lost {
				p.after(0, o, func() { o.Started(start, result, p.now) })
			}
		})
		if lost {
			p.after(leaseCallTimeout, o, func() { o.Started(start, Result{Outcome: OutcomeUnknown}, p.now) })
		}
	}
}

// store stores the changes of an owner that the store answers.
func (p *leasePlay) store(o *leaseOwner) {
	if !o.HasChanges() {
		return
	}
	changes := o.TakeChanges(10, p.now)
	p.after(p.draw(2*p.answerTime), nil, func() {
		if o == p.previous && !p.claimedAt.IsZero() {
			return // the transaction does not apply, and its owner does not learn of it
		}
		p.after(p.draw(2*p.answerTime), o, func() { o.Stored(changes, p.now) })
	})
}

// run lets an owner work for one step.
func (p *leasePlay) run(o *leaseOwner, hasStore bool) {
	if p.now.Before(o.suspendedUntil) {
		return
	}
	for _, w := range p.workers {
		if !o.calling[w.id] {
			p.poll(o, w)
		}
	}
	if p.random.Float64() < 0.2 {
		p.decide(o)
	}
	if hasStore && p.random.Float64() < 0.05 {
		p.store(o)
	}
}

// requireLapsed requires that no lease of the previous owner lasts longer than its successor assumes.
func (p *leasePlay) requireLapsed() {
	for _, w := range p.workers {
		known := p.next.workers[w.id]
		if known.answered {
			continue
		}
		end := p.now.Add(time.Duration(float64((w.leaseEnd - w.clock(p)).Duration()) / w.rate))
		assumed := p.next.previousOwnersLapsed()
		if !p.next.fencedAt.IsZero() {
			p.closest = min(p.closest, assumed.Sub(end))
		}
		if p.now.Before(assumed) {
			continue
		}
		require.False(p, end.After(p.now), "the lease of %s lasts for %s longer", w.id, end.Sub(assumed))
	}
}

// play lets the previous owner work, lose the store and be followed by another owner, and returns how close a lease came
// to the time at which the successor counted it as over.
func (p *leasePlay) play() time.Duration {
	p.answerTime = time.Millisecond + p.draw(50*time.Millisecond)
	if p.random.IntN(2) == 0 {
		p.reportWait = p.draw(time.Second)
	}
	rate := max(leaseSlowest, 1-1.5*p.random.Float64()*(1-leaseSlowest))
	var list []jobs.Worker
	for n := range 3 + p.random.IntN(10) {
		w := &leaseWorker{
			id: jobs.WorkerID(fmt.Sprintf("w%02d", n)), rate: rate, reached: map[*leaseOwner]bool{},
		}
		p.workers = append(p.workers, w)
		list = append(list, jobs.Worker{ID: w.id, Pool: testPool, Capacity: models.Resources{CPU: 4000, Memory: 8000}})
	}
	p.previous = p.newOwner(5)
	p.previous.RestoreRoster(jobs.Roster{}, p.now)
	p.previous.SetWorkers(list, p.now)
	for _, w := range p.workers {
		w.reached[p.previous] = true
	}
	b := &bench{now: p.now}
	step := singleTaskStep
	step.Count, step.LongRunning = 3*len(list), true
	p.previous.AddJob(b.job(step), jobs.Progress{}, true, p.now)
	claim := p.now.Add(6*time.Second + p.draw(2*time.Second))
	storeLost := claim
	if p.random.IntN(2) == 0 {
		storeLost = claim.Add(-p.draw(3 * time.Second))
	}
	silent := 1 + p.random.IntN(len(list)) // the first ones, which the successor does not reach
	loses := p.random.Float64()            // the share of them that the previous owner loses at the claim
	suspended := claim.Add(p.draw(4*time.Second) - 2*time.Second)
	for end := claim.Add(20 * time.Second); p.now.Before(end); p.now = p.now.Add(leaseStep) {
		p.runDue()
		if !p.now.Before(suspended) && p.previous.suspendedUntil.IsZero() && p.random.Float64() < 0.5 {
			p.previous.suspendedUntil = p.now.Add(p.draw(4 * time.Second))
		}
		p.run(p.previous, p.now.Before(storeLost))
		if p.now.Before(claim) {
			continue
		}
		if p.next == nil {
			p.claim(list, silent, loses)
		}
		p.run(p.next, true)
		p.requireLapsed()
	}
	return p.closest
}

// claim lets the successor take the cell.
func (p *leasePlay) claim(list []jobs.Worker, silent int, loses float64) {
	p.claimedAt = p.now
	p.next = p.newOwner(6)
	p.next.RestoreRoster(*p.previous.roster(), p.now)
	p.next.SetWorkers(list, p.now)
	divided := p.random.IntN(2) == 0 // the previous owner does not learn of its successor
	for n, w := range p.workers {
		w.reached[p.next] = n >= silent
		w.reached[p.previous] = n >= silent && !divided || n < silent && p.random.Float64() >= loses
	}
}

// TestLeasesEndBeforeTheSuccessorAssumes guards against runs on two workers: a previous owner that is suspended, or whose
// calls arrive late, grants leases on slow clocks that last longer than its successor assumes.
func TestLeasesEndBeforeTheSuccessorAssumes(t *testing.T) {
	closest := time.Hour
	for seed := range uint64(leasePlays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			began := time.Unix(1_000_000, 0)
			p := &leasePlay{T: t, random: rand.New(rand.NewPCG(seed, 11)), began: began, now: began, closest: time.Hour}
			closest = min(closest, p.play())
		})
	}
	require.Less(t, closest, leaseSlack, "the closest lease ended %s early", closest)
	t.Logf("the closest lease ended %s early", closest)
}
