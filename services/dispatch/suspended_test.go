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

// TestTimesOfDayAreToldFromNow: what was known before the VM was suspended was written with what is
// counted now, so that the roster said too early by the suspension when a worker leaves. A successor
// that doesn't reach the worker would count it as gone while it still runs all that it has.
func TestTimesOfDayAreToldFromNow(t *testing.T) {
	const day = models.UnixMilli(7_000_000)
	b := newBench(t, 1)
	b.config.TimeOfDay = func(now time.Time) models.UnixMilli {
		require.Equal(t, b.now, now, "another time than now")
		return day
	}
	info := b.workers[b.ids[0]].info
	info.Draining, info.Remaining = true, 10*time.Second
	b.SetWorkers([]jobs.Worker{info}, b.now)
	require.Equal(t, day+10_000, b.workers[b.ids[0]].info.Leaves)
	require.Equal(t, b.now.Add(10*time.Second), b.timeAt(day+10_000, b.now), "as a successor reads it")
}
