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

// maxWorkerCallTimeout is the longest timeout of a call to a worker. A worker that has been silent for
// half a second more than that gets no starts.
const maxWorkerCallTimeout = 2 * time.Second

// NewWorkerCallLimit creates the adaptive timeout of calls to workers, which is never below the timeout in the
// settings. The timeout in the settings is short: a worker counts as silent after a time without answer, and the shorter
// the timeout, the more calls can be tried within that time when single calls get lost. An owner whose
// own calls take longer than the timeout would cancel each of them and retry at once on a new connection,
// which adds load and never ends; therefore the timeout adapts.
func NewWorkerCallLimit(least time.Duration) *calltime.Limit {
	return calltime.New(calltime.Config{Min: least, Max: max(least, maxWorkerCallTimeout)})
}

// callMonitor reports the state of the calls to workers in metrics and logs. An overloaded owner shows a long
// call timeout, late loops and old reports. If workers do not answer, only the reports are old.
type callMonitor struct {
	cells        *Cells
	slowCalls    *log.OutageLogger
	startBacklog *log.OutageLogger
	closedConns  *log.OutageLogger
	lastProblems int64           // count at the last publication
	lastConns    idleconn.Counts // counts at the last call of publishConnections
}

func newCallMonitor(c *Cells) *callMonitor {
	return &callMonitor{cells: c, slowCalls: log.NewOutageLogger(log.OutageLoggerConfig{
		Logger: c.config.Logger, Began: "calls to workers take long", Ended: "calls to workers are quick again",
	}), startBacklog: log.NewOutageLogger(log.OutageLoggerConfig{
		Logger: c.config.Logger, Began: "starts are held back because workers answer late", Ended: "starts are no longer held back by late answers",
	}), closedConns: log.NewOutageLogger(log.OutageLoggerConfig{
		Logger: c.config.Logger, Began: "idle connections closed because connections to the same peers stopped answering",
		Ended: "no more connections have stopped answering",
	})}
}

// publish publishes the current state once. late is how much later than scheduled it is called.
func (m *callMonitor) publish(late time.Duration) {
	config := m.cells.config
	config.Scope.Gauge("loops_late").Update(late.Seconds())
	config.Scope.Gauge("worker_calls_in_flight").Update(float64(m.cells.workerCalls.Load()))
	m.publishStartLimit(m.cells.startLimit.Current())
	if config.Connections != nil {
		m.publishConnections(config.Connections())
	}
	if config.Problems != nil {
		m.publishProblems(config.Problems())
	}
	if config.WorkerCalls != nil {
		m.publishCallTimeout(config.WorkerCalls)
	}
}

// publishProblems publishes how many versions of workers' entries and cordons could not be used as they are.
func (m *callMonitor) publishProblems(now int64) {
	m.cells.config.Scope.Counter("records_invalid").Inc(now - m.lastProblems)
	m.lastProblems = now
}

// publishConnections publishes how many connections were opened and how many were closed as silent. Both
// counts rise once when all open connections go silent, and keep rising when calls get lost.
func (m *callMonitor) publishConnections(now idleconn.Counts) {
	scope, closed := m.cells.config.Scope, now.ClosedSilent-m.lastConns.ClosedSilent
	scope.Counter("connections_opened").Inc(now.Opened - m.lastConns.Opened)
	scope.Counter("connections_given_up").Inc(closed)
	m.lastConns = now
	if closed > 0 {
		m.closedConns.Observe(errors.Newf("%d connections closed", closed))
		return
	}
	m.closedConns.Observe(nil)
}

// publishStartLimit publishes the limit of starts in flight. The daemon has more to start than it can if
// the limit is below its initial value and exhausted.
func (m *callMonitor) publishStartLimit(limit int) {
	m.cells.config.Scope.Gauge("starts_bound").Update(float64(limit))
	if limit < initialStarts && m.cells.startLimit.Free() == 0 {
		m.startBacklog.Observe(errors.Newf("the limit of %d starts in flight is exhausted", limit))
		return
	}
	m.startBacklog.Observe(nil)
}

func (m *callMonitor) publishCallTimeout(calls *calltime.Limit) {
	limit := calls.Current()
	m.cells.config.Scope.Gauge("worker_call_limit").Update(limit.Seconds())
	if limit > calls.Min() {
		m.slowCalls.Observe(errors.Newf("their timeout is raised to %s", limit))
		return
	}
	m.slowCalls.Observe(nil)
}

// beginCall counts a call to a worker that is sent now, and returns the current time.
func (o *Owner) beginCall() time.Time {
	o.cells.workerCalls.Add(1)
	return o.config.Clock.Now()
}

// endCall passes the result of a call to a worker to the adaptive timeout. sent is when the call was sent,
// and wait how long the worker may delay its answer. Calls that the worker did not carry out, or that it
// answered before wait was over, say nothing about the timeout.
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
	o.config.WorkerCalls.Record(calltime.Call{Took: took, Answered: answered})
}
