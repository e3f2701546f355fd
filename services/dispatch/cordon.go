// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// cordon is a cordon in force.
type cordon struct {
	jobs.Cordon
	since time.Time // when this owner learned of it
}

// SetCordons takes the operators' list of cordoned failure domains. Nothing starts on the workers there until the list
// no longer names their domain; their runs go on.
func (c *Core) SetCordons(list []jobs.Cordon, now time.Time) {
	named := make(map[models.FailureDomain]jobs.Cordon, len(list))
	for _, each := range list {
		named[each.Domain] = each
	}
	changed := false
	for domain, current := range c.cordons {
		if _, ok := named[domain]; !ok {
			delete(c.cordons, domain)
			c.logCordon("cordon of a failure domain is lifted", current, now)
			changed = true
		}
	}
	for domain, each := range named {
		if current, ok := c.cordons[domain]; ok && current.Version == each.Version {
			continue
		}
		c.cordons[domain] = cordon{Cordon: each, since: now}
		c.logCordon("failure domain is cordoned", c.cordons[domain], now)
		changed = true
	}
	if !changed {
		return
	}
	for _, w := range c.workers {
		c.markCordoned(w)
	}
}

// logCordon logs that a cordon is in force or lifted, with the number of workers and runs in its domain. A domain
// without workers may be misspelled.
func (c *Core) logCordon(message string, change cordon, now time.Time) {
	workers, runs := 0, 0
	for _, w := range c.sortedWorkers {
		if w.info.Domain == change.Domain {
			workers++
			runs += len(w.tasks)
		}
	}
	c.config.Logger.Info(message, zap.String("domain", string(change.Domain)), zap.Uint64("version", change.Version),
		zap.Duration("age", now.Sub(change.since)), zap.Int("workers", workers), zap.Int("runs", runs))
}

// markCordoned records in the worker whether its failure domain is cordoned.
func (c *Core) markCordoned(w *worker) { _, w.cordoned = c.cordons[w.info.Domain] }

// closedToStarts reports whether nothing new may start on the worker, however sound it is: it drains, or its failure
// domain is cordoned.
func (w *worker) closedToStarts() bool { return w.info.Draining || w.cordoned }

// cordonWaitInterval is the time between two searches of the cordoned workers for a job that waits: they cost as much as
// the search for a place, which is repeated each scanBackoff.
const cordonWaitInterval = time.Second

// logCordonWait logs, once for each job, that a step waits although cordoned workers could take its tasks.
func (c *Core) logCordonWait(s *step, now time.Time) {
	if len(c.cordons) == 0 || s.job.cordonWaitLogged || now.Sub(s.job.cordonsSearchedAt) < cordonWaitInterval {
		return
	}
	s.job.cordonsSearchedAt = now
	cordoned := 0
	for _, w := range c.sortedWorkers {
		if w.cordoned && w.listed && c.fits(w, s) && c.hasCapacity(w, s) {
			cordoned++
		}
	}
	if cordoned == 0 {
		return
	}
	s.job.cordonWaitLogged = true
	c.config.Logger.Info("job waits, workers that could run it are cordoned", zap.String("job", string(s.job.spec.ID)),
		zap.Int("step", s.number), zap.Int("cordoned", cordoned))
}

// CordonState is a cordon as the core knows it.
type CordonState struct {
	jobs.Cordon
	Age models.Milli `json:"age_ms"` // since this owner learned of it
}

// CordonStates returns the cordons in force, sorted by domain.
func (c *Core) CordonStates(now time.Time) []CordonState {
	states := make([]CordonState, 0, len(c.cordons))
	for _, each := range c.cordons {
		states = append(states, CordonState{each.Cordon, models.MilliOf(now.Sub(each.since))})
	}
	slices.SortFunc(states, func(a, b CordonState) int { return cmp.Compare(a.Domain, b.Domain) })
	return states
}
