// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/calltime"
	"rillsail.example/rillsail/modules/idleconn"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
)

// longestWorkerCall is the longest time limit of a call to a worker: a worker that has not
// been heard of for half a second more gets no starts.
const longestWorkerCall = 2 * time.Second

// NewWorkerCalls makes the time limit of calls to workers, at least what the settings say.
// That is short, for a worker whose calls get lost one by one is silent after several in a
// row, and the shorter each is, the more fit into that time. But an owner whose own calls
// take longer than that would give up every one of them and make it again at once, on a new
// connection: more work than before, and for ever.
func NewWorkerCalls(least time.Duration) *calltime.Limit {
	return calltime.New(calltime.Config{Least: least, Most: max(least, longestWorkerCall)})
}

// callsNote says in metrics and logs how the calls to workers go: an owner that can't keep up
// has a long time limit, late loops and old reports; of workers that don't answer only the
// reports are old.
type callsNote struct {
	cells   *Cells
	trouble *log.Trouble
	behind  *log.Trouble
	silent  *log.Trouble
	conns   idleconn.Counts // as counted last
}

func newCallsNote(c *Cells) *callsNote {
	return &callsNote{cells: c, trouble: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "calls to workers take long", Ended: "calls to workers are quick again",
	}), behind: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "starts wait, answers come late", Ended: "starts wait no more for late answers",
	}), silent: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "idle connections are closed, others to their peers are silent", Ended: "no more connections are silent",
	})}
}

// note looks once, so much later than it was to.
func (n *callsNote) note(late time.Duration) {
	config := n.cells.config
	config.Scope.Gauge("loops_late").Update(late.Seconds())
	config.Scope.Gauge("worker_calls_in_flight").Update(float64(n.cells.workerCalls.Load()))
	n.noteStarts(n.cells.starts.Current())
	if config.Connections != nil {
		n.noteConnections(config.Connections())
	}
	if config.WorkerCalls != nil {
		n.noteLimit(config.WorkerCalls)
	}
}

// noteConnections says how many connections are new, and how many were given up: both rise once
// when all open ones go silent, and go on rising when calls get lost.
func (n *callsNote) noteConnections(now idleconn.Counts) {
	scope, givenUp := n.cells.config.Scope, now.GivenUp-n.conns.GivenUp
	scope.Counter("connections_opened").Inc(now.Opened - n.conns.Opened)
	scope.Counter("connections_given_up").Inc(givenUp)
	n.conns = now
	if givenUp > 0 {
		n.silent.Note(errors.Newf("%d were closed", givenUp))
		return
	}
	n.silent.Note(nil)
}

// noteStarts says whether this daemon has more to start than it can: the bound is below where it
// began, and all of it is taken.
func (n *callsNote) noteStarts(bound int) {
	n.cells.config.Scope.Gauge("starts_bound").Update(float64(bound))
	if bound < firstStarts && n.cells.starts.Free() == 0 {
		n.behind.Note(errors.Newf("%d may be under way", bound))
		return
	}
	n.behind.Note(nil)
}

func (n *callsNote) noteLimit(calls *calltime.Limit) {
	limit := calls.Current()
	n.cells.config.Scope.Gauge("worker_call_limit").Update(limit.Seconds())
	if limit > calls.Least() {
		n.trouble.Note(errors.Newf("their time limit is %s", limit))
		return
	}
	n.trouble.Note(nil)
}

// beginCall notes that a call to a worker is sent now.
func (o *Owner) beginCall() time.Time {
	o.cells.workerCalls.Add(1)
	return o.config.Clock.Now()
}

// endCall teaches the time limit what became of a call to a worker that was sent then, and
// whose answer might wait. Calls that were not done, or ended early, say nothing of it.
func (o *Owner) endCall(sent time.Time, wait time.Duration, outcome dispatch.Outcome) {
	o.cells.workerCalls.Add(-1)
	answered := outcome != dispatch.OutcomeUnknown
	if !answered {
		o.config.Scope.Counter("worker_calls_lost").Inc(1)
	}
	took := o.config.Clock.Since(sent) - wait
	notDone := outcome == dispatch.OutcomeNotDone || outcome == dispatch.OutcomeUnreached
	if took < 0 || notDone || o.config.WorkerCalls == nil {
		return
	}
	o.config.WorkerCalls.Note(calltime.Call{Took: took, Answered: answered})
}
