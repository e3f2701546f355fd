// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rillsail.example/rillsail/models/jobs"
)

const (
	stormAllowed = 6 * time.Second  // from the last run of a long-running task, while most of the capacity is free
	stormWatched = 10 * time.Second // after the last job that crashes workers
)

// storm is a script in which many jobs have a task that crashes its workers, so that most workers have a suspect on trial,
// and all workers restart before that.
type storm struct {
	every       int           // each so many jobs have a task that crashes its workers
	after       time.Duration // the task's runtime
	lasts       time.Duration // how long such jobs are submitted
	longRunning int           // jobs of long-running tasks of which the first one crashes its workers, submitted at the beginning
	passes      int           // restarts of all workers before that, one after the other
}

// play plays the script.
func (s storm) play(t *testing.T) *waitSimulation {
	t.Helper()
	p := newWaitSimulation(t)
	p.crashAfter = map[jobs.ID]time.Duration{}
	p.advance(waitBefore)
	for n := range s.passes * waitWorkers {
		p.restart(n%waitWorkers, 1)
		p.advance(100 * time.Millisecond)
	}
	for range s.longRunning {
		p.crashAfter[p.nextID()] = s.after
		p.submit(waitLastingStep)
	}
	p.crashEvery, p.crashTime = s.every, s.after
	p.advance(s.lasts)
	p.crashEvery = 0
	p.advance(stormWatched)
	t.Logf("%+v: long-running tasks waited for %v beside most of the room, jobs for %v (of those that crash workers %v, %v); %d workers crashed, %d trials, %d jobs given up, %d starts too many, %d innocent",
		s, p.besideRoom.longestTask, p.besideRoom.longestJob, p.crashersBesideRoom.longestTask, p.crashersBesideRoom.longestJob, p.crashed, p.counts.Trials, p.counts.GivenUp, p.startsTooMany, p.innocentGivenUp())
	return p
}

// storms are scripts of such jobs after all workers have restarted twice.
var storms = []storm{
	{every: 5, after: 20 * time.Millisecond, lasts: 10 * time.Second, longRunning: 20, passes: 2},
	{every: 5, after: 300 * time.Millisecond, lasts: 10 * time.Second, longRunning: 20, passes: 2},
	{every: 3, after: 300 * time.Millisecond, lasts: 10 * time.Second, longRunning: 8, passes: 2},
	{every: 3, after: 600 * time.Millisecond, lasts: 10 * time.Second, longRunning: 20, passes: 2},
	{every: 5, after: 900 * time.Millisecond, lasts: 10 * time.Second, longRunning: 20, passes: 2},
}

// TestWorkRunsSoonWhileOthersCrashWorkers guards against work of jobs that crash nothing which waits beside workers with most
// of their capacity free, for as long as tasks that crash their workers are tried there.
func TestWorkRunsSoonWhileOthersCrashWorkers(t *testing.T) {
	for _, s := range storms {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			p := s.play(t)
			assert.LessOrEqual(t, p.besideRoom.longestTask, stormAllowed)
			assert.LessOrEqual(t, p.besideRoom.longestJob, waitAllowed)
			assert.Zero(t, p.innocentGivenUp())
		})
	}
}

// TestLongRunningTasksRunSoonWhileOthersCrashWorkers guards against the same for all long-running tasks, those that crash their
// workers among them: each runs, or its job fails.
func TestLongRunningTasksRunSoonWhileOthersCrashWorkers(t *testing.T) {
	for _, s := range storms {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			p := s.play(t)
			assert.LessOrEqual(t, max(p.besideRoom.longestTask, p.crashersBesideRoom.longestTask), stormAllowed)
		})
	}
}

// TestJobsThatCrashWorkersRunSoonBesideRoom guards against the same for short jobs whose tasks crash their workers: something
// of them runs, or they fail.
func TestJobsThatCrashWorkersRunSoonBesideRoom(t *testing.T) {
	for _, s := range storms {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			assert.LessOrEqual(t, s.play(t).crashersBesideRoom.longestJob, waitAllowed)
		})
	}
}
