// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const logLine = `{"level":"info","ts":"2026-09-25T09:39:02.000Z","msg":"job is accepted","id":"front-1","job":"aa00000000000001"}` + "\n"

// runTool runs a command line and returns its exit status and output.
func runTool(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := run(t.Context(), args, &out, &errOut)
	return code, out.String() + errOut.String()
}

func TestExplainReadsLogsWithoutADaemon(t *testing.T) {
	file := filepath.Join(t.TempDir(), "front-1.log")
	require.NoError(t, os.WriteFile(file, []byte(logLine), 0o600))
	for _, name := range []string{"explain", "trace"} {
		code, out := runTool(t, name, "aa00000000000001", file)
		require.Zero(t, code)
		require.Contains(t, out, "job is accepted")
	}
	code, _ := runTool(t, "explain")
	require.Equal(t, exitUsage, code)
	code, out := runTool(t, "explain", "aa00000000000001", file+".missing")
	require.NotZero(t, code)
	require.Contains(t, out, "no such file")
}
