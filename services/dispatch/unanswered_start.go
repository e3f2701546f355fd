// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// startAnswerTime is how long a start goes without an answer until its run counts as no run of its job any more: several times what
// answers take to an owner that keeps up. The task itself waits until its run is barred, but others of its job need not.
const startAnswerTime = 300 * time.Millisecond

// awaitAnswer records that the start of a task has no answer.
func (c *Core) awaitAnswer(t *task) { c.unanswered[t] = struct{}{} }

// updateIdleJobs updates of which jobs nothing can be running but on workers that do not answer, or by starts that have had no answer for
// long.
func (c *Core) updateIdleJobs(now time.Time) {
	for j := range c.uncertainRuns {
		j.uncertain, j.silentSince = false, time.Time{}
	}
	clear(c.uncertainRuns)
	c.addSilentRuns()
	c.addOverdueStarts(now)
	for j, count := range c.uncertainRuns {
		if j.uncertain = count == j.running; !j.uncertain {
			j.silentSince = time.Time{}
			continue
		}
		j.runSpan.interrupt(j.silentSince)
	}
}

// addSilentRuns counts the runs on workers that do not answer.
func (c *Core) addSilentRuns() {
	for _, w := range c.sortedWorkers {
		if w.unansweredSince.IsZero() {
			continue
		}
		for _, t := range w.tasks {
			j := t.step.job
			c.uncertainRuns[j]++
			j.silentSince = latest(j.silentSince, w.unansweredSince)
		}
	}
}

// addOverdueStarts counts the runs on workers that answer whose starts have had no answer for long, and notes these workers.
func (c *Core) addOverdueStarts(now time.Time) {
	for t := range c.unanswered {
		switch {
		case t.worker == nil || t.confirmed:
			delete(c.unanswered, t)
		case t.worker.unansweredSince.IsZero() && now.Sub(t.startedAt) >= startAnswerTime:
			c.uncertainRuns[t.step.job]++
			t.worker.startOverdueAt = now
		}
	}
}
