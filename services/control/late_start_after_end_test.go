// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateStartOfAnOwnerThatHasEnded guards against a task that runs twice: a start of the previous owner is carried out
// late, by the next incarnation of a worker that its successor cannot call. That the previous owner has ended says nothing
// about starts that are under way.
func TestLateStartOfAnOwnerThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 11 * time.Second
		p := newLateStartPlay(t, lateStart{Workers: 3, Daemons: 2, LateMS: int(late.Milliseconds())})
		time.Sleep(10 * time.Second)
		p.submitToPlace(0)
		p.eventually(10*time.Second, "the start is sent", func() bool { return !p.beganAt().IsZero() })
		time.Sleep(100 * time.Millisecond)
		previous := p.owner()
		previous.killProcess()
		p.grid.SetFaults(beside, noFaults)
		p.perform(lateStartEvent{Do: "restart silently"})
		p.perform(lateStartEvent{Do: "cut"})
		time.Sleep(200 * time.Millisecond)
		previous.restart()
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(p.log())
			}
		})
		time.Sleep(time.Until(p.beganAt().Add(late + 3*time.Second)))
		require.Empty(t, p.grid.Breaches())
	})
}
