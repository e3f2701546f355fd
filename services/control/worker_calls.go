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

// maxWorkerCallTimeout is the longest time limit of a call to a worker: a worker that has not
// been heard of for half a second more gets no starts.
const maxWorkerCallTimeout = 2 * time.Second

// NewWorkerCalls makes the time limit of calls to workers, at least what the settings say.
// That is short, for a worker whose calls get lost one by one is silent after several in a
// row, and the shorter each is, the more fit into that time. But an owner whose own calls
// take longer than that would give up every one of them and make it again at once, on a new
// connection: more work than before, and for ever.
func NewWorkerCalls(least time.Duration) *calltime.Limit {
	return calltime.New(calltime.Config{Least: least, Most: max(least, maxWorkerCallTimeout)})
}

// callMonitor says in metrics and logs how the calls to workers go: an owner that can't keep up
// has a long time limit, late loops and old reports; of workers that don't answer only the
// reports are old.
type callMonitor struct {
	cells        *Cells
	slowCalls    *log.Trouble
	startBacklog *log.Trouble
	closedConns  *log.Trouble
	lastConns    idleconn.Counts // as counted last
}

func newCallMonitor(c *Cells) *callMonitor {
	return &callMonitor{cells: c, slowCalls: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "calls to workers take long", Ended: "calls to workers are quick again",
	}), startBacklog: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "starts wait, answers come late", Ended: "starts wait no more for late answers",
	}), closedConns: log.NewTrouble(log.TroubleConfig{
		Logger: c.config.Logger, Began: "idle connections are closed, others to their peers are silent", Ended: "no more connections are silent",
	})}
}

// publish looks once, so much later than it was to.
func (n *callMonitor) publish(late time.Duration) {
	config := n.cells.config
	config.Scope.Gauge("loops_late").Update(late.Seconds())
	config.Scope.Gauge("worker_calls_in_flight").Update(float64(n.cells.workerCalls.Load()))
	n.publishStartLimit(n.cells.startLimit.Current())
	if config.Connections != nil {
		n.publishConnections(config.Connections())
	}
	if config.WorkerCalls != nil {
		n.publishCallTimeout(config.WorkerCalls)
	}
}

// publishConnections says how many connections are new, and how many were given up: both rise once
// when all open ones go silent, and go on rising when calls get lost.
func (n *callMonitor) publishConnections(now idleconn.Counts) {
	scope, givenUp := n.cells.config.Scope, now.GivenUp-n.lastConns.GivenUp
	scope.Counter("connections_opened").Inc(now.Opened - n.lastConns.Opened)
	scope.Counter("connections_given_up").Inc(givenUp)
	n.lastConns = now
	if givenUp > 0 {
		n.closedConns.Note(errors.Newf("%d were closed", givenUp))
		return
	}
	n.closedConns.Note(nil)
}

// publishStartLimit says whether this daemon has more to start than it can: the bound is below where it
// began, and all of it is taken.
func (n *callMonitor) publishStartLimit(bound int) {
	n.cells.config.Scope.Gauge("starts_bound").Update(float64(bound))
	if bound < initialStarts && n.cells.startLimit.Free() == 0 {
		n.startBacklog.Note(errors.Newf("%d may be under way", bound))
		return
	}
	n.startBacklog.Note(nil)
}

func (n *callMonitor) publishCallTimeout(calls *calltime.Limit) {
	limit := calls.Current()
	n.cells.config.Scope.Gauge("worker_call_limit").Update(limit.Seconds())
	if limit > calls.Least() {
		n.slowCalls.Note(errors.Newf("their time limit is %s", limit))
		return
	}
	n.slowCalls.Note(nil)
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
