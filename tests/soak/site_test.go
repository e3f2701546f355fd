// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunThatCanNotBeginLeavesNoDaemons checks that a run ends the daemons that it has started if one of them
// does not become ready in time, which happened on a busy machine. The site used to be closed only if all of it had
// been started, so the daemons continued without their parent process. The next run had got the same address for its
// store, so they would have taken part in that run.
func TestRunThatCanNotBeginLeavesNoDaemons(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "never-ready")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700))
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the wait for a daemon to become ready ends at once
	_, err := Run(ctx, Config{
		Daemon: program, Folder: folder, Length: time.Second, Daemons: 2, Workers: 1, WorkersPerCell: 1, Rate: 1,
	})
	require.ErrorContains(t, err, "did not become ready")
	_, err = syscall.Wait4(-1, nil, syscall.WNOHANG, nil)
	require.ErrorIs(t, err, syscall.ECHILD, "a process is left")
}
