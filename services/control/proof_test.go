// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// cut disconnects a daemon from one worker.
func (d *testDaemon) cut(from jobs.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutFrom[from] = true
}

// TestThawedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner guards against an owner that starts duplicate
// runs after it was frozen. It assumes that the runs on a worker that it cannot reach have lapsed, although
// the next owner has renewed that worker's lease. The only worker that it still reaches has not heard from the
// next owner, and would accept its starts.
func TestThawedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 7
		w := newTestCluster(t, workers, 3, nil)
		spec := longRunningJob(1, workers-1)
		spec.Steps[0].PerWorker = 1
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(jobID(1)) == workers-1 })
		previous := w.owner()
		idle, busy := jobs.WorkerID(""), []jobs.WorkerID{}
		for place, id := range w.grid.IDs() {
			if w.grid.RunningOn(place) == 0 {
				idle = id
			} else {
				busy = append(busy, id)
			}
		}
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == previous })
		for _, d := range others {
			d.cut(idle)
		}
		previous.cut(busy[0])
		time.Sleep(3 * time.Second)
		previous.freeze()
		previous.mu.Lock()
		previous.storeCut = true
		previous.mu.Unlock()
		for _, id := range busy {
			previous.cut(id)
		}
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool {
			return slices.ContainsFunc(others, func(d *testDaemon) bool { return d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner })
		})
		time.Sleep(4 * time.Second)
		previous.thaw()
		time.Sleep(8 * time.Second)
		w.requireNoBreaches()
	})
}

// reach connects a daemon to one worker again.
func (d *testDaemon) reach(worker jobs.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cutFrom, worker)
}
