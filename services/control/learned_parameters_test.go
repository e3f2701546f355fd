// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// fillerJob returns a job of short filler tasks of one image.
func fillerJob(n, tasks int) jobs.Spec {
	return jobs.Spec{ID: jobID(n), Payload: "filling", Steps: []jobs.Step{{
		Count: tasks, Size: models.Resources{CPU: 500, Memory: 100}, Image: "filling", Filler: true, Estimate: 500,
	}}}
}

// learnedFactor returns what the owner at a daemon has learned about the only pair of images.
func learnedFactor(d *testDaemon) (learned jobs.LearnedFactor, ok bool) {
	for _, l := range d.Cells.Answer(jobs.Query{Cell: cellName(0), Learned: true}).Learned {
		if l.Serving == "serving" && l.Filler == "filling" {
			return l, true
		}
	}
	return jobs.LearnedFactor{}, false
}

// newLearningCluster returns a cluster whose owner has observed the pair of images for twenty seconds.
func newLearningCluster(t *testing.T) *testCluster {
	t.Helper()
	w := newTestCluster(t, 4, 3, nil)
	w.submit(w.daemons[0], longRunningJob(1, 4))
	w.eventually(10*time.Second, "the long-running tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
	for n := range 40 {
		w.submit(w.daemons[0], fillerJob(2+n, 4))
		time.Sleep(500 * time.Millisecond)
	}
	return w
}

func TestSuccessorOfKilledOwnerHasLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLearningCluster(t)
		previous := w.owner()
		before, ok := learnedFactor(previous)
		require.True(t, ok)
		require.Greater(t, before.Observations, 50)
		previous.kill()
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
		after, ok := learnedFactor(w.owner())
		require.True(t, ok)
		require.InDelta(t, before.Factor, after.Factor, 0.1)
		require.Less(t, after.StdDev, 2*before.StdDev)
		w.requireNoBreaches()
	})
}

func TestKnowledgeThatCannotBeReadCostsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLearningCluster(t)
		previous := w.owner()
		previous.kill()
		store := &kv.Local{Service: w.store, Fault: w.daemons[1].storeFault, WatchWait: time.Second}
		_, err := store.Commit(w.ctx, platform.Txn{Put: []platform.Write{{Key: learnedKey(cellName(0)), Value: []byte("{")}}})
		require.NoError(t, err)
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil })
		w.eventually(10*time.Second, "the long-running tasks run", func() bool { return w.grid.Running(jobID(1)) == 4 })
		w.requireNoBreaches()
	})
}

func TestKnowledgeThatCannotBeEncodedKeepsNothingFromBeingStored(t *testing.T) {
	o := &Owner{config: Config{Logger: zap.NewNop(), MaxValueSize: platform.MaxValueSize}, cell: cellName(0)}
	learned := &jobs.LearnedParameters{Speeds: []jobs.QueueSpeed{{Queue: testQueue, Mean: math.NaN()}}}
	txn, err := o.buildTxn(dispatch.Changes{Roster: &jobs.Roster{}, LearnedParameters: learned})
	require.NoError(t, err)
	require.Len(t, txn.Put, 1)
	require.Equal(t, rosterKey(cellName(0)), txn.Put[0].Key)
	learned.Speeds[0].Mean = 1
	txn, err = o.buildTxn(dispatch.Changes{Roster: &jobs.Roster{}, LearnedParameters: learned})
	require.NoError(t, err)
	require.Len(t, txn.Put, 2)
	learned.Speeds[0].Queue = jobs.QueueName(strings.Repeat("q", platform.MaxValueSize))
	txn, err = o.buildTxn(dispatch.Changes{Roster: &jobs.Roster{}, LearnedParameters: learned})
	require.NoError(t, err)
	require.Len(t, txn.Put, 1, "no value holds them")
}
