// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models"
)

// The times that an owner gives count the suspensions of its VM (modules/clock), so that the time
// of day which they show is ahead by those. What is stored, shown or due is the time of day.

// ahead is by how much the owner's times are.
func (c *Core) ahead() time.Duration {
	if c.config.Ahead == nil {
		return 0
	}
	return c.config.Ahead()
}

// timeOfDay is the time of day at a time of the owner.
func (c *Core) timeOfDay(t time.Time) models.UnixMilli { return models.UnixMilliOf(t.Add(-c.ahead())) }

// timeAt is the time of the owner at a time of day.
func (c *Core) timeAt(t models.UnixMilli) time.Time { return t.Time().Add(c.ahead()) }
