// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

const (
	takeoverWorkers = 12
	takeoverGone    = 1 // workers that answer nobody from before the takeover
	takeoverLease   = 4500 * time.Millisecond
	takeoverCutTime = 12 * time.Second
	takeoverCalm    = 4 * time.Second        // after the last fault nothing may be expected of the cell for so long
	takeoverAllowed = 3 * time.Second        // from then on a task that could run waits no longer
	takeoverLapse   = 300 * time.Millisecond // in addition to a lease, until a worker has ended its runs
	leaveLateAfter  = 25 * time.Second
	takeoverDivided = 40 * time.Second // for which two owners reach different workers
)

// takeoverCase is a loss of the owner of a cell in which one worker has just gone for good.
type takeoverCase struct {
	Name string `json:"name"`
	Cut  int    `json:"cut"` // workers that answer nobody for takeoverCutTime from the loss on
	// GoneBefore is how long before the loss one more worker has gone for good, without its entry in the list; 0: it goes
	// at the loss and stays in the list.
	GoneBefore models.Milli `json:"gone_before_ms"`
	Lease      models.Milli `json:"lease_ms"` // that workers are granted; 0: takeoverLease
	// After is how long the tasks run before the first of these faults.
	After models.Milli `json:"after_ms"`
	// Outage is for how long the store answers nobody, from the loss on; 0: it answers.
	Outage models.Milli `json:"outage_ms"`
	// Loss says how the owner is lost: its process ends, its VM loses power, or its VM is cut off from all others.
	Loss string `json:"loss"`
	// Back is when the process starts again after the loss, and that of the successor after its loss; 0: never.
	Back models.Milli `json:"back_ms"`
	// SuccessorAfter is when the process of the successor ends, from its takeover on; 0: it does not.
	SuccessorAfter models.Milli `json:"successor_after_ms"`
	// FromLoss says that the calm begins with the last loss of an owner or the end of the outage, not with the end of the cut.
	FromLoss bool `json:"from_loss"`
	// Allowed is how long after the cut, or the loss, the tasks may wait; 0: takeoverCalm and takeoverAllowed.
	Allowed models.Milli `json:"allowed_ms"`
}

// lose loses the owner in the way of the case. The returned function waits until its process has started again.
func (c *takeoverCase) lose(d *testDaemon) (waitBack func()) {
	switch c.Loss {
	case "process":
		d.killProcess()
	case "power":
		d.kill()
	case "isolation":
		d.set(func() { d.storeCut, d.workerCut, d.peersCut = true, true, true })
	}
	if c.Back == 0 {
		return func() {}
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		time.Sleep(c.Back.Duration())
		d.restart()
	}()
	return func() { <-back }
}

// loseSuccessor ends the process of the next owner some time after its takeover.
func (c *takeoverCase) loseSuccessor(w *testCluster) {
	w.eventually(10*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
	time.Sleep(c.SuccessorAfter.Duration())
	successor := w.owner()
	successor.killProcess()
	time.Sleep(c.Back.Duration())
	successor.restart()
}

// play loses the owner while workers are cut off, and requires that the tasks run as soon as callers expect.
func (c *takeoverCase) play(t *testing.T) {
	settings := testSettings
	settings.WorkerLease = cmp.Or(c.Lease.Duration(), takeoverLease)
	w := newTestClusterWithSettings(t, 4, settings, grid.Config{Workers: takeoverWorkers})
	spec := longRunningJob(1, takeoverWorkers)
	spec.Steps[0].PerWorker = 2
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	time.Sleep(c.After.Duration())
	if c.GoneBefore > 0 {
		w.grid.SetFaults(0, faultsCut)
		w.grid.SetListed(0, false)
	}
	time.Sleep(c.GoneBefore.Duration())
	for place := range takeoverGone + c.Cut {
		w.grid.SetFaults(place, faultsCut)
	}
	began := time.Now()
	owner := w.owner()
	w.setOutage(c.Outage > 0)
	waitBack := c.lose(owner)
	defer waitBack()
	if c.SuccessorAfter > 0 {
		c.loseSuccessor(w)
	}
	calm := began.Add(takeoverCutTime)
	switch {
	case c.Outage > 0:
		calm = began.Add(c.Outage.Duration())
	case c.FromLoss:
		calm = time.Now()
	}
	time.Sleep(time.Until(calm))
	w.setOutage(false)
	for place := takeoverGone; place < takeoverGone+c.Cut; place++ {
		w.grid.SetFaults(place, noFaults)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.log())
		}
	})
	time.Sleep(time.Until(began.Add(settings.WorkerLease + takeoverLapse))) // runs on silent workers have ended
	allowed := calm.Add(cmp.Or(c.Allowed.Duration(), takeoverCalm+takeoverAllowed))
	w.eventually(time.Until(allowed), "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	w.requireNoBreaches()
}

// TestTasksRunSoonAfterATakeoverBehindACut guards against tasks that wait beside idle workers long after a takeover
// because of one worker that has gone for good: the wait for it began only when a cut of most workers had healed, or
// lasted longer than the lease that the previous owner could have granted.
func TestTasksRunSoonAfterATakeoverBehindACut(t *testing.T) {
	for _, c := range casefile.Read[[]takeoverCase](t, "testdata/takeovers.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}

// TestTasksRunSoonAfterTheOwnersVMIsGoneForGood guards against tasks that wait beside idle workers, none of which is cut off:
// the owner's VM and one worker have gone for good, and the wait for its last lease began only with its successor.
func TestTasksRunSoonAfterTheOwnersVMIsGoneForGood(t *testing.T) {
	for _, c := range casefile.Read[[]takeoverCase](t, "testdata/takeovers_gone.json") {
		for _, after := range tenths(0, time.Second) { // the daemons renew their leases in the store every half second
			c.After = after
			t.Run(fmt.Sprint(c.Name, " ", after), func(t *testing.T) { synctest.Test(t, c.play) })
		}
	}
}

// testDividedWorkers divides the workers between an owner that the store does not reach, which keeps the first ones, and
// its successor, which reaches only the others. No task may run on two workers.
func testDividedWorkers(t *testing.T, kept int) {
	t.Helper()
	withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) {
		synctest.Test(t, func(t *testing.T) {
			w := newDividedCluster(t, kept, changes...)
			w.previous.set(func() { w.previous.peersCut = true })
			w.waitForSuccessor()
			time.Sleep(takeoverDivided)
			w.requireNoBreaches()
		})
	})
}

// TestTasksRunOnceWhileTheWorkersAreDividedBetweenTwoOwners guards against tasks that run twice: an owner that has lost
// the store and more than a third of its workers went on renewing the leases of those it reached, while its successor
// counted them as over.
func TestTasksRunOnceWhileTheWorkersAreDividedBetweenTwoOwners(t *testing.T) {
	for kept := 1; kept < takeoverWorkers-takeoverWorkers/3; kept++ {
		t.Run(fmt.Sprintf("%d of %d workers are the previous owner's", kept, takeoverWorkers), func(t *testing.T) {
			testDividedWorkers(t, kept)
		})
	}
}

// TestTasksRunOnceWhileMostWorkersAreThePreviousOwners guards against the same when two thirds of the workers or more
// prove to the previous owner that it still is the owner.
func TestTasksRunOnceWhileMostWorkersAreThePreviousOwners(t *testing.T) {
	for kept := takeoverWorkers - takeoverWorkers/3; kept < takeoverWorkers; kept++ {
		t.Run(fmt.Sprintf("%d of %d workers are the previous owner's", kept, takeoverWorkers), func(t *testing.T) {
			testDividedWorkers(t, kept)
		})
	}
}

// TestTasksRunOnceWhenWorkersLeaveThePreviousOwnerLate guards against the same when all workers are the previous owner's
// for long after the takeover, and some of them reach only its successor from then on.
func TestTasksRunOnceWhenWorkersLeaveThePreviousOwnerLate(t *testing.T) {
	for kept := takeoverWorkers - takeoverWorkers/3; kept < takeoverWorkers; kept++ {
		t.Run(fmt.Sprintf("%d of %d workers stay the previous owner's", kept, takeoverWorkers), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) { testWorkersLeaveLate(t, kept, changes...) })
		})
	}
}

func testWorkersLeaveLate(t *testing.T, kept int, changes ...clusterChange) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 3, nil, changes...)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(2 * time.Second)
		previous, ids := w.owner(), w.grid.IDs()
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == previous })
		previous.set(func() { previous.storeCut, previous.peersCut = true, true })
		for _, d := range others {
			for _, id := range ids {
				d.cut(id)
			}
		}
		time.Sleep(leaveLateAfter)
		for _, id := range ids[kept:] {
			previous.cut(id)
			for _, d := range others {
				d.reach(id)
			}
		}
		time.Sleep(takeoverDivided)
		w.requireNoBreaches()
	})
}

const (
	divisionPlays   = 60
	divisionTime    = 110 * time.Second
	maxDivisionTime = 40 * time.Second // for which the links stay as they are
	unreachedShare  = 0.2              // of the workers that the previous owner does not reach, each other daemon reaches not these either
)

// TestTasksRunOnceWhileTheDivisionChanges guards against the same while the division of the workers between an owner that
// the store does not reach and the other daemons changes again and again.
func TestTasksRunOnceWhileTheDivisionChanges(t *testing.T) {
	for seed := range uint64(divisionPlays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withAndWithoutWitnesses(t, func(t *testing.T, changes ...clusterChange) { testDivisionChanges(t, seed, changes...) })
		})
	}
}

func testDivisionChanges(t *testing.T, seed uint64, changes ...clusterChange) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := newTestCluster(t, takeoverWorkers, 3, nil, changes...)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(2 * time.Second)
		previous := w.owner()
		previous.set(func() { previous.storeCut, previous.peersCut = true, true })
		for end := time.Now().Add(divisionTime); time.Now().Before(end); {
			w.divideWorkers(random, previous)
			time.Sleep(time.Duration(random.Int64N(int64(maxDivisionTime))))
		}
		w.requireNoBreaches()
	})
}

// divideWorkers draws which workers one daemon reaches; the others reach most of the rest.
func (w *testCluster) divideWorkers(random *rand.Rand, previous *testDaemon) {
	share := random.Float64()
	for _, id := range w.grid.IDs() {
		kept := random.Float64() < share
		for _, d := range w.daemons {
			reached := kept
			if d != previous {
				reached = !kept && random.Float64() >= unreachedShare
			}
			if reached {
				d.reach(id)
			} else {
				d.cut(id)
			}
		}
	}
}
