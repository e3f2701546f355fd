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

// soakLength is the time in which faults begin in a run of CI; runs by hand are longer.
const soakLength = 6 * time.Second

// TestSoak runs the seeds of testdata/soak_seeds.txt: seeds that once failed, and one that is always run.
func TestSoak(t *testing.T) {
	resumed := 0
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			resumed += runSoak(t, soak.Config{Seed: seed}).StartsFromCheckpoint
		})
	}
	require.NotZero(t, resumed, "starts with a checkpoint, in all runs together")
}

// restartSeed is the seed of the runs in which workers restart.
const restartSeed = 504

// TestSoakOfRestarts restarts workers while they are cut off, while calls to them are carried out late, and
// all at once, for each naming of incarnations with a start time.
func TestSoakOfRestarts(t *testing.T) {
	for _, naming := range []soak.Naming{soak.SameID, soak.NewIDsAndStartTime} {
		t.Run(string(naming), func(t *testing.T) {
			runSoak(t, soak.Config{Seed: restartSeed, Naming: naming, Restarts: true})
		})
	}
}

// cordonSeed is the seed of the run in which operators cordon failure domains.
const cordonSeed = 505

// TestSoakOfCordons cordons failure domains, one after the other and several at once, beside all other faults and odd entries
// of another writer among those of the workers, which must end no daemon.
func TestSoakOfCordons(t *testing.T) {
	runSoak(t, soak.Config{Seed: cordonSeed, Cordons: true, OddEntries: true})
}

// drainSeed is the seed of the run in which workers that drain are cut off.
const drainSeed = 506

// TestSoakOfDrains cuts draining workers off, silently or with refused connections, while they run on.
func TestSoakOfDrains(t *testing.T) {
	runSoak(t, soak.Config{Seed: drainSeed, Drains: true})
}

// fewEndsSeed is the seed of the run in which workers list few ended runs at once.
const fewEndsSeed = 507

// TestSoakOfFewListedEnds has workers end more runs than they list at once, while the store is away and owners are lost.
func TestSoakOfFewListedEnds(t *testing.T) {
	runSoak(t, soak.Config{Seed: fewEndsSeed, EndsPerReport: 2})
}

// timedSeed is the seed of the run with timed jobs.
const timedSeed = 508

// TestSoakOfTimedJobs has jobs with a few times and with thousands, beside all other faults.
func TestSoakOfTimedJobs(t *testing.T) {
	runSoak(t, soak.Config{Seed: timedSeed, TimedOneIn: 2})
}

// wideSeed is the seed of the run with wide jobs.
const wideSeed = 509

// TestSoakOfWideJobs has jobs with so many tasks that no single value of the store holds what is stored of their lost runs,
// while workers and owners are lost.
func TestSoakOfWideJobs(t *testing.T) {
	runSoak(t, soak.Config{Seed: wideSeed, WideOneIn: 8, Restarts: true})
}

// runSoak runs one seed and returns its report.
func runSoak(t *testing.T, config soak.Config) *soak.Report {
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

// soakSeeds reads the seeds; the text after a seed in its line is the reason why the seed is listed.
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

// logFolder logs the files that a run has written.
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
