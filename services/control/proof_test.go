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

// cut keeps a daemon from one worker.
func (d *testDaemon) cut(from jobs.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutFrom[from] = true
}

// TestThawedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner: it has not heard of one worker
// since before it stood still, and takes what runs there for lapsed; its successor has
// prolonged it, and has not reached another worker yet, which would obey the former owner, the
// only one that this one still reaches.
func TestThawedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 7
		w := newWorld(t, workers, 3, nil)
		spec := lasting(1, workers-1)
		spec.Steps[0].PerWorker = 1
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "tasks run", func() bool { return w.grid.Running(jobID(1)) == workers-1 })
		former := w.owner()
		idle, busy := jobs.WorkerID(""), []jobs.WorkerID{}
		for place, id := range w.grid.IDs() {
			if w.grid.RunningOn(place) == 0 {
				idle = id
			} else {
				busy = append(busy, id)
			}
		}
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == former })
		for _, d := range others {
			d.cut(idle)
		}
		former.cut(busy[0])
		time.Sleep(3 * time.Second)
		former.freeze()
		former.mu.Lock()
		former.storeCut = true
		former.mu.Unlock()
		for _, id := range busy {
			former.cut(id)
		}
		w.eventually(10*time.Second, "another owner", func() bool {
			return slices.ContainsFunc(others, func(d *testDaemon) bool { return d.Cells.Answer(jobs.Query{Cell: cellName(0)}).Owner })
		})
		time.Sleep(4 * time.Second)
		former.thaw()
		time.Sleep(8 * time.Second)
		w.noBreach()
	})
}
