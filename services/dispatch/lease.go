// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// clockDriftFactor is the factor by which a worker's clock may run slow: the bound that the platform states, plus half
// as much again for rounding.
const clockDriftFactor = 1.03

// clockMargin is added to proofs that depend on a worker's clock.
const clockMargin = 200 * time.Millisecond

// overTargetWait is how long a report may wait for an end on a worker where a tail latency is over its target.
const overTargetWait = 300 * time.Millisecond

// unprovedWait is how long a report may wait for an end while leases are not renewed for lack of a proof of ownership:
// they are renewed soon after the proof.
const unprovedWait = 200 * time.Millisecond

// LeaseCall returns the next call that asks a worker for a report and, with recent proof of ownership, renews its lease.
func (c *Core) LeaseCall(id jobs.WorkerID, wait time.Duration, now time.Time) (jobs.LeaseCall, bool) {
	w, ok := c.workers[id]
	if !ok {
		return jobs.LeaseCall{}, false
	}
	if w.firstCalledAt.IsZero() {
		w.firstCalledAt = now
	}
	c.advanceAck(w)
	call := jobs.LeaseCall{Fence: w.fence, Acknowledged: w.acked, Wait: wait}
	if !w.overTargetSince.IsZero() && w.fillerCPU > 0 {
		call.Wait = min(wait, overTargetWait)
	}
	if w.trials > 0 {
		call.Wait = min(call.Wait, trialReportWait)
	}
	proved := c.proofAge(now) <= proofValidity
	switch {
	case w.overdue || w.reportUrgent || !w.renewed && proved:
		call.Wait = 0 // nothing may start on the worker before its answer
	case !proved:
		call.Wait = min(call.Wait, unprovedWait)
	}
	if w.overdue {
		call.Acknowledged = 0 // the unanswered call may be carried out late, by the next incarnation
	}
	if proved && w.answered && now.Sub(w.reportedAt) < renewWithin+wait { // the lease is on the worker's clock, known from its report
		call.Until = c.grantLease(w, now)
	}
	w.renewing, w.fenceSent = call.Until != 0, true
	return call, true
}

// Overdue records that a call which renews a worker's lease was not answered. Single calls get lost even when
// the worker is alive, so the next call asks for a report without wait: several such calls fit into the time
// after which the worker counts as silent.
func (c *Core) Overdue(id jobs.WorkerID, now time.Time) {
	if w, ok := c.workers[id]; ok {
		w.overdue = true
		w.recordUnanswered(false, now)
	}
}

// renewWithin is how long after its last report was due a worker's lease is still renewed. After that, calls
// only ask for a report, so that the lease of a silent worker expires.
const renewWithin = 700 * time.Millisecond

// leaseAllowance is how much longer than a lease after a proof of ownership the leases granted on this proof end at the
// latest. A busy owner whose store answers has a younger proof nearly always, so that its leases have their full length.
const leaseAllowance = 500 * time.Millisecond

// grantLease returns the end of a lease that begins now, on the worker's clock.
func (c *Core) grantLease(w *worker, now time.Time) models.Milli {
	return c.grantFor(w, c.leaseSpan(w, now), now)
}

// storedLease returns the longest lease for the worker that a successor knows of from the stored roster, and how much
// longer than it after a proof of ownership the leases granted on this proof may end.
func (c *Core) storedLease(w *worker) (lease, allowance time.Duration) {
	if w.inRoster {
		return c.config.Lease, leaseAllowance
	}
	return min(c.config.Lease, c.previousLease), min(leaseAllowance, cmp.Or(c.previousAllowance, leaseAllowance))
}

// maxStartAge is how old a start may be when a worker carries it out: twice the time after which an unanswered start is
// repeated, plus some time for the age of the report that tells the worker's clock. A worker refuses later starts, so
// the starts of a slow owner, or of an owner whose calls are delayed, have no effect. Together with staleAfter it stays
// below the three seconds after which nothing may start on a draining worker; the lease is longer than that.
const maxStartAge = time.Second

// startDeadline returns the time, on the worker's clock, after which the worker refuses a start that is ordered
// now. The run itself lasts as long as the worker's lease, which lease calls renew.
func (c *Core) startDeadline(w *worker, now time.Time) models.Milli {
	return c.grantFor(w, min(maxStartAge, c.config.Lease), now)
}

// grantFor returns the time on the worker's clock after span, or the end of the longest lease on the last proof of
// ownership if that is earlier, and records it as a possible end of a lease. The time is absolute, so that a call that
// arrives late grants no more.
func (c *Core) grantFor(w *worker, span time.Duration, now time.Time) models.Milli {
	lease, allowance := c.storedLease(w)
	proof := c.lastProof()
	c.witnesses.grantedOn = latest(c.witnesses.grantedOn, proof)
	span = min(span, lease, proof.Add(lease+allowance).Sub(now))
	until := w.reportClock + models.MilliOf(now.Sub(w.reportedAt)+span)
	w.leaseEnd = max(w.leaseEnd, until)
	return until
}

// advanceAck finds the last end that the worker may forget: all ends up to it are stored.
func (c *Core) advanceAck(w *worker) {
	acknowledged := 0
	for _, end := range w.ends {
		if end.job != nil && end.job.storedVersion < end.version {
			break
		}
		w.acked = max(w.acked, end.number)
		acknowledged++
	}
	w.ends = w.ends[acknowledged:]
}

// lapsedAt returns when everything on the worker has certainly been ended by the worker's own clock.
func (c *Core) lapsedAt(w *worker) time.Time {
	return latest(c.leaseLapsedAt(w), c.lateStartsLapsedAt(w))
}

// leaseLapsedAt returns when all leases that the worker was granted are over.
func (c *Core) leaseLapsedAt(w *worker) time.Time {
	if !w.answered {
		return c.previousRunsLapsed(w)
	}
	remaining := time.Duration(float64((w.leaseEnd - w.reportClock).Duration()) * clockDriftFactor)
	return w.reportedAt.Add(max(remaining, 0) + clockMargin)
}

// maxOrderDelay is the longest time after which an unanswered order may still be carried out, as the users'
// platform states, plus the time that the order may have waited to be sent.
const maxOrderDelay = 13 * time.Second

// maxStopTime is the longest time from the answer to a stop until the run has ended.
const maxStopTime = time.Second

// lateStartsLapsedAt returns when the runs have ended that begin on the worker through late starts meant for
// its previous incarnation; zero: there are none.
func (c *Core) lateStartsLapsedAt(w *worker) time.Time {
	var last time.Time
	for _, t := range w.tasks {
		if t.fromPreviousIncarnation {
			last = latest(last, c.lateStartLapsedAt(t))
		}
	}
	return last
}

// lateStartLapsedAt returns when the run has ended that begins through a late start. The deadline in the start is on the
// previous incarnation's clock and may lie far ahead on the new clock: the run may last for as long as the longest lease
// that workers accept, unless the worker has answered its stop.
func (c *Core) lateStartLapsedAt(t *task) time.Time {
	if !t.answeredAt.IsZero() {
		return t.answeredAt.Add(maxStopTime)
	}
	return t.startSentAt.Add(maxOrderDelay + driftedLease(c.config.LongestLease) + clockMargin)
}

// unacknowledgedEnd is an end that its worker must not forget yet.
type unacknowledgedEnd struct {
	number  uint64
	job     *job
	version uint64
}
