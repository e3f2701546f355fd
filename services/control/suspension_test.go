// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// suspension is what the clocks of a daemon's VM show that is suspended now and then.
type suspension struct {
	mu    sync.Mutex
	since time.Time     // of the one now; zero: the VM runs
	total time.Duration // of those that are over
}

// steady is the time that stands still meanwhile.
func (s *suspension) steady() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() {
		return s.since.Add(-s.total)
	}
	return time.Now().Add(-s.total)
}

// Suspended implements clock.Meter.
func (s *suspension) Suspended() (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, nil
}

// suspend lets the daemon's VM stand still, with its steady clock.
func (d *testDaemon) suspend() {
	d.freeze()
	d.suspension.mu.Lock()
	defer d.suspension.mu.Unlock()
	d.suspension.since = time.Now()
}

// resume lets it go on.
func (d *testDaemon) resume() {
	d.suspension.mu.Lock()
	d.suspension.total += time.Since(d.suspension.since)
	d.suspension.since = time.Time{}
	d.suspension.mu.Unlock()
	d.thaw()
}

// wholeWorkerJob is a task that takes a whole worker with some label.
func wholeWorkerJob(n int, label string, step jobs.Step) jobs.Spec {
	step.Count, step.Requires = max(1, step.Count), label
	step.Size = models.Resources{CPU: 4000, Memory: 500}
	return jobs.Spec{ID: jobID(n), Steps: []jobs.Step{step}}
}

// TestSuspendedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner: its VM stood still, and the steady
// clock with it, so that its last proof looked as recent as before. Meanwhile a successor started
// what waited, on a worker that the former owner doesn't reach any more. The room that it still
// knows of is on a worker that the successor hasn't reached, and which would obey.
func TestSuspendedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 3, nil) // two in a rack, one in another
		var former *testDaemon
		w.eventually(10*time.Second, "the cell has an owner", func() bool { former = w.owner(); return former != nil })
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == former })
		w.submit(former, wholeWorkerJob(1, "rack-0", jobs.Step{Count: 2, Lasts: true, Image: "serving", Target: 100}))
		w.submit(former, wholeWorkerJob(2, "rack-1", jobs.Step{Estimate: 3000}))
		w.eventually(5*time.Second, "all workers are full", func() bool {
			return w.grid.Running(jobID(1)) == 2 && w.grid.Running(jobID(2)) == 1
		})
		waiting := jobID(3)
		w.submit(former, jobs.Spec{ID: waiting, Steps: []jobs.Step{{
			Count: 1, Size: models.Resources{CPU: 3000, Memory: 500}, Estimate: 60_000,
		}}})
		time.Sleep(500 * time.Millisecond)

		alone := w.grid.IDs()[2]
		for _, d := range others {
			d.cut(alone)
		}
		former.suspend()
		for _, id := range w.grid.IDs()[:2] {
			former.cut(id)
		}
		former.set(func() { former.storeCut = true })
		w.eventually(20*time.Second, "the job that lasts is cancelled", func() bool {
			return others[0].Cancel(w.ctx, jobID(1)) == platform.Outcome(platform.Done{})
		})
		w.eventually(30*time.Second, "what waited runs", func() bool { return w.grid.Running(waiting) == 1 })
		former.resume()
		time.Sleep(5 * time.Second)
		w.noBreach()
	})
}

// TestReportIsStampedWithTheSuspensionBeforeIt: an answer that waited in its socket until the VM went
// on was stamped as if it had come before, by the whole suspension too early.
func TestReportIsStampedWithTheSuspensionBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, nil)
		w.eventually(10*time.Second, "the cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(2 * time.Second)
		d := w.owner()
		owner := d.Cells.ownedCells()[cellName(0)]
		id := w.grid.IDs()[0]
		report, err := w.grid.ProlongLease(w.ctx, jobs.Worker{ID: id}, jobs.LeaseCall{Fence: owner.epoch.Fence(1)})
		require.NoError(t, err)
		report.Clock += models.MilliOf(time.Minute) // later than any that the owner has
		d.suspend()
		time.Sleep(400 * time.Millisecond)
		d.resume()
		owner.takeReport(jobs.Worker{ID: id}, owner.epoch.Fence(1), owner.config.Clock.Now(), report, nil)
		owner.mu.Lock()
		states := owner.core.WorkerStates(owner.config.Clock.Read())
		owner.mu.Unlock()
		require.Len(t, states, 1)
		require.Zero(t, states[0].ReportAge)
	})
}
