// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package logtrace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `
  12.1 front-1 {"level":"info","ts":"2026-09-25T09:39:03.000Z","msg":"run starts","id":"front-2","task":"aa00000000000001.0.0.0","run":2,"worker":"w1"}
{"level":"info","ts":"2026-09-25T09:39:02.000Z","msg":"job is accepted","id":"front-1","job":"aa00000000000001"}
{"level":"info","ts":"2026-09-25T09:39:02.500Z","msg":"job is accepted","id":"front-1","job":"aa00000000000002"}
{"level":"info","ts":"2026-09-25T09:39:04.000Z","msg":"worker is gone","id":"front-2","worker":"w1"}
{"level":"info","ts":"2026-09-25T09:39:04.000Z","msg":"worker is gone","id":"front-2","worker":"w2"}
{"level":"info","ts":"2026-09-25T09:39:05.000Z","msg":"cell is taken","id":"front-3","cell":"0"}
{"level":"info","ts":"2026-09-25T09:49:05.000Z","msg":"cell is taken","id":"front-3","cell":"0"}
{"level":"info","ts":"2026-09-25T09:39:06.000Z","msg":"cut in the mid
not json
`

func messages(lines []Line) []string {
	var list []string
	for _, l := range lines {
		list = append(list, l.Message)
	}
	return list
}

func TestFindOrdersAndAddsWhatExplains(t *testing.T) {
	lines, err := Find(strings.NewReader(logs), "aa00000000000001")
	require.NoError(t, err)
	require.Equal(t, []string{"job is accepted", "run starts", "worker is gone", "cell is taken"}, messages(lines))
	require.True(t, lines[1].Matched)
	require.False(t, lines[3].Matched)
	require.Contains(t, lines[1].String(), "run=2 task=aa00000000000001.0.0.0 worker=w1")
}

func TestFindTakesTasksAndUnknownIDs(t *testing.T) {
	lines, err := Find(strings.NewReader(logs), "aa00000000000001.0.0.0")
	require.NoError(t, err)
	require.Equal(t, []string{"job is accepted", "run starts", "worker is gone", "cell is taken"}, messages(lines))
	_, err = Find(strings.NewReader(logs), "ff")
	require.Error(t, err)
}

// TestFindFollowsWhatARunGoesOnFrom checks that the loss of the worker that a run's checkpoint comes from is found.
// The line of the run's start may be the only one that names this worker, if the log of the previous owner is missing.
func TestFindFollowsWhatARunGoesOnFrom(t *testing.T) {
	const resumed = `{"ts":"2026-09-25T09:39:03.000Z","msg":"run starts","id":"front-2","task":"aa00000000000001.0.0.0","run":3,"worker":"w1","saved":"5f1e","saved_run":2,"saved_worker":"w2","saved_row":"stopped"}` + "\n"
	lines, err := Find(strings.NewReader(resumed+logs), "aa00000000000001.0.0.0")
	require.NoError(t, err)
	var gone []string
	for _, l := range lines {
		if l.Message == "worker is gone" {
			gone = append(gone, l.worker())
		}
	}
	require.Equal(t, []string{"w1", "w2"}, gone)
	require.Contains(t, lines[1].String(), "saved=5f1e saved_row=stopped saved_run=2 saved_worker=w2")
}
