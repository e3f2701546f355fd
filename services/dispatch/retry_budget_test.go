// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// smallStep is a step whose tasks are so small that a worker has capacity for many.
func smallStep(count int) jobs.Step {
	return jobs.Step{Count: count, Size: models.Resources{CPU: 10, Memory: 10}, Estimate: 1000}
}

// TestStartsWaitForWhatMayBeSent checks that tasks whose starts may not be sent yet keep waiting, start when more
// may be sent, and are dropped when their job is cancelled.
func TestStartsWaitForWhatMayBeSent(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(smallStep(10)), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	b.AllowStarts(4)
	require.Len(t, b.starts(), 4)
	require.Empty(t, b.starts(), "no start is left")
	b.AllowStarts(3)
	require.Len(t, b.starts(), 3)
	b.Cancel(testJob)
	b.AllowStarts(10)
	require.Empty(t, b.starts())
}

// TestMostUrgentStartsGoFirstWhenFewMay submits a job of low priority first.
func TestMostUrgentStartsGoFirstWhenFewMay(t *testing.T) {
	b := newBench(t, 2)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	batch := b.job(smallStep(10))
	batch.Terms.Priority = 2
	b.AddJob(batch, jobs.Progress{}, true, b.now)
	urgent := b.job(smallStep(3))
	urgent.Spec.ID = "00000000000000bb"
	b.AddJob(urgent, jobs.Progress{}, true, b.now)
	b.AllowStarts(4)
	var first []jobs.ID
	for _, start := range b.starts() {
		first = append(first, start.Call.Task.Job)
	}
	require.Equal(t, []jobs.ID{urgent.Spec.ID, urgent.Spec.ID, urgent.Spec.ID, batch.Spec.ID}, first)
}

// TestStartThatWasNotSentIsMadeAgain checks that the task starts again at once, with another run number.
func TestStartThatWasNotSentIsMadeAgain(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(smallStep(1)), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	first := b.starts()
	require.Len(t, first, 1)
	b.Started(first[0], Result{Outcome: OutcomeNotSent}, b.now)
	second := b.starts()
	require.Len(t, second, 1)
	require.Greater(t, second[0].Call.Run, first[0].Call.Run)
}

// TestRepetitionThatWasNotSentIsBarred guards against a second run beside the first start, which had no answer and
// may be carried out.
func TestRepetitionThatWasNotSentIsBarred(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(smallStep(1)), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	start := b.starts()[0]
	b.Started(start, Result{Outcome: OutcomeUnknown}, b.now)
	require.Equal(t, []StartOrder{start}, b.starts(), "the start is repeated")
	b.Started(start, Result{Outcome: OutcomeNotSent}, b.now)
	orders := b.Decide(b.now)
	require.Len(t, orders, 1)
	require.IsType(t, StopOrder{}, orders[0])
}

// TestRepetitionsArePaidForByAnswers checks that without any answer no more starts are repeated than the saved
// budget allows, and that each start may be repeated when half of all answers are lost one by one.
func TestRepetitionsArePaidForByAnswers(t *testing.T) {
	r := newRetryBudget()
	taken := 0
	for range 10 * maxRetryTokens {
		if r.take() {
			taken++
		}
	}
	require.Equal(t, maxRetryTokens, taken)
	r = newRetryBudget()
	for range 1000 { // of four starts two have no answer, nor has one of their repetitions
		r.earn()
		r.earn()
		require.True(t, r.take())
		require.True(t, r.take())
		r.earn()
	}
}

// TestStartsAreNotRepeatedWithoutBound gives a core more starts without answer than it may repeat: the runs of the
// rest are barred.
func TestStartsAreNotRepeatedWithoutBound(t *testing.T) {
	b := newBench(t, 4)
	for n := range 4 {
		b.report(n, jobs.Report{})
	}
	b.AddJob(b.job(smallStep(3*maxRetryTokens)), jobs.Progress{}, true, b.now)
	starts := b.starts()
	require.Len(t, starts, 3*maxRetryTokens)
	b.now = b.now.Add(400 * time.Millisecond)
	b.AllowStarts(0)
	for _, start := range starts {
		b.Started(start, Result{Outcome: OutcomeUnknown}, b.now)
	}
	repeated, barred := 0, 0
	for _, order := range b.Decide(b.now) {
		switch order.(type) {
		case StartOrder:
			repeated++
		case StopOrder:
			barred++
		}
	}
	require.Equal(t, maxRetryTokens, repeated)
	require.Equal(t, 2*maxRetryTokens, barred)
}
