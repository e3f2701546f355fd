// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// TestManyFillerJobsWithLossesStart guards against jobs of filler tasks whose tasks have lost a run, and of which nothing runs the
// longer, the more of them there are, although most of the capacity is free.
func TestManyFillerJobsWithLossesStart(t *testing.T) { playJobsWithLosses(t, true, 1) }

// TestManyFillerJobsOfSuspectsStart guards against the same with tasks that are suspects, as they have lost several runs.
func TestManyFillerJobsOfSuspectsStart(t *testing.T) { playJobsWithLosses(t, true, minLosses) }

// TestManyJobsOfSuspectsStart guards against the same with tasks that do not wait for the loads.
func TestManyJobsOfSuspectsStart(t *testing.T) { playJobsWithLosses(t, false, minLosses) }

// playJobsWithLosses adds jobs whose only task has lost runs to workers with a serving task each, and requires that all run soon.
func playJobsWithLosses(t *testing.T, filler bool, losses int) {
	t.Helper()
	var progress jobs.Progress
	lost := make([]jobs.LostRun, losses)
	for n := range lost {
		lost[n] = jobs.LostRun{Run: jobs.RunID(n + 1), EvidenceVsChance: 4, EvidenceVsAll: 3, RanAtMost: 100}
	}
	progress.Suspected = jobs.Suspicions{0: {0: {Lost: lost}}}
	for _, count := range []int{2, 10, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			b := newFillerWaitBench(t, 1000)
			step := fillerStep
			step.Size, step.Filler = models.Resources{CPU: 10, Memory: 10}, filler
			b.setInterference(step.Image, 2000)
			for n := range count {
				record := b.job(step)
				record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 1000+n))
				b.AddJob(record, progress, true, b.now)
			}
			b.pass(fillerAllowed)
			running := len(b.running[0]) + len(b.running[1]) - 2 // without the serving tasks
			require.Equal(t, count, running, "jobs of which something runs")
		})
	}
}
