// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/services/standin/grid"
)

// capacityStepKinds are the step kinds of the random tests, and workers whose free capacity shrinks and grows again.
var capacityStepKinds = append([]string{"shrink worker", "shrink worker", "shrink worker", "grow worker", "drain worker"}, faultStepKinds...)

func drawCapacityStep(rt *rapid.T) scriptStep { return drawStep(rt, capacityStepKinds) }

// TestRandomRoom runs scripts in which workers report less capacity for a while, along with all other faults. No start
// exceeds the capacity that its worker reports, and all work is done in the end.
func TestRandomRoom(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawCapacityStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawCapacityStep) })
}

// remainingCapacity is the share of a worker's capacity that a script leaves to it.
func (h scriptStep) remainingCapacity() float64 { return 0.2 + 0.6*float64(h.Work)/5000 }

// TestRoomThatShrinksIsNotUsed halves the capacity of all workers under a burst of work and kills the owner meanwhile.
// Running tasks continue, no start of any owner exceeds the remaining capacity, all jobs are done, and restored
// capacity is used within a second.
func TestRoomThatShrinksIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithGrid(t, 2, scriptWorkers, grid.Config{Workers: scriptWorkers})
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(time.Second)
		for place := range scriptWorkers {
			w.grid.SetCapacity(place, 0.5)
		}
		for n := 1; n <= 12; n++ {
			w.submit(w.daemons[len(w.daemons)-1], twoStepJob(n, 2*time.Second))
			if n == 6 {
				w.owner().kill()
				w.startDaemon()
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		running := func() int {
			sum := 0
			for n := 1; n <= 12; n++ {
				sum += w.grid.Running(jobID(n))
			}
			return sum
		}
		require.LessOrEqual(t, running(), 2*scriptWorkers, "half of the capacity")
		for place := range scriptWorkers {
			w.grid.SetCapacity(place, 1)
		}
		w.eventually(time.Second, "restored capacity is used", func() bool { return running() > 2*scriptWorkers })
		last := w.daemons[len(w.daemons)-1]
		for n := 1; n <= 12; n++ {
			w.eventually(60*time.Second, "job is done", func() bool { return w.state(last, jobID(n)) == "succeeded" })
		}
		w.requireNoBreaches()
	})
}
