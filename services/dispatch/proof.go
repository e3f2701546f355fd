// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// An owner that was suspended, or is cut off from the store, may have a successor without knowing it. Workers refuse
// the old owner's orders once the successor has called them, but calls get lost, and a worker that the successor has not
// reached yet would obey. So an owner acts only on recent proof that it still owns the cell:
//
//   - for any order, and to renew a lease: a transaction of its own, which requires its key in the store, or the
//     answers of two thirds of its workers, and of those that the stored roster names. Once more than a third have
//     answered a successor, too few are left: each proof is no later than the fence, for the transaction was begun
//     before the successor's claim, and one of the workers has answered the successor after a call that was sent after
//     the time of the proof. A lease ends at a time on its worker's clock, a lease and leaseAllowance after the proof
//     at the latest, whenever it is granted and its call arrives, and so does the deadline of a start, which is a
//     lease as well. So the successor counts the runs on silent workers as lapsed that long after the fence, by the
//     slowest clock of a worker. An owner that reaches only workers that its successor doesn't reach learns nothing
//     from them, so that its leases have to end for lack of a proof. A successor that no more than a third answer
//     can't tell an owner that the others prove right from one whose workers are gone, and waits for maxBlindTime. So
//     two thirds prove ownership for some time only after a transaction, or after all workers have answered: no
//     successor can have called any of them before that. Each of these proofs counts only up to the time up to which the
//     claim's witnesses vouch for it, if it has any: see witnesses.go.
//   - to start the tasks of a silent worker elsewhere: a transaction after the worker's lease was over. Only this
//     proves that no successor has renewed the lease.

// proofValidity is how long orders are given and leases renewed after a proof. It is shorter than a lease, and with the
// timeout of a call below previousOwnerMargin, which owners of older versions keep.
const proofValidity = 2 * time.Second

// proofRefreshAge is the age of a proof from which a transaction is made for the sake of the proof alone.
const proofRefreshAge = time.Second

// answerCountInterval is how often the workers' answers are counted while there is recent proof.
const answerCountInterval = 100 * time.Millisecond

// proofAge returns the age of the latest proof that this core still is the cell's owner.
func (c *Core) proofAge(now time.Time) time.Duration {
	known := now.Sub(c.lastProof())
	if now.Sub(c.quorumCheckedAt) >= answerCountInterval || known > proofValidity {
		c.quorumCheckedAt = now
		c.countAnswers()
	}
	return now.Sub(c.lastProof())
}

// countAnswers updates the times up to which the workers' answers prove ownership.
func (c *Core) countAnswers() { c.allAskedAt, c.quorumAskedAt = c.answeredSince(c.quorumCheckedAt) }

// lastProof returns the time of the latest proof that this core still is the cell's owner.
func (c *Core) lastProof() time.Time {
	proof := c.lastUnwitnessedProof()
	if c.witnesses.named() {
		return earliest(proof, c.witnesses.vouchedSince)
	}
	return proof
}

// lastUnwitnessedProof returns the time up to which transactions or the workers' answers prove ownership, for as long as
// the witnesses vouch for it.
func (c *Core) lastUnwitnessedProof() time.Time {
	full := latest(c.provedAt, c.allAskedAt)
	limit := full.Add(c.maxQuorumTime())
	if c.quorumAskedAt.After(limit) {
		return limit
	}
	return latest(full, c.quorumAskedAt)
}

// maxQuorumTime returns how long after a transaction, or after answers of all workers, the answers of two thirds prove
// ownership. With the validity of that proof, calls in flight, and the leases renewed until then, it ends within the time
// that a successor waits.
func (c *Core) maxQuorumTime() time.Duration {
	return maxBlindTime - previousOwnerMargin - driftedLease(c.config.Lease)
}

// mayOrder reports whether there is recent proof that this core still is the cell's owner.
func (c *Core) mayOrder(now time.Time) bool {
	age := c.proofAge(now)
	c.wantsProof = c.wantsLapseProof || now.Sub(c.lastUnwitnessedProof()) > proofRefreshAge // a transaction helps no missing witness
	c.setAwaitingProof(age > proofValidity, now)
	return !c.awaitingProof
}

// setAwaitingProof records whether orders wait for a proof, and logs each change.
func (c *Core) setAwaitingProof(awaiting bool, now time.Time) {
	if awaiting == c.awaitingProof {
		return
	}
	c.awaitingProof = awaiting
	if c.witnesses.firstAsked() || !awaiting && !c.loggedAwaiting {
		return // each takeover begins with calls to the witnesses
	}
	c.loggedAwaiting = awaiting
	lacksWitnesses := c.witnesses.named() && now.Sub(c.witnesses.vouchedSince) > witnessesAbsentAfter
	if awaiting && lacksWitnesses {
		c.counts.WitnessesMissing++
	}
	message := "orders resume"
	if awaiting {
		message = "orders wait for a recent proof of ownership"
	}
	c.config.Logger.Info(message, zap.Duration("proof_age", c.proofAge(now)), zap.Int("workers", len(c.sortedWorkers)),
		zap.Bool("lacks_witnesses", lacksWitnesses))
}

// answeredSince returns the latest times for which all workers, and two thirds of them and of those in the stored roster,
// have answered calls that were sent then or later. A successor may know of the roster's workers only. While a roster is
// being stored, it may read either one. Two thirds leave out workers of the list that never answer, as long as at least half
// of the whole list has answered: more than half of it fence a successor's previous owner, whatever the roster names. All
// leave out none: that proof has no limit in time, and one worker that answers a successor lets this count its wait.
func (c *Core) answeredSince(now time.Time) (all, twoThirds time.Time) {
	var listed, expected, stored, pending []time.Time
	for _, w := range c.sortedWorkers {
		listed = append(listed, w.reportAskedAt)
		if w.isExpectedToAnswer(now) {
			expected = append(expected, w.reportAskedAt)
		}
		if w.inStoredRoster {
			stored = append(stored, w.reportAskedAt)
		}
		if c.rosterUnresolved && w.inPendingRoster {
			pending = append(pending, w.reportAskedAt)
		}
	}
	if len(expected) == 0 {
		return time.Time{}, time.Time{}
	}
	_, twoThirds = answerTimes(expected)
	for _, roster := range [][]time.Time{stored, pending} {
		if len(roster) > 0 {
			_, since := answerTimes(roster)
			twoThirds = earliest(twoThirds, since)
		}
	}
	all, _ = answerTimes(listed)
	return all, earliest(twoThirds, halfAnsweredSince(listed))
}

// isExpectedToAnswer reports whether the worker counts among those whose answers prove ownership. An entry of the list that
// has never answered an owner, and not this one since it was called first, may be no worker at all. No owner has ordered
// anything there.
func (w *worker) isExpectedToAnswer(now time.Time) bool {
	return w.everAnswered || now.Sub(w.reportedAt) <= silentAfter
}

// answerTimes returns the latest times for which all, and two thirds of, some times are then or later.
func answerTimes(sent []time.Time) (all, twoThirds time.Time) {
	slices.SortFunc(sent, time.Time.Compare)
	return sent[0], sent[dispensableWorkers(len(sent))]
}

// halfAnsweredSince returns the latest time for which at least half of some times are then or later.
func halfAnsweredSince(sent []time.Time) time.Time {
	slices.SortFunc(sent, time.Time.Compare)
	return sent[len(sent)/2]
}

// dispensableWorkers returns how many workers of a cell may be missing among those whose answers prove ownership to its
// owner. One more that refuse its calls leave it without that proof.
func dispensableWorkers(workers int) int { return workers / 3 }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
