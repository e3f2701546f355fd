// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// refusedThoughAccepted finds refusals by a daemon that had stored the job and said so.
func (p *refusalRun) refusedThoughAccepted() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool {
		return by.endedSeq < refusal.endedSeq && p.reportedAccepted(refusal)
	})
}

// refusedThoughUnknown finds refusals by a daemon that had left open whether it accepted the
// job, and had stored it, or did so later by a write that was on its way.
func (p *refusalRun) refusedThoughUnknown() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool {
		return by != refusal && by.endedSeq < refusal.endedSeq && !p.reportedAccepted(refusal)
	})
}

// reportedAccepted tells whether a daemon had told another caller that a job is accepted that it refuses.
func (p *refusalRun) reportedAccepted(refusal *refusalCall) bool {
	return slices.ContainsFunc(p.calls, func(t *refusalCall) bool {
		return t.kind == stepSubmit && t.job == refusal.job && t.daemon == refusal.daemon && t.endedSeq < refusal.endedSeq && t.reply.kind == replyDone
	})
}

// refusedBesideAnother finds refusals by a daemon that was storing the job for another call.
func (p *refusalRun) refusedBesideAnother() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool { return by.endedSeq > refusal.endedSeq })
}

// refusedThoughStored finds refusals of calls that have stored the job themselves.
func (p *refusalRun) refusedThoughStored() string {
	return p.falseRefusal(func(refusal, by *refusalCall) bool { return by == refusal })
}

// falseRefusal finds a refusal by a daemon that stored the job by a write that was sent before.
func (p *refusalRun) falseRefusal(relevant func(refusal, by *refusalCall) bool) string {
	for _, try := range p.calls {
		if try.kind != stepSubmit || try.daemonKilled || try.reply.kind != replyNotDone {
			continue
		}
		for _, c := range p.recorder.creations {
			if c.job == try.job && c.daemon == try.daemon && c.sentSeq < try.endedSeq && relevant(try, c.call) {
				return fmt.Sprintf("job %s is refused by %s, which stores it by a write that was sent before%s", try.job, try.daemon, p.summary())
			}
		}
	}
	return ""
}

// refusedAndStored finds jobs that all callers were told were refused, and that are stored or ran.
func (p *refusalRun) refusedAndStored() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		refused := func(t *refusalCall) bool {
			return t.job != id || t.kind != stepSubmit || t.delivered && t.reply.kind == replyNotDone
		}
		if !slices.ContainsFunc(p.calls, func(t *refusalCall) bool { return !refused(t) }) &&
			(p.grid.Ran(id) || len(p.recorder.records(id)) > 0) {
			return fmt.Sprintf("job %s was refused each time; it is stored (%v) or ran (%v)%s", id, p.recorder.records(id), p.grid.Ran(id), p.summary())
		}
	}
	return ""
}

// slowRefusals finds calls that were not refused at once though the store did nothing for
// the daemon, and refusals that don't say when to come back.
func (p *refusalRun) slowRefusals() string {
	for _, try := range p.calls {
		switch {
		case try.daemonKilled:
		case try.reply.kind == replyNotDone && !try.reply.advised:
			return fmt.Sprintf("%s of job %s is refused by %s, which doesn't say when to come back%s", try.kind, try.job, try.daemon, p.summary())
		case try.storeUnusable && (try.reply.kind != replyNotDone || try.took() > maxRefusalTime):
			return fmt.Sprintf("%s of job %s can't be done at %s and is answered %q after %s%s", try.kind, try.job, try.daemon,
				try.reply.kind, try.took(), p.summary())
		}
	}
	return ""
}

// lostJobs finds jobs that were accepted and are not in the store, or don't end.
func (p *refusalRun) lostJobs() string {
	for _, try := range p.calls {
		if try.kind == stepSubmit && try.violation != "" {
			return fmt.Sprintf("job %s is accepted by %s: %s%s", try.job, try.daemon, try.violation, p.summary())
		}
		if try.kind == stepSubmit && try.reply.kind == replyDone && slices.Contains(p.recorder.removed, try.job) {
			return fmt.Sprintf("job %s is accepted by %s, and its record is deleted%s", try.job, try.daemon, p.summary())
		}
	}
	if unfinished := p.unfinished(); unfinished != "" {
		return unfinished + p.summary()
	}
	if breaches := p.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("promises broken: ", breaches, p.summary())
	}
	return ""
}

// startedThoughUnknown finds jobs that start after a cancellation was told that there is no
// such job, and that were not handed in since it was asked for.
func (p *refusalRun) startedThoughUnknown() string {
	for _, try := range p.calls {
		if try.kind != stepCancel || try.daemonKilled || try.reply.kind != replyNoJob {
			continue
		}
		again := slices.ContainsFunc(p.calls, func(t *refusalCall) bool {
			return t.kind == stepSubmit && t.job == try.job && t.beganSeq > try.beganSeq
		})
		if at, ok := p.startAfter(try.job, try.endedAt); ok && !again {
			return fmt.Sprintf("job %s starts %s after %s said that there is no such job%s", try.job, at.Sub(try.endedAt), try.daemon, p.summary())
		}
	}
	return ""
}

// startedThoughCancelled finds cancellations that are done and don't hold.
func (p *refusalRun) startedThoughCancelled() string {
	for _, try := range p.calls {
		if try.kind != stepCancel || try.reply.kind != replyDone {
			continue
		}
		if try.violation != "" {
			return fmt.Sprintf("job %s is cancelled by %s: %s%s", try.job, try.daemon, try.violation, p.summary())
		}
		if at, ok := p.startAfter(try.job, try.endedAt.Add(maxStartAfterCancel)); ok {
			return fmt.Sprintf("job %s starts %s after it was cancelled by %s%s", try.job, at.Sub(try.endedAt), try.daemon, p.summary())
		}
	}
	return p.unfinished()
}

// startAfter gives the first start of a task of a job after a time.
func (p *refusalRun) startAfter(id jobs.ID, after time.Time) (time.Time, bool) {
	for _, s := range p.recorder.starts {
		if s.job == id && s.at.After(after) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// summary lists what callers were told and which daemon stored what.
func (p *refusalRun) summary() string {
	text := ""
	for _, t := range p.calls {
		text += fmt.Sprintf("\n%s of %s at %s: %s after %s, heard %v, moments %d to %d", t.kind, t.job, t.daemon, t.reply.kind, t.took(), t.delivered, t.beganSeq, t.endedSeq)
	}
	for _, c := range p.recorder.creations {
		text += fmt.Sprintf("\n%s is stored by %s with a write of moment %d", c.job, c.daemon, c.sentSeq)
	}
	return text
}
