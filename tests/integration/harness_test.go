// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package integration runs the real programs as processes on the loopback: daemons,
// the stand-in store behind a fault-injecting proxy, and the stand-in fleet, and
// checks what must always hold while it kills, freezes and cuts them.
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
	// waitTimeout bounds every wait for an event; only a failure takes so long.
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

// sourceFolders are the folders of what the programs are built from.
var sourceFolders = []string{"cmd", "models", "modules", "platform", "routers", "services"}

// programPath is the path of a program, whose sources are looked at. Go keeps a verdict for as long
// as the test's own code and the files that it has looked at are unchanged, and doesn't know that
// programs are built here: a change of theirs would pass by the verdict on their predecessors.
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

// statFile looks at a file, as Go notes it.
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

// Objects that most tests use.
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
