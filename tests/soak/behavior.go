// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// behavior is how a caller hands in a job that is not accepted at once.
type behavior struct {
	weight      int
	tries       int  // at most
	step        int  // so many daemons further with each try; 0: at the same one
	leavesEarly bool // closes the connection soon, and each time somewhat later
	trusting    bool // does not come again when it was refused
	twice       bool // hands the job in at two daemons at once
	again       bool // hands the job in once more after it was accepted
}

// behaviors lists them all.
var behaviors = []behavior{
	{weight: 4, tries: tries, step: 1},
	{weight: 3, tries: tries, step: 1, trusting: true},
	{weight: 2, tries: 1, leavesEarly: true},
	{weight: 2, tries: tries, leavesEarly: true},
	{weight: 2, tries: 1, twice: true},
	{weight: 2, tries: tries, step: 1, again: true},
}

const (
	// shortestWait and longestWait bound how long a caller that leaves early stays the first time: the
	// users' callers leave from a tenth of a second on.
	shortestWait = 100 * time.Millisecond
	longestWait  = 1500 * time.Millisecond
	// longestAgain is when at the latest an accepted job is handed in once more.
	longestAgain = 4 * time.Second
	// withdrawOneIn: one caller in so many that does not know what became of its job cancels it.
	withdrawOneIn = 2
)

// callerPlan is what one caller will do with its job.
type callerPlan struct {
	behavior
	spec      jobs.Spec
	first     int           // daemon
	other     int           // daemon, of a cancellation and of a second call
	stay      time.Duration // of a caller that leaves early, the first time
	after     time.Duration // when an accepted job is handed in once more
	withdraws bool          // cancels the job when it can't know what became of it
}

// newCallerPlan draws how a caller behaves.
func newCallerPlan(random *rand.Rand, spec jobs.Spec, first, daemons int) callerPlan {
	all := 0
	for _, h := range behaviors {
		all += h.weight
	}
	v := callerPlan{
		spec: spec, first: first, other: first + 1 + random.IntN(max(1, daemons-1)),
		stay:      shortestWait + time.Duration(random.Int64N(int64(longestWait-shortestWait))),
		after:     time.Duration(random.Int64N(int64(longestAgain))),
		withdraws: random.IntN(withdrawOneIn) == 0,
	}
	n := random.IntN(all)
	for _, h := range behaviors {
		if n -= h.weight; n < 0 {
			v.behavior = h
			break
		}
	}
	return v
}

// stays is how long the caller waits for the answer of a try, counted from 0.
func (v callerPlan) stays(try int) time.Duration {
	if v.leavesEarly {
		return min(answerWithin, time.Duration(1+try)*v.stay)
	}
	return answerWithin
}
