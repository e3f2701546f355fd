// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/platform"
)

// plannedCellState is the state of one cell with running tasks and retained jobs.
func plannedCellState(tasks, jobs int) models.CellState {
	state := models.NewCellState()
	for i := range tasks {
		id := models.TaskID(fmt.Sprintf("job/nightly-contracts-%d/%d", i%97, i))
		state.Tasks[id] = models.Task{
			ID: id, Kind: models.TaskBatch, Job: models.JobID(fmt.Sprintf("nightly-contracts-%d", i%97)), Index: i, Team: "fleet-office",
			Labels: map[string]string{"app": "report", "tier": "silver", "owner": "depot-7"}, Size: models.Resources{CPU: 1500, Memory: 2048},
			Work: 600_000, QueuedAt: 1_796_200_000_000, State: models.TaskRunning, Attempt: 1, Worker: models.VMID(fmt.Sprintf("worker-%d", i%40)),
			Incarnation: models.Incarnation(fmt.Sprintf("worker-%d-48213-1", i%40)),
		}
	}
	for i := range jobs {
		id := models.JobID(fmt.Sprintf("nightly-contracts-%d", i))
		state.Jobs[id] = models.Job{
			JobSpec: models.JobSpec{
				ID: id, Team: "fleet-office", Labels: map[string]string{"app": "report"}, Tasks: 20,
				Size: models.Resources{CPU: 1500, Memory: 2048}, Work: 600_000,
			},
			State: models.JobDone, NextIndex: 20, Succeeded: 20, SubmittedAt: 1_796_200_000_000, EndedAt: 1_796_200_900_000,
		}
	}
	return state
}

// TestSnapshotOfAPlannedCellFits checks that the snapshot of a cell takes less than half of the store's largest value,
// at the planned size of 18,400 tasks in 40 cells with 500 ended jobs retained per cell, and with ten times the tasks.
func TestSnapshotOfAPlannedCellFits(t *testing.T) {
	for _, size := range []struct{ tasks, jobs int }{{460, 500}, {4600, 500}} {
		data, err := encode(snapshotValue{Epoch: 1, Sequence: 1, State: plannedCellState(size.tasks, size.jobs)})
		require.NoError(t, err)
		t.Logf("%d tasks and %d jobs: %d bytes", size.tasks, size.jobs, len(data))
		assert.Less(t, len(data), platform.MaxValueSize/2)
	}
}
