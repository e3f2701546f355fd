// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rillsail.example/rillsail/modules/idleconn"
)

// TestConnectionsThatAreGivenUpAreToldOnce publishes five connection counts, of which the second and the
// third contain closed connections. Both must be logged as one occurrence, and its end once.
func TestConnectionsThatAreGivenUpAreToldOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	monitor := newCallMonitor(&Cells{config: Config{Logger: zap.New(core), Scope: scope}})
	for _, counts := range []idleconn.Counts{{Opened: 9}, {Opened: 10, ClosedSilent: 4}, {Opened: 12, ClosedSilent: 7}, {Opened: 12, ClosedSilent: 7}, {Opened: 12, ClosedSilent: 7}} {
		monitor.publishConnections(counts)
	}
	var messages []string
	for _, line := range lines.All() {
		messages = append(messages, line.Message)
	}
	require.Equal(t, []string{
		"idle connections closed because connections to the same peers stopped answering",
		"no more connections have stopped answering",
	}, messages)
	counters := scope.Snapshot().Counters()
	require.EqualValues(t, 12, counters["connections_opened+"].Value())
	require.EqualValues(t, 7, counters["connections_given_up+"].Value())
}

// TestRecordsThatCannotBeUsedAreCounted guards against odd entries that only the log tells of.
func TestRecordsThatCannotBeUsedAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	monitor := newCallMonitor(&Cells{config: Config{Logger: zap.NewNop(), Scope: scope}})
	for _, problems := range []int64{0, 2, 2, 5} {
		monitor.publishProblems(problems)
	}
	require.EqualValues(t, 5, scope.Snapshot().Counters()["records_invalid+"].Value())
}
