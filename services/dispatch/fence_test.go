// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// reportAll lets workers answer two calls each, the second of which renews the lease, without that time passes.
func (b *bench) reportAll(first, after int) {
	for n := first; n < after; n++ {
		for range 2 {
			b.call(n, jobs.Report{Clock: models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0)))})
		}
	}
}

const (
	fenceWorkers = 48
	fenceGone    = 3                // the last workers, which never answer the next owner
	fenceEarly   = 19               // the first workers, 40 % of them, which answer it at once
	fenceCutTime = 12 * time.Second // after which the others answer
	fenceLease   = 4 * time.Second  // that the previous owner granted
)

// setAnsweringWorkers lets the list name workers that have all answered this owner or one before it.
func (c *Core) setAnsweringWorkers(list []jobs.Worker, now time.Time) {
	c.SetWorkers(list, now)
	for _, w := range c.workers {
		c.recordFirstAnswer(w)
	}
}

// TestRecoveryDoesNotWaitForMostWorkers guards against tasks that wait beside idle workers long after a takeover: what
// runs on the silent workers was waited for only from when most workers had answered, which a cut kept from answering.
func TestRecoveryDoesNotWaitForMostWorkers(t *testing.T) {
	b := newBench(t, fenceWorkers)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: models.MilliOf(fenceLease)}, b.now)
	step := singleTaskStep
	step.Count = 10
	b.AddJob(b.job(step), jobs.Progress{}, false, b.now)
	lapse := time.Duration(float64(fenceLease)*clockDriftFactor) + previousOwnerMargin
	began, started := b.now, 0
	for b.now.Sub(began) < fenceCutTime+lapse+time.Second {
		answering := fenceEarly
		if b.now.Sub(began) > fenceCutTime {
			answering = fenceWorkers - fenceGone
		}
		b.reportAll(0, answering)
		started += len(b.storedStarts())
		if b.now.Sub(began) <= lapse {
			require.Zero(t, started, "the silent workers may run the tasks")
		}
		if started == step.Count {
			break
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, step.Count, started)
	require.LessOrEqual(t, b.now.Sub(began), lapse+time.Second)
}

// TestFenceFollowsWorkersThatAreGone guards against a wait of maxBlindTime: the workers that had not answered when the
// last first report came are removed later, and nobody counted the answers again.
func TestFenceFollowsWorkersThatAreGone(t *testing.T) {
	b := newBench(t, 6)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: models.MilliOf(fenceLease)}, b.now)
	b.reportAll(0, 2)
	b.Decide(b.now)
	require.Zero(t, b.fencedAt, "the other workers may obey the previous owner")
	for _, gone := range b.ids[3:] {
		b.Replaced(gone, b.now)
	}
	b.Decide(b.now)
	require.Equal(t, b.now, b.fencedAt)
}

// TestFenceAndProofExcludeEachOther guards against two owners that both count on the workers' answers, and against a
// successor that waits for more answers than it needs. It divides cells of all sizes between a previous owner and its
// successor.
func TestFenceAndProofExcludeEachOther(t *testing.T) {
	for workers := 1; workers <= 60; workers++ {
		list := make([]jobs.Worker, workers)
		for n := range list {
			list[n] = jobs.Worker{ID: jobs.WorkerID(fmt.Sprintf("w%d", n)), Pool: testPool}
		}
		for refusing := range workers + 1 {
			began := time.Unix(1_000_000, 0)
			previous, next := New(Config{Taken: began, Logger: zap.NewNop()}), New(Config{Taken: began, Logger: zap.NewNop()})
			previous.setAnsweringWorkers(list, began)
			next.RestoreRoster(jobs.Roster{Workers: list}, began)
			next.SetWorkers(list, began)
			now := began.Add(proofValidity + time.Second)
			for n, info := range list {
				if n < refusing {
					next.workers[info.ID].answered = true
				} else {
					previous.workers[info.ID].reportAskedAt = now
				}
			}
			next.updateFenced(now)
			proved := previous.proofAge(now) <= proofValidity
			require.NotEqual(t, proved, !next.fencedAt.IsZero(), "%d of %d workers have answered the successor", refusing, workers)
		}
	}
}

// TestWorkersThatJoinedDoNotFence guards against a previous owner that is counted as fenced by workers that it does not
// know: all of its own workers may obey it.
func TestWorkersThatJoinedDoNotFence(t *testing.T) {
	const own, all = 4, 6
	b := newBench(t, all)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()[:own]}, b.now)
	b.reportAll(own, all)
	b.reportAll(0, 1)
	b.Decide(b.now)
	require.Zero(t, b.fencedAt, "the other three workers may prove its ownership to the previous owner")
	b.reportAll(1, 2)
	require.Equal(t, b.now, b.fencedAt)
}

// TestFenceAndProofExcludeEachOtherBesideWorkersThatCameBack guards against tasks on two workers: the previous owner had
// taken silent workers out of its roster, and counted on their answers when they were back and the store was not; its
// successor knew only the others when it counted, and a few of them were enough to it.
func TestFenceAndProofExcludeEachOtherBesideWorkersThatCameBack(t *testing.T) {
	const workers = 12
	list := make([]jobs.Worker, workers)
	for n := range list {
		list[n] = jobs.Worker{ID: jobs.WorkerID(fmt.Sprintf("w%02d", n)), Pool: testPool}
	}
	for named := 1; named <= workers; named++ { // the first ones, in the stored roster
		for of := range named + 1 { // of these refuse
			for others := range workers - named + 1 { // of the others refuse
				for _, listIsRead := range []bool{false, true} {
					began := time.Unix(1_000_000, 0)
					previous, next := New(Config{Taken: began, Logger: zap.NewNop()}), New(Config{Taken: began, Logger: zap.NewNop()})
					previous.setAnsweringWorkers(list, began)
					next.RestoreRoster(jobs.Roster{Workers: list[:named]}, began)
					if listIsRead {
						next.SetWorkers(list, began)
					}
					now := began.Add(proofValidity + time.Second)
					for n, info := range list {
						previous.workers[info.ID].inStoredRoster = n < named
						refuses := n < of || n >= named && n < named+others
						if w, ok := next.workers[info.ID]; ok {
							w.answered = refuses
						}
						if !refuses {
							previous.workers[info.ID].reportAskedAt = now
						}
					}
					next.updateFenced(now)
					proved, fenced := previous.proofAge(now) <= proofValidity, !next.fencedAt.IsZero()
					require.False(t, proved && fenced, "%d of the %d workers in the roster and %d others have answered the successor, list read: %t", of, named, others, listIsRead)
				}
			}
		}
	}
}

// TestOwnerCountsOnTheRosterThatIsStored guards against the same after the owner has taken the workers that answer its
// successor out of its roster, when it could not store that.
func TestOwnerCountsOnTheRosterThatIsStored(t *testing.T) {
	const workers, named, lost, answering = 12, 6, 3, 11
	b := newBench(t, workers)
	retire := func(from, to int) {
		for _, id := range b.ids[from:to] {
			b.setRetired(b.workers[id], true)
		}
	}
	retire(named, workers)
	b.storeChanges()
	retire(0, lost)
	changes := b.TakeChanges(10, b.now)
	b.now = b.now.Add(proofValidity + time.Second)
	for _, id := range b.ids[lost:answering] {
		b.workers[id].reportAskedAt = b.now
	}
	require.Greater(t, b.proofAge(b.now), proofValidity, "half of the stored roster has answered")
	b.Unstored(changes)
	b.now = b.now.Add(answerCountInterval)
	require.Greater(t, b.proofAge(b.now), proofValidity)
	b.Stored(b.TakeChanges(10, b.now), b.now)
	b.provedAt, b.now = b.now.Add(-proofValidity), b.now.Add(answerCountInterval)
	require.LessOrEqual(t, b.proofAge(b.now), proofValidity, "all of the roster stored now have answered")
}

// neverAnsweredCase divides the workers of a cell between a previous owner and its successor.
type neverAnsweredCase struct {
	named, others, silent int // in the stored roster; not in it, but answering the previous owner until now; never answering that one
	of, ofOthers, real    int // of each kind that answer the successor
}

// workers returns the list of the workers, those in the roster first.
func (c neverAnsweredCase) workers() []jobs.Worker {
	list := make([]jobs.Worker, c.named+c.others+c.silent)
	for n := range list {
		list[n] = jobs.Worker{ID: jobs.WorkerID(fmt.Sprintf("w%02d", n)), Pool: testPool}
	}
	return list
}

// play returns whether the previous owner has proof of its ownership, and whether it is fenced for its successor.
func (c neverAnsweredCase) play(allowance time.Duration) (proved, fenced bool) {
	began := time.Unix(1_000_000, 0)
	list, answering := c.workers(), c.named+c.others
	roster := jobs.Roster{Workers: list[:c.named], MaxLease: 4000, LeaseAllowance: models.MilliOf(allowance)}
	previous, next := New(Config{Taken: began, Logger: zap.NewNop()}), New(Config{Taken: began, Logger: zap.NewNop()})
	previous.RestoreRoster(roster, began)
	previous.SetWorkers(list, began)
	next.RestoreRoster(roster, began)
	next.SetWorkers(list, began)
	now := began.Add(silentAfter + proofValidity)
	for n, info := range list {
		refuses := n < c.of || n >= c.named && n < c.named+c.ofOthers || n >= answering && n < answering+c.real
		next.workers[info.ID].answered = refuses
		if n < answering {
			previous.recordFirstAnswer(previous.workers[info.ID])
			if !refuses {
				previous.workers[info.ID].reportAskedAt = now
			}
		}
	}
	next.now = now
	next.updateFenced(now)
	return previous.proofAge(now) <= proofValidity, !next.fencedAt.IsZero()
}

// TestFenceAndProofExcludeEachOtherBesideWorkersThatNeverAnswer guards against two owners: entries that have never answered the
// previous owner are left out when it counts, and some of them answer its successor.
func TestFenceAndProofExcludeEachOtherBesideWorkersThatNeverAnswer(t *testing.T) {
	for _, allowance := range []time.Duration{0, leaseAllowance} {
		for kinds := range 7 * 5 * 9 {
			c := neverAnsweredCase{named: 1 + kinds%7, others: kinds / 7 % 5, silent: kinds / 35}
			for answers := range (c.named + 1) * (c.others + 1) * (c.silent + 1) {
				c.of, c.ofOthers = answers%(c.named+1), answers/(c.named+1)%(c.others+1)
				c.real = answers / (c.named + 1) / (c.others + 1)
				proved, fenced := c.play(allowance)
				require.False(t, proved && fenced, "%+v, allowance %v", c, allowance)
				if c.ofOthers+c.others+c.real == 0 && c.silent <= c.named-2*c.of {
					require.Equal(t, c.of <= dispensableWorkers(c.named), proved, "%+v", c)
				}
			}
		}
	}
}

// TestEntriesThatNeverAnswerKeepNoPreviousOwnerFromBeingFenced guards against a wait of maxBlindTime for one lost worker: entries
// that nobody has ever answered count among the workers of which more than a third have to refuse the previous owner.
func TestEntriesThatNeverAnswerKeepNoPreviousOwnerFromBeingFenced(t *testing.T) {
	for _, silent := range []int{0, 2, 4, 12} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			c := neverAnsweredCase{named: 4, silent: silent, of: 3}
			_, fenced := c.play(leaseAllowance)
			require.True(t, fenced, "three of the four workers of the roster have answered the successor")
		})
	}
}
