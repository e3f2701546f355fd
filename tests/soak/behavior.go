// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"math/rand/v2"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// behavior is how a caller submits a job and reacts if the job is not accepted at once.
type behavior struct {
	weight           int
	maxTries         int
	daemonStep       int  // how many daemons further each retry goes; 0: to the same daemon
	disconnectsEarly bool // closes the connection early, with each retry somewhat later
	acceptsRefusal   bool // does not retry after a refusal
	submitsToTwo     bool // submits the job to two daemons at the same time
	resubmits        bool // submits the job once more after its acceptance
}

// behaviors lists all behaviors of callers.
var behaviors = []behavior{
	{weight: 4, maxTries: maxTries, daemonStep: 1},
	{weight: 3, maxTries: maxTries, daemonStep: 1, acceptsRefusal: true},
	{weight: 2, maxTries: 1, disconnectsEarly: true},
	{weight: 2, maxTries: maxTries, disconnectsEarly: true},
	{weight: 2, maxTries: 1, submitsToTwo: true},
	{weight: 2, maxTries: maxTries, daemonStep: 1, resubmits: true},
}

const (
	// minFirstTimeout and maxFirstTimeout bound how long a caller that disconnects early waits for its first
	// answer: the users' callers disconnect after a tenth of a second at the earliest.
	minFirstTimeout = 100 * time.Millisecond
	maxFirstTimeout = 1500 * time.Millisecond
	// maxResubmitDelay bounds how long after its acceptance a job is submitted once more.
	maxResubmitDelay = 4 * time.Second
	// cancelUnknownOneIn is the share of callers that cancel a job whose outcome they don't know: one in so many.
	cancelUnknownOneIn = 2
)

// callerPlan is what one caller is going to do with its job.
type callerPlan struct {
	behavior
	spec           jobs.Spec
	firstDaemon    int           // number of the daemon that gets the first submission
	otherDaemon    int           // number of the daemon that gets a cancellation or a second submission
	firstTimeout   time.Duration // of the first submission of a caller that disconnects early
	resubmitDelay  time.Duration // from the acceptance to the submission that is sent once more
	cancelsUnknown bool          // cancels the job if its outcome is unknown
}

// newCallerPlan draws the behavior of a caller.
func newCallerPlan(random *rand.Rand, spec jobs.Spec, first, daemons int) callerPlan {
	totalWeight := 0
	for _, b := range behaviors {
		totalWeight += b.weight
	}
	plan := callerPlan{
		spec: spec, firstDaemon: first, otherDaemon: first + 1 + random.IntN(max(1, daemons-1)),
		firstTimeout:   minFirstTimeout + time.Duration(random.Int64N(int64(maxFirstTimeout-minFirstTimeout))),
		resubmitDelay:  time.Duration(random.Int64N(int64(maxResubmitDelay))),
		cancelsUnknown: random.IntN(cancelUnknownOneIn) == 0,
	}
	n := random.IntN(totalWeight)
	for _, b := range behaviors {
		if n -= b.weight; n < 0 {
			plan.behavior = b
			break
		}
	}
	return plan
}

// timeout returns how long the caller waits for the answer to a try; tries are counted from 0.
func (p callerPlan) timeout(try int) time.Duration {
	if p.disconnectsEarly {
		return min(answerTimeout, time.Duration(1+try)*p.firstTimeout)
	}
	return answerTimeout
}
