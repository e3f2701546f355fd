// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

// TestLongTasksAfterShortOnesLeaveMemoryToOthers guards against jobs whose short tasks have ended on standby, and of which as many long
// ones stand by afterwards and hold the memory, so that nothing of other jobs starts.
func TestLongTasksAfterShortOnesLeaveMemoryToOthers(t *testing.T) {
	const (
		crowd = 50
		tasks = 60 // of each step
		long  = 5000
	)
	steps := []shortStep{{Tasks: tasks, Work: []models.Milli{50}}, {Tasks: tasks, Work: []models.Milli{long}}}
	for name, serving := range map[string]bool{"beside filler tasks": false, "beside serving tasks": true} {
		t.Run(name, func(t *testing.T) {
			b := newShortTasksBench(t, shortTasksScript{Workers: 4, Serving: serving, Steps: steps})
			for n := range crowd {
				b.submitShort(crowdID(n), steps)
			}
			b.pass(10*time.Second, nil)
			most := 0
			for n := range crowd {
				require.GreaterOrEqual(t, b.succeeded[crowdID(n)], tasks)
				most = max(most, len(b.runsOf(crowdID(n))))
			}
			require.True(t, b.isMostlyFree(testPool))
			b.submitShort(testJob, steps)
			b.pass(fillerAllowed, nil)
			require.Positive(t, b.succeeded[testJob]+len(b.runsOf(testJob)))
			require.Equal(t, 1, most, "of a job on standby at once")
		})
	}
}
