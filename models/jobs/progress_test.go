// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// hundredths draws evidence as it is stored.
func hundredths(t *rapid.T, name string) float64 {
	return math.Round(100*rapid.Float64Range(-9999, 9999).Draw(t, name)) / 100
}

// drawLostRun draws a lost run of any size.
func drawLostRun(t *rapid.T) jobs.LostRun {
	return jobs.LostRun{
		Run: jobs.RunID(rapid.Uint64().Draw(t, "run")), RanAtMost: models.Milli(rapid.Int64Range(0, 1e6).Draw(t, "ran")),
		EvidenceVsChance: hundredths(t, "doubt"), EvidenceVsAll: hundredths(t, "weight"), LossID: jobs.WorkerLossID(rapid.Uint32().Draw(t, "loss")),
	}
}

// drawSuspicion draws a suspicion with up to the given number of runs of each kind.
func drawSuspicion(t *rapid.T, runs int) jobs.Suspicion {
	s := jobs.Suspicion{
		Lost:           rapid.SliceOfN(rapid.Custom(drawLostRun), 0, runs).Draw(t, "lost"),
		Unobserved:     rapid.IntRange(0, 1000).Draw(t, "unobserved"),
		UnobservedRuns: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jobs.RunID { return jobs.RunID(rapid.Uint64().Draw(t, "run")) }), 0, runs).Draw(t, "unobserved runs"),
		CountedEpoch:   jobs.Epoch(rapid.Uint64().Draw(t, "counted")), ClearedEpoch: jobs.Epoch(rapid.Uint64().Draw(t, "cleared")),
	}
	if rapid.Bool().Draw(t, "open") {
		s.Unresolved = &jobs.UnresolvedRun{
			LostRun: drawLostRun(t), Worker: jobs.WorkerID(strings.Repeat("w", rapid.IntRange(1, 200).Draw(t, "id"))),
			Born: models.UnixMilli(rapid.Int64Range(0, 1e13).Draw(t, "born")), BeganAt: models.UnixMilli(rapid.Int64Range(0, 1e13).Draw(t, "began")),
			ChanceRate: math.Round(1000*rapid.Float64Range(0, 999).Draw(t, "chance")) / 1000, NeighbourRate: math.Round(1000*rapid.Float64Range(0, 999).Draw(t, "beside")) / 1000,
			Unobserved: rapid.Bool().Draw(t, "unseen"),
		}
	}
	return s
}

// drawProgress draws the progress of a few tasks with numbers of any length.
func drawProgress(t *rapid.T) jobs.Progress {
	p := jobs.Progress{Done: map[int][]int{}, Suspected: jobs.Suspicions{}}
	for range rapid.IntRange(0, 4).Draw(t, "done") {
		step := rapid.IntRange(0, jobs.MaxSteps*jobs.MaxOccurrences-1).Draw(t, "step")
		p.Done[step] = rapid.SliceOfN(rapid.IntRange(0, jobs.MaxStepTasks-1), 1, 5).Draw(t, "indexes")
	}
	for n := range rapid.IntRange(0, 4).Draw(t, "occurrences") {
		p.DoneOccurrences = append(p.DoneOccurrences, [2]int{9000 + 10*n, 9005 + 10*n})
	}
	for range rapid.IntRange(0, 6).Draw(t, "tasks") {
		step, index := rapid.IntRange(0, jobs.MaxSteps*jobs.MaxOccurrences-1).Draw(t, "step"), rapid.IntRange(0, jobs.MaxStepTasks-1).Draw(t, "index")
		if rapid.Bool().Draw(t, "failed") {
			failures := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jobs.RunID { return jobs.RunID(rapid.Uint64().Draw(t, "run")) }), 1, 6).Draw(t, "failures")
			p.SetFailures(step, index, failures)
			continue
		}
		p.Suspected.Set(step, index, drawSuspicion(t, 5))
	}
	return p
}

// TestEncodedSizeIsAnUpperBound guards against progress that is taken for smaller than it is, so that it is stored in one
// value that the store does not accept.
func TestEncodedSizeIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		data, err := json.Marshal(p)
		require.NoError(t, err)
		const frame = 64 // the names of the fields
		require.LessOrEqual(t, len(data), p.EncodedSize()+frame)
	})
}

// TestStoredSuspicionIsBounded guards against a task whose lost runs take more of the store with each loss, and against
// evidence that is lost with those that are left out.
func TestStoredSuspicionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := drawSuspicion(t, 60)
		stored := whole.Stored()
		require.LessOrEqual(t, len(stored.Lost), 16)
		require.LessOrEqual(t, len(stored.UnobservedRuns), 16)
		require.InDelta(t, whole.EvidenceVsChance(), stored.EvidenceVsChance(), 0.02)
		require.InDelta(t, whole.EvidenceVsAll(), stored.EvidenceVsAll(), 0.02)
		require.Equal(t, whole.Unobserved, stored.Unobserved)
		if len(whole.Lost) <= 16 {
			require.Equal(t, whole.Lost, stored.Lost)
		} else {
			require.Equal(t, whole.Lost[len(whole.Lost)-15:], stored.Lost[1:], "the latest are kept")
		}
	})
}

// TestTasksAreNumbered checks that each task of a job has a number of its own, without gaps.
func TestTasksAreNumbered(t *testing.T) {
	spec := jobs.Spec{Steps: []jobs.Step{{Count: 3}, {Count: 1}, {Count: 5}}, Repeat: jobs.Repeat{Count: 3}}
	expected := 0
	for occurrence := range 3 {
		for number, step := range spec.Steps {
			for index := range step.Count {
				flat := occurrence*len(spec.Steps) + number
				require.Equal(t, expected, spec.TaskNumber(flat, index))
				gotStep, gotIndex := spec.TaskAt(expected)
				require.Equal(t, []int{flat, index}, []int{gotStep, gotIndex})
				expected++
			}
		}
	}
}
