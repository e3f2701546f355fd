// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// TestWorkerThatIsGoneAnswersNobody guards against a worker that is gone for good and refuses connections, stays in the list
// or comes back.
func TestWorkerThatIsGoneAnswersNobody(t *testing.T) {
	runProgressTest(t, Config{}, func(p *progressTest) {
		gone := p.worker(0)
		p.start(0, lastingJob, 0, 0, 1)
		p.CrashForGood(0)
		require.Zero(t, p.Running(lastingJob))
		ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := p.RenewLease(ctx, gone, jobs.LeaseCall{})
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		require.Equal(t, time.Second, time.Since(began))
		require.True(t, p.isListed(gone.ID))
		time.Sleep(staleEntryLifetime)
		require.False(t, p.isListed(gone.ID))
		p.Crash(0)
		p.CrashKeepingFaults(0)
		p.CrashWithDowntime(0)
		p.SetListed(0, true)
		time.Sleep(time.Minute)
		require.Equal(t, gone.ID, p.IDs()[0], "no other worker has taken its place")
		require.False(t, p.isListed(gone.ID))
	})
}

// isListed reports whether the list names a worker.
func (p *progressTest) isListed(id jobs.WorkerID) bool {
	list, _, err := p.JobWorkers(p.t.Context())
	require.NoError(p.t, err)
	for _, w := range list {
		if w.ID == id {
			return true
		}
	}
	return false
}
