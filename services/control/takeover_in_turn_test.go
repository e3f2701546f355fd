// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOwnerThatWasWaitedForIsNotWaitedForAnew guards against tasks that wait for 30 s beside idle workers for leases of the owner
// before the last, whose VM is off for good: the last owner had recovered the cell, and all workers had answered it.
func TestOwnerThatWasWaitedForIsNotWaitedForAnew(t *testing.T) {
	for _, owned := range []time.Duration{10 * time.Second, 20 * time.Second, 28 * time.Second} {
		t.Run(fmt.Sprintf("the second owner runs the cell for %s", owned), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLossesInTurn(t, owned) })
		})
	}
}

// playLossesInTurn turns the owner's VM off for good; the process of its successor ends some time later, and is back at once,
// behind a cut of two thirds of the workers that lasts.
func playLossesInTurn(t *testing.T, owned time.Duration) {
	t.Helper()
	const cut, tasks = takeoverWorkers - takeoverWorkers/3, 4
	w := newTestCluster(t, takeoverWorkers, 4, nil)
	spec := longRunningJob(1, tasks)
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == tasks })
	time.Sleep(8 * time.Second)
	w.owner().kill()
	w.eventually(5*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
	time.Sleep(owned)
	lost := 0
	for place := range cut {
		lost += w.grid.RunningOn(place)
		w.grid.SetFaults(place, faultsCut)
	}
	require.Positive(t, lost, "tasks run behind the cut")
	second := w.owner()
	second.killProcess()
	time.Sleep(500 * time.Millisecond)
	second.restart()
	began := time.Now()
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.log())
		}
	})
	w.eventually(12*time.Second, "all tasks run where a scheduler reaches workers", func() bool {
		running := 0
		for place := cut; place < takeoverWorkers; place++ {
			running += w.grid.RunningOn(place)
		}
		return running == tasks
	})
	t.Logf("all tasks run %s after the loss", time.Since(began))
	w.requireNoBreaches()
}
