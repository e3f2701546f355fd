// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

// clockTicksPerSecond converts CPU times in /proc, which are in hundredths of a second.
const clockTicksPerSecond = 100

func processorTime(t *testing.T, p *process) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(data[strings.LastIndex(string(data), ")")+2:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	require.NoError(t, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	require.NoError(t, err)
	return (user + system) / clockTicksPerSecond
}

func residentMB(t *testing.T, p *process) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			require.NoError(t, err)
			return kb / 1024
		}
	}
	return 0
}

// peerCounts is the part of a daemon's dump that counts the traffic of calls to peers.
type peerCounts struct {
	PeerCalls struct {
		BytesSent float64 `json:"bytes_sent"`
		BytesGot  float64 `json:"bytes_got"`
	} `json:"peer_calls"`
}

func (d *daemonProcess) peerBytes(t *testing.T) float64 {
	t.Helper()
	var counts peerCounts
	request, err := http.NewRequest(http.MethodGet, "http://"+d.operator+operator.PathDump, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(t, json.NewDecoder(response.Body).Decode(&counts))
	return counts.PeerCalls.BytesSent + counts.PeerCalls.BytesGot
}

// counterReading holds the values of all counters at one moment.
type counterReading struct {
	at    time.Time
	cpu   []float64
	peers []float64
	store kv.Stats
	audit fleet.Audit
}

func (c *cluster) readCounters() counterReading {
	r := counterReading{at: time.Now(), store: c.storeStats(), audit: c.audit()}
	for _, d := range c.daemons {
		r.cpu = append(r.cpu, processorTime(c.t, d.process))
		r.peers = append(r.peers, d.peerBytes(c.t))
	}
	return r
}
