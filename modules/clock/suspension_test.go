// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package clock

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// fakeMeter is a meter whose reading tests set.
type fakeMeter struct {
	suspended time.Duration
	err       error
}

func (m *fakeMeter) Suspended() (time.Duration, error) { return m.suspended, m.err }

func TestClockCountsSuspensions(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	meter := &fakeMeter{}
	var seen []time.Duration
	c := New(Config{Monotonic: func() time.Time { return start }, Meter: meter, OnSuspension: func(d time.Duration) { seen = append(seen, d) }})
	before := c.Read()
	meter.suspended = 5 * time.Second
	require.Equal(t, before, c.Now(), "the meter has not been read yet")
	require.Equal(t, before.Add(5*time.Second), c.Read())
	require.Equal(t, 5*time.Second, c.Since(before))
	require.Equal(t, []time.Duration{5 * time.Second}, seen)
	require.Equal(t, start, c.TimeOfDay(c.Now()), "the time of day already includes the suspension")
}

func TestClockNeverGoesBack(t *testing.T) {
	meter := &fakeMeter{suspended: time.Second}
	c := New(Config{Monotonic: func() time.Time { return time.Unix(7, 0) }, Meter: meter})
	first := c.Read()
	// Two threads that read the meter concurrently may store their readings in reverse order.
	meter.suspended = time.Second - 3*time.Millisecond
	require.Equal(t, first, c.Read())
}

func TestClockWithoutMeterGoesOn(t *testing.T) {
	readings := 0
	c := New(Config{
		Monotonic: func() time.Time { return time.Unix(7, 0) }, Meter: &fakeMeter{err: errors.New("suspensions are not reported")},
		OnReading: func(error) { readings++ },
	})
	require.Equal(t, time.Unix(7, 0), c.Read())
	require.Equal(t, 1, readings)
}

// TestMeterOfThisVM checks that the meter shows no suspension while the VM runs, however often it is read.
func TestMeterOfThisVM(t *testing.T) {
	m := newVMMeter()
	for range 1000 {
		suspended, err := m.Suspended()
		require.NoError(t, err)
		require.Zero(t, suspended)
	}
}

// TestShortPausesAreNoSuspensions checks that pauses between the readings of the two clocks are not counted.
func TestShortPausesAreNoSuspensions(t *testing.T) {
	require.Zero(t, zeroBelow(minSuspension, minSuspension-1))
	require.Zero(t, zeroBelow(minSuspension, -time.Second))
	require.Equal(t, time.Minute, zeroBelow(minSuspension, time.Minute))
}
