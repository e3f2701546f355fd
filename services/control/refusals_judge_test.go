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
func (p *refusalPlay) refusedThoughAccepted() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by.ended < refusal.ended && p.saidSo(refusal) })
}

// refusedThoughUnknown finds refusals by a daemon that had left open whether it accepted the
// job, and had stored it, or did so later by a write that was on its way.
func (p *refusalPlay) refusedThoughUnknown() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool {
		return by != refusal && by.ended < refusal.ended && !p.saidSo(refusal)
	})
}

// saidSo tells whether a daemon had told another caller that a job is accepted that it refuses.
func (p *refusalPlay) saidSo(refusal *refusalTry) bool {
	return slices.ContainsFunc(p.tries, func(t *refusalTry) bool {
		return t.what == stepHandIn && t.job == refusal.job && t.daemon == refusal.daemon && t.ended < refusal.ended && t.reply.verdict == saidDone
	})
}

// refusedBesideAnother finds refusals by a daemon that was storing the job for another call.
func (p *refusalPlay) refusedBesideAnother() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by.ended > refusal.ended })
}

// refusedThoughStored finds refusals of calls that have stored the job themselves.
func (p *refusalPlay) refusedThoughStored() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by == refusal })
}

// falseRefusal finds a refusal by a daemon that stored the job by a write that was sent before.
func (p *refusalPlay) falseRefusal(relevant func(refusal, by *refusalTry) bool) string {
	for _, try := range p.tries {
		if try.what != stepHandIn || try.gone || try.reply.verdict != saidNotDone {
			continue
		}
		for _, c := range p.ledger.creating {
			if c.job == try.job && c.daemon == try.daemon && c.sent < try.ended && relevant(try, c.by) {
				return fmt.Sprintf("job %s is refused by %s, which stores it by a write that was sent before%s", try.job, try.daemon, p.told())
			}
		}
	}
	return ""
}

// refusedAndStored finds jobs that all callers were told were refused, and that are stored or ran.
func (p *refusalPlay) refusedAndStored() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		refused := func(t *refusalTry) bool {
			return t.job != id || t.what != stepHandIn || t.heard && t.reply.verdict == saidNotDone
		}
		if !slices.ContainsFunc(p.tries, func(t *refusalTry) bool { return !refused(t) }) &&
			(p.grid.Ran(id) || len(p.ledger.records(id)) > 0) {
			return fmt.Sprintf("job %s was refused each time; it is stored (%v) or ran (%v)%s", id, p.ledger.records(id), p.grid.Ran(id), p.told())
		}
	}
	return ""
}

// slowRefusals finds calls that were not refused at once though the store did nothing for
// the daemon, and refusals that don't say when to come back.
func (p *refusalPlay) slowRefusals() string {
	for _, try := range p.tries {
		switch {
		case try.gone:
		case try.reply.verdict == saidNotDone && !try.reply.advised:
			return fmt.Sprintf("%s of job %s is refused by %s, which doesn't say when to come back%s", try.what, try.job, try.daemon, p.told())
		case try.useless && (try.reply.verdict != saidNotDone || try.took() > atOnce):
			return fmt.Sprintf("%s of job %s can't be done at %s and is answered %q after %s%s", try.what, try.job, try.daemon,
				try.reply.verdict, try.took(), p.told())
		}
	}
	return ""
}

// lostJobs finds jobs that were accepted and are not in the store, or don't end.
func (p *refusalPlay) lostJobs() string {
	for _, try := range p.tries {
		if try.what == stepHandIn && try.broken != "" {
			return fmt.Sprintf("job %s is accepted by %s: %s%s", try.job, try.daemon, try.broken, p.told())
		}
		if try.what == stepHandIn && try.reply.verdict == saidDone && slices.Contains(p.ledger.removed, try.job) {
			return fmt.Sprintf("job %s is accepted by %s, and its record is deleted%s", try.job, try.daemon, p.told())
		}
	}
	if unfinished := p.unfinished(); unfinished != "" {
		return unfinished + p.told()
	}
	if breaches := p.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("promises broken: ", breaches, p.told())
	}
	return ""
}

// startedThoughUnknown finds jobs that start after a cancellation was told that there is no
// such job, and that were not handed in since it was asked for.
func (p *refusalPlay) startedThoughUnknown() string {
	for _, try := range p.tries {
		if try.what != stepCancel || try.gone || try.reply.verdict != saidNoJob {
			continue
		}
		again := slices.ContainsFunc(p.tries, func(t *refusalTry) bool {
			return t.what == stepHandIn && t.job == try.job && t.began > try.began
		})
		if at, ok := p.startAfter(try.job, try.endAt); ok && !again {
			return fmt.Sprintf("job %s starts %s after %s said that there is no such job%s", try.job, at.Sub(try.endAt), try.daemon, p.told())
		}
	}
	return ""
}

// startedThoughCancelled finds cancellations that are done and don't hold.
func (p *refusalPlay) startedThoughCancelled() string {
	for _, try := range p.tries {
		if try.what != stepCancel || try.reply.verdict != saidDone {
			continue
		}
		if try.broken != "" {
			return fmt.Sprintf("job %s is cancelled by %s: %s%s", try.job, try.daemon, try.broken, p.told())
		}
		if at, ok := p.startAfter(try.job, try.endAt.Add(cancelHolds)); ok {
			return fmt.Sprintf("job %s starts %s after it was cancelled by %s%s", try.job, at.Sub(try.endAt), try.daemon, p.told())
		}
	}
	return p.unfinished()
}

// startAfter gives the first start of a task of a job after a time.
func (p *refusalPlay) startAfter(id jobs.ID, after time.Time) (time.Time, bool) {
	for _, s := range p.ledger.starts {
		if s.job == id && s.at.After(after) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// told lists what callers were told and which daemon stored what.
func (p *refusalPlay) told() string {
	text := ""
	for _, t := range p.tries {
		text += fmt.Sprintf("\n%s of %s at %s: %s after %s, heard %v, moments %d to %d", t.what, t.job, t.daemon, t.reply.verdict, t.took(), t.heard, t.began, t.ended)
	}
	for _, c := range p.ledger.creating {
		text += fmt.Sprintf("\n%s is stored by %s with a write of moment %d", c.job, c.daemon, c.sent)
	}
	return text
}
