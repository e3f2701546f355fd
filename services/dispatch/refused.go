// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// The store never accepts some changes, such as a value above its limit. Repeated with others in one transaction, such a
// change would keep all of them from being stored, the roster and the proof of ownership too. So the jobs of a refused
// transaction are stored one by one, and a job that is refused alone is set aside: it is tried again from time to time,
// while everything else is stored. Its tasks with losses that are not stored do not start meanwhile, and workers keep the
// ends of its runs, so that a task runs twice no more than at other times. The roster does not wait for the losses of such
// a job: a successor may count one lost run less of each of its tasks.

// refusedRetryInterval is how long a job whose changes the store has refused is set aside.
const refusedRetryInterval = 5 * time.Second

// Refused takes back changes that the store does not accept.
func (c *Core) Refused(changes Changes, now time.Time) {
	c.Unstored(changes)
	for _, change := range changes.Jobs {
		change.job.storeAlone = true
	}
	if changes.isOfOneJob() {
		c.setAside(changes.Jobs[0].job, now)
	}
}

// isOfOneJob reports whether the changes are those of one job and nothing else.
func (c Changes) isOfOneJob() bool {
	return len(c.Jobs) == 1 && c.Roster == nil && len(c.Forget) == 0 && len(c.Remove) == 0 && c.LearnedParameters == nil
}

// setAside keeps a job's changes from being stored for some time.
func (c *Core) setAside(j *job, now time.Time) {
	c.dirty = slices.DeleteFunc(c.dirty, func(other *job) bool { return other == j })
	c.jobsSetAside = append(c.jobsSetAside, j)
	j.storeAgainAt = now.Add(refusedRetryInterval)
	c.config.Logger.Error("changes of a job can't be stored; the job is set aside", zap.String("job", string(j.spec.ID)),
		zap.Duration("until_tried_again", refusedRetryInterval))
}

// resumeSetAside lets jobs that were set aside be stored again: those whose time has come, and those that have ended since.
func (c *Core) resumeSetAside(now time.Time) {
	c.jobsSetAside = slices.DeleteFunc(c.jobsSetAside, func(j *job) bool {
		switch {
		case c.jobs[j.spec.ID] != j || !j.dirty:
			return true
		case j.end == "" && now.Before(j.storeAgainAt):
			return false
		default:
			c.dirty = append(c.dirty, j)
			return true
		}
	})
}
