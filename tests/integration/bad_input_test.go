// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

// TestBadInputChangesNothing sends malformed, oversized and unauthorized calls to every listener, and checks
// that they are rejected without any effect.
func TestBadInputChangesNothing(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 1, fleetFlags: []string{"--workers", "2", "--upstreams", "1"}, extraSettings: map[string]string{"listen.max_body": "4096"}})
	d := c.daemons[0]
	for _, bad := range []struct {
		address, path, token, body string
		status                     int
	}{
		{d.operator, "/v1/jobs", operatorToken, "{", 400},
		{d.operator, "/v1/jobs", operatorToken, `{"jobs":[]}`, 422},
		{d.operator, "/v1/jobs", operatorToken, `{"jobs":[{"id":"a","team":"t","tasks":-1,"size":{"cpu_milli":1,"memory_mib":1},"work_ms":1}]}`, 422},
		{d.operator, "/v1/jobs", operatorToken, `{"jobs":[{"id":"a","team":"t","tasks":1,"size":{"cpu_milli":9223372036854775807,"memory_mib":1},"work_ms":1}]}`, 422},
		{d.operator, "/v1/jobs", operatorToken, `{"jobs":[{"id":"a","team":"t","tasks":99999999999999999999,"size":{},"work_ms":1}]}`, 400},
		{d.operator, "/v1/jobs", operatorToken, strings.Repeat("x", 5000), 413},
		{d.operator, "/v1/config", operatorToken, `{"put":[{"kind":"nonsense","spec":{}}]}`, 400},
		{d.operator, "/v1/config", operatorToken, `{"put":[{"kind":"team","spec":{"name":"x","quota":{"cpu_milli":-5,"memory_mib":0}}}]}`, 400},
		{d.operator, "/v1/config", operatorToken, `{"put":[{"kind":"team","spec":{"name":"x","quotas":1}}]}`, 400},
		{d.operator, "/v1/status", "", "", 401},
		{d.peer, "/twirp/rillsail.peer.Peer/Heartbeat", "", "", 401},
		{d.peer, "/twirp/rillsail.peer.Peer/Heartbeat", peerToken, "nonsense", 400},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+bad.address+bad.path, strings.NewReader(bad.body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+bad.token)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, bad.status, response.StatusCode, "%s %s", bad.path, bad.body[:min(len(bad.body), 80)])
	}
	for _, header := range []struct{ name, value string }{
		{models.HeaderLabels, "no equals sign"},
		{models.HeaderDeadline, "-5"},
		{models.HeaderDeadline, "99999999999999999999"},
		{models.HeaderIdempotencyKey, strings.Repeat("k", 300)},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+d.caller+"/", strings.NewReader("body"))
		require.NoError(t, err)
		request.Header.Set(header.name, header.value)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, header.name)
		assert.Equal(t, string(models.RequestNotRun), response.Header.Get(models.HeaderOutcome))
	}
	assert.Zero(t, c.audit().Requests)
	status, err := statusOf(d)
	require.NoError(t, err)
	assert.Zero(t, status.Revision)
}

// TestSlowBodiesEnd sends an incomplete body to each listener and then nothing more. The daemon must close
// the connection after the body timeout.
func TestSlowBodiesEnd(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 1, fleetFlags: []string{"--workers", "2", "--upstreams", "1"}, extraSettings: map[string]string{"listen.body_timeout": "300ms"}})
	d := c.daemons[0]
	for _, listener := range []struct{ address, token string }{{d.caller, ""}, {d.operator, operatorToken}, {d.peer, peerToken}} {
		connection, err := net.Dial("tcp", listener.address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(connection, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", listener.token)
		require.NoError(t, err)
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(waitTimeout)))
		answer, err := io.ReadAll(connection)
		require.NoError(t, err, "the daemon closes the connection")
		assert.NotContains(t, string(answer), "200 OK")
		_ = connection.Close()
	}
	assert.Zero(t, c.audit().Requests)
}
