// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/grid"
)

// TestMain fixes the seed of the random tests, so that CI gives the same verdict each
// time; "make long" asks for other seeds and more runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "100", "rapid.shrinktime": "20s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	fmt.Println("random steps taken:", stepsRun)
	os.Exit(code)
}

var stepsRun int

// scriptStep is one step of a script: something that callers, daemons, workers or the
// store do, and the time until the next.
type scriptStep struct {
	What   string        `json:"what"`
	Daemon int           `json:"daemon"`
	Place  int           `json:"place"`
	Work   int           `json:"work_ms"`
	Wait   time.Duration `json:"wait"`
}

var faultStepKinds = []string{
	"submit", "submit", "submit", "submit lasting", "submit wide", "cancel",
	"kill daemon", "freeze daemon", "cut daemon from store", "cut daemon from workers", "lose store answers", "heal daemon",
	"store outage", "store back", "store forgets",
	"crash worker", "cut worker", "late worker", "lose worker answers", "unlist worker", "heal worker",
}

const (
	scriptWorkers = 4
	scriptDaemons = 3

	// wideTasks is how many lasting tasks of a job fill most of a cell of two workers, so that
	// work moves between cells.
	wideTasks = 3
	// maxLongRunningTasks lasting tasks find room on the four workers, and a step of ordinary ones too.
	maxLongRunningTasks = 7
)

// crashStepKinds are those, and jobs with a task that ends its workers.
var crashStepKinds = append([]string{"submit crashing", "submit crashing", "submit crashing lasting", "worker down", "drain worker"}, faultStepKinds...)

func drawFaultStep(rt *rapid.T) scriptStep { return drawStep(rt, faultStepKinds) }

func drawCrashStep(rt *rapid.T) scriptStep { return drawStep(rt, crashStepKinds) }

func drawStep(rt *rapid.T, whats []string) scriptStep {
	return scriptStep{
		What:   rapid.SampledFrom(whats).Draw(rt, "what"),
		Daemon: rapid.IntRange(0, scriptDaemons-1).Draw(rt, "daemon"),
		Place:  rapid.IntRange(0, scriptWorkers-1).Draw(rt, "place"),
		Work:   rapid.IntRange(50, 5000).Draw(rt, "work"),
		Wait:   time.Duration(rapid.IntRange(0, 40).Draw(rt, "tenths")) * 100 * time.Millisecond,
	}
}

// TestRandomFaults plays random scripts against the real daemons, with all workers in one
// cell.
func TestRandomFaults(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawFaultStep) }

// TestRandomFaultsInTwoCells does the same with two cells.
func TestRandomFaultsInTwoCells(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawFaultStep) }

// TestRandomFaultsInThreeCells does it with three.
func TestRandomFaultsInThreeCells(t *testing.T) {
	checkRandomScripts(t, threeCellScenario, drawFaultStep)
}

// TestRandomCrashes plays scripts with tasks that end their workers beside all other faults, with
// one cell and with two.
func TestRandomCrashes(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawCrashStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawCrashStep) })
}

// scenario is where a script is played.
type scenario struct {
	workers        int // 0: scriptWorkers; scripts disturb no more than these
	perCell        int // of them
	naming         grid.Naming
	forgetsAhead   bool // see grid.Config
	maxLongRunning int  // 0: maxLongRunningTasks
}

var (
	oneCellScenario   = scenario{perCell: scriptWorkers}
	twoCellScenario   = scenario{perCell: scriptWorkers / 2}
	threeCellScenario = scenario{workers: 3 * scriptWorkers / 2, perCell: scriptWorkers / 2}
)

// sameIDs is the scene with workers that start again under their ids.
func (s scenario) sameIDs() scenario {
	s.naming = grid.SameID
	return s
}

func checkRandomScripts(t *testing.T, where scenario, draw func(*rapid.T) scriptStep) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(draw), 5, 40).Draw(rt, "script")
		if failure := runScriptRepeatedly(t, script, where); failure != "" {
			data, err := json.MarshalIndent(script, "", " ")
			require.NoError(t, err)
			rt.Fatalf("%s\n%s", failure, data)
		}
	})
}

// runsPerScript is how often each script is played. A seed fixes the script, not its play: all clocks are
// those of a bubble, but goroutines that are ready at the same instant run in any order, even on one
// processor, a select with several ready cases takes any, and maps are ranged over in any order. The
// language lets none of these be fixed.
const runsPerScript = 3

// runScriptRepeatedly plays a script several times, and gives the first failure.
func runScriptRepeatedly(t *testing.T, script []scriptStep, where scenario) (failure string) {
	for range runsPerScript {
		if failure = runScript(t, script, where); failure != "" {
			return failure
		}
	}
	return ""
}

// TestNamedScripts plays the scripts of testdata: failures that random runs have found.
func TestNamedScripts(t *testing.T) {
	casefile.Each(t, "testdata/scripts/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScript(t, script, oneCellScenario))
		require.Empty(t, runScript(t, script, twoCellScenario))
	})
}

// scriptRun is what a script has brought about so far.
type scriptRun struct {
	*world
	scenario         scenario
	jobCount         int
	spreadSubmitted  bool
	longRunningTasks int // tasks that last
	accepted         []jobs.Spec
	cancelled        map[jobs.ID]bool
	maybeCancelled   map[jobs.ID]bool // the cancellation has no clear answer: either is right
	mu               sync.Mutex
	crashing         map[jobs.ID]time.Duration // jobs whose first task ends its workers, so long after its start
	workerFailsAll   bool                      // a worker has failed all that it started: jobs may fail for it
}

func runScript(t *testing.T, script []scriptStep, where scenario) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		s := &scriptRun{cancelled: map[jobs.ID]bool{}, maybeCancelled: map[jobs.ID]bool{}, crashing: map[jobs.ID]time.Duration{}}
		s.scenario = where
		s.world = newWorldWith(t, scriptDaemons, where.perCell, grid.Config{
			Workers: cmp.Or(where.workers, scriptWorkers), Down: workerDowntime, Crash: s.crashOf, Naming: where.naming, ForgetsAhead: where.forgetsAhead,
		})
		time.Sleep(5 * time.Second)
		for _, h := range script {
			stepsRun++
			s.applyStep(h)
			time.Sleep(h.Wait)
		}
		s.heal()
		if failure = s.check(); failure != "" {
			failure += "\nscript and log: " + saveFailure(outer, script, failure, s.log())
		}
	})
	return failure
}

// crashOf tells whether a task ends its worker, and when.
func (s *scriptRun) crashOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, crashes := s.crashing[task.Job]
	return after, crashes && task.Step == 0 && task.Index == 0
}

// markNextJobCrashing lets the first task of the next job end its workers.
func (s *scriptRun) markNextJobCrashing(h scriptStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing[jobID(s.jobCount+1)] = time.Duration(1+h.Work%300) * time.Millisecond
}

func (s *scriptRun) applyStep(h scriptStep) {
	d := s.daemons[len(s.daemons)-scriptDaemons+h.Daemon]
	switch h.What {
	case "submit":
		s.jobCount++
		s.trySubmit(d, twoSteps(s.jobCount, time.Duration(h.Work)*time.Millisecond))
	case "submit lasting":
		s.submitLasting(d, 1)
	case "submit wide":
		s.submitLasting(d, wideTasks)
	case "submit spread":
		s.submitSpread(d)
	case "submit crashing":
		s.markNextJobCrashing(h)
		s.jobCount++
		s.trySubmit(d, twoSteps(s.jobCount, time.Second))
	case "submit crashing lasting":
		s.markNextJobCrashing(h)
		s.jobCount++
		s.trySubmit(d, lasting(s.jobCount, 1))
	case "worker down":
		s.grid.SetListed(h.Place, true)
		s.grid.CrashFor(h.Place)
	case "shrink worker":
		s.grid.SetRoom(h.Place, h.remainingCapacity())
	case "grow worker":
		s.grid.SetRoom(h.Place, 1)
	case "drain worker":
		s.grid.Drain(h.Place, time.Duration(h.Work)*time.Millisecond)
	case "cancel":
		s.tryCancel(d, jobID(1+h.Work%max(1, s.jobCount)))
	case "kill daemon":
		s.replaceDaemon(h.Daemon)
	case "freeze daemon":
		d.freeze()
	case "store outage":
		s.setOutage(true)
	case "store back":
		s.setOutage(false)
	case "store forgets":
		s.store.Forget()
	case "crash worker":
		s.grid.SetListed(h.Place, true)
		s.grid.Crash(h.Place)
	case "restart worker":
		s.grid.CrashBehind(h.Place)
	case "restart all workers":
		for place := range scriptWorkers {
			s.grid.CrashBehind(place)
		}
	case "cut worker":
		s.grid.SetFaults(h.Place, faultsCut)
	case "late worker":
		s.grid.SetFaults(h.Place, faultsLate)
	case "lose worker answers":
		s.grid.SetFaults(h.Place, grid.Faults{LoseAnswers: true})
	case "unlist worker":
		s.grid.SetListed(h.Place, false)
	case "heal worker":
		s.grid.SetFaults(h.Place, noFaults)
		s.grid.SetListed(h.Place, true)
	default:
		s.applyDaemonStep(d, h)
	}
}

func (s *scriptRun) applyDaemonStep(d *testDaemon, h scriptStep) {
	if h.What == "heal daemon" {
		d.heal()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch h.What {
	case "cut daemon from store":
		d.storeCut = true
	case "cut daemon from workers":
		d.workerCut = true
	case "lose store answers":
		d.loseWrite = rand.New(rand.NewPCG(uint64(h.Work), 1))
	}
}

func (d *testDaemon) heal() {
	d.thaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeCut, d.workerCut, d.loseWrite = false, false, nil
}

// replaceDaemon ends a daemon as a loss of power would and starts a new one in its place.
func (s *scriptRun) replaceDaemon(n int) {
	at := len(s.daemons) - scriptDaemons + n
	s.daemons[at].kill()
	fresh := s.startDaemon()
	last := len(s.daemons) - 1
	copy(s.daemons[at:last], s.daemons[at+1:last])
	s.daemons = append(s.daemons[:last-1], fresh)
}

// trySubmit hands a job in once. A job without a clear answer may run.
func (s *scriptRun) trySubmit(d *testDaemon, spec jobs.Spec) {
	spec.Queue = testQueue
	s.grid.Expect(spec, testAttempts)
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	if d.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}) == (platform.Done{}) {
		s.accepted = append(s.accepted, spec)
	}
}

// submitLasting hands in a job of lasting tasks while there is room for all of them.
func (s *scriptRun) submitLasting(d *testDaemon, tasks int) {
	if s.longRunningTasks+tasks > cmp.Or(s.scenario.maxLongRunning, maxLongRunningTasks) {
		return
	}
	s.longRunningTasks += tasks
	s.jobCount++
	s.trySubmit(d, lasting(s.jobCount, tasks))
}

// submitSpread hands in a job with a task on each worker but one, once.
func (s *scriptRun) submitSpread(d *testDaemon) {
	if s.spreadSubmitted {
		return
	}
	s.spreadSubmitted = true
	s.jobCount++
	spec := lasting(s.jobCount, s.scenario.workers-1)
	spec.Steps[0].PerWorker = 1
	s.trySubmit(d, spec)
}

func (s *scriptRun) tryCancel(d *testDaemon, id jobs.ID) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	switch d.Cancel(ctx, id).(type) {
	case platform.Done:
		s.cancelled[id] = true
	case platform.MaybeDone:
		s.maybeCancelled[id] = true
	}
}

func (s *scriptRun) heal() {
	s.setOutage(false)
	for _, d := range s.daemons {
		d.heal()
	}
	for place := range scriptWorkers {
		s.grid.SetFaults(place, noFaults)
		s.grid.SetListed(place, true)
		s.grid.StopDraining(place)
		s.grid.SetRoom(place, 1)
	}
}

// settleTimeout is how long everything may take to be right after the last fault: leases of
// former owners have to lapse, and the work of all jobs has to be done.
const settleTimeout = 90 * time.Second

// check tells what is not as promised once all faults are over.
func (s *scriptRun) check() string {
	deadline := time.Now().Add(settleTimeout)
	missing := ""
	for time.Now().Before(deadline) {
		if missing = s.unmet(); missing == "" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if breaches := s.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("promises broken: ", breaches)
	}
	return missing
}

// unmet tells which accepted job is not yet as it should be.
func (s *scriptRun) unmet() string {
	for _, spec := range s.accepted {
		for _, d := range s.daemons {
			state := s.state(d, spec.ID)
			switch {
			case s.maybeCancelled[spec.ID] && state == jobs.StateCancelled && s.grid.Running(spec.ID) == 0:
			case s.cancelled[spec.ID]:
				if !state.Ended() || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("cancelled job %s is %q at %s, %d tasks run", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.crashing[spec.ID] != 0:
				if !s.maybeCancelled[spec.ID] && state != jobs.StateFailed || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("job %s, which ends its workers, is %q at %s, %d tasks run", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.workerFailsAll && state == jobs.StateFailed && s.grid.MostFailures(spec.ID) >= testAttempts:
				if s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("failed job %s has %d tasks running", spec.ID, s.grid.Running(spec.ID))
				}
			case spec.Steps[0].Lasts:
				if state != jobs.StateRunning || s.grid.Running(spec.ID) != spec.Steps[0].Count {
					return fmt.Sprintf("lasting job %s is %q at %s, %d tasks run", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case state != jobs.StateSucceeded:
				return fmt.Sprintf("job %s is %q at %s", spec.ID, state, d.name)
			}
		}
	}
	return ""
}
