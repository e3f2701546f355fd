// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// TestCellsOfAJobNeverChange guards against submitting a job again to cells, or looking it up in cells, where
// it cannot be: the cells follow from the job's id alone. The first two are those that a job had when
// each job had two cells.
func TestCellsOfAJobNeverChange(t *testing.T) {
	for cells, want := range map[int][]jobs.CellName{
		1: {"0"}, 2: {"1", "0"}, 3: {"1", "2", "0"}, 4: {"3", "1", "2"}, 7: {"0", "2", "1"},
	} {
		require.Equal(t, want, cellsForJob("5c0e7a21d94b36f8", &jobs.Layout{Cells: cells}), "%d cells", cells)
	}
	taken := map[jobs.CellName]int{}
	for n := range 7000 {
		found := cellsForJob(jobID(n), &jobs.Layout{Cells: 7})
		require.Len(t, found, cellsPerJob)
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(found))), cellsPerJob)
		for _, cell := range found {
			taken[cell]++
		}
	}
	for cell, count := range taken {
		require.InDelta(t, 3000, count, 300, "cell %s", cell)
	}
}
