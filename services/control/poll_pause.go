// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// An incarnation of a worker carries out calls that were meant for earlier ones until its owner has called it. So calls
// for reports follow without a pause where the worker may have restarted: on a call whose connection broke, and on one
// that was interrupted because another incarnation is known. The numbers of such calls in a row are bounded.

const (
	// workerRetryPause is the pause after a failed call to a worker.
	workerRetryPause = 200 * time.Millisecond
	// lateStartRetryPause is the same while the worker's next incarnation may carry out a late start.
	lateStartRetryPause = 20 * time.Millisecond
	// maxPromptCalls is how many calls in a row may follow without a pause on a call whose connection broke.
	maxPromptCalls = 3
	// maxQuickInterruptions is how many calls in a row may be interrupted without a pause before the next one: one
	// restart interrupts a call when the list names the next incarnation, and another one when that incarnation answers.
	maxQuickInterruptions = 2
	// maxLateStartCallRate is about how many calls per second are made to all unreachable workers together whose next
	// incarnations may carry out late starts: a call whose connection is refused takes about 0.1 ms of a core.
	maxLateStartCallRate = 2000
)

// pollResults are the results of the latest calls that asked a worker for a report.
type pollResults struct {
	err           error         // of the latest call
	took          time.Duration // the latest call's time beyond its wait
	failures      int           // failed calls in a row
	interruptions int           // interrupted calls in a row
}

// add adds the result of a call; took is the time that it took beyond its wait.
func (r *pollResults) add(err error, took time.Duration) {
	r.err, r.took, r.interruptions = err, took, 0
	r.failures++
	if err == nil {
		r.failures = 0
	}
}

// addInterruption adds a call that was interrupted.
func (r *pollResults) addInterruption() { r.interruptions++ }

// interruptionPause returns the pause after an interrupted call. Where different incarnations answer by turns, each call
// is interrupted.
func (r *pollResults) interruptionPause() time.Duration {
	if r.interruptions <= maxQuickInterruptions {
		return 0
	}
	return lateStartRetryPause
}

// connectionBroke reports whether the latest call ended because its connection broke, so that the worker may have
// restarted.
func (r *pollResults) connectionBroke() bool {
	return errors.Is(r.err, platform.ErrUnknownOutcome) && r.took < normalAnswerTime // a call without answer takes far longer
}

// pollPause returns the pause after a call that asked a worker for a report.
func (o *Owner) pollPause(id jobs.WorkerID, results pollResults) time.Duration {
	if results.err == nil {
		return o.reportPause()
	}
	if results.connectionBroke() && results.failures <= maxPromptCalls {
		return 0
	}
	if pause, mayArrive := o.lateStartPause(id); mayArrive {
		if results.failures == 1 { // a call that hung may have ended with its worker
			return 0
		}
		return pause
	}
	if errors.Is(results.err, platform.ErrUnknownOutcome) {
		return o.reportPause()
	}
	return workerRetryPause
}

// lateStartPause reports whether a start without answer may still reach the worker's next incarnation, and returns the
// pause between failed calls to the worker in that case.
func (o *Owner) lateStartPause(id jobs.WorkerID) (pause time.Duration, mayArrive bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.core.MayCarryOutLateStart(id, o.config.Clock.Now()) {
		return 0, false
	}
	pause = time.Duration(o.core.WorkersWithLateStarts()) * time.Second / maxLateStartCallRate
	return min(max(pause, lateStartRetryPause), workerRetryPause), true
}
