// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rillsail.example/rillsail/models/jobs"
)

// TestRecoveryTellsWhatItWaitsFor guards against a cell in which nothing starts after a takeover while neither the log
// nor the state dump tells why.
func TestRecoveryTellsWhatItWaitsFor(t *testing.T) {
	b := newBench(t, 3)
	core, logged := observer.New(zap.InfoLevel)
	b.config.Logger = zap.New(core)
	b.RestoreRoster(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(singleTaskStep), jobs.Progress{}, false, b.now)
	waits := func() []string {
		var bases []string
		for _, entry := range logged.FilterMessage("recovery waits for silent workers").All() {
			bases = append(bases, entry.ContextMap()["basis"].(string))
		}
		return bases
	}
	b.report(0, jobs.Report{})
	require.Empty(t, b.storedStarts())
	require.Empty(t, waits(), "most recoveries are over soon")
	require.Len(t, b.Summary(b.now).RecoveryWait.Workers, 2)

	b.now = b.now.Add(recoveryWaitLogAfter)
	require.Empty(t, b.storedStarts())
	require.Empty(t, b.storedStarts(), "the wait is logged once")
	require.Equal(t, []string{string(lapseBlind)}, waits())

	b.report(1, jobs.Report{})
	require.Empty(t, b.storedStarts())
	require.Equal(t, []string{string(lapseBlind), string(lapseFenced)}, waits())
	wait := b.Summary(b.now).RecoveryWait
	require.Equal(t, []jobs.WorkerID{b.ids[2]}, wait.Workers)
	require.Equal(t, b.previousOwnersLapsed(), b.now.Add(wait.Remaining.Duration()))

	for began := b.now; len(b.storedStarts()) == 0; {
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		require.Less(t, b.now.Sub(began), 20*time.Second)
	}
	require.Nil(t, b.Summary(b.now).RecoveryWait)
	require.Len(t, logged.FilterMessage("cell is recovered").All(), 1)
}
