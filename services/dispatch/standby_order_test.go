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

// startsScript is a script of testdata/short_tasks_starts.json: jobs of short filler tasks that could use all the starts that may be in
// flight, when two other jobs are submitted.
type startsScript struct {
	Name  string       `json:"name"`
	Limit int          `json:"limit"` // of the starts of a decision
	Jobs  int          `json:"jobs"`
	Tasks int          `json:"tasks"`
	Work  models.Milli `json:"work_ms"`
}

const (
	startsWorkers = 12
	startsBefore  = 3 * time.Second // until the other jobs are submitted
	startsTime    = 10 * time.Second
	startsWork    = 500 * time.Millisecond // of an ordinary task
)

// play lets the jobs of a script run, and returns after how long something of an ordinary job and of a job of longer filler tasks runs.
func (s startsScript) play(t *testing.T) (ordinary, filler time.Duration) {
	t.Helper()
	short := []shortStep{{Tasks: s.Tasks, Work: []models.Milli{s.Work}}}
	b := newShortTasksBench(t, shortTasksScript{Workers: startsWorkers, Steps: short})
	fillerJob := crowdID(s.Jobs)
	works := b.workOf
	b.workOf = func(id jobs.TaskID) time.Duration {
		if id.Job == testJob || id.Job == fillerJob {
			return startsWork
		}
		return works(id)
	}
	b.limit = s.Limit
	for n := range s.Jobs {
		b.submitShort(crowdID(n), short)
	}
	b.pass(startsBefore, nil)
	b.submit(testJob, jobs.Step{Count: 1, Size: shortTasksSize, Estimate: models.MilliOf(startsWork), Image: "ordinary"})
	b.submitShort(fillerJob, []shortStep{{Tasks: 1, Work: []models.Milli{models.MilliOf(startsWork)}}})
	began := b.now
	ordinary, filler = startsTime, startsTime
	b.pass(startsTime, func() {
		if len(b.runsOf(testJob)) > 0 {
			ordinary = min(ordinary, b.now.Sub(began))
		}
		if len(b.runsOf(fillerJob)) > 0 {
			filler = min(filler, b.now.Sub(began))
		}
	})
	return ordinary, filler
}

// TestShortFillerTasksLeaveStartsToOthers guards against jobs of short filler tasks that take all the starts that may be in flight, so that
// nothing of other jobs runs, however urgent they are.
func TestShortFillerTasksLeaveStartsToOthers(t *testing.T) {
	for _, script := range casefile.Read[[]startsScript](t, "testdata/short_tasks_starts.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			ordinary, filler := script.play(t)
			t.Logf("an ordinary job runs after %v, a job of longer filler tasks after %v", ordinary, filler)
			require.Less(t, ordinary, standbyAfter)
			require.Less(t, filler, fillerAllowed)
		})
	}
}
