// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
)

// The times that an owner gives count the suspensions of its VM (modules/clock), so that the time
// of day which they show is ahead by those. What is stored, shown or due is the time of day. It is
// asked for now only, and told of other times by how far they are from now: one from before a
// suspension shows it without that suspension.

// timeOfDay is the time of day now.
func (c *Core) timeOfDay(now time.Time) models.UnixMilli {
	if c.config.TimeOfDay == nil {
		return models.UnixMilliOf(now)
	}
	return c.config.TimeOfDay(now)
}

// timeOfDayThen is the time of day at another time of the owner.
func (c *Core) timeOfDayThen(then, now time.Time) models.UnixMilli {
	return c.timeOfDay(now) + models.UnixMilli(then.Sub(now)/time.Millisecond)
}

// timeAt is the time of the owner at a time of day.
func (c *Core) timeAt(then models.UnixMilli, now time.Time) time.Time {
	return now.Add(time.Duration(then-c.timeOfDay(now)) * time.Millisecond)
}
