// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"bytes"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/services/standin/fleet"
)

// send sends one request to a daemon and returns the response and its body.
func send(t *testing.T, d *daemonProcess, labels, id, key string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.caller+"/", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set(models.HeaderLabels, labels)
	request.Header.Set(fleet.HeaderLoadID, id)
	if key != "" {
		request.Header.Set(models.HeaderIdempotencyKey, key)
		request.Header.Set(fleet.HeaderUnrepeatable, "1")
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// TestWholePath runs a request, a service and a job through the whole system.
func TestWholePath(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: []string{"--workers", "6", "--per-rack", "2", "--upstreams", "3"}})
	first, last := c.daemons[0], c.daemons[2]
	result := c.apply(first, testTeam, testClass, testService)
	for _, d := range c.daemons {
		eventually(t, "every daemon has the revision", func() bool {
			s, err := call[models.Status](d, http.MethodGet, operator.PathStatus, nil)
			return err == nil && s.Revision == result.Revision
		})
		response, body := send(t, d, "app=quote", "whole-"+d.id, "")
		assert.Equal(t, http.StatusOK, response.StatusCode)
		assert.Equal(t, fleet.AnswerFor("whole-"+d.id, []byte("body"), 0), body)
	}
	eventually(t, "the service's replicas run", func() bool { return c.runningReplicas(last, "quotes") == 3 })
	c.submit(first, batchJob("nightly", 10, 300))
	job := c.waitEnded(last, "nightly")
	assert.Equal(t, 10, job.Succeeded)
	c.requireNoViolations()
	audit := c.audit()
	assert.EqualValues(t, 13, audit.Starts)
	assert.EqualValues(t, 10, audit.Finished)
}

// TestTool runs the operators' tool against a daemon.
func TestTool(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 1, fleetFlags: []string{"--workers", "2", "--per-rack", "2", "--upstreams", "1"}})
	d := c.daemons[0]
	tool := func(stdin string, args ...string) (string, int) {
		cmd := exec.Command(programPath(t, "rillsail"), append([]string{"--daemon", d.operator, "--token", operatorToken}, args...)...)
		var out bytes.Buffer
		cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &out
		_ = cmd.Run()
		return out.String(), cmd.ProcessState.ExitCode()
	}
	out, code := tool(`{"put":[{"kind":"team","spec":{"name":"office","quota":{"cpu_milli":0,"memory_mib":0}}}]}`, "config", "apply")
	require.Equal(t, 0, code, out)
	assert.Contains(t, out, "revision 1 accepted")
	out, code = tool(`{"jobs":[{"id":"j1","team":"office","tasks":2,"size":{"cpu_milli":100,"memory_mib":1},"work_ms":100}]}`, "jobs", "submit")
	require.Equal(t, 0, code, out)
	c.waitEnded(d, "j1")
	out, code = tool(`{"jobs":[{"id":"j2","team":"office","tasks":1}]}`, "jobs", "submit")
	assert.Equal(t, 1, code, "neither job nor team gives the size: %s", out)
	out, code = tool(`{"put":[{"kind":"team","spec":{"name":"office","quota":{"cpu_milli":0,"memory_mib":0},"jobs":{"labels":{"app":"report"},"size":{"cpu_milli":50,"memory_mib":1},"work_ms":50}}}]}`, "config", "apply")
	require.Equal(t, 0, code, out)
	out, code = tool(`{"jobs":[{"id":"j2","team":"office","tasks":1}]}`, "jobs", "submit")
	require.Equal(t, 0, code, out)
	j2 := c.waitEnded(d, "j2")
	assert.EqualValues(t, 50, j2.Size.CPU)
	assert.Equal(t, "report", j2.Labels["app"])
	for _, args := range [][]string{{"status"}, {"cells"}, {"workers"}, {"services"}, {"tasks"}, {"jobs"}, {"dump"}, {"config", "get"}, {"explain", "job/j1/0"}, {"drain", "worker-0"}, {"undrain", "worker-0"}} {
		out, code = tool("", args...)
		assert.Equal(t, 0, code, "%v: %s", args, out)
		assert.NotEmpty(t, out)
	}
	c.control("upstream-0", fleet.ActionLeave)
	var refused *http.Response
	eventually(t, "requests are refused", func() bool {
		refused, _ = send(t, d, "app=quote", "x", "")
		return refused.StatusCode == http.StatusServiceUnavailable
	})
	out, code = tool("", "refusals")
	assert.Equal(t, 0, code)
	assert.Contains(t, out, refused.Header.Get(models.HeaderRequestID))
	assert.Contains(t, out, "no upstream serves class default now")
	out, code = tool("", "jobs", "list")
	assert.Equal(t, 0, code)
	assert.Regexp(t, "j1 +office +done", out)
	_, code = tool(`{"put":[{"kind":"rule","spec":{"name":"r","kind":"apart","selector":"a=b"}}]}`, "config", "apply")
	assert.Equal(t, 2, code, "a rule without its second selector is invalid input")
	_, code = tool("", "status", "too", "many")
	assert.Equal(t, 2, code)
	cmd := exec.Command(programPath(t, "rillsail"), "--daemon", d.operator, "--token", "wrong", "status")
	output, _ := cmd.CombinedOutput()
	assert.Equal(t, 1, cmd.ProcessState.ExitCode())
	assert.Contains(t, string(output), "token")
}
