// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package clock

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Meter tells for how long a VM has been suspended in all since some moment.
type Meter interface {
	// Suspended fails when the system doesn't tell.
	Suspended() (time.Duration, error)
}

// Config is what a Clock reads.
type Config struct {
	// Steady is the time that stands still while the VM is suspended; nil: time.Now.
	Steady func() time.Time
	Meter  Meter // nil: that of this VM
	// Note takes the result of each reading of the meter; nil: nobody does. Where it is an error,
	// the VM's suspensions are not counted.
	Note func(err error)
	// Seen hears for how long the VM has been suspended since the last reading; nil: nobody does.
	Seen func(suspended time.Duration)
}

// Clock tells the time by which leases, proofs and the age of knowledge are judged: it goes on
// while the VM is suspended, which the steady clock, and every timer with it, does not. An owner
// that was suspended for longer than its lease would take it for valid, and start what its
// successor has started already. It knows no steps of the time of day.
//
// Its times have meaning only among themselves: the time of day that they show is ahead by what
// was counted, see TimeOfDay.
type Clock struct {
	config    Config
	suspended atomic.Int64 // nanoseconds of suspension, when last read
}

// New makes a clock.
func New(config Config) *Clock {
	if config.Steady == nil {
		config.Steady = time.Now
	}
	if config.Meter == nil {
		config.Meter = newVMMeter()
	}
	if config.Note == nil {
		config.Note = func(error) {}
	}
	if config.Seen == nil {
		config.Seen = func(time.Duration) {}
	}
	return &Clock{config: config}
}

// Now is the time, with the suspensions that Read has seen.
func (c *Clock) Now() time.Time { return c.config.Steady().Add(c.Suspended()) }

// Read is the time now, with every suspension so far. It costs two calls to the system, and
// comes right before what it permits; elsewhere Now does.
func (c *Clock) Read() time.Time {
	suspended, err := c.config.Meter.Suspended()
	c.config.Note(err)
	if err == nil {
		c.addSuspension(suspended)
	}
	return c.Now()
}

// addSuspension takes a newer reading; of several at once the highest stays.
func (c *Clock) addSuspension(suspended time.Duration) {
	for {
		before := c.suspended.Load()
		if int64(suspended) <= before {
			return
		}
		if c.suspended.CompareAndSwap(before, int64(suspended)) {
			c.config.Seen(suspended - time.Duration(before))
			return
		}
	}
}

// Since is the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Suspended is for how long the VM has been suspended, as read last.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// TimeOfDay is the time of day at a time of this clock.
func (c *Clock) TimeOfDay(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// minSuspension tells suspensions from the time between two readings: a thread that gets no
// processor between them makes the difference larger, and later readings without it smaller.
const minSuspension = 20 * time.Millisecond

// vmMeter compares the clock that counts suspensions with the one that does not.
type vmMeter struct {
	baseline time.Duration // of the first reading
	err      error         // of the first reading
}

// baselineReadings are compared for the first one: a pause within one of them makes it smaller, and
// every later one would show it as a suspension.
const baselineReadings = 5

func newVMMeter() *vmMeter {
	m := &vmMeter{}
	for range baselineReadings {
		ahead, err := readOffset()
		m.baseline, m.err = max(m.baseline, ahead), errors.CombineErrors(m.err, err)
	}
	return m
}

// Suspended implements Meter.
func (m *vmMeter) Suspended() (time.Duration, error) {
	if m.err != nil {
		return 0, m.err
	}
	ahead, err := readOffset()
	if err != nil {
		return 0, err
	}
	return zeroBelow(minSuspension, ahead-m.baseline), nil
}

// zeroBelow leaves out what is below a threshold.
func zeroBelow(least, d time.Duration) time.Duration {
	if d < least {
		return 0
	}
	return d
}

// readOffset is by how much the clock that counts suspensions is ahead of the steady one. It is
// read first, so that a pause between the readings makes the difference smaller, never larger.
func readOffset() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errors.Wrap(err, "read clock that counts suspensions")
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, errors.Wrap(err, "read steady clock")
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
