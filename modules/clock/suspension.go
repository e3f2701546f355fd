// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package clock

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Meter measures for how long in total a VM has been suspended since a fixed moment.
type Meter interface {
	// Suspended returns an error if the system does not report suspensions.
	Suspended() (time.Duration, error)
}

// Config holds the time sources of a Clock and its callbacks.
type Config struct {
	// Monotonic is the clock that stops while the VM is suspended; time.Now if nil.
	Monotonic func() time.Time
	Meter     Meter // the meter of this VM if nil
	// OnReading is called with the result of each reading of the meter; optional. While the meter
	// returns an error, suspensions of the VM are not counted.
	OnReading func(err error)
	// OnSuspension is called with the time for which the VM has been suspended since the last reading; optional.
	OnSuspension func(suspended time.Duration)
}

// Clock is the clock that leases, proofs and the age of learned parameters are checked against. It advances
// while the VM is suspended, whereas the monotonic clock and every timer stand still: an owner that was
// suspended for longer than its lease would take the lease for valid and start tasks that its successor
// has started already. Adjustments of the time of day do not affect a Clock.
//
// Its times may be compared only with each other. As times of day they are ahead by the suspensions counted
// so far; TimeOfDay corrects for that.
type Clock struct {
	config         Config
	suspendedNanos atomic.Int64 // total time of suspension, as of the last reading of the meter
}

// New returns a clock; unset fields of config get their defaults.
func New(config Config) *Clock {
	if config.Monotonic == nil {
		config.Monotonic = time.Now
	}
	if config.Meter == nil {
		config.Meter = newVMMeter()
	}
	if config.OnReading == nil {
		config.OnReading = func(error) {}
	}
	if config.OnSuspension == nil {
		config.OnSuspension = func(time.Duration) {}
	}
	return &Clock{config: config}
}

// Now returns the time, including the suspensions that earlier calls of Read have counted.
func (c *Clock) Now() time.Time { return c.config.Monotonic().Add(c.Suspended()) }

// Read reads the meter and returns the time, including every suspension so far. It costs two system calls.
// Call it right before an action that depends on a lease; elsewhere Now suffices.
func (c *Clock) Read() time.Time {
	suspended, err := c.config.Meter.Suspended()
	c.config.OnReading(err)
	if err == nil {
		c.addSuspension(suspended)
	}
	return c.Now()
}

// addSuspension stores a newer reading of the meter. Of concurrent readings the highest is kept.
func (c *Clock) addSuspension(suspended time.Duration) {
	for {
		before := c.suspendedNanos.Load()
		if int64(suspended) <= before {
			return
		}
		if c.suspendedNanos.CompareAndSwap(before, int64(suspended)) {
			c.config.OnSuspension(suspended - time.Duration(before))
			return
		}
	}
}

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Suspended returns for how long the VM has been suspended, as of the last reading of the meter.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspendedNanos.Load()) }

// TimeOfDay converts a time of this clock to a time of day.
func (c *Clock) TimeOfDay(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// minSuspension distinguishes suspensions from the time between two readings: a thread that gets no
// processor between them makes the difference larger, and later readings without it smaller.
const minSuspension = 20 * time.Millisecond

// vmMeter measures suspensions as the growth of the offset between the boot-time clock, which counts
// suspensions, and the monotonic clock, which does not.
type vmMeter struct {
	baseline time.Duration // offset when the meter was created
	err      error         // of the readings for the baseline
}

// baselineReadings is the number of readings of which the largest becomes the baseline. A pause within a
// reading makes it smaller, and with too small a baseline every later reading would show a suspension.
const baselineReadings = 5

func newVMMeter() *vmMeter {
	m := &vmMeter{}
	for range baselineReadings {
		offset, err := readOffset()
		m.baseline, m.err = max(m.baseline, offset), errors.CombineErrors(m.err, err)
	}
	return m
}

// Suspended implements Meter.
func (m *vmMeter) Suspended() (time.Duration, error) {
	if m.err != nil {
		return 0, m.err
	}
	offset, err := readOffset()
	if err != nil {
		return 0, err
	}
	return zeroBelow(minSuspension, offset-m.baseline), nil
}

// zeroBelow returns d, or 0 if d is below the threshold.
func zeroBelow(threshold, d time.Duration) time.Duration {
	if d < threshold {
		return 0
	}
	return d
}

// readOffset returns by how much the boot-time clock, which counts suspensions, is ahead of the monotonic
// clock. The boot-time clock is read first, so that a pause between the two readings makes the offset
// smaller, never larger.
func readOffset() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errors.Wrap(err, "read boot-time clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, errors.Wrap(err, "read monotonic clock")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
