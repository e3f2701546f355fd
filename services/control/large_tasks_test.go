// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// A full cell is a large cell whose workers are used for nine tenths: long-running tasks that need a fifth to a third of a
// worker each, and short jobs that take what is left as soon as it is free. For a while, tasks crash their workers.

const (
	fullCellSubmitEvery = 100 * time.Millisecond
	fullCellCrashEvery  = 400 * time.Millisecond
	fullCellCrashTime   = 8 * time.Second
	fullCellLasting     = 0.55             // the part of the cell that long-running tasks need
	fullCellSettling    = 3 * time.Second  // before the first job that crashes its workers
	fullCellWatched     = 15 * time.Second // after the last job that crashes its workers was submitted
	fullCellWork        = models.Milli(2400)
	fullCellMinCPU      = models.MilliCPU(812) // of a long-running task; a worker has 4000
	fullCellMaxCPU      = models.MilliCPU(1250)
)

var fullCellSeeds = flag.Uint64("full-cells", 2, "number of full cells to play")

// fullCell is one play.
type fullCell struct {
	*largeCellRun
	random *rand.Rand
}

func (c *fullCell) lastingStep(count int) jobs.Step {
	step := lastingRoomStep()
	step.Count = count
	step.Size.CPU = fullCellMinCPU + models.MilliCPU(c.random.Int64N(int64(fullCellMaxCPU-fullCellMinCPU)))
	return step
}

// fill submits long-running jobs that need the given part of the cell.
func (c *fullCell) fill(part float64) {
	capacity := models.MilliCPU(part * roomWorkers * 4000)
	for capacity > 0 {
		step := c.lastingStep(4)
		capacity -= 4 * step.Size.CPU
		c.submitJob(step, 0)
	}
}

// pass lets time pass while short jobs are submitted, and jobs that crash their workers until the given time.
func (c *fullCell) pass(until, crashesUntil time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		step := roomStep(1+c.random.IntN(11), 250+models.MilliCPU(c.random.IntN(300)))
		step.Estimate = fullCellWork
		c.submitJob(step, 0)
		if time.Duration(n)*fullCellSubmitEvery%fullCellCrashEvery == 0 && time.Now().Before(crashesUntil) {
			after := 1 + models.MilliOf(time.Duration(c.random.Int64N(int64(largeCellCrashesBy))))
			if n%3 == 0 {
				c.submitJob(c.lastingStep(2), after)
			} else {
				c.submitJob(roomStep(4, 288), after)
			}
		}
		time.Sleep(fullCellSubmitEvery)
	}
}

// playFullCell returns the tasks that waited for too long.
func playFullCell(t *testing.T, seed uint64, crashTime time.Duration) (waits []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &largeCellRun{crashesGoOn: true, crashing: map[jobs.ID]time.Duration{}}
		r.takeoverRun = &takeoverRun{lost: map[*testDaemon]bool{}, places: upTo(roomWorkers - 1)}
		r.scriptRun = &scriptRun{testCluster: newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{
			Workers: roomWorkers, RestartDelay: roomRestartDelay, Crash: r.crashOf, CrashRule: grid.CrashesHoldTheirTasks,
		})}
		c := &fullCell{largeCellRun: r, random: rand.New(rand.NewPCG(seed, 35))}
		time.Sleep(3 * time.Second)
		c.fill(fullCellLasting)
		go c.progressLoop()
		begin := time.Now()
		crashes := begin.Add(fullCellSettling + crashTime)
		c.pass(begin.Add(fullCellSettling), begin)
		c.pass(crashes.Add(fullCellWatched), crashes)
		waits = c.waits()
	})
	return waits
}

// checkFullCells plays full cells in which jobs that crash their workers are submitted for some time.
func checkFullCells(t *testing.T, crashTime time.Duration) {
	t.Helper()
	for seed := range *fullCellSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			require.Empty(t, strings.Join(playFullCell(t, seed, crashTime), "\n"))
		})
	}
}

// TestLargeTasksRunSoonBesideShortJobs guards against long-running tasks that wait without end because short jobs take each
// room as soon as there is one.
func TestLargeTasksRunSoonBesideShortJobs(t *testing.T) { checkFullCells(t, 0) }

// TestLargeTasksRunSoonBesideSuspects guards against the same where tasks crash their workers, so that suspects take rooms as
// well and close the workers that have room.
func TestLargeTasksRunSoonBesideSuspects(t *testing.T) { checkFullCells(t, fullCellCrashTime) }
