// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/calltime"
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
// has a long time limit, workers that don't answer leave it as it is.
type callsNote struct {
	config  Config
	trouble *log.Trouble
}

func newCallsNote(c Config) *callsNote {
	return &callsNote{config: c, trouble: log.NewTrouble(log.TroubleConfig{
		Logger: c.Logger, Began: "calls to workers take long", Ended: "calls to workers are quick again",
	})}
}

// note looks at the time limit once.
func (n *callsNote) note() {
	if n.config.WorkerCalls == nil {
		return
	}
	limit := n.config.WorkerCalls.Current()
	n.config.Scope.Gauge("worker_call_limit").Update(limit.Seconds())
	if limit > n.config.WorkerCalls.Least() {
		n.trouble.Note(errors.Newf("their time limit is %s", limit))
		return
	}
	n.trouble.Note(nil)
}

// noteCall teaches the time limit what became of a call to a worker that was sent then, and
// whose answer might wait. Calls that were not done, or ended early, say nothing of it.
func (o *Owner) noteCall(sent time.Time, wait time.Duration, outcome dispatch.Outcome) {
	took := time.Since(sent) - wait
	if took < 0 || outcome == dispatch.OutcomeNotDone || o.config.WorkerCalls == nil {
		return
	}
	answered := outcome != dispatch.OutcomeUnknown
	if !answered {
		o.config.Scope.Counter("worker_calls_lost").Inc(1)
	}
	o.config.WorkerCalls.Note(calltime.Call{Took: took, Answered: answered})
}
