// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package integration runs the real programs as processes on the loopback interface:
// daemons, the stand-in store behind a fault-injecting proxy, and the stand-in fleet. Its
// tests kill, freeze and disconnect processes and check that all guarantees still hold.
package integration

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
)

const (
	operatorToken = "test-operator"
	peerToken     = "test-peer"
	// waitTimeout bounds every wait for an event; it is only reached when a test fails.
	waitTimeout   = 60 * time.Second
	pollInterval  = 20 * time.Millisecond
	maxAnswerSize = 64 << 20
)

var binariesFolder string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rillsail-integration")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", slices.Concat([]string{"build", "-o", dir}, buildFlags, []string{"../../cmd/..."})...)
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binariesFolder = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// sourceFolders are the folders that the programs are built from.
var sourceFolders = []string{"cmd", "models", "modules", "platform", "routers", "services"}

// programPath returns the path of a program and calls stat on all sources. Go caches a test result while
// the test's own code and the files that it has accessed are unchanged, and does not know that the tests
// build programs: without the calls, a changed program would get the cached result of the previous one.
func programPath(t *testing.T, name string) string {
	t.Helper()
	statSourcesOnce.Do(func() {
		for _, folder := range sourceFolders {
			require.NoError(t, filepath.WalkDir(filepath.Join("..", "..", folder), statFile))
		}
	})
	return filepath.Join(binariesFolder, name)
}

var statSourcesOnce sync.Once

// statFile calls stat on a file, which Go records as an input of the test.
func statFile(path string, _ fs.DirEntry, err error) error {
	if err == nil {
		_, err = os.Stat(path)
	}
	return err
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, pollInterval, what)
}

// Configuration objects that most tests use.
var (
	testTeam    = models.Team{Name: "office"}
	testClass   = models.Class{Name: "quote", Selector: "app=quote", Priority: models.PriorityOrdinary, Deadline: 10_000}
	testMatch   = models.Class{Name: "match", Selector: "app=match", Priority: models.PriorityUrgent, Unrepeatable: true}
	testService = models.Service{
		Name: "quotes", Team: "office", Labels: map[string]string{"app": "quotes"}, Replicas: 3,
		Size: models.Resources{CPU: 2000, Memory: 1024}, Target: 100,
	}
)

func batchJob(id models.JobID, tasks int, work models.Milli) models.JobSpec {
	return models.JobSpec{
		ID: id, Team: "office", Labels: map[string]string{"app": "report"}, Tasks: tasks,
		Size: models.Resources{CPU: 1000, Memory: 512}, Work: work,
	}
}
