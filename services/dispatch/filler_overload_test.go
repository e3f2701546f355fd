// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// fillerOverload is a standby bench to which more jobs of filler tasks come than its workers can do.
type fillerOverload struct {
	*standbyBench
	begin time.Time
	jobs  []*overloadingJob // in the order in which they came
}

// overloadingJob is a job of a fillerOverload.
type overloadingJob struct {
	id     jobs.ID
	due    models.UnixMilli
	inTime bool
}

const (
	overloadingTasks   = 8  // of a job; each takes a core and a second
	overloadingWorkers = 10 // of four cores, so that they do five jobs a second
	overloadingJobs    = 20 // a second
)

// submitDue hands in the jobs that have come by now.
func (o *fillerOverload) submitDue() {
	for float64(len(o.jobs)) < overloadingJobs*o.now.Sub(o.begin).Seconds() {
		step := fillerStep
		step.Count, step.Size.CPU, step.Estimate = overloadingTasks, 1000, 1000
		record := o.job(step)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", len(o.jobs)))
		record.Terms.Slack, record.Terms.Stretch = 3500, 1.5
		o.AddJob(record, jobs.Progress{}, true, o.now)
		o.jobs = append(o.jobs, &overloadingJob{id: record.Spec.ID, due: o.deadline(o.Core.jobs[record.Spec.ID])})
	}
}

// noteEnds notes the jobs that have ended in time.
func (o *fillerOverload) noteEnds() {
	for _, each := range o.jobs {
		if models.UnixMilliOf(o.now) <= each.due && o.succeeded[each.id] == overloadingTasks {
			each.inTime = true
		}
	}
}

// inTime returns how many of some jobs have ended in time.
func (o *fillerOverload) inTime(list []*overloadingJob) int {
	n := 0
	for _, each := range list {
		if each.inTime {
			n++
		}
	}
	return n
}

// TestFillerJobsAboveCapacityEnd guards against a cell that works on one task of each of its jobs in turn when more jobs of filler tasks
// come than it can do, so that hardly any ends in time, not even of the last ones, for which there is capacity afterwards.
func TestFillerJobsAboveCapacityEnd(t *testing.T) {
	const (
		coming   = 20 * time.Second
		after    = 10 * time.Second
		last     = 2 * overloadingJobs         // jobs
		possible = 5 * int(coming/time.Second) // jobs that the workers can do meanwhile
	)
	o := &fillerOverload{standbyBench: newStandbyBench(t, overloadingWorkers)}
	o.begin = o.now
	o.pass(coming, func() { o.submitDue(); o.noteEnds() })
	o.pass(after, o.noteEnds)
	all, ofLast := o.inTime(o.jobs), o.inTime(o.jobs[len(o.jobs)-last:])
	t.Logf("in time: %d of %d; of the last %d: %d", all, len(o.jobs), last, ofLast)
	require.GreaterOrEqual(t, all, possible/2)
	require.GreaterOrEqual(t, ofLast, last/4)
}
