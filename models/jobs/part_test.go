// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
)

func longRunningSpec(count int) Spec {
	step := Step{Count: count, LongRunning: true, Size: models.Resources{CPU: 10, Memory: 1}}
	return Spec{ID: "00000000000000aa", Queue: "q", Steps: []Step{step}}
}

func TestTasksAreInOneRecordAfterAMove(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := longRunningSpec(rapid.IntRange(1, 10).Draw(rt, "count"))
		whole := Record{Spec: spec}
		moved := TaskSet{0: rapid.SliceOfNDistinct(rapid.IntRange(0, spec.Steps[0].Count-1), 1, spec.Steps[0].Count, rapid.ID).Draw(rt, "moved")}
		rest, part := whole.WithoutTasks(moved), whole.NewPart(moved, 7)
		for i := range spec.Steps[0].Count {
			require.NotEqual(rt, rest.Holds(0, i), part.Holds(0, i))
		}
		require.Equal(rt, moved.Len() == spec.Steps[0].Count, rest.AllTasksMoved())
		require.Equal(rt, moved.Len() < spec.Steps[0].Count, part.Part)
		back := rest.WithTasks(moved, 9)
		require.False(rt, back.Part, "the record holds all tasks again")
		require.True(rt, back.Rewritten)
		require.EqualValues(rt, 9, back.HighestRun)
	})
}
