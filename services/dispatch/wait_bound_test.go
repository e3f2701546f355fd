// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// keepForSuspect lets time pass while all workers answer and are kept for a suspect that never starts; obey carries out orders.
func (b *bench) keepForSuspect(obey func(Order)) {
	var suspect task
	for _, w := range b.sortedWorkers {
		w.reserveForTrial(&suspect, b.now)
	}
	for _, order := range b.Decide(b.now) {
		obey(order)
	}
	b.Stored(b.TakeChanges(10, b.now), b.now)
	began := b.now
	for n := range b.ids {
		b.now = began
		b.report(n, jobs.Report{})
	}
}

// TestStartThatDoesNotRunBeginsNoNewWaitBesideRoom guards against a job whose only task waits beside room on workers that are kept for
// suspects, and waits as long again after a start that was not carried out.
func TestStartThatDoesNotRunBeginsNoNewWaitBesideRoom(t *testing.T) {
	const answerTime = 200 * time.Millisecond // of a start
	for name, outcome := range map[string]Outcome{
		"not sent": OutcomeNotSent, "not reached": OutcomeUnreached, "not done": OutcomeNotDone, "no answer twice": OutcomeUnknown,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 3)
			for n := range b.ids {
				b.report(n, jobs.Report{})
			}
			b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
			var first jobs.RunID
			var last StartOrder
			answerAt := time.Time{} // of the last one; zero: it is answered
			for began := b.now; last.Call.Run == first; {
				require.Less(t, b.now.Sub(began), 3*time.Second, "callers allow no more beside free room")
				b.keepForSuspect(func(order Order) {
					switch order := order.(type) {
					case StartOrder:
						last, answerAt = order, b.now.Add(answerTime)
						first = cmp.Or(first, order.Call.Run)
					case StopOrder:
						b.Stopped(order, Result{Outcome: OutcomeDone}, b.now)
					}
				})
				if !answerAt.IsZero() && !b.now.Before(answerAt) {
					answerAt = time.Time{}
					b.Started(last, Result{Outcome: outcome}, b.now)
				}
			}
		})
	}
}
