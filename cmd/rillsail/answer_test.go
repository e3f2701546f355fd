// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/routers/operator"
)

// runAgainst runs a command line against a daemon that answers every call with the given handler.
func runAgainst(t *testing.T, handler http.HandlerFunc, args ...string) (int, string) {
	t.Helper()
	daemon := httptest.NewServer(handler)
	defer daemon.Close()
	return runTool(t, append([]string{"--daemon", strings.TrimPrefix(daemon.URL, "http://")}, args...)...)
}

// TestErrorAnswerCutOff truncates, right after the status line, the answer that says that a change may
// be in force. The tool must not claim that nothing was done.
func TestErrorAnswerCutOff(t *testing.T) {
	code, out := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusGatewayTimeout)
	}, "config", "delete", "team/office")
	require.Equal(t, exitUnknown, code, out)
	require.NotContains(t, out, "nothing was done")
}

// TestErrorAnswerOfSomebodyElse has an intermediary between tool and daemon answer a change with an
// error. The tool must not claim that nothing was done.
func TestErrorAnswerOfSomebodyElse(t *testing.T) {
	code, out := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "upstream has gone", http.StatusBadGateway)
	}, "jobs", "cancel", "nightly")
	require.Equal(t, exitUnknown, code, out)
	require.NotContains(t, out, "nothing was done")
}

// TestNotRunIsSaid checks that the tool passes on a daemon's statement that nothing was done.
func TestNotRunIsSaid(t *testing.T) {
	code, out := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "store unavailable", Kind: operator.KindNotRun})
	}, "config", "delete", "team/office")
	require.Equal(t, exitFailed, code, out)
	require.Contains(t, out, "nothing was done")
}

// TestUnknownBesideRefusal answers that one job was refused and that the outcome of the next is unknown.
// The exit status must be that of the unknown outcome.
func TestUnknownBesideRefusal(t *testing.T) {
	code, out := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, models.JobResults{Results: []models.JobResult{
			{ID: "first", Outcome: models.RequestNotRun, Error: "not run: not now"},
			{ID: "second", Outcome: models.RequestUnknown, Error: "unknown: no answer came"},
		}})
	}, "jobs", "cancel", "first", "second")
	require.Equal(t, exitUnknown, code, out)
	require.Contains(t, out, "first")
	require.Contains(t, out, "second")
}

// TestExplainWithoutAllCells asks for a task while one cell does not answer. The tool must not say that
// the task never existed.
func TestExplainWithoutAllCells(t *testing.T) {
	listing := models.Listing{Missing: map[models.CellID]string{"cell-rack-1": "no owner is known"}}
	code, out := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) { wire.Write(w, http.StatusOK, listing) }, "explain", "job/nightly/0")
	require.Zero(t, code)
	require.NotContains(t, out, "never was", "the cell that did not answer may hold the task")
	require.Contains(t, out, "cell-rack-1")
	listing.Missing = nil
	_, out = runAgainst(t, func(w http.ResponseWriter, _ *http.Request) { wire.Write(w, http.StatusOK, listing) }, "explain", "job/nightly/0")
	require.Contains(t, out, "never was")
}
