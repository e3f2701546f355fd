// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// crowdCase is a case of testdata/filler_crowds.json: many jobs of filler tasks beside serving tasks that few of them may slow
// down at a time.
type crowdCase struct {
	Name           string `json:"name"`
	Jobs           int    `json:"jobs"`
	WorkersPerCell int    `json:"workers_per_cell"`
	// OwnerLost is when the owner of the first cell is lost, from the first job on; 0: it is not.
	OwnerLost models.Milli `json:"owner_lost_ms"`
}

const (
	crowdWorkers = 12
	crowdDaemons = 3
	crowdTime    = 13 * time.Second // from the first job on
	crowdCalm    = 4 * time.Second  // after a fault, for which no harm counts
)

var (
	crowdServices = grid.Services{IdleTail: 0.2, MeanLoad: 0.72, Swing: 0.05, Period: 20 * time.Second, HeavyEvery: 1}
	crowdServing  = jobs.Step{
		Count: crowdWorkers, Size: models.Resources{CPU: 1000, Memory: 1000}, LongRunning: true, PerWorker: 1, Image: "serving", Target: 100,
	}
	crowdFilling = jobs.Step{Count: 4, Size: models.Resources{CPU: 60, Memory: 50}, Estimate: 1000, Filler: true, Image: "filling"}
)

// crowdRun is a play of one case.
type crowdRun struct {
	*scriptRun
	crowdCase
	harm     map[jobs.TaskID]time.Duration
	calmFrom time.Time
}

// newCrowdRun starts the cells and their serving tasks.
func newCrowdRun(t *testing.T, c crowdCase) *crowdRun {
	r := &crowdRun{crowdCase: c, harm: map[jobs.TaskID]time.Duration{}}
	r.scriptRun = &scriptRun{testCluster: newTestClusterWithGrid(t, crowdDaemons, c.WorkersPerCell, grid.Config{Workers: crowdWorkers, Services: crowdServices})}
	r.add(crowdServing)
	r.eventually(20*time.Second, "all serving tasks run", func() bool { return r.grid.Running(jobID(1)) == crowdWorkers })
	return r
}

// add hands a job in.
func (r *crowdRun) add(step jobs.Step) {
	spec := jobs.Spec{ID: jobID(len(r.accepted) + 1), Payload: "payload", Steps: []jobs.Step{step}}
	r.submit(r.lastLiveDaemon(), spec)
	r.accepted = append(r.accepted, spec)
	r.grid.Accepted(spec.ID)
}

// watch lets time pass, and checks that jobs make progress and that no serving task is harmed for long.
func (r *crowdRun) watch(until time.Time) {
	r.t.Helper()
	for time.Now().Before(until) {
		time.Sleep(progressInterval)
		r.checkProgress()
		if time.Now().Before(r.calmFrom) {
			clear(r.harm)
		} else {
			r.recordHarm(r.harm, progressInterval)
		}
	}
}

// play hands the jobs in, loses the owner if the case says so, and requires that all jobs make progress.
func (c crowdCase) play(t *testing.T) {
	r := newCrowdRun(t, c)
	r.watch(time.Now().Add(3 * time.Second))
	began := time.Now()
	for range c.Jobs {
		r.add(crowdFilling)
	}
	if c.OwnerLost > 0 {
		r.watch(began.Add(c.OwnerLost.Duration()))
		r.grid.NoteFault()
		r.calmFrom = time.Now().Add(crowdCalm)
		r.owner().killProcess()
	}
	r.watch(began.Add(c.OwnerLost.Duration() + crowdTime))
	ended := 0
	for _, spec := range r.accepted {
		if r.grid.Succeeded(spec.ID) {
			ended++
		}
	}
	t.Logf("%d of %d jobs have ended, %d breaches", ended, c.Jobs, len(r.grid.Breaches()))
	r.requireNoBreaches()
}

// TestFillerJobsInCrowdsMakeProgress guards against jobs of filler tasks of which nothing runs for long because many others wait, in
// one cell and over two, and after the loss of an owner.
func TestFillerJobsInCrowdsMakeProgress(t *testing.T) {
	t.Parallel()
	for _, c := range casefile.Read[[]crowdCase](t, "testdata/filler_crowds.json") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, c.play)
		})
	}
}
