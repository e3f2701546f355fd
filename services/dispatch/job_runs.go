// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// seenRun is how long something of a job runs without a break until callers have certainly seen it: they look at what runs from time to
// time, and often enough to tell that nothing has run for 3 s.
const seenRun = 3 * time.Second

// runSpan follows the times in which something of a job certainly runs.
type runSpan struct {
	runs       int           // of the job that are known to be under way
	since      time.Time     // since when there has been one without a break; zero: there is none
	lastSeenAt time.Time     // when there was last one after seenRun without a break, or else when the job was added
	ran        time.Duration // for how long in sum there was one since then, without the present time
	brief      int           // tasks of the job that have ended on standby since then
}

// begin records that a run is known to be under way.
func (r *runSpan) begin(now time.Time) {
	if r.runs == 0 {
		r.since = now
	}
	r.runs++
}

// end records that a run which was known to be under way has ended.
func (r *runSpan) end(at time.Time) {
	if at.Sub(r.since) >= seenRun {
		r.lastSeenAt, r.ran, r.brief = latest(r.lastSeenAt, at), 0, 0
	}
	r.runs--
	if r.runs == 0 {
		r.ran += max(0, at.Sub(latest(r.since, r.lastSeenAt)))
		r.since = time.Time{}
	}
}

// runtime returns for how long in sum something of the job has run since it was last seen.
func (r *runSpan) runtime(now time.Time) time.Duration {
	if r.runs == 0 {
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
func (r *runSpan) isSeen(now time.Time) bool { return r.runs > 0 && now.Sub(r.since) >= seenRun }

// unseenTime returns for how long nothing of the job has run for long enough to be seen, while the step could.
func (s *step) unseenTime(now time.Time) time.Duration {
	if s.job == nil || s.job.silentSince.IsZero() && s.job.runSpan.isSeen(now) {
		return 0
	}
	return now.Sub(latest(latest(s.job.runSpan.lastSeenAt, s.occurrence.openedAt), s.job.silentSince)) + s.job.waitedElsewhere
}
