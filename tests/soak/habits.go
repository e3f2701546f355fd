// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// habit is how a caller hands in a job that is not accepted at once.
type habit struct {
	weight int
	tries  int  // at most
	step   int  // so many daemons further with each try; 0: at the same one
	hasty  bool // closes the connection soon, and each time somewhat later
	meek   bool // does not come again when it was refused
	twice  bool // hands the job in at two daemons at once
	again  bool // hands the job in once more after it was accepted
}

// habits lists them all.
var habits = []habit{
	{weight: 4, tries: tries, step: 1},
	{weight: 3, tries: tries, step: 1, meek: true},
	{weight: 2, tries: 1, hasty: true},
	{weight: 2, tries: tries, hasty: true},
	{weight: 2, tries: 1, twice: true},
	{weight: 2, tries: tries, step: 1, again: true},
}

const (
	// shortestStay and longestStay bound how long a hasty caller stays the first time: the
	// users' callers leave from a tenth of a second on.
	shortestStay = 100 * time.Millisecond
	longestStay  = 1500 * time.Millisecond
	// longestAgain is when at the latest an accepted job is handed in once more.
	longestAgain = 4 * time.Second
	// withdrawOneIn: one caller in so many that does not know what became of its job cancels it.
	withdrawOneIn = 2
)

// visit is one caller with its job.
type visit struct {
	habit
	spec      jobs.Spec
	first     int           // daemon
	other     int           // daemon, of a cancellation and of a second call
	stay      time.Duration // of a hasty caller, the first time
	after     time.Duration // when an accepted job is handed in once more
	withdraws bool          // cancels the job when it can't know what became of it
}

// newVisit draws how a caller behaves.
func newVisit(random *rand.Rand, spec jobs.Spec, first, daemons int) visit {
	all := 0
	for _, h := range habits {
		all += h.weight
	}
	v := visit{
		spec: spec, first: first, other: first + 1 + random.IntN(max(1, daemons-1)),
		stay:      shortestStay + time.Duration(random.Int64N(int64(longestStay-shortestStay))),
		after:     time.Duration(random.Int64N(int64(longestAgain))),
		withdraws: random.IntN(withdrawOneIn) == 0,
	}
	n := random.IntN(all)
	for _, h := range habits {
		if n -= h.weight; n < 0 {
			v.habit = h
			break
		}
	}
	return v
}

// stays is how long the caller waits for the answer of a try, counted from 0.
func (v visit) stays(try int) time.Duration {
	if v.hasty {
		return min(answerWithin, time.Duration(1+try)*v.stay)
	}
	return answerWithin
}
