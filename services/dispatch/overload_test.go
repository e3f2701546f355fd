// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// overloadCase is a load of batch jobs of very different width on workers that can do only a part of it.
type overloadCase struct {
	Workers   int     `json:"workers"`    // of four cores
	Seconds   int     `json:"seconds"`    // in which jobs arrive
	PerSecond float64 `json:"per_second"` // jobs
	Width     float64 `json:"width"`      // mean number of tasks of a step, exponentially distributed
	Widest    int     `json:"widest"`     // tasks of a step, at most
	Steps     int     `json:"steps"`      // one after the other
	Spread    float64 `json:"spread"`     // by which tasks take longer or shorter than estimated
	Seed      uint64  `json:"seed"`
	// InTime is the share of the jobs that must end in time.
	InTime float64 `json:"in_time"`
}

// loadRun is a run on a worker of the simulation.
type loadRun struct {
	order StartOrder
	ends  time.Time
}

// overload plays an overloadCase on a core.
type overload struct {
	*bench
	overloadCase
	random  *rand.Rand
	running map[jobs.WorkerID][]loadRun
	ended   map[jobs.WorkerID][]jobs.Ended
	numbers map[jobs.WorkerID]uint64
	sizes   map[jobs.ID]float64
	due     map[jobs.ID]models.UnixMilli
	endedAt map[jobs.ID]models.UnixMilli
}

const (
	overloadTick     = 50 * time.Millisecond
	overloadEstimate = 1000 // of each task, in milliseconds
)

// newOverload returns a simulation whose workers have reported.
func newOverload(t *testing.T, c overloadCase) *overload {
	t.Helper()
	o := &overload{
		bench: newBench(t, c.Workers), overloadCase: c, random: rand.New(rand.NewPCG(c.Seed, 1)),
		running: map[jobs.WorkerID][]loadRun{}, ended: map[jobs.WorkerID][]jobs.Ended{}, numbers: map[jobs.WorkerID]uint64{},
		sizes: map[jobs.ID]float64{}, due: map[jobs.ID]models.UnixMilli{}, endedAt: map[jobs.ID]models.UnixMilli{},
	}
	o.Configure(&jobs.Configuration{Queues: []jobs.Queue{{Name: "q", Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 1000, Stretch: 2}}}})
	o.reportAllWorkers()
	o.reportAllWorkers() // the second answers a call that renews the lease
	return o
}

// reportAllWorkers reports what runs and has ended on each worker.
func (o *overload) reportAllWorkers() {
	for _, id := range o.ids {
		report := jobs.Report{Clock: models.MilliOf(o.now.Sub(time.Unix(1_000_000, 0))), Ended: o.ended[id]}
		for _, run := range o.running[id] {
			report.Running = append(report.Running, jobs.Run{Task: run.order.Call.Task, Run: run.order.Call.Run, Progress: 1})
		}
		o.LeaseCall(id, time.Second, o.now)
		o.Reported(id, o.now, report, o.now)
		o.ended[id] = nil
	}
}

// submit adds a job that arrives now.
func (o *overload) submit(n int) {
	spec := jobs.Spec{ID: jobs.ID(fmt.Sprintf("%016x", n)), Queue: "q"}
	for step := range o.Steps {
		count := min(o.Widest, 1+int(o.random.ExpFloat64()*o.Width))
		s := jobs.Step{Count: count, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: overloadEstimate}
		if step > 0 {
			s.After = []int{step - 1}
		}
		o.sizes[spec.ID] += float64(count)
		spec.Steps = append(spec.Steps, s)
	}
	record := jobs.Record{Spec: spec, Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3}, Accepted: models.UnixMilliOf(o.now)}
	o.AddJob(record, jobs.Progress{}, true, o.now)
	o.due[spec.ID] = o.deadline(o.jobs[spec.ID])
}

// tick ends runs, passes reports on and starts what the core orders.
func (o *overload) tick() {
	o.now = o.now.Add(overloadTick)
	for _, id := range o.ids {
		o.running[id] = slices.DeleteFunc(o.running[id], func(run loadRun) bool {
			if run.ends.After(o.now) {
				return false
			}
			o.numbers[id]++
			o.ended[id] = append(o.ended[id], jobs.Ended{Number: o.numbers[id], Task: run.order.Call.Task, Run: run.order.Call.Run, How: jobs.EndSucceeded})
			return true
		})
	}
	o.reportAllWorkers()
	for _, order := range o.starts() {
		takes := overloadEstimate * (1 + o.Spread*(2*o.random.Float64()-1))
		o.running[order.Worker.ID] = append(o.running[order.Worker.ID], loadRun{order, o.now.Add(time.Duration(takes) * time.Millisecond)})
		o.Started(order, Result{Outcome: OutcomeDone}, o.now)
	}
	for id := range o.sizes {
		if j := o.jobs[id]; j != nil && j.end != "" && o.endedAt[id] == 0 {
			o.endedAt[id] = models.UnixMilliOf(o.now)
		}
	}
	o.Stored(o.TakeChanges(len(o.jobs), o.now), o.now)
}

// inTime returns the share of the jobs that ended in time.
func (o *overload) inTime(ids []jobs.ID) float64 {
	n := 0
	for _, id := range ids {
		if at := o.endedAt[id]; at != 0 && at <= o.due[id] {
			n++
		}
	}
	return float64(n) / float64(len(ids))
}

// TestWideJobsAboveCapacity plays batch jobs of different widths that together need more than the workers have. In the order of
// their deadlines nearly all end late, each by a little. Most of what capacity allows must end in time, and the largest
// tenth of the jobs, and the fifth beneath it, at least half as often as all (the users' bound for a kind of job).
func TestWideJobsAboveCapacity(t *testing.T) {
	casefile.Each(t, "testdata/overload/*.json", func(t *testing.T, c overloadCase) {
		o := newOverload(t, c)
		n := 0
		for tick := range c.Seconds * int(time.Second/overloadTick) {
			for float64(n) < c.PerSecond*float64(tick)*overloadTick.Seconds() {
				n++
				o.submit(n)
			}
			o.tick()
		}
		for range 20 * int(time.Second/overloadTick) { // jobs that arrived last
			o.tick()
		}
		var ids []jobs.ID
		for id := range o.sizes {
			ids = append(ids, id)
		}
		slices.SortFunc(ids, func(a, b jobs.ID) int { return cmp.Or(cmp.Compare(o.sizes[a], o.sizes[b]), cmp.Compare(a, b)) })
		all, fifth, tenth := o.inTime(ids), o.inTime(ids[len(ids)*7/10:len(ids)*9/10]), o.inTime(ids[len(ids)*9/10:])
		t.Logf("in time: all %.2f, the fifth beneath the largest tenth %.2f, the largest tenth %.2f", all, fifth, tenth)
		require.GreaterOrEqual(t, all, c.InTime)
		require.GreaterOrEqual(t, fifth, all/2)
		require.GreaterOrEqual(t, tenth, all/2)
	})
}
