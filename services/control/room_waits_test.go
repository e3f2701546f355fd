// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// A room day is a large cell with work for less than a third of its capacity, whose workers restart under their ids,
// shrink and grow again, and are crashed by tasks. Once all is calm, nothing may wait for long.

const (
	roomWorkers      = 48
	roomLastingJobs  = 20
	roomLastingTasks = 6
	roomSubmitEvery  = 250 * time.Millisecond
	roomRestartDelay = 800 * time.Millisecond
	roomCalm         = 4 * time.Second
	// No job may have nothing running for roomAllowed after roomCalm, nor may a long-running task wait for longer than
	// roomAllowedLasting. roomMargin is the time of a start.
	roomAllowed        = 3 * time.Second
	roomAllowedLasting = 6 * time.Second
	roomMargin         = 500 * time.Millisecond
	roomWatched        = 14 * time.Second // after the last fault
)

// roomDay is one run.
type roomDay struct {
	*testCluster
	random   *rand.Rand
	mu       sync.Mutex
	crashing map[jobs.ID]time.Duration
	jobs     []jobs.Spec
	since    map[jobs.ID]time.Time // since when nothing of the job, or not all of a long-running job, runs
	done     map[jobs.ID]bool
	lastAt   time.Time // of the last fault
	late     map[string]time.Duration
	faults   []string
}

func roomStep(count int, cpu models.MilliCPU) jobs.Step {
	return jobs.Step{Count: count, Size: models.Resources{CPU: cpu, Memory: 100}, Estimate: 800}
}

func (d *roomDay) crashOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after, crashes := d.crashing[task.Job]
	return after, crashes && task.Index == 0
}

func (d *roomDay) submitStep(step jobs.Step) {
	spec := jobs.Spec{ID: jobID(len(d.jobs) + 1), Payload: "payload", Steps: []jobs.Step{step}}
	d.jobs = append(d.jobs, spec)
	d.submit(d.daemons[0], spec)
}

// submitCrashing submits a job whose first task crashes each worker the given time after its start.
func (d *roomDay) submitCrashing(after time.Duration) {
	d.mu.Lock()
	d.crashing[jobID(len(d.jobs)+1)] = after
	d.mu.Unlock()
	d.submitStep(roomStep(6, 288))
}

// pass lets time pass while short jobs are submitted and what runs is watched.
func (d *roomDay) pass(duration time.Duration) {
	const tick = 50 * time.Millisecond
	for n, until := 0, time.Now().Add(duration); time.Now().Before(until); n++ {
		if time.Duration(n)*tick%roomSubmitEvery == 0 {
			step := roomStep(6, 288)
			if n%2 == 1 {
				step = roomStep(8, 438)
			}
			d.submitStep(step)
		}
		time.Sleep(tick)
		d.watch()
	}
}

// watch notes what has been waiting for too long.
func (d *roomDay) watch() {
	now := time.Now()
	for _, spec := range d.jobs {
		if d.done[spec.ID] {
			continue
		}
		lasting, running := spec.Steps[0].LongRunning, d.grid.Running(spec.ID)
		if running == spec.Steps[0].Count || !lasting && running > 0 {
			delete(d.since, spec.ID)
			continue
		}
		if _, waits := d.since[spec.ID]; !waits {
			d.since[spec.ID] = now
		}
		if state := d.state(d.daemons[0], spec.ID); state.Ended() {
			d.done[spec.ID] = true
			continue
		}
		since, calm := d.since[spec.ID], d.lastAt.Add(roomCalm)
		over := now.Sub(later(since, calm)) - roomAllowed
		if lasting {
			over = min(now.Sub(since)-roomAllowedLasting, now.Sub(calm))
		}
		if over > roomMargin {
			name := fmt.Sprintf("%s lasting=%v", spec.ID, lasting)
			d.late[name] = max(d.late[name], now.Sub(later(since, d.lastAt)))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inject makes one fault of a random kind.
func (d *roomDay) inject(kinds []string) {
	kind := kinds[d.random.IntN(len(kinds))]
	places := d.random.Perm(roomWorkers)[:1+d.random.IntN(roomWorkers)]
	d.faults = append(d.faults, fmt.Sprintf("%s %d", kind, len(places)))
	switch kind {
	case "restart together":
		for _, place := range places {
			d.grid.CrashWithDowntime(place)
		}
	case "restart at once":
		for _, place := range places {
			d.grid.Crash(place)
		}
	case "restart all twice":
		pause := time.Duration(20+d.random.IntN(200)) * time.Millisecond
		for n := range 2 * roomWorkers {
			d.grid.CrashWithDowntime(n % roomWorkers)
			d.lastAt = time.Now()
			d.pass(pause)
		}
	case "crashing jobs":
		for range 1 + d.random.IntN(5) {
			d.submitCrashing(time.Duration(1+d.random.IntN(600)) * time.Millisecond)
		}
	case "shrink":
		part := 0.02 + 0.5*d.random.Float64()
		for _, place := range places {
			d.grid.SetCapacity(place, part)
		}
	case "grow":
		for place := range roomWorkers {
			d.grid.SetCapacity(place, 1)
		}
	case "cut":
		for _, place := range places[:1+len(places)/4] {
			d.grid.SetFaults(place, faultsCut)
		}
	case "stall":
		for _, place := range places {
			d.grid.SetFaults(place, grid.Faults{Stalled: true})
		}
	}
}

// playRoomDay runs one day, at the end of which all faults are over.
func playRoomDay(t *testing.T, seed uint64, kinds []string) *roomDay {
	t.Helper()
	var d *roomDay
	synctest.Test(t, func(t *testing.T) {
		d = &roomDay{
			random: rand.New(rand.NewPCG(seed, 3)), crashing: map[jobs.ID]time.Duration{}, since: map[jobs.ID]time.Time{},
			done: map[jobs.ID]bool{}, late: map[string]time.Duration{},
		}
		d.testCluster = newTestClusterWithGrid(t, 1, testSettings.WorkersPerCell, grid.Config{
			Workers: roomWorkers, Naming: grid.SameID, RestartDelay: roomRestartDelay, Crash: d.crashOf,
		})
		time.Sleep(3 * time.Second)
		d.lastAt = time.Now()
		for range roomLastingJobs {
			d.submitStep(jobs.Step{Count: roomLastingTasks, Size: models.Resources{CPU: 250, Memory: 100}, LongRunning: true, Image: "serving", Target: 100})
		}
		d.pass(3 * time.Second)
		for range 3 + d.random.IntN(6) {
			d.inject(kinds)
			d.lastAt = time.Now()
			d.pass(time.Duration(d.random.IntN(3000)) * time.Millisecond)
		}
		for place := range roomWorkers {
			d.grid.SetCapacity(place, 1)
			d.grid.SetFaults(place, noFaults)
		}
		d.lastAt = time.Now()
		d.pass(roomWatched)
		require.Empty(t, d.grid.Breaches())
		require.Empty(t, d.awaitTrueBelief(d.restDaemons))
	})
	return d
}

// checkRoomDays plays days with faults of the given kinds, one for each seed from 0.
func checkRoomDays(t *testing.T, seeds uint64, kinds ...string) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprintf("%s, %d", strings.Join(kinds, " and "), seed), func(t *testing.T) {
			d := playRoomDay(t, seed, kinds)
			require.Empty(t, d.late, "of %d jobs, after %v", len(d.jobs), d.faults)
		})
	}
}

// TestWorkRunsSoonAfterAllWorkersRestartedTwice guards against lost tasks that wait for each other beside idle workers:
// each worker has a suspect that has outlived its trial and is not cleared yet.
func TestWorkRunsSoonAfterAllWorkersRestartedTwice(t *testing.T) {
	checkRoomDays(t, 4, "restart all twice")
}

// TestWorkRunsSoonAfterDisturbances guards against workers that stay unused, and work that waits, after the other
// faults of workers.
func TestWorkRunsSoonAfterDisturbances(t *testing.T) {
	checkRoomDays(t, 4, "restart together", "restart at once", "shrink", "grow")
	checkRoomDays(t, 4, "crashing jobs")
	checkRoomDays(t, 4, "restart together", "crashing jobs", "shrink", "grow", "cut", "stall")
}
