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

// unreachedCase is a case of testdata/unreached.json: a worker that no connection reaches, while a task may run there.
type unreachedCase struct {
	Name    string       `json:"name"`
	Runs    bool         `json:"runs"`      // the owner has started the task there; otherwise a previous owner may have
	Drains  models.Milli `json:"drains_ms"` // until the worker may leave, when it was last reached; 0: it does not drain
	Refuses bool         `json:"refuses"`   // its address refuses connections; otherwise they get no answer
	Listed  bool         `json:"listed"`    // the list goes on naming it
}

// unreachedPlay is a cell with a worker that can't be reached, and others that answer.
type unreachedPlay struct {
	*testing.T
	*bench
	unreachedCase
	worker jobs.Worker
	others []jobs.Worker
}

const (
	unreachedID     = jobs.WorkerID("unreached")
	unreachedStep   = 50 * time.Millisecond
	unreachedAnswer = 500 * time.Millisecond // how long after the end of the lease, by the slowest clock, the task starts at the latest
)

func newUnreachedPlay(t *testing.T, c unreachedCase) *unreachedPlay {
	p := &unreachedPlay{T: t, bench: newBench(t, 3), unreachedCase: c}
	p.worker = jobs.Worker{ID: unreachedID, Pool: testPool, Address: "unreached", Capacity: models.Resources{CPU: 4000, Memory: 8000}}
	p.others = p.Workers()
	return p
}

// leave lets a worker leave: its address refuses connections and the list no longer names it, until its lease is over. The
// second worker goes on to report.
func (b *bench) leave(t *testing.T, n int) {
	gone := b.ids[n]
	var listed []jobs.Worker
	for _, info := range b.Workers() {
		if info.ID != gone {
			listed = append(listed, info)
		}
	}
	for left := b.now; b.workers[gone] != nil; b.Decide(b.now) {
		require.Less(t, b.now.Sub(left), driftedLease(b.config.Lease)+time.Second, "the worker is still waited for")
		b.SetWorkers(listed, b.now)
		b.Unreached(gone, true, b.now)
		b.report(1, jobs.Report{})
		if b.rosterChanged || b.wantsProof {
			b.storeChanges()
		}
	}
}

// list passes a list to the owner that names the worker or not.
func (p *unreachedPlay) list(named bool) {
	list := p.others
	if named {
		list = append([]jobs.Worker{p.worker}, list...)
	}
	p.SetWorkers(list, p.now)
}

// drain lets the worker announce when it may leave.
func (p *unreachedPlay) drain() {
	p.worker.Draining, p.worker.Remaining = p.Drains > 0, p.Drains.Duration()
}

// renew renews the worker's lease, and returns when it is over by the slowest clock.
func (p *unreachedPlay) renew(running ...jobs.Run) (lapses time.Time) {
	clock := models.MilliOf(p.now.Sub(time.Unix(1_000_000, 0)))
	call, _ := p.LeaseCall(unreachedID, time.Second, p.now)
	p.Reported(unreachedID, p.now, jobs.Report{Clock: clock, Running: running}, p.now.Add(time.Millisecond))
	return p.now.Add(time.Duration(float64((call.Until - clock).Duration()) / leaseSlowest))
}

// start starts the task on the worker, which then drains, and returns when its last lease is over by the slowest clock.
func (p *unreachedPlay) start() (lapses time.Time) {
	p.list(true)
	p.renew()
	p.storeChanges() // the roster names workers that have answered
	p.renew()        // the first answer tells the clock
	p.AddJob(p.job(singleTaskStep), jobs.Progress{}, true, p.now)
	starts := p.starts()
	require.Len(p, starts, 1)
	require.Equal(p, unreachedID, starts[0].Worker.ID)
	p.Started(starts[0], Result{Outcome: OutcomeDone}, p.now)
	lapses = p.renew(jobs.Run{Task: starts[0].Call.Task, Run: starts[0].Call.Run})
	p.drain()
	p.list(true)
	p.storeChanges()
	return latest(lapses, p.renew(jobs.Run{Task: starts[0].Call.Task, Run: starts[0].Call.Run}))
}

// takeOver lets a previous owner's roster name the worker, and returns when its last lease is over by the slowest clock.
func (p *unreachedPlay) takeOver() (lapses time.Time) {
	p.drain()
	if p.worker.Draining {
		p.worker.LeavesAt = models.UnixMilliOf(p.now) + models.UnixMilli(p.Drains)
	}
	roster := jobs.Roster{MaxLease: models.MilliOf(p.config.Lease), LeaseAllowance: models.MilliOf(leaseAllowance)}
	roster.Workers = append(roster.Workers, p.worker)
	p.RestoreRoster(roster, p.now)
	p.AddJob(p.job(singleTaskStep), jobs.Progress{}, false, p.now)
	p.reportAll(0, len(p.ids))
	return p.now.Add(time.Duration(float64(p.config.Lease+leaseAllowance) / leaseSlowest))
}

// TestTaskOfAnUnreachedWorkerWaitsForItsLease guards against a task on two workers: one that drains, or that the list no
// longer names, was taken for gone because no connection reached it, and ran its tasks until its lease was over.
func TestTaskOfAnUnreachedWorkerWaitsForItsLease(t *testing.T) {
	for _, c := range casefile.Read[[]unreachedCase](t, "testdata/unreached.json") {
		t.Run(c.Name, func(t *testing.T) {
			p := newUnreachedPlay(t, c)
			var lapses time.Time
			if c.Runs {
				lapses = p.start()
			} else {
				lapses = p.takeOver()
			}
			for ; ; p.now = p.now.Add(unreachedStep) {
				require.Less(t, p.now.Sub(lapses), unreachedAnswer, "the task still waits")
				p.list(c.Listed)
				p.Unreached(unreachedID, c.Refuses, p.now)
				p.reportAll(0, len(p.ids))
				if len(p.storedStarts()) > 0 {
					require.GreaterOrEqual(t, p.now.Sub(lapses), time.Duration(0), "the task may still run on the worker")
					return
				}
			}
		})
	}
}
