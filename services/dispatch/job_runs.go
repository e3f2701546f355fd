// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// seenRun is how long something of a job runs without a break until callers have certainly seen it: they look at what runs from time to
// time.
const seenRun = time.Second

// runSpan follows the times in which something of a job certainly runs.
type runSpan struct {
	runs       int       // of the job that are known to be under way
	since      time.Time // since when there has been one without a break on a worker that answers; zero: there is none
	lastSeenAt time.Time // when there was last one after seenRun without a break, or else when the job was added
	// elsewhere is how long a job of which nothing has been seen yet has waited in other cells, as far as it counts.
	elsewhere time.Duration
}

// begin records that a run is known to be under way.
func (r *runSpan) begin(now time.Time) {
	r.runs++
	r.show(now)
}

// show records that a run is on a worker that answers.
func (r *runSpan) show(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
}

// interrupt records that all runs have been on workers that do not answer since the given time.
func (r *runSpan) interrupt(at time.Time) {
	r.note(at)
	r.since = time.Time{}
}

// note records until when there has been a run without a break.
func (r *runSpan) note(at time.Time) {
	if !r.since.IsZero() && at.Sub(r.since) >= seenRun {
		r.lastSeenAt, r.elsewhere = latest(r.lastSeenAt, at), 0
	}
}

// end records that a run which was known to be under way has ended.
func (r *runSpan) end(at time.Time) {
	r.note(at)
	r.runs--
	if r.runs == 0 {
		r.since = time.Time{}
	}
}

// isSeen reports whether callers see that something runs.
func (r *runSpan) isSeen(now time.Time) bool { return !r.since.IsZero() && now.Sub(r.since) >= seenRun }

// unseenTime returns for how long nothing of the job has run for long enough to be seen, while the step could.
func (s *step) unseenTime(now time.Time) time.Duration {
	if s.job == nil || s.job.silentSince.IsZero() && s.job.runSpan.isSeen(now) {
		return 0
	}
	return now.Sub(latest(latest(s.job.runSpan.lastSeenAt, s.occurrence.openedAt), s.job.silentSince)) + s.job.runSpan.elsewhere
}

// briefRuns counts the tasks of a step that have ended on standby.
type briefRuns struct {
	count int
	since time.Time // when something of the job had last been seen
}

// countBriefRun records that a task of the step has ended on standby.
func (s *step) countBriefRun() {
	s.briefRuns = briefRuns{s.recentBriefRuns() + 1, s.job.runSpan.lastSeenAt}
}

// recentBriefRuns returns how many tasks of the step have ended on standby since something of its job was last seen.
func (s *step) recentBriefRuns() int {
	if !s.briefRuns.since.Equal(s.job.runSpan.lastSeenAt) {
		return 0
	}
	return s.briefRuns.count
}
