// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// TestTimesOfDayAreToldFromNow guards against converting times of the owner to times of day without its VM's
// suspensions: the roster then named a leave time of a draining worker that was too early by the suspension,
// and a successor that could not reach the worker counted it as lost while all its tasks were still running.
func TestTimesOfDayAreToldFromNow(t *testing.T) {
	const day = models.UnixMilli(7_000_000)
	b := newBench(t, 1)
	b.config.TimeOfDay = func(now time.Time) models.UnixMilli {
		require.Equal(t, b.now, now, "only the time of day now may be queried")
		return day
	}
	info := b.workers[b.ids[0]].info
	info.Draining, info.Remaining = true, 10*time.Second
	b.SetWorkers([]jobs.Worker{info}, b.now)
	require.Equal(t, day+10_000, b.workers[b.ids[0]].info.LeavesAt)
	require.Equal(t, b.now.Add(10*time.Second), b.timeAt(day+10_000, b.now), "as a successor reads it")
}
