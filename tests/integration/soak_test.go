// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/tests/soak"
)

// soakLength is how long faults begin in a run of CI; by hand runs are longer.
const soakLength = 6 * time.Second

// TestSoak plays the seeds of testdata/soak_seeds.txt: those that once failed, and one
// that is always played.
func TestSoak(t *testing.T) {
	resumed := 0
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			resumed += playSoak(t, soak.Config{Seed: seed}).StartsWithCheckpoint
		})
	}
	require.NotZero(t, resumed, "starts that brought a checkpoint, in all runs together")
}

// restartSeed is that of the runs in which workers start again.
const restartSeed = 504

// TestSoakOfRestarts plays workers that start again behind cuts, while calls are carried out late, and
// all at once, in the ways in which they name their incarnations.
func TestSoakOfRestarts(t *testing.T) {
	for _, naming := range []soak.Naming{soak.SameID, soak.NewIDsWithStartTime} {
		t.Run(string(naming), func(t *testing.T) {
			playSoak(t, soak.Config{Seed: restartSeed, Naming: naming, Restarts: true})
		})
	}
}

// playSoak plays one seed, and gives what came of it.
func playSoak(t *testing.T, config soak.Config) *soak.Report {
	t.Helper()
	config.Daemon, config.Folder, config.Length = programPath(t, "rillsaild"), t.TempDir(), soakLength
	config.Daemons, config.Workers, config.WorkersPerCell, config.Rate = 3, 8, 4, 8
	report, err := soak.Run(t.Context(), config)
	require.NoError(t, err)
	folder := config.Folder
	if len(report.Breaches) > 0 {
		logFolder(t, folder)
	}
	require.Empty(t, report.Breaches)
	require.NotZero(t, report.Checked)
	return report
}

// soakSeeds reads the seeds; what follows a seed in its line says why it is there.
func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "soak_seeds.txt"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, seed)
	}
	require.NotEmpty(t, seeds)
	return seeds
}

// logFolder prints what a run has left.
func logFolder(t *testing.T, folder string) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		require.NoError(t, err)
		t.Logf("%s:\n%s", entry.Name(), data)
	}
}
