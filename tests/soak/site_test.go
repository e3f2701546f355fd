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

// TestRunThatCanNotBeginLeavesNoDaemons: on a busy machine a daemon did not get ready in time, the
// run gave up, and the daemons that it had started went on. They held the addresses of a store
// that the next run had got meanwhile, and would have taken part in it. Cause: the site was
// closed only after it had been started as a whole; shown by the daemons' settings files and
// by their parent, which was gone.
func TestRunThatCanNotBeginLeavesNoDaemons(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "never-ready")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700))
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // nobody waits for a daemon to get ready
	_, err := Run(ctx, Config{
		Daemon: program, Folder: folder, Length: time.Second, Daemons: 2, Workers: 1, WorkersPerCell: 1, Rate: 1,
	})
	require.ErrorContains(t, err, "did not get ready")
	_, err = syscall.Wait4(-1, nil, syscall.WNOHANG, nil)
	require.ErrorIs(t, err, syscall.ECHILD, "a process is left")
}
