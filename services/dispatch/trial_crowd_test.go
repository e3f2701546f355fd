// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	crowdExtraJobs  = 14              // of six tasks each, beside waitLastingJobs: some 200 long-running tasks
	crowdRestarting = waitWorkers / 3 // workers that restart, in most scripts
	crowdAllowed    = 7 * time.Second // from the last fault until each task runs
)

// crowd is a script in which workers of a cell restart, again and again, while owners are lost in turn.
type crowd struct {
	owners int           // lost
	among  int           // workers that restart, one group after the other
	every  time.Duration // from one loss of an owner to the next
	group  int           // workers that restart together
	pause  time.Duration // from one group to the next
}

// play plays the script and lets time pass until all work runs again.
func (s crowd) play(t *testing.T) *waitSimulation {
	t.Helper()
	p := newWaitSimulation(t)
	for range crowdExtraJobs {
		p.submit(waitLastingStep)
	}
	p.advance(waitBefore)
	next := 0
	for range s.owners {
		for until := p.now.Add(s.every); p.now.Before(until); {
			p.restart(next, s.group)
			next = (next + s.group) % s.among
			p.advance(s.pause)
		}
		p.loseOwner(waitOwnerless)
	}
	p.advance(waitTime)
	t.Logf("%+v: waits of long-running tasks by losses %v, of jobs %v, without losses %v; %d late, %d given up", s, p.longestByLosses,
		p.longestJob, p.longestOrdinary, len(p.late), p.counts.GivenUp)
	return p
}

// TestManyLongRunningTasksRunSoonAfterOwnersLost guards against long-running tasks, suspects and others, that wait beside
// free room after owners were lost in turn while a third of the workers restarted.
func TestManyLongRunningTasksRunSoonAfterOwnersLost(t *testing.T) {
	requireWorkRunsSoon(t, []crowd{
		{owners: 2, among: crowdRestarting, every: 2 * time.Second, group: 1, pause: 100 * time.Millisecond},
		{owners: 3, among: crowdRestarting, every: 2500 * time.Millisecond, group: 2, pause: 200 * time.Millisecond},
		{owners: 4, among: crowdRestarting, every: 3 * time.Second, group: 4, pause: 400 * time.Millisecond},
		{owners: 4, among: crowdRestarting, every: 1500 * time.Millisecond, group: 16, pause: 1500 * time.Millisecond},
		{owners: 2, among: crowdRestarting, every: 8 * time.Second, group: 4, pause: 500 * time.Millisecond},
		{owners: 4, among: crowdRestarting, every: 8 * time.Second, group: 8, pause: 900 * time.Millisecond},
		{owners: 3, among: crowdRestarting, every: 6 * time.Second, group: 16, pause: 2 * time.Second},
		{owners: 4, among: crowdRestarting, every: 7 * time.Second, group: 16, pause: 3500 * time.Millisecond},
	})
}

// TestCrowdOfSuspectsRunsSoonAfterOwnersLost guards against work that waits for many seconds while most of the room is
// free: where all workers have restarted several times, each worker goes from one trial of a suspect to the next, and
// short tasks without losses find no worker meanwhile.
func TestCrowdOfSuspectsRunsSoonAfterOwnersLost(t *testing.T) {
	requireWorkRunsSoon(t, []crowd{
		{owners: 3, among: waitWorkers, every: 8 * time.Second, group: 2, pause: 100 * time.Millisecond},
		{owners: 4, among: waitWorkers, every: 5 * time.Second, group: 16, pause: 300 * time.Millisecond},
	})
}

func requireWorkRunsSoon(t *testing.T, scripts []crowd) {
	t.Helper()
	for _, s := range scripts {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			p := s.play(t)
			assert.LessOrEqual(t, p.longestTask, crowdAllowed)
			assert.Empty(t, slices.Sorted(maps.Keys(p.late)), "work that could run and does not")
		})
	}
}
