// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// seenRun is how long something of a job runs without a break until callers have certainly seen it: they look at what runs from time to
// time, and at least twice in the 3 s for which they allow a job to have nothing running.
const seenRun = 1500 * time.Millisecond

// runSpan follows the times in which something of a job certainly runs.
type runSpan struct {
	runs       int           // of the job that are known to be under way
	since      time.Time     // since when there has been one without a break on a worker that answers; zero: there is none
	lastSeenAt time.Time     // when there was last one after seenRun without a break, or else when the job was added
	ran        time.Duration // for how long in sum there was one since then, without the present time
	elsewhere  time.Duration // how long a job of which nothing has been seen yet has waited in other cells, as far as it counts
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

// interrupt records that all runs have been on workers that do not answer since the given time, or that there is none.
func (r *runSpan) interrupt(at time.Time) {
	if r.since.IsZero() {
		return
	}
	r.note(at)
	r.ran += max(0, at.Sub(latest(r.since, r.lastSeenAt)))
	r.since = time.Time{}
}

// note records until when there has been a run without a break.
func (r *runSpan) note(at time.Time) {
	if r.isSeen(at) {
		r.lastSeenAt, r.ran, r.elsewhere = latest(r.lastSeenAt, at), 0, 0
	}
}

// end records that a run which was known to be under way has ended.
func (r *runSpan) end(at time.Time) {
	r.runs--
	if r.runs == 0 {
		r.interrupt(at)
		return
	}
	r.note(at)
}

// runtime returns for how long in sum something of the job has run since it was last seen.
func (r *runSpan) runtime(now time.Time) time.Duration {
	if r.since.IsZero() {
		return r.ran
	}
	return r.ran + now.Sub(r.since)
}

// isHardlySeen reports whether for long nothing of the job has run for long enough to be seen, while the step could, and nothing at all for
// most of the time.
func (s *step) isHardlySeen(now time.Time) bool {
	unseen := s.unseenTime(now)
	return s.waiting > 0 && unseen >= longWait && s.job.runSpan.runtime(now) < unseen/2
}

// isSeen reports whether callers see that something runs.
func (r *runSpan) isSeen(now time.Time) bool { return !r.since.IsZero() && now.Sub(r.since) >= seenRun }

// unseenTime returns for how long nothing of the job has run for long enough to be seen, while the step could.
func (s *step) unseenTime(now time.Time) time.Duration {
	if s.job == nil || !s.job.uncertain && s.job.runSpan.isSeen(now) {
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
