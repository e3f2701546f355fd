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
	weight           int
	maxTries         int  // at most
	daemonStep       int  // so many daemons further with each try; 0: at the same one
	disconnectsEarly bool // closes the connection soon, and each time somewhat later
	acceptsRefusal   bool // does not come again when it was refused
	submitsToTwo     bool // hands the job in at two daemons at once
	resubmits        bool // hands the job in once more after it was accepted
}

// behaviors lists them all.
var behaviors = []behavior{
	{weight: 4, maxTries: maxTries, daemonStep: 1},
	{weight: 3, maxTries: maxTries, daemonStep: 1, acceptsRefusal: true},
	{weight: 2, maxTries: 1, disconnectsEarly: true},
	{weight: 2, maxTries: maxTries, disconnectsEarly: true},
	{weight: 2, maxTries: 1, submitsToTwo: true},
	{weight: 2, maxTries: maxTries, daemonStep: 1, resubmits: true},
}

const (
	// minFirstTimeout and maxFirstTimeout bound how long a caller that leaves early stays the first time: the
	// users' callers leave from a tenth of a second on.
	minFirstTimeout = 100 * time.Millisecond
	maxFirstTimeout = 1500 * time.Millisecond
	// maxResubmitDelay is when at the latest an accepted job is handed in once more.
	maxResubmitDelay = 4 * time.Second
	// cancelUnknownOneIn: one caller in so many that does not know what became of its job cancels it.
	cancelUnknownOneIn = 2
)

// callerPlan is what one caller will do with its job.
type callerPlan struct {
	behavior
	spec           jobs.Spec
	firstDaemon    int           // daemon
	otherDaemon    int           // daemon, of a cancellation and of a second call
	firstTimeout   time.Duration // of a caller that leaves early, the first time
	resubmitDelay  time.Duration // when an accepted job is handed in once more
	cancelsUnknown bool          // cancels the job when it can't know what became of it
}

// newCallerPlan draws how a caller behaves.
func newCallerPlan(random *rand.Rand, spec jobs.Spec, first, daemons int) callerPlan {
	all := 0
	for _, h := range behaviors {
		all += h.weight
	}
	v := callerPlan{
		spec: spec, firstDaemon: first, otherDaemon: first + 1 + random.IntN(max(1, daemons-1)),
		firstTimeout:   minFirstTimeout + time.Duration(random.Int64N(int64(maxFirstTimeout-minFirstTimeout))),
		resubmitDelay:  time.Duration(random.Int64N(int64(maxResubmitDelay))),
		cancelsUnknown: random.IntN(cancelUnknownOneIn) == 0,
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

// timeout is how long the caller waits for the answer of a try, counted from 0.
func (v callerPlan) timeout(try int) time.Duration {
	if v.disconnectsEarly {
		return min(answerTimeout, time.Duration(1+try)*v.firstTimeout)
	}
	return answerTimeout
}
