// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

const (
	takeoverWorkers = 12
	takeoverGone    = 1 // workers that answer nobody from before the takeover
	takeoverCut     = 6 // workers that answer nobody while the owner is lost
	takeoverCutTime = 12 * time.Second
	takeoverCalm    = 4 * time.Second  // after the last fault nothing may be expected of the cell for so long
	takeoverAllowed = 3 * time.Second  // from then on a task that could run waits no longer
	takeoverDivided = 40 * time.Second // for which two owners reach different workers
)

// TestTasksRunSoonAfterATakeoverBehindACut guards against tasks that wait beside idle workers long after a takeover:
// most workers answered only after a cut had healed, and only then the wait for those that had gone for good began.
func TestTasksRunSoonAfterATakeoverBehindACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 3, nil)
		spec := longRunningJob(1, takeoverWorkers)
		spec.Steps[0].PerWorker = 2
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		for place := range takeoverGone {
			w.grid.SetFaults(place, faultsCut)
			w.grid.SetListed(place, false)
		}
		time.Sleep(3 * time.Second)
		for place := takeoverGone; place < takeoverGone+takeoverCut; place++ {
			w.grid.SetFaults(place, faultsCut)
		}
		w.owner().kill()
		time.Sleep(takeoverCutTime)
		for place := takeoverGone; place < takeoverGone+takeoverCut; place++ {
			w.grid.SetFaults(place, noFaults)
		}
		w.eventually(takeoverCalm+takeoverAllowed, "all tasks run again", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		w.requireNoBreaches()
	})
}

// testDividedWorkers divides the workers between an owner that the store does not reach, which keeps the first ones, and
// its successor, which reaches only the others. No task may run on two workers.
func testDividedWorkers(t *testing.T, kept int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 3, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(2 * time.Second)
		previous, ids := w.owner(), w.grid.IDs()
		previous.set(func() { previous.storeCut = true })
		for _, id := range ids[kept:] {
			previous.cut(id)
		}
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == previous })
		for _, d := range others {
			for _, id := range ids[:kept] {
				d.cut(id)
			}
		}
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool {
			return slices.ContainsFunc(others, func(d *testDaemon) bool { return d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner })
		})
		time.Sleep(takeoverDivided)
		w.requireNoBreaches()
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
