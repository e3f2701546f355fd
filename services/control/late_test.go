// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// An overloaded owner sends its orders late and reads changes late. Its orders must do no harm then, whatever the load:
// workers refuse starts that are too old, and an owner whose information is stale sends no starts.

// TestStartThatIsLateIsRefused delays an owner's orders to the workers by three seconds. The workers begin to drain
// meanwhile, after which nothing may start there.
func TestStartThatIsLateIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 1, nil)
		d := w.daemons[0]
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() == d })
		time.Sleep(time.Second)
		d.set(func() { d.orderDelay = 3 * time.Second })
		w.submit(d, twoStepJob(1, time.Second))
		time.Sleep(200 * time.Millisecond)
		for place := range 2 {
			w.grid.Drain(place, time.Minute)
		}
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, w.grid.Running(jobID(1)), "a start that was three seconds old was executed")
		}
		d.set(func() { d.orderDelay = 0 })
		for place := range 2 {
			w.grid.StopDraining(place)
		}
		w.eventually(20*time.Second, "job succeeds", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

// TestOwnerWithStaleKnowledgeStartsNothing hides changes in the store from an owner whose lease is renewed and whose
// workers answer. A job waits for free capacity and is cancelled through another daemon; then capacity becomes free.
func TestOwnerWithStaleKnowledgeStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const whole = 5 * time.Second
		w := newTestCluster(t, 1, 2, func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) { return whole, jobs.EndSucceeded })
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		owner, other := w.daemons[0], w.daemons[1]
		if w.owner() == other {
			owner, other = other, owner
		}
		large := func(n int) jobs.Spec {
			return jobs.Spec{ID: jobID(n), Payload: "large", Steps: []jobs.Step{{
				Count: 1, Size: models.Resources{CPU: 4000, Memory: 500}, Estimate: models.MilliOf(whole),
			}}}
		}
		w.submit(other, large(1))
		w.eventually(5*time.Second, "first job is running", func() bool { return w.grid.Running(jobID(1)) == 1 })
		w.submit(other, large(2))
		time.Sleep(500 * time.Millisecond)
		owner.set(func() { owner.watchLost = true })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, platform.Done{}, other.Cancel(t.Context(), jobID(2)))
		time.Sleep(2 * whole)
		require.False(t, w.grid.Ran(jobID(2)), "the job was started seconds after its cancellation was stored")
		owner.set(func() { owner.watchLost = false })
		w.submit(other, large(3))
		w.eventually(5*time.Second, "third job is running", func() bool { return w.grid.Running(jobID(3)) == 1 })
		require.False(t, w.grid.Ran(jobID(2)))
		w.requireNoBreaches()
	})
}

// TestStartsGoOnInAnOutage checks that an outage of the store for all daemons stops no starts: nothing can change there
// that an owner would have to read.
func TestStartsGoOnInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3, 1, func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) { return 4 * time.Second, jobs.EndSucceeded })
		d := w.daemons[0]
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() == d })
		w.submit(d, twoStepJob(1, 4*time.Second))
		w.eventually(5*time.Second, "first step is running", func() bool { return w.grid.Running(jobID(1)) == 3 })
		w.setOutage(true)
		w.eventually(6*time.Second, "second step is running", func() bool { return w.grid.Running(jobID(1)) == 2 })
		w.setOutage(false)
		w.eventually(10*time.Second, "job succeeds", func() bool { return w.state(d, jobID(1)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

// set changes the faults of a daemon's connections.
func (d *testDaemon) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}
