// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// refusedThoughAccepted finds refusals by a daemon that had stored the job and reported it as accepted.
func (p *refusalRun) refusedThoughAccepted() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool {
		return by.endedSeq < refusal.endedSeq && p.reportedAccepted(refusal)
	})
}

// refusedThoughUnknown finds refusals by a daemon that had reported an unknown outcome before, and had stored the job
// or did so later by a write in flight.
func (p *refusalRun) refusedThoughUnknown() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool {
		return by != refusal && by.endedSeq < refusal.endedSeq && !p.reportedAccepted(refusal)
	})
}

// reportedAccepted reports whether the daemon of a refusal had already reported the job as accepted to another caller.
func (p *refusalRun) reportedAccepted(refusal *refusalCall) bool {
	return slices.ContainsFunc(p.calls, func(c *refusalCall) bool {
		return c.kind == stepSubmit && c.job == refusal.job && c.daemon == refusal.daemon && c.endedSeq < refusal.endedSeq && c.reply.kind == replyDone
	})
}

// refusedBesideAnother finds refusals by a daemon that was storing the job for another call.
func (p *refusalRun) refusedBesideAnother() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool { return by.endedSeq > refusal.endedSeq })
}

// refusedThoughStored finds refusals by calls that have stored the job themselves.
func (p *refusalRun) refusedThoughStored() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool { return by == refusal })
}

// falseRefusal finds a refusal by a daemon that stores the job by a write sent before the refusal. relevant selects
// pairs of the refusal and the call that sent the write.
func (p *refusalRun) falseRefusal(relevant func(refusal, by *refusalCall) bool) string {
	for _, call := range p.calls {
		if call.kind != stepSubmit || call.daemonKilled || call.reply.kind != replyNotDone {
			continue
		}
		for _, c := range p.recorder.creations {
			if c.job == call.job && c.daemon == call.daemon && c.sentSeq < call.endedSeq && relevant(call, c.call) {
				return fmt.Sprintf("job %s is refused by %s, which stores the job by a write sent before the refusal%s", call.job, call.daemon, p.summary())
			}
		}
	}
	return ""
}

// refusedAndStored finds jobs that were refused to all callers, and that are stored or ran.
func (p *refusalRun) refusedAndStored() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		refused := func(c *refusalCall) bool {
			return c.job != id || c.kind != stepSubmit || c.delivered && c.reply.kind == replyNotDone
		}
		if !slices.ContainsFunc(p.calls, func(c *refusalCall) bool { return !refused(c) }) &&
			(p.grid.Ran(id) || len(p.recorder.records(id)) > 0) {
			return fmt.Sprintf("job %s was refused each time, but is stored (%v) or ran (%v)%s", id, p.recorder.records(id), p.grid.Ran(id), p.summary())
		}
	}
	return ""
}

// slowRefusals finds calls that were not refused at once although the store performed nothing for the daemon, and
// refusals without retry advice.
func (p *refusalRun) slowRefusals() string {
	for _, call := range p.calls {
		switch {
		case call.daemonKilled:
		case call.reply.kind == replyNotDone && !call.reply.advised:
			return fmt.Sprintf("%s of job %s is refused by %s without retry advice%s", call.kind, call.job, call.daemon, p.summary())
		case call.storeUnusable && (call.reply.kind != replyNotDone || call.took() > maxRefusalTime):
			return fmt.Sprintf("%s of job %s is impossible at %s and is answered %q after %s%s", call.kind, call.job, call.daemon,
				call.reply.kind, call.took(), p.summary())
		}
	}
	return ""
}

// lostJobs finds jobs that were accepted but are not in the store, or don't end.
func (p *refusalRun) lostJobs() string {
	for _, call := range p.calls {
		if call.kind == stepSubmit && call.violation != "" {
			return fmt.Sprintf("job %s is accepted by %s: %s%s", call.job, call.daemon, call.violation, p.summary())
		}
		if call.kind == stepSubmit && call.reply.kind == replyDone && slices.Contains(p.recorder.removed, call.job) {
			return fmt.Sprintf("job %s is accepted by %s, and its record is deleted%s", call.job, call.daemon, p.summary())
		}
	}
	if unfinished := p.unfinished(); unfinished != "" {
		return unfinished + p.summary()
	}
	if breaches := p.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("breaches: ", breaches, p.summary())
	}
	return ""
}

// startedThoughUnknown finds jobs that start after a cancellation was answered "no such job", and that were not
// submitted again since that cancellation began.
func (p *refusalRun) startedThoughUnknown() string {
	for _, call := range p.calls {
		if call.kind != stepCancel || call.daemonKilled || call.reply.kind != replyNoJob {
			continue
		}
		again := slices.ContainsFunc(p.calls, func(c *refusalCall) bool {
			return c.kind == stepSubmit && c.job == call.job && c.beganSeq > call.beganSeq
		})
		if at, ok := p.startAfter(call.job, call.endedAt); ok && !again {
			return fmt.Sprintf("job %s starts %s after %s answered that there is no such job%s", call.job, at.Sub(call.endedAt), call.daemon, p.summary())
		}
	}
	return ""
}

// startedThoughCancelled finds cancellations that were reported as done but have no effect.
func (p *refusalRun) startedThoughCancelled() string {
	for _, call := range p.calls {
		if call.kind != stepCancel || call.reply.kind != replyDone {
			continue
		}
		if call.violation != "" {
			return fmt.Sprintf("job %s is cancelled by %s: %s%s", call.job, call.daemon, call.violation, p.summary())
		}
		if at, ok := p.startAfter(call.job, call.endedAt.Add(maxStartAfterCancel)); ok {
			return fmt.Sprintf("job %s starts %s after it was cancelled by %s%s", call.job, at.Sub(call.endedAt), call.daemon, p.summary())
		}
	}
	return p.unfinished()
}

// startAfter returns the first start of a task of a job after a time.
func (p *refusalRun) startAfter(id jobs.ID, after time.Time) (time.Time, bool) {
	for _, s := range p.recorder.starts {
		if s.job == id && s.at.After(after) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// summary lists the replies to all calls, and which daemon stored each job.
func (p *refusalRun) summary() string {
	text := ""
	for _, c := range p.calls {
		text += fmt.Sprintf("\n%s of %s at %s: %s after %s, delivered %v, events %d to %d", c.kind, c.job, c.daemon, c.reply.kind, c.took(), c.delivered, c.beganSeq, c.endedSeq)
	}
	for _, c := range p.recorder.creations {
		text += fmt.Sprintf("\n%s is stored by %s with a write sent at event %d", c.job, c.daemon, c.sentSeq)
	}
	return text
}
