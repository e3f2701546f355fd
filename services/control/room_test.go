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

// capacityStepKinds are those of the random tests, beside workers whose room shrinks and grows again.
var capacityStepKinds = append([]string{"shrink worker", "shrink worker", "shrink worker", "grow worker", "drain worker"}, faultStepKinds...)

func drawCapacityStep(rt *rapid.T) scriptStep { return drawStep(rt, capacityStepKinds) }

// TestRandomRoom plays scripts in which workers have less room for a while beside all other faults.
// Nothing starts over what a worker has said, and all work is done in the end.
func TestRandomRoom(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawCapacityStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawCapacityStep) })
}

// remainingCapacity is the part of a worker's room that a script leaves it.
func (h scriptStep) remainingCapacity() float64 { return 0.2 + 0.6*float64(h.Work)/5000 }

// TestRoomThatShrinksIsNotUsed: workers lose half of their room under a burst of work, while the owner is
// killed. What runs there runs on; no start goes over the room that is left, by whichever owner; all
// is done, and room that comes back is used within a second.
func TestRoomThatShrinksIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 2, scriptWorkers, grid.Config{Workers: scriptWorkers})
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(time.Second)
		for place := range scriptWorkers {
			w.grid.SetRoom(place, 0.5)
		}
		for n := 1; n <= 12; n++ {
			w.submit(w.daemons[len(w.daemons)-1], twoSteps(n, 2*time.Second))
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
		require.LessOrEqual(t, running(), 2*scriptWorkers, "half of the room")
		for place := range scriptWorkers {
			w.grid.SetRoom(place, 1)
		}
		w.eventually(time.Second, "room that is back is used", func() bool { return running() > 2*scriptWorkers })
		last := w.daemons[len(w.daemons)-1]
		for n := 1; n <= 12; n++ {
			w.eventually(60*time.Second, "job is done", func() bool { return w.state(last, jobID(n)) == "succeeded" })
		}
		w.noBreach()
	})
}
