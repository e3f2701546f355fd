// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// cordonStepKinds are faultStepKinds with cordons, which come often enough to overlap.
var cordonStepKinds = append([]string{
	"cordon domain", "cordon domain", "cordon domain", "lift cordon", "lift cordon", "kill owner", "kill all daemons",
}, faultStepKinds...)

func drawCordonStep(rt *rapid.T) scriptStep { return drawStep(rt, cordonStepKinds) }

// inDomains returns the scenario with the workers spread over failure domains.
func (s scenario) inDomains(n int) scenario {
	s.domains = n
	return s
}

// replaceOwner kills the owner of the first cell, if there is one, and starts another daemon in its place.
func (s *scriptRun) replaceOwner() {
	at := slices.Index(s.daemons, s.owner())
	if at >= 0 {
		s.replaceDaemon(at - (len(s.daemons) - scriptDaemons))
	}
}

// TestCordonScripts plays cordons beside faults of owners, store and workers: the audit of the workers finds starts in a
// domain that has been cordoned for longer than allowed, and work that waits beside workers that are free.
func TestCordonScripts(t *testing.T) {
	casefile.Each(t, "testdata/cordons/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScript(t, script, oneCellScenario.inDomains(scriptWorkers)))
		require.Empty(t, runScript(t, script, twoCellScenario.inDomains(2)))
	})
}

// TestRandomCordons plays random series and overlaps of cordons and of all other faults.
func TestRandomCordons(t *testing.T) {
	t.Run("one cell", func(t *testing.T) {
		checkRandomScripts(t, oneCellScenario.inDomains(scriptWorkers), drawCordonStep)
	})
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario.inDomains(2), drawCordonStep) })
}

// newCordonCluster returns a cluster of four workers in two failure domains, each of which has capacity for eight of
// the tasks that fillingJob submits.
func newCordonCluster(t *testing.T, daemons int) *testCluster {
	t.Helper()
	work := func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) {
		return 200 * time.Millisecond, jobs.EndSucceeded
	}
	w := newTestClusterWithGrid(t, daemons, testSettings.WorkersPerCell, grid.Config{Workers: 4, Domains: 2, Work: work})
	w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
	time.Sleep(time.Second)
	return w
}

// submitFor submits a short job each 100 ms for a time, so that starts follow each other, and calls check between.
func (w *testCluster) submitFor(length time.Duration, first int, check func()) {
	w.t.Helper()
	for n := range int(length / (100 * time.Millisecond)) {
		w.submit(w.daemons[len(w.daemons)-1], twoStepJob(first+n, 200*time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		check()
	}
}

// runningIn returns the number of runs on the workers of a failure domain of a cordonCluster.
func (w *testCluster) runningIn(domain int) int {
	return w.grid.RunningOn(domain) + w.grid.RunningOn(domain+2)
}

// TestCordonIsInForceWithinASecond guards against starts in a cordoned domain, and against a lifted cordon that stays in
// force, where the store answers.
func TestCordonIsInForceWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCordonCluster(t, 1)
		w.grid.Cordon(grid.DomainName(0))
		time.Sleep(time.Second)
		w.submitFor(5*time.Second, 1, func() { require.Zero(t, w.runningIn(0)) })
		w.grid.LiftCordon(grid.DomainName(0))
		w.submitFor(time.Second, 100, func() {})
		require.NotZero(t, w.runningIn(0), "the domain is in use again")
		w.requireNoBreaches()
	})
}

// TestSuccessorKnowsTheCordon guards against a successor that starts tasks before it has read the cordons: the owner is
// killed right after the request, and later the whole fleet.
func TestSuccessorKnowsTheCordon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCordonCluster(t, 2)
		w.grid.Cordon(grid.DomainName(0))
		w.owner().kill()
		w.startDaemon()
		time.Sleep(time.Second)
		w.submitFor(5*time.Second, 1, func() { require.Zero(t, w.runningIn(0)) })
		w.grid.Cordon(grid.DomainName(1))
		for _, d := range w.daemons {
			d.kill()
		}
		w.startDaemon()
		time.Sleep(time.Second)
		w.submitFor(5*time.Second, 100, func() { require.Zero(t, w.runningIn(0)+w.runningIn(1)) })
		w.grid.LiftCordons()
		w.eventually(20*time.Second, "jobs succeed", func() bool { return w.state(w.daemons[len(w.daemons)-1], jobID(149)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

// TestSuccessorWithoutCordonsStartsNothing guards against a successor that loads its cell while the list of cordons gives
// it no answer, and starts tasks in the time for which its other knowledge counts as fresh.
func TestSuccessorWithoutCordonsStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCordonCluster(t, 1)
		w.grid.Cordon(grid.DomainName(0))
		w.owner().kill()
		next := w.startDaemon()
		next.set(func() { next.cordonsLost = true })
		w.submit(next, longRunningJob(1, 8)) // on all workers of both domains
		time.Sleep(6 * time.Second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, w.runningIn(0))
		}
		next.set(func() { next.cordonsLost = false })
		w.submitFor(2*time.Second, 2, func() { require.Zero(t, w.runningIn(0)) })
		w.requireNoBreaches()
	})
}

// TestLostReadingsOfCordonsStopStarts guards against an owner that learns of jobs and workers, but of no cordon: the
// bound holds although it knows nothing of the request, because its knowledge is stale.
func TestLostReadingsOfCordonsStopStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCordonCluster(t, 1)
		d := w.owner()
		d.set(func() { d.cordonsLost = true })
		w.grid.Cordon(grid.DomainName(0))
		time.Sleep(3500 * time.Millisecond)
		w.submitFor(5*time.Second, 1, func() { require.Zero(t, w.runningIn(0)) })
		d.set(func() { d.cordonsLost = false })
		w.eventually(20*time.Second, "jobs succeed elsewhere", func() bool { return w.state(d, jobID(50)) == jobs.StateSucceeded })
		w.requireNoBreaches()
	})
}

// TestWorkMovesAwayFromACordonedCell guards against a cell whose workers are all cordoned and that keeps its jobs, or is
// given more, while another cell has capacity.
func TestWorkMovesAwayFromACordonedCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestClusterWithGrid(t, 2, 2, grid.Config{Workers: 4, Domains: 4})
		w.eventually(10*time.Second, "cells have owners", func() bool { return w.owner() != nil })
		time.Sleep(2 * time.Second)
		layout := w.daemons[0].Cells.layout()
		for place := range 4 {
			if len(workersInCell(cellName(0), layout, []jobs.Worker{w.grid.Worker(place)})) > 0 {
				w.grid.Cordon(grid.DomainName(place))
			}
		}
		time.Sleep(2 * time.Second)
		for n := range 8 {
			w.submit(w.daemons[0], twoStepJob(1+n, 200*time.Millisecond))
		}
		for n := range 8 {
			w.eventually(10*time.Second, "job succeeds", func() bool { return w.state(w.daemons[0], jobID(1+n)) == jobs.StateSucceeded })
		}
		w.requireNoBreaches()
	})
}
