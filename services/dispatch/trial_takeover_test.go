// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// waitStore is what the owners of a wait simulation have stored.
type waitStore struct {
	epoch    jobs.Epoch
	roster   jobs.Roster
	active   map[jobs.ID]jobs.Record
	progress map[jobs.ID]jobs.Progress
	learned  jobs.LearnedParameters
}

// take takes what an owner stores.
func (s *waitStore) take(changes Changes) {
	for _, change := range changes.Jobs {
		s.progress[change.ID] = change.Progress
		if change.Ended != nil {
			delete(s.active, change.ID)
		}
	}
	if changes.Roster != nil {
		s.roster = *changes.Roster
	}
	if changes.LearnedParameters != nil {
		s.learned = *changes.LearnedParameters
	}
}

// store stores the owner's changes.
func (p *waitSimulation) store() {
	changes := p.TakeChanges(100, p.now)
	p.stored.take(changes)
	p.Stored(changes, p.now)
}

// loseOwner lets a successor take the cell some time after the owner is lost; the workers run on meanwhile.
func (p *waitSimulation) loseOwner(gap time.Duration) {
	for until := p.now.Add(gap); p.now.Before(until); {
		p.now = p.now.Add(simulationStep)
		p.completeRuns()
		for _, w := range p.workers {
			w.listed = w.listed || !p.now.Before(w.listedAt)
		}
	}
	p.stored.epoch++
	p.Core = New(Config{Epoch: p.stored.epoch, Taken: p.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop()})
	p.RestoreRoster(p.stored.roster, p.now)
	for _, id := range slices.Sorted(maps.Keys(p.stored.active)) {
		p.AddJob(p.stored.active[id], p.stored.progress[id], false, p.now)
	}
	p.list()
	p.lastRestart = p.now
}

// successions is a script in which all workers of a cell restart, and owners are lost one after the other meanwhile and
// afterwards.
type successions struct {
	rollingRestarts
	during int           // owners lost between restarts, evenly distributed
	after  int           // owners lost after the last restart
	every  time.Duration // from one of these to the next
}

const waitOwnerless = 300 * time.Millisecond

// play plays the script and lets time pass until all work runs again.
func (s successions) play(t *testing.T) *waitSimulation {
	t.Helper()
	p := newWaitSimulation(t)
	p.advance(waitBefore)
	groups := waitWorkers / s.group * s.passes
	for n := range groups {
		p.restart(n*s.group%waitWorkers, s.group)
		p.advance(s.rollingRestarts.every)
		if s.during > 0 && n%max(1, groups/s.during) == 0 {
			p.loseOwner(waitOwnerless)
		}
	}
	for range s.after {
		p.advance(s.every)
		p.loseOwner(waitOwnerless)
	}
	p.advance(waitCalm)
	suspects, several := p.suspects()
	p.advance(waitTime)
	t.Logf("%+v: %d suspects after %v, %d of several losses; waits: job %v, job without loss %v, long-running task %v; %d late, %d jobs given up",
		s, suspects, waitCalm, several, p.longestJob, p.longestOrdinary, p.longestTask, len(p.late), p.counts.GivenUp)
	return p
}

// TestSuspectsRunSoonAfterOwnersLostInTurn guards against suspects whose waits begin anew with each owner, so that they do
// not run for longer than callers allow after the last fault.
func TestSuspectsRunSoonAfterOwnersLostInTurn(t *testing.T) {
	for _, s := range []successions{
		{rollingRestarts{group: 1, every: 20 * time.Millisecond, passes: 2}, 0, 1, time.Second},
		{rollingRestarts{group: 1, every: 100 * time.Millisecond, passes: 2}, 0, 3, 1500 * time.Millisecond},
		{rollingRestarts{group: 1, every: 100 * time.Millisecond, passes: 3}, 4, 2, 2500 * time.Millisecond},
		{rollingRestarts{group: 4, every: 200 * time.Millisecond, passes: 2}, 3, 3, 1900 * time.Millisecond},
		{rollingRestarts{group: 16, every: 600 * time.Millisecond, passes: 4}, 4, 3, time.Second},
		{rollingRestarts{group: 16, every: 600 * time.Millisecond, passes: 4}, 0, 5, 500 * time.Millisecond},
		{rollingRestarts{group: 24, every: 579 * time.Millisecond, passes: 4}, 4, 0, 0},
		{rollingRestarts{group: 48, every: time.Second, passes: 3}, 3, 3, 1500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, slices.Sorted(maps.Keys(s.play(t).late)), "work that could run and does not")
		})
	}
}

// TestTasksThatCrashNothingOutliveOwnersLost guards against jobs that fail because a successor does not know how many workers
// were lost shortly before it took the cell, so that chance explains later losses less: each worker restarts a few times,
// one or two at a time, and the owner is lost four times meanwhile.
func TestTasksThatCrashNothingOutliveOwnersLost(t *testing.T) {
	for _, r := range []rollingRestarts{
		{group: 1, every: 150 * time.Millisecond, passes: 1},
		{group: 2, every: 150 * time.Millisecond, passes: 3},
		{group: 1, every: 150 * time.Millisecond, passes: 4},
	} {
		for _, lost := range []int{0, 4} {
			t.Run(fmt.Sprintf("%+v, %d owners lost", r, lost), func(t *testing.T) {
				t.Parallel()
				require.Zero(t, successions{rollingRestarts: r, during: lost}.play(t).counts.GivenUp)
			})
		}
	}
}
