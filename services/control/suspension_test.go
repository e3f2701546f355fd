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

// suspension simulates the clocks of a VM that is suspended at times.
type suspension struct {
	mu    sync.Mutex
	since time.Time     // start of the current suspension; zero: the VM runs
	total time.Duration // duration of all previous suspensions
	ended chan struct{} // closed at the end of the current suspension
}

// begin suspends the VM.
func (s *suspension) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.ended = time.Now(), make(chan struct{})
}

// end resumes the VM if it is suspended.
func (s *suspension) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return
	}
	s.total += time.Since(s.since)
	s.since = time.Time{}
	close(s.ended)
}

// wait waits until the VM is not suspended.
func (s *suspension) wait() {
	s.mu.Lock()
	suspended, ended := !s.since.IsZero(), s.ended
	s.mu.Unlock()
	if suspended {
		<-ended
	}
}

// steady returns the time of a clock that stops during suspensions.
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

// suspend suspends the daemon's VM, which stops its steady clock.
func (d *testDaemon) suspend() {
	d.freeze()
	d.vmSuspension.begin()
}

// resume resumes the daemon's VM.
func (d *testDaemon) resume() {
	d.vmSuspension.end()
	d.thaw()
}

// wholeWorkerJob returns a job whose tasks each take a whole worker with a label.
func wholeWorkerJob(n int, label string, step jobs.Step) jobs.Spec {
	step.Count, step.Requires = max(1, step.Count), label
	step.Size = models.Resources{CPU: 4000, Memory: 500}
	return jobs.Spec{ID: jobID(n), Steps: []jobs.Step{step}}
}

// TestSuspendedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner guards against an owner that starts duplicate
// runs after its VM was suspended. The steady clock stopped as well, so that the owner's last proof of
// ownership looked recent. Meanwhile the next owner started the waiting task on a worker that the previous
// owner no longer reaches. The free capacity that the previous owner knows of is on a worker that the next
// owner has not reached, and which would accept its starts.
func TestSuspendedOwnerStartsNothingBeforeItKnowsThatItIsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 3, nil) // two in one rack, the third in another
		var previous *testDaemon
		w.eventually(10*time.Second, "the cell has an owner", func() bool { previous = w.owner(); return previous != nil })
		others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *testDaemon) bool { return d == previous })
		w.submit(previous, wholeWorkerJob(1, "rack-0", jobs.Step{Count: 2, LongRunning: true, Image: "serving", Target: 100}))
		w.submit(previous, wholeWorkerJob(2, "rack-1", jobs.Step{Estimate: 3000}))
		w.eventually(5*time.Second, "all workers are full", func() bool {
			return w.grid.Running(jobID(1)) == 2 && w.grid.Running(jobID(2)) == 1
		})
		waiting := jobID(3)
		w.submit(previous, jobs.Spec{ID: waiting, Steps: []jobs.Step{{
			Count: 1, Size: models.Resources{CPU: 3000, Memory: 500}, Estimate: 60_000,
		}}})
		time.Sleep(500 * time.Millisecond)

		isolated := w.grid.IDs()[2]
		for _, d := range others {
			d.cut(isolated)
		}
		previous.suspend()
		for _, id := range w.grid.IDs()[:2] {
			previous.cut(id)
		}
		previous.set(func() { previous.storeCut = true })
		w.eventually(20*time.Second, "the long-running job is cancelled", func() bool {
			return others[0].Cancel(w.ctx, jobID(1)) == platform.Outcome(platform.Done{})
		})
		w.eventually(30*time.Second, "the waiting task runs", func() bool { return w.grid.Running(waiting) == 1 })
		previous.resume()
		time.Sleep(5 * time.Second)
		w.requireNoBreaches()
	})
}

// TestReportIsStampedWithTheSuspensionBeforeIt guards against stamping a report that waited in its socket
// until the VM resumed with a time that does not include the suspension.
func TestReportIsStampedWithTheSuspensionBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 1, 1, nil)
		w.eventually(10*time.Second, "the cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(2 * time.Second)
		d := w.owner()
		owner := d.Cells.ownedCells()[cellName(0)]
		id := w.grid.IDs()[0]
		report, err := w.grid.RenewLease(w.ctx, jobs.Worker{ID: id}, jobs.LeaseCall{Fence: owner.epoch.Fence(1)})
		require.NoError(t, err)
		report.Clock += models.MilliOf(time.Minute) // later than the clock of any report that the owner has
		d.suspend()
		time.Sleep(400 * time.Millisecond)
		d.resume()
		owner.recordReport(jobs.Worker{ID: id}, owner.epoch.Fence(1), owner.config.Clock.Now(), report, nil)
		owner.mu.Lock()
		states := owner.core.WorkerStates(owner.config.Clock.Read())
		owner.mu.Unlock()
		require.Len(t, states, 1)
		require.Zero(t, states[0].ReportAge)
	})
}
