// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
)

// The times that an owner passes to the Core include the suspensions of its VM (modules/clock), so the time of day
// that they contain is ahead by the time spent suspended. Times that are stored, shown or due are times of day. The
// time of day is queried for now only; other times are converted by their distance from now. A time before a suspension
// is therefore converted without that suspension.

// timeOfDay returns the current time of day.
func (c *Core) timeOfDay(now time.Time) models.UnixMilli {
	if c.config.TimeOfDay == nil {
		return models.UnixMilliOf(now)
	}
	return c.config.TimeOfDay(now)
}

// timeOfDayThen returns the time of day at another time of the owner.
func (c *Core) timeOfDayThen(then, now time.Time) models.UnixMilli {
	return c.timeOfDay(now) + models.UnixMilli(then.Sub(now)/time.Millisecond)
}

// timeAt returns the owner's time at a time of day.
func (c *Core) timeAt(then models.UnixMilli, now time.Time) time.Time {
	return now.Add(time.Duration(then-c.timeOfDay(now)) * time.Millisecond)
}
