// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// slowClock is how much a worker's clock may run slow, as the platform states, with half
// as much again for rounding.
const slowClock = 1.03

// clockMargin is added to proofs that depend on a worker's clock.
const clockMargin = 200 * time.Millisecond

// overTargetWait is how long a report may wait for an end where a tail is over its target.
const overTargetWait = 300 * time.Millisecond

// LeaseCall gives the next call that prolongs a worker's lease.
func (c *Core) LeaseCall(id jobs.WorkerID, wait time.Duration, now time.Time) (jobs.LeaseCall, bool) {
	w, ok := c.workers[id]
	if !ok {
		return jobs.LeaseCall{}, false
	}
	c.advanceAck(w)
	call := jobs.LeaseCall{Fence: w.fence, Acknowledged: w.acked, Wait: wait}
	if !w.overTargetSince.IsZero() && w.fillerCPU > 0 {
		call.Wait = min(wait, overTargetWait)
	}
	if w.trials > 0 {
		call.Wait = min(call.Wait, trialWait)
	}
	if w.overdue || w.hurried || !w.renewed {
		call.Wait = 0 // nothing starts there before the answer
	}
	if w.overdue {
		call.Acknowledged = 0 // it may be carried out late, and by the next incarnation
	}
	if w.answered && now.Sub(w.heard) < renewWithin+wait { // its clock is known from the answer
		call.Until = c.grantLease(w, now)
	}
	w.renewing = call.Until != 0
	return call, true
}

// Overdue notes that a call which prolongs a worker's lease was not answered. Calls get
// lost one by one as well as with the worker: the next one asks for a report at once, so that
// several fit into the time after which the worker would count as silent.
func (c *Core) Overdue(id jobs.WorkerID, now time.Time) {
	if w, ok := c.workers[id]; ok {
		w.overdue = true
		w.noteFailed(false, now)
	}
}

// renewWithin is for how long after its last report was due a worker's lease is prolonged.
// After that the calls only ask for a report, so that the lease runs out in the end.
const renewWithin = 700 * time.Millisecond

// grantLease gives the end of a lease that begins now, on the worker's clock.
func (c *Core) grantLease(w *worker, now time.Time) models.Milli {
	return w.grantFor(c.config.Lease, now)
}

// startWithin is how old a start may be when it is done: twice the time after which one
// without answer is repeated, and somewhat for the age of the report that tells the worker's
// clock. It bounds by construction what an owner can do that is slow, or whose calls are
// held up: later than that the worker refuses. With staleAfter it keeps within the three
// seconds after which nothing may start on a worker that drains; the lease is longer than that.
const startWithin = time.Second

// startDeadline gives the time, on the worker's clock, after which a start that is decided now
// is refused. The run's lease is the worker's, which the calls that prolong it keep longer.
func (c *Core) startDeadline(w *worker, now time.Time) models.Milli {
	return w.grantFor(min(startWithin, c.config.Lease), now)
}

// grantFor gives a time on the worker's clock, at which a lease that was granted may end.
func (w *worker) grantFor(span time.Duration, now time.Time) models.Milli {
	until := w.clock + models.MilliOf(now.Sub(w.heard)+span)
	w.granted = max(w.granted, until)
	return until
}

// advanceAck finds the last end that the worker may forget: all before it are stored.
func (c *Core) advanceAck(w *worker) {
	kept := 0
	for _, u := range w.ends {
		if u.job != nil && u.job.stored < u.version {
			break
		}
		w.acked = max(w.acked, u.number)
		kept++
	}
	w.ends = w.ends[kept:]
}

// lapsed tells when everything on the worker has certainly been ended by its own clock.
func (c *Core) lapsed(w *worker) time.Time {
	return latest(c.leaseLapsedAt(w), c.lateStartsLapsedAt(w))
}

// leaseLapsedAt tells when the leases are over that the worker was granted.
func (c *Core) leaseLapsedAt(w *worker) time.Time {
	if !w.answered {
		return c.formerLapsed()
	}
	left := time.Duration(float64((w.granted - w.clock).Duration()) * slowClock)
	return w.heard.Add(max(left, 0) + clockMargin)
}

// lateOrder is the longest time after which an order that was not answered is carried out, as the users'
// platform states, with the time that it may have waited to be sent.
const lateOrder = 13 * time.Second

// lateStartsLapsedAt tells when the runs have ended that begin on the worker by late starts which were meant
// for a former incarnation. The time that such a start brings is one of the former clock, and may lie far
// ahead on the new one: the run goes on for as long as workers grant at most.
func (c *Core) lateStartsLapsedAt(w *worker) time.Time {
	var last time.Time
	for _, t := range w.tasks {
		if t.barred && t.answeredAt.IsZero() {
			last = latest(last, t.startSentAt)
		}
	}
	if last.IsZero() {
		return last
	}
	return last.Add(lateOrder + time.Duration(float64(c.config.LongestLease)*slowClock) + clockMargin)
}

// unacknowledgedEnd is an end that must not be forgotten by its worker yet.
type unacknowledgedEnd struct {
	number  uint64
	job     *job
	version uint64
}
