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

// TestConnectionsThatAreGivenUpAreToldOnce looks five times at connections of which some were
// given up between the first and the third look.
func TestConnectionsThatAreGivenUpAreToldOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	note := newCallMonitor(&Cells{config: Config{Logger: zap.New(core), Scope: scope}})
	for _, counts := range []idleconn.Counts{{Opened: 9}, {Opened: 10, GivenUp: 4}, {Opened: 12, GivenUp: 7}, {Opened: 12, GivenUp: 7}, {Opened: 12, GivenUp: 7}} {
		note.publishConnections(counts)
	}
	var messages []string
	for _, line := range lines.All() {
		messages = append(messages, line.Message)
	}
	require.Equal(t, []string{"idle connections are closed, others to their peers are silent", "no more connections are silent"}, messages)
	counters := scope.Snapshot().Counters()
	require.EqualValues(t, 12, counters["connections_opened+"].Value())
	require.EqualValues(t, 7, counters["connections_given_up+"].Value())
}
