// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/listen"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/control"
)

// newSchedulerWithoutCells returns a scheduler that owns no cells, with a listener for callers.
func newSchedulerWithoutCells(t *testing.T) *Scheduler {
	t.Helper()
	callers, err := listen.Open(listen.Config{Address: "127.0.0.1:0", MaxConnections: 1})
	require.NoError(t, err)
	settings := setting.Defaults()
	service := control.New(control.Config{Settings: settings.Jobs, Logger: zap.NewNop(), Scope: tally.NoopScope})
	return &Scheduler{settings: settings, control: service, callers: callers}
}

// TestReleaseDrainsCallers guards against a data race: release passed its context to the goroutine that drains callers
// and then assigned another context to the same variable, so that a daemon built with the race detector ended a planned
// stop with status 66. Draining ends before either context does, so callers are not affected and only the race detector
// fails this test for that fault (make race).
func TestReleaseDrainsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSchedulerWithoutCells(t)
		began := time.Now()
		require.NoError(t, s.release(t.Context()))
		require.Equal(t, shareOf(s.settings.Jobs.StopGrace, drainShare), time.Since(began))
	})
}

func TestReleaseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Second // less than draining takes
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		began := time.Now()
		require.NoError(t, newSchedulerWithoutCells(t).release(ctx))
		require.Equal(t, limit, time.Since(began))
	})
}
