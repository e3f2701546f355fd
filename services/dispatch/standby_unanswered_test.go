// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// unansweredScript is a script of testdata/unanswered_starts.json: jobs of filler tasks in a cell where some workers report, and get no
// orders.
type unansweredScript struct {
	Name        string       `json:"name"`
	Workers     int          `json:"workers"`
	Serving     bool         `json:"serving"`     // each worker has a serving task, which a filler task pushes over its target
	Deaf        int          `json:"deaf"`        // workers that get no orders
	StartsOnly  bool         `json:"starts_only"` // they get no starts, and all other orders
	CallTimeout models.Milli `json:"call_timeout_ms"`
	Jobs        int          `json:"jobs"`
	Tasks       int          `json:"tasks"`     // of each job
	Waited      models.Milli `json:"waited_ms"` // for which the jobs have waited in another cell
}

// loses reports whether an order is for a worker that does not get it.
func (s *unansweredScript) loses(b *standbyBench, order Order) bool {
	var to jobs.WorkerID
	switch order := order.(type) {
	case StartOrder:
		to = order.Worker.ID
	case StopOrder:
		to = order.Worker.ID
	case PaceOrder:
		to = order.Worker.ID
	}
	_, start := order.(StartOrder)
	return b.index(to) < s.Deaf && (start || !s.StartsOnly)
}

// submit adds the jobs of the script.
func (s *unansweredScript) submit(b *standbyBench) {
	for n := range s.Jobs {
		step := fillerStep
		step.Count, step.Size = s.Tasks, shortTasksSize
		record := b.job(step)
		record.Spec.ID = crowdID(n)
		record.Transferred, record.Accepted = s.Waited > 0, models.UnixMilliOf(b.now.Add(-s.Waited.Duration()))
		b.AddJob(record, jobs.Progress{}, true, b.now)
	}
}

// TestJobsRunSoonAfterStartsWithoutAnswer guards against jobs of which nothing runs because one of their tasks counts as running while its
// start has no answer.
func TestJobsRunSoonAfterStartsWithoutAnswer(t *testing.T) {
	for _, script := range casefile.Read[[]unansweredScript](t, "testdata/unanswered_starts.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			b := newShortTasksBench(t, shortTasksScript{Workers: script.Workers, Serving: script.Serving})
			b.workOf = nil
			b.callTimeout, b.loses = script.CallTimeout.Duration(), func(order Order) bool { return script.loses(b, order) }
			began := b.now.Add(-script.Waited.Duration())
			script.submit(b)
			seenAt := make([]time.Time, script.Jobs)
			for n := range seenAt {
				seenAt[n] = began
			}
			longest := time.Duration(0)
			b.pass(3*fillerAllowed, func() {
				for n := range script.Jobs {
					if len(b.runsOf(crowdID(n))) > 0 || b.succeeded[crowdID(n)] > 0 {
						seenAt[n] = b.now
					}
					longest = max(longest, b.now.Sub(seenAt[n]))
				}
			})
			t.Logf("nothing of a job has run for %v", longest)
			require.Less(t, longest, fillerAllowed)
		})
	}
}
