// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// RestoreRoster takes the stored roster: the workers on which previous owners may have started something, whether the
// platform's list names them now or not.
func (c *Core) RestoreRoster(roster jobs.Roster, now time.Time) {
	c.takeovers.epochs = roster.UnobservedEpochs
	switch {
	case len(roster.Workers) == 0: // no previous owner has started anything
		c.previousLease, c.previousAllowance = c.config.Lease, leaseAllowance
		c.noPreviousRuns = true
	case roster.MaxLease > 0:
		c.previousLease = min(roster.MaxLease.Duration(), c.config.LongestLease)
		c.previousAllowance = roster.LeaseAllowance.Duration()
	}
	for _, info := range roster.Workers {
		w, known := c.workers[info.ID]
		if !known {
			// A lease that ends later than the roster says is granted only once the stored roster names it.
			w = c.addWorker(info, now)
			w.inRoster = c.previousLease >= c.config.Lease && (c.previousAllowance == 0 || c.previousAllowance >= leaseAllowance)
			if info.LeavesAt != 0 {
				w.leavesAt = c.timeAt(info.LeavesAt, now)
			}
		}
		w.inPreviousRoster, w.inStoredRoster = true, true
		c.recordFirstAnswer(w)
	}
}

// roster returns what has to be stored about the workers that may get starts. Its lease never becomes shorter,
// because leases of previous owners may still be running.
func (c *Core) roster() *jobs.Roster {
	roster := &jobs.Roster{MaxLease: models.MilliOf(max(c.config.Lease, c.previousLease)), UnobservedEpochs: c.takeovers.epochs}
	if c.previousAllowance > 0 {
		roster.LeaseAllowance = models.MilliOf(max(leaseAllowance, c.previousAllowance))
	}
	for _, w := range c.sortedWorkers {
		if w.isInRosters() {
			roster.Workers = append(roster.Workers, w.info)
		}
	}
	return roster
}

// previousOwnerMargin is how long after its last proof of ownership a previous owner may go on to grant leases that are
// not bound to the proof: for proofValidity, and some time for its calls in flight.
const previousOwnerMargin = 3 * time.Second

// maxBlindTime is how long the runs of silent workers are waited for after a takeover when no more than a third of the
// workers ever answer, as in an outage of most of a fleet. A previous owner that the other workers answer goes on for
// maxQuorumTime at most after the first of its workers has answered its successor.
const maxBlindTime = 30 * time.Second

// previousOwnersLapsed returns when all runs that previous owners started on workers that do not answer have certainly
// ended.
func (c *Core) previousOwnersLapsed() time.Time {
	lapsed, _ := c.previousOwnersLapse()
	return lapsed
}

// lapseBasis says what is known of the previous owners, and so how long the runs on silent workers are waited for.
type lapseBasis string

// What may be known of the previous owners.
const (
	lapseGuessed lapseBasis = "no worker of the roster has answered"
	lapseBlind   lapseBasis = "no more than a third of the workers have answered"
	lapseFenced  lapseBasis = "too few workers are left to the previous owner"
	lapseEnded   lapseBasis = "the previous owners have ended"
	lapseTold    lapseBasis = "the previous owners have told when their leases end"
	lapseLeft    lapseBasis = "too few witnesses are left to the previous owners that have not ended"
)

// previousOwnersLapse returns when the runs of previous owners on silent workers have ended, and what that is known
// from. Until a worker of the roster has answered, the time is a guess: a previous owner whose workers all answer it may
// go on for longer.
func (c *Core) previousOwnersLapse() (time.Time, lapseBasis) {
	until, basis := c.blindSince().Add(maxBlindTime), lapseGuessed
	if !c.calledAt.IsZero() {
		basis = lapseBlind
	}
	if !c.fencedAt.IsZero() {
		until, basis = c.fencedAt.Add(c.lastLeaseAfterFence()), lapseFenced
	}
	if left := c.previousFence.at; !left.IsZero() {
		if left = latest(left.Add(c.lastLeaseAfterFence()), c.lastLeaseAfterEnd(c.previousFence.endedAt)); left.Before(until) {
			until, basis = left, lapseLeft
		}
	}
	if c.previousEndedAt.IsZero() {
		return until, basis
	}
	if ended := c.lastLeaseAfterEnd(c.previousEndedAt); ended.Before(until) {
		return ended, lapseEnded
	}
	return until, basis
}

// lastLeaseAfterEnd returns when the last lease of a previous owner is over that had ended at the given time.
func (c *Core) lastLeaseAfterEnd(ended time.Time) time.Time {
	return ended.Add(driftedLease(c.previousLease) + clockMargin)
}

// lastLeaseAfterFence returns how long after the fence the last lease of a previous owner is over. Its proofs are older
// than the fence, see proof.go.
func (c *Core) lastLeaseAfterFence() time.Duration {
	if c.previousAllowance == 0 {
		return driftedLease(c.previousLease) + previousOwnerMargin
	}
	return driftedLease(c.previousLease+c.previousAllowance) + clockMargin
}

// updateLeaseBound lets the roster say that leases are bound to proofs once no lease is left of previous owners that did
// not bind theirs, also of those that no worker of the roster has answered.
func (c *Core) updateLeaseBound(now time.Time) {
	if c.previousAllowance == 0 && !c.recovering && now.After(c.blindSince().Add(maxBlindTime)) {
		c.previousAllowance = leaseAllowance
		c.rosterChanged = true
	}
}

// PreviousOwnersEnded records that every previous owner whose runs may still exist gave its last order at the given time
// or earlier. A lease ends at a time on its worker's clock, however late the call that grants it arrives.
func (c *Core) PreviousOwnersEnded(at time.Time) { c.previousEndedAt = at }

// EndCounts reports whether the leases of a previous owner that had ended, and for which too few witnesses have vouched after
// another time, are over sooner by its end.
func EndCounts(ended, fenced time.Time) bool { return !ended.After(fenced.Add(leaseAllowance)) }

// witnessFence is what is known of previous owners of which some have ended and the others have too few witnesses left.
type witnessFence struct {
	at      time.Time // after which too few witnesses have vouched for each of those that have not ended; zero: not known
	endedAt time.Time // when the last of the others had ended; zero: there are none
}

// PreviousOwnersFenced records that each previous owner whose runs may still exist had given its last order at endedAt, or
// that too few witnesses have vouched for it after the other time, so that its last proof of ownership is no later.
func (c *Core) PreviousOwnersFenced(at, endedAt time.Time) {
	c.previousFence = witnessFence{at, endedAt}
}

// PreviousOwnersAreOver reports whether no run of a previous owner exists any more that this owner has not found.
func (c *Core) PreviousOwnersAreOver(now time.Time) bool {
	return !c.recovering && (c.noPreviousRuns || now.After(c.previousOwnersLapsed()))
}

// blindSince returns since when the runs of silent workers are waited for while no more than a third answer.
func (c *Core) blindSince() time.Time {
	switch {
	case !c.calledAt.IsZero():
		return latest(c.config.Taken, c.calledAt)
	case !c.answeredAt.IsZero():
		return latest(c.config.Taken, c.answeredAt)
	case len(c.sortedWorkers) > 0 && !c.config.OtherCells:
		return latest(c.config.Taken, c.now) // nothing can start before a worker answers
	default:
		return c.config.Taken
	}
}

// driftedLease returns the longest time for which a lease may last by the clock of its worker.
func driftedLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * clockDriftFactor)
}

// updateFenced records when so many workers have reported in this epoch, and so refuse the previous owner's calls, that
// too few are left to prove its ownership to it; from then on it ends. They are counted once the list of workers has been
// read, because the previous owner counts on workers that the roster does not name. More than a third of the workers of
// its roster have to, so that those that joined since don't make up for them, or more than half of all workers, because
// its own may all have gone for good. Not covered: most workers are new to the previous owner, it has dropped workers of
// its roster, or workers that have reported start again and meet it before the present owner.
func (c *Core) updateFenced(now time.Time) {
	if !c.fencedAt.IsZero() || !c.listRead {
		return
	}
	var all, ofRoster fenceCount
	for _, w := range c.sortedWorkers {
		all.add(w)
		if w.inPreviousRoster {
			ofRoster.add(w)
		}
	}
	if c.answeredAt.IsZero() && all.refusing > 0 {
		c.answeredAt = now
	}
	if c.calledAt.IsZero() && ofRoster.refusing > 0 {
		c.calledAt = now
	}
	if all.fences() && (ofRoster.fences() || 2*all.refusing > all.workers) {
		c.fencedAt = now
	}
}

// fenceCount counts workers, and those of them that refuse a previous owner's calls. A worker that has started again
// since its report does not refuse them, because its new incarnation has not seen the epoch.
type fenceCount struct{ workers, refusing int }

func (f *fenceCount) add(w *worker) {
	f.workers++
	if w.answered {
		f.refusing++
	}
}

// fences reports whether the previous owner can't have the answers of enough workers any more.
func (f *fenceCount) fences() bool { return f.refusing > dispensableWorkers(f.workers) }

// tryRecover ends the recovery after a takeover once no unreported runs can exist: every worker that previous owners
// may have used has reported all runs and ends, or has certainly ended its runs.
func (c *Core) tryRecover(now time.Time) {
	if !c.recovering || len(c.sortedWorkers) == 0 && c.now.Before(c.previousOwnersLapsed()) {
		return
	}
	if unreported := c.unreportedSinceTakeover(); len(unreported) > 0 {
		c.logRecoveryWait(unreported, now)
		return
	}
	c.recovering = false
	c.countLostUnresolvedRuns()
	c.recordTakeoverLosses()
	waiting := 0
	for _, j := range c.jobs {
		waiting += c.recoverJob(j)
	}
	c.config.Logger.Info("cell is recovered", zap.Int("workers", len(c.sortedWorkers)), zap.Int("jobs", len(c.jobs)),
		zap.Int("tasks_not_running", waiting), zap.Duration("after", now.Sub(c.config.Taken)))
}

// recoverJob lets the tasks of a job wait for placement that no worker has reported, and counts them.
func (c *Core) recoverJob(j *job) int {
	waiting := 0
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if s.tasks[i].state == taskUnknown {
				c.countTakeoverLoss(&s.tasks[i])
				s.tasks[i].state = taskWaiting
				s.waiting++
				waiting++
			}
		}
		c.listWaiting(s)
	}
	c.endIfDone(j)
	return waiting
}
