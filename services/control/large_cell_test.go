// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// A large cell has work for a fifth of its capacity. Faults of workers, owners and connections are mixed with tasks that
// crash their workers. All of them end, and from the users' time of calm on nothing may wait beside the free workers.

const (
	largeCellDaemons     = 6
	largeCellGoneOneIn   = 8 // workers that may go for good: one in so many
	largeCellMaxLosses   = 4
	largeCellMaxLasting  = 45 // long-running jobs, which fill a third of the cell
	largeCellFaultTime   = 14 * time.Second
	largeCellSubmitEvery = 400 * time.Millisecond
	largeCellMaxBack     = 5 * time.Second
	largeCellCrashesBy   = time.Second // after the start of a task
)

var (
	largeCellSeeds = flag.Uint64("large-cells", 2, "number of scripts of large cells to play")
	largeCellFirst = flag.Uint64("large-cells-first", 0, "seed of the first of them")
)

// largeCellFault is a fault of a script. It begins At after the beginning and ends after For.
type largeCellFault struct {
	What   string        `json:"what"`
	At     models.Milli  `json:"at_ms"`
	For    models.Milli  `json:"for_ms"`
	Places []int         `json:"places,omitempty"`
	Daemon int           `json:"daemon,omitempty"` // counted from the owner on
	Loss   ownerLossKind `json:"loss,omitempty"`
	Jobs   int           `json:"jobs,omitempty"`
	// CrashAfter is how long after their start the first tasks of these jobs crash their workers.
	CrashAfter models.Milli `json:"crash_after_ms,omitempty"`
}

// largeCell is a script.
type largeCell struct {
	LastingJobs int              `json:"lasting_jobs"`
	Faults      []largeCellFault `json:"faults"`
}

var largeCellFaultKinds = []string{
	"lose owner", "lose owner for good", "replace owner",
	"restart workers", "restart workers", "restart all workers twice",
	"crashing jobs", "crashing jobs", "crashing lasting jobs", "crashing lasting jobs",
	"unlist workers", "late workers", "drain workers", "cut workers", "lose worker answers", "cut from owner", "cut from daemon",
	"workers gone", "store outage",
}

// drawLargeCell draws a script of a few kinds of faults.
func drawLargeCell(random *rand.Rand) largeCell {
	kinds := make([]string, 3+random.IntN(len(largeCellFaultKinds)/2))
	for n := range kinds {
		kinds[n] = largeCellFaultKinds[random.IntN(len(largeCellFaultKinds))]
	}
	kinds[0], kinds[1] = "lose owner", "restart workers"
	return largeCell{LastingJobs: roomLastingJobs + random.IntN(roomLastingJobs), Faults: drawLargeCellFaults(random, kinds)}
}

// drawLargeCellFaults draws faults of the given kinds.
func drawLargeCellFaults(random *rand.Rand, kinds []string) []largeCellFault {
	faults := make([]largeCellFault, 6+random.IntN(14))
	maxJobs := []int{1, 4, 30}[random.IntN(3)]
	losses := 0
	for n := range faults {
		what := kinds[random.IntN(len(kinds))]
		if strings.Contains(what, "owner") && what != "cut from owner" {
			losses++
			if losses > largeCellMaxLosses {
				what = "crashing jobs"
			}
		}
		count := 1 + random.IntN(roomWorkers)
		if random.IntN(2) == 0 {
			count = 1 + random.IntN(roomWorkers/6)
		}
		if what == "workers gone" {
			count = min(count, roomWorkers/largeCellGoneOneIn)
		}
		faults[n] = largeCellFault{
			What: what, At: models.MilliOf(time.Duration(random.Int64N(int64(largeCellFaultTime)))), For: models.MilliOf(time.Duration(random.Int64N(int64(largeCellMaxBack)))),
			Places: random.Perm(roomWorkers)[:count], Daemon: random.IntN(largeCellDaemons), Loss: allLosses[random.IntN(len(allLosses))], Jobs: 1 + random.IntN(maxJobs),
			CrashAfter: 1 + models.MilliOf(time.Duration(random.Int64N(int64(largeCellCrashesBy)))),
		}
		if strings.HasSuffix(what, "for good") {
			faults[n].Loss = finalLosses[random.IntN(len(finalLosses))]
		}
	}
	slices.SortFunc(faults, func(a, b largeCellFault) int { return int(a.At - b.At) })
	return faults
}

// largeCellRun is the state of one run of a script.
type largeCellRun struct {
	*takeoverRun
	crashesGoOn bool
	nextJob     int
	lastingJobs int // that were submitted
	gone        int
	crashing    map[jobs.ID]time.Duration // time from start to crash, by jobs whose first task crashes its workers
	calm        bool                      // all faults are over: no task crashes its worker any more
	jobsMu      sync.Mutex
}

// runLargeCell plays a script. With crashesGoOn, tasks crash their workers until the end, and no such crash counts as a fault.
func runLargeCell(t *testing.T, script largeCell, crashesGoOn bool) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		crashRule := grid.CrashesAreFaults
		if crashesGoOn {
			crashRule = grid.CrashesAreCalm
		}
		r := &largeCellRun{crashesGoOn: crashesGoOn, crashing: map[jobs.ID]time.Duration{}}
		r.takeoverRun = &takeoverRun{lost: map[*testDaemon]bool{}, places: upTo(roomWorkers - 1)}
		r.scriptRun = &scriptRun{testCluster: newTestClusterWithGrid(t, largeCellDaemons, testSettings.WorkersPerCell, grid.Config{
			Workers: roomWorkers, Naming: grid.SameID, RestartDelay: roomRestartDelay, Crash: r.crashOf, CrashRule: crashRule,
		})}
		if failure = r.play(script); failure != "" {
			failure += "\nscript and log: " + saveFailure(outer, script, failure, r.log())
		}
	})
	return failure
}

// crashOf reports whether a task crashes its worker, and how long after its start.
func (r *largeCellRun) crashOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	r.jobsMu.Lock()
	defer r.jobsMu.Unlock()
	after, crashes := r.crashing[task.Job]
	return after, crashes && task.Index == 0 && !r.calm
}

// play lets the faults of a script happen and observes the cell until nothing may wait any more.
func (r *largeCellRun) play(script largeCell) string {
	time.Sleep(3 * time.Second)
	r.lastingJobs = script.LastingJobs
	for range script.LastingJobs {
		r.submitJob(lastingRoomStep(), 0)
	}
	go r.progressLoop()
	time.Sleep(2 * time.Second)
	r.begin = time.Now()
	for n, fault := range script.Faults {
		r.at(fault.At, func() { r.happen(n, fault) })
	}
	r.submitUntil(r.begin.Add(largeCellFaultTime + largeCellMaxBack))
	r.faults.Wait()
	r.endAll()
	r.submitUntil(time.Now().Add(roomWatched))
	if waits := r.waits(); len(waits) > 0 {
		return fmt.Sprint("breaches: ", strings.Join(waits, "\n"))
	}
	if r.crashesGoOn {
		return "" // what runs changes all the time
	}
	return r.awaitTrueBelief(r.liveDaemons)
}

// waits returns the breaches of tasks that waited. What runs too often is left to the tests of crashes and late starts;
// it is printed.
func (r *largeCellRun) waits() []string {
	return slices.DeleteFunc(r.grid.Breaches(), func(breach string) bool {
		waits := strings.Contains(breach, "could run and doesn't")
		if !waits {
			r.t.Log("beside the waits:", breach)
		}
		return !waits
	})
}

// endAll ends all faults of the workers.
func (r *largeCellRun) endAll() {
	r.jobsMu.Lock()
	r.calm = !r.crashesGoOn
	r.jobsMu.Unlock()
	for place := range roomWorkers {
		r.grid.SetFaults(place, noFaults)
		r.grid.SetListed(place, true)
		r.grid.StopDraining(place)
	}
	r.grid.NoteFault()
}

func lastingRoomStep() jobs.Step {
	return jobs.Step{Count: roomLastingTasks, Size: models.Resources{CPU: 250, Memory: 100}, LongRunning: true, Image: "serving", Target: 100}
}

// submitUntil submits short jobs.
func (r *largeCellRun) submitUntil(end time.Time) {
	for time.Now().Before(end) {
		r.submitJob(roomStep(6, 288), 0)
		time.Sleep(largeCellSubmitEvery)
	}
}

// submitJob submits a job of one step to a daemon that is not lost. With crashAfter, its first task crashes its workers so
// long after each start.
func (r *largeCellRun) submitJob(step jobs.Step, crashAfter models.Milli) {
	r.jobsMu.Lock()
	r.nextJob++
	spec := jobs.Spec{ID: jobID(r.nextJob), Payload: "payload", Steps: []jobs.Step{step}}
	if crashAfter > 0 {
		r.crashing[spec.ID] = crashAfter.Duration()
	}
	r.jobsMu.Unlock()
	r.trySubmit(r.anyDaemon(), spec)
}

// submitCrashingLasting submits a long-running job whose first task crashes its workers, unless such jobs may fill too
// much of the cell.
func (r *largeCellRun) submitCrashingLasting(crashAfter models.Milli) {
	r.jobsMu.Lock()
	r.lastingJobs++
	tooMany := r.lastingJobs > largeCellMaxLasting
	r.jobsMu.Unlock()
	if !tooMany {
		r.submitJob(lastingRoomStep(), crashAfter)
	}
}

// happen lets a fault happen.
func (r *largeCellRun) happen(n int, fault largeCellFault) {
	name := fmt.Sprint(fault.What, " ", n)
	switch fault.What {
	case "lose owner", "lose owner for good", "replace owner":
		r.loseNextOwner(n, fault)
	case "restart workers":
		r.onEach(fault.Places, r.grid.CrashWithDowntime)
	case "restart all workers twice":
		r.restartTwice(fault.For.Duration() / (2 * roomWorkers))
	case "crashing jobs":
		for range fault.Jobs {
			r.submitJob(roomStep(6, 288), fault.CrashAfter)
		}
	case "crashing lasting jobs":
		for range fault.Jobs {
			r.submitCrashingLasting(fault.CrashAfter)
		}
	case "workers gone":
		r.crashForGood(fault.Places)
	case "store outage":
		r.lasts(name, min(fault.For, models.MilliOf(maxStoreTime)), func() { r.setOutage(true) }, func() { r.setOutage(false) })
	case "cut from owner":
		if d := r.nextOwner(); d != nil {
			r.cutSome(name, d, fault)
		}
	case "cut from daemon":
		live := r.liveDaemons()
		r.cutSome(name, live[fault.Daemon%len(live)], fault)
	default:
		r.disturbWorkers(fault)
	}
}

// disturbWorkers lets a fault of workers happen that the audit sees by itself.
func (r *largeCellRun) disturbWorkers(fault largeCellFault) {
	begin, end := map[string]func(place int){
		"unlist workers":      func(place int) { r.grid.SetListed(place, false) },
		"drain workers":       func(place int) { r.grid.Drain(place, fault.For.Duration()) },
		"late workers":        func(place int) { r.grid.SetFaults(place, faultsLate) },
		"cut workers":         func(place int) { r.grid.SetFaults(place, faultsCut) },
		"lose worker answers": func(place int) { r.grid.SetFaults(place, grid.Faults{LoseAnswers: true}) },
	}[fault.What], func(place int) {
		r.grid.SetFaults(place, noFaults)
		r.grid.SetListed(place, true)
		r.grid.StopDraining(place)
	}
	r.onEach(fault.Places, begin)
	time.Sleep(fault.For.Duration())
	r.onEach(fault.Places, end)
}

func (r *largeCellRun) onEach(places []int, do func(place int)) {
	for _, place := range places {
		do(place)
	}
}

// restartTwice restarts all workers one after the other, and again.
func (r *largeCellRun) restartTwice(pause time.Duration) {
	for n := range 2 * roomWorkers {
		r.grid.CrashWithDowntime(n % roomWorkers)
		time.Sleep(pause)
	}
}

// crashForGood ends some workers for good, no more than one in largeCellGoneOneIn over the whole script.
func (r *largeCellRun) crashForGood(places []int) {
	for _, place := range places {
		r.jobsMu.Lock()
		r.gone++
		tooMany := r.gone > roomWorkers/largeCellGoneOneIn
		r.jobsMu.Unlock()
		if !tooMany {
			r.grid.CrashForGood(place)
		}
	}
}

// cutSome cuts one daemon off from some workers, which the others reach.
func (r *largeCellRun) cutSome(name string, d *testDaemon, fault largeCellFault) {
	ids := r.grid.IDs()
	r.lasts(name, fault.For, func() {
		r.onEach(fault.Places, func(place int) { d.cut(ids[place]) })
	}, func() {
		r.onEach(fault.Places, func(place int) { d.reach(ids[place]) })
	})
}

// loseNextOwner loses the owner, which comes back, is replaced by a new daemon, or is gone.
func (r *largeCellRun) loseNextOwner(n int, fault largeCellFault) {
	d := r.nextOwner()
	if d == nil {
		return
	}
	loss := ownerLoss{Kind: fault.Loss, Back: fault.For, Kept: len(fault.Places)}
	switch fault.What {
	case "lose owner for good":
		loss.Back = 0
	case "replace owner":
		loss.Kind, loss.Back = lossOfPower, 0
	}
	r.loseOwner(n, loss, d)
	if fault.What == "replace owner" {
		time.Sleep(fault.For.Duration())
		r.grid.NoteFault()
		r.startDaemon()
	}
}

// TestNothingWaitsBesideRoomInLargeCells guards against tasks that wait beside free workers of a large cell, and against
// workers that are not used any more, after faults of all kinds beside tasks that crash their workers.
func TestNothingWaitsBesideRoomInLargeCells(t *testing.T) { playLargeCells(t, false) }

// TestNothingWaitsBesideTrialsInLargeCells guards against the same while tasks go on crashing their workers: suspects on
// trial close each worker with room to tasks without losses, and a suspect waits for verdicts on others.
func TestNothingWaitsBesideTrialsInLargeCells(t *testing.T) {
	casefile.Each(t, "testdata/large_cells/*.json", func(t *testing.T, script largeCell) {
		require.Empty(t, runLargeCell(t, script, true))
	})
	playLargeCells(t, true)
}

// playLargeCells plays random scripts.
func playLargeCells(t *testing.T, crashesGoOn bool) {
	t.Helper()
	for seed := *largeCellFirst; seed < *largeCellFirst+*largeCellSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			require.Empty(t, runLargeCell(t, drawLargeCell(rand.New(rand.NewPCG(seed, 21))), crashesGoOn))
		})
	}
}
