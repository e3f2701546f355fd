// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// lossOf makes the loss of a worker before the bench's time.
func (b *bench) lossOf(number int, before time.Duration) workerLoss {
	incarnation := jobs.Incarnation{ID: jobs.WorkerID(fmt.Sprintf("lost%d", number)), Born: models.UnixMilli(number + 1)}
	return workerLoss{lostWorker: lostWorker{incarnation: incarnation, at: b.now.Add(-before)}, count: 1}
}

// storedRoster stores the roster and returns it.
func (b *bench) storedRoster(t *testing.T) jobs.Roster {
	t.Helper()
	b.rosterChanged = true
	roster := b.store().Roster
	require.NotNil(t, roster)
	return *roster
}

// TestSuccessorKnowsRecentLossesOfWorkers guards against a successor to which chance explains less than to the previous owner,
// because it knows of no losses before the takeover. Its clock is not that of the previous owner.
func TestSuccessorKnowsRecentLossesOfWorkers(t *testing.T) {
	b := newBench(t, 4)
	for n := range 6 {
		loss := b.lossOf(n, time.Duration(n)*2*time.Second)
		loss.taskCrashRate = 0.125 * float64(n)
		b.workerLosses = append(b.workerLosses, loss)
	}
	b.workerLosses[5].earlier = []jobs.WorkerLossID{b.workerLosses[4].incarnation.LossID(), 99}
	b.workerLosses = append(b.workerLosses, b.lossOf(6, lossRetention+time.Second))
	roster := b.storedRoster(t)
	require.Len(t, roster.Losses, 6, "a loss that does not count any more is not stored")

	const ahead = time.Hour
	now := b.now.Add(ahead)
	next := New(Config{
		Epoch: b.config.Epoch + 1, Taken: now, Lease: b.config.Lease, LongestLease: b.config.LongestLease, Logger: zap.NewNop(),
		TimeOfDay: func(now time.Time) models.UnixMilli { return models.UnixMilliOf(now.Add(-ahead)) },
	})
	next.RestoreRoster(roster, now)
	require.Len(t, next.workerLosses, 6)
	require.Equal(t, b.workerLosses[4].incarnation.LossID(), next.workerLosses[5].earlier[0])
	require.Len(t, next.workerLosses[5].earlier, 1, "only recent losses are compared with")
	lost := jobs.Incarnation{ID: "another"}
	require.InDelta(t, b.lossHistoryOf(lostWorker{lost, b.now}, b.now).chance, next.lossHistoryOf(lostWorker{lost, now}, now).chance, 0.001)
	require.Empty(t, next.lossesOfOthers(lost, now.Add(lossRetention+time.Millisecond)), "losses are forgotten as those that the owner has seen")
}

// TestStoredLossesOfWorkersAreBounded guards against a roster that grows with each loss in a storm.
func TestStoredLossesOfWorkersAreBounded(t *testing.T) {
	b := newBench(t, 1)
	var ids []jobs.WorkerLossID
	for n := range 3 * maxStoredLosses {
		loss := b.lossOf(n, time.Second)
		loss.earlier = append([]jobs.WorkerLossID{}, ids...)
		ids = append(ids, loss.incarnation.LossID())
		b.workerLosses = append(b.workerLosses, loss)
	}
	losses := b.storedRoster(t).Losses
	require.Len(t, losses, maxStoredLosses)
	require.Equal(t, b.workerLosses[len(b.workerLosses)-1].incarnation, losses[maxStoredLosses-1].Incarnation(), "the latest ones are stored")
	for _, l := range losses {
		require.LessOrEqual(t, len(l.Earlier), maxStoredEarlierLosses)
	}
}

// TestLossesOfWorkersAreNotWrittenOnTheirOwn guards against a write to the store for each loss in a storm.
func TestLossesOfWorkersAreNotWrittenOnTheirOwn(t *testing.T) {
	b := newBench(t, 1)
	b.storedRoster(t)
	b.workerLosses = append(b.workerLosses, b.lossOf(0, time.Second))
	require.False(t, b.HasChanges())
	require.Nil(t, b.TakeChanges(1, b.now).Roster)
}
