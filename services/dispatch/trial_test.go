// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestSuspectOfSeveralLossesWaitsForAWorkerOfItsOwn guards against a suspect that is started beside other new runs
// after it has waited for a second: a crash that these caused was counted against the suspect.
func TestSuspectOfSeveralLossesWaitsForAWorkerOfItsOwn(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{})
	known := jobs.Suspicions{}
	known.Set(0, 0, jobs.Suspicion{Lost: []jobs.LostRun{{Run: 1, RanAtMost: 50, EvidenceVsChance: 4, EvidenceVsAll: 3}, {Run: 2, RanAtMost: 50, EvidenceVsChance: 4, EvidenceVsAll: 3}}})
	other := b.job(singleTaskStep)
	other.Spec.ID = "00000000000000bb"
	b.AddJob(other, jobs.Progress{}, true, b.now)
	first := b.startOne(t)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{Suspected: known}, true, b.now)
	row := jobs.Run{Task: first.Call.Task, Run: first.Call.Run}
	began := b.now
	var starts []StartOrder
	for n := 0; len(starts) == 0; n++ {
		later := b.job(singleTaskStep)
		later.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 0xc0+n))
		b.AddJob(later, jobs.Progress{}, true, b.now)
		if starts = b.starts(); len(starts) == 0 {
			b.report(0, jobs.Report{Running: []jobs.Run{row}})
		}
	}
	require.Equal(t, testJob, starts[0].Call.Task.Job, "the worker is reserved for the suspect")
	require.GreaterOrEqual(t, b.now.Sub(began), minTrialTime)
	require.Len(t, starts, 1)
}
