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

// TestMain fixes the seed of the random tests, so that CI gives the same result each time; "make long" uses other seeds
// and more checks.
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

// scriptStep is one step of a script: an action of callers, daemons, workers or the store, and the time until the next
// step.
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

	// wideTasks is the number of long-running tasks of a wide job: they fill most of a cell of two workers, so that work
	// moves between cells.
	wideTasks = 3
	// maxLongRunningTasks is the number of long-running tasks that fit on the four workers together with a step of short
	// tasks.
	maxLongRunningTasks = 7
)

// crashStepKinds are faultStepKinds, the submission of jobs with a task that crashes its workers, and further faults of
// workers.
var crashStepKinds = append([]string{"submit crashing", "submit crashing", "submit crashing lasting", "worker down", "drain worker"}, faultStepKinds...)

func drawFaultStep(rt *rapid.T) scriptStep { return drawStep(rt, faultStepKinds) }

func drawCrashStep(rt *rapid.T) scriptStep { return drawStep(rt, crashStepKinds) }

func drawStep(rt *rapid.T, kinds []string) scriptStep {
	return scriptStep{
		What:   rapid.SampledFrom(kinds).Draw(rt, "what"),
		Daemon: rapid.IntRange(0, scriptDaemons-1).Draw(rt, "daemon"),
		Place:  rapid.IntRange(0, scriptWorkers-1).Draw(rt, "place"),
		Work:   rapid.IntRange(50, 5000).Draw(rt, "work"),
		Wait:   time.Duration(rapid.IntRange(0, 40).Draw(rt, "tenths")) * 100 * time.Millisecond,
	}
}

// TestRandomFaults runs random scripts against the real daemons, with all workers in one cell.
func TestRandomFaults(t *testing.T) { checkRandomScripts(t, oneCellScenario, drawFaultStep) }

// TestRandomFaultsInTwoCells does the same with two cells.
func TestRandomFaultsInTwoCells(t *testing.T) { checkRandomScripts(t, twoCellScenario, drawFaultStep) }

// TestRandomFaultsInThreeCells does the same with three cells.
func TestRandomFaultsInThreeCells(t *testing.T) {
	checkRandomScripts(t, threeCellScenario, drawFaultStep)
}

// TestRandomCrashes runs scripts with tasks that crash their workers, along with all other faults, in one cell and in
// two cells. How long jobs wait meanwhile is checked by TestRandomCrashesMakeProgress.
func TestRandomCrashes(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkRandomScripts(t, oneCellScenario.uncheckedProgress(), drawCrashStep) })
	t.Run("two cells", func(t *testing.T) { checkRandomScripts(t, twoCellScenario.uncheckedProgress(), drawCrashStep) })
}

// scenario is the configuration of workers and cells in which a script runs.
type scenario struct {
	workers        int // 0: scriptWorkers; scripts affect the first scriptWorkers only
	perCell        int // workers to a cell
	naming         grid.Naming
	domains        int  // failure domains; 0: one
	ackFutureEnds  bool // see grid.Config.AckFutureEnds
	maxLongRunning int  // 0: maxLongRunningTasks
	endsPerReport  int  // ended runs that a worker lists at once; 0: as on the users' platform

	maxValueSize      int  // of the store, in bytes; 0: as on the users' platform
	progressUnchecked bool // jobs may wait although they could run
	crashRule         grid.CrashRule
	crashesEnd        bool // no task crashes its worker any more once the last fault is over
}

var (
	oneCellScenario   = scenario{perCell: scriptWorkers}
	twoCellScenario   = scenario{perCell: scriptWorkers / 2}
	threeCellScenario = scenario{workers: 3 * scriptWorkers / 2, perCell: scriptWorkers / 2}
)

// uncheckedProgress returns the scenario in which jobs may wait although they could run, until settleTimeout.
func (s scenario) uncheckedProgress() scenario {
	s.progressUnchecked = true
	return s
}

// sameIDs returns the scenario with workers that restart under the same IDs.
func (s scenario) sameIDs() scenario {
	s.naming = grid.SameID
	return s
}

func checkRandomScripts(t *testing.T, in scenario, draw func(*rapid.T) scriptStep) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(draw), 5, 40).Draw(rt, "script")
		if failure := runScriptRepeatedly(t, script, in); failure != "" {
			data, err := json.MarshalIndent(script, "", " ")
			require.NoError(t, err)
			rt.Fatalf("%s\n%s", failure, data)
		}
	})
}

// playsOfEach is how often each script is run. A seed fixes the script but not its run: all clocks are those of the
// synctest bubble, but goroutines that are ready at the same instant run in any order, even on one processor, a select
// with several ready cases takes any, and maps are iterated in any order. Go allows none of these to be fixed.
const playsOfEach = 3

// runScriptRepeatedly runs a script several times and returns the first failure.
func runScriptRepeatedly(t *testing.T, script []scriptStep, in scenario) (failure string) {
	for range playsOfEach {
		if failure = runScript(t, script, in); failure != "" {
			return failure
		}
	}
	return ""
}

// TestNamedScripts runs the scripts of testdata, which are failures found by random runs.
func TestNamedScripts(t *testing.T) {
	casefile.Each(t, "testdata/scripts/*.json", func(t *testing.T, script []scriptStep) {
		require.Empty(t, runScript(t, script, oneCellScenario))
		require.Empty(t, runScript(t, script, twoCellScenario))
	})
}

// scriptRun is the state of one run of a script.
type scriptRun struct {
	*testCluster
	scenario         scenario
	jobCount         int
	spreadSubmitted  bool
	crashingWide     bool // a long-running job of several tasks, one of which crashes its workers, was submitted
	longRunningTasks int  // number of long-running tasks submitted so far
	accepted         []jobs.Spec
	cancelled        map[jobs.ID]bool
	maybeCancelled   map[jobs.ID]bool // the cancellation has an unknown outcome: the job may end either way
	mu               sync.Mutex
	crashing         map[jobs.ID]time.Duration // time from start to crash, by jobs whose first task crashes its workers
	crashesOver      bool                      // they crash them no more
	submitted        map[jobs.ID]jobs.Spec     // jobs that were handed in; nil: not recorded
	failing          map[jobs.ID]bool          // jobs of which some tasks fail at first
	failed           map[jobs.TaskID]int       // how many runs of these tasks have failed
	weekJobs         int
	workerFailsAll   bool // some worker has failed all its runs, so that jobs may fail
}

// newScriptRun returns a run of a script, without its cluster.
func newScriptRun(in scenario) *scriptRun {
	return &scriptRun{
		scenario: in, cancelled: map[jobs.ID]bool{}, maybeCancelled: map[jobs.ID]bool{}, crashing: map[jobs.ID]time.Duration{},
		submitted: map[jobs.ID]jobs.Spec{}, failing: map[jobs.ID]bool{}, failed: map[jobs.TaskID]int{},
	}
}

func runScript(t *testing.T, script []scriptStep, in scenario) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		s := newScriptRun(in)
		var changes []clusterChange
		if in.maxValueSize > 0 {
			changes = append(changes, withMaxValue(in.maxValueSize))
		}
		s.testCluster = newTestClusterWithGrid(t, scriptDaemons, in.perCell, grid.Config{
			Workers: cmp.Or(in.workers, scriptWorkers), RestartDelay: workerDowntime, Crash: s.crashOf, Naming: in.naming, Domains: in.domains, AckFutureEnds: in.ackFutureEnds,
			CrashRule: in.crashRule, EndsPerReport: in.endsPerReport, Work: s.workOf,
		}, changes...)
		s.startProgressChecks()
		time.Sleep(5 * time.Second)
		for _, step := range script {
			stepsRun++
			s.applyStep(step)
			time.Sleep(step.Wait)
		}
		s.heal()
		if failure = s.check(); failure != "" {
			failure += "\nscript and log: " + saveFailure(outer, script, failure, s.log())
		}
	})
	return failure
}

// crashOf reports whether a task crashes its worker, and how long after its start.
func (s *scriptRun) crashOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, crashes := s.crashing[task.Job]
	return after, crashes && task.Step == 0 && task.Index == 0 && !s.crashesOver
}

// markNextJobCrashing makes the first task of the next job crash its workers.
func (s *scriptRun) markNextJobCrashing(step scriptStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing[jobID(s.jobCount+1)] = time.Duration(1+step.Work%300) * time.Millisecond
}

func (s *scriptRun) applyStep(step scriptStep) {
	s.noteStepFault(step)
	d := s.daemons[len(s.daemons)-scriptDaemons+step.Daemon]
	switch step.What {
	case "submit":
		s.jobCount++
		s.trySubmit(d, twoStepJob(s.jobCount, time.Duration(step.Work)*time.Millisecond))
	case "submit timed", "submit week":
		s.submitTimed(d, step)
	case "submit short":
		s.jobCount++
		s.trySubmit(d, twoStepJob(s.jobCount, shortWork))
	case "submit lasting":
		s.submitLongRunning(d, 1)
	case "submit wide":
		s.submitLongRunning(d, wideTasks)
	case "submit many", "submit many failing":
		s.submitMany(d, step.What == "submit many failing")
	case "submit many lasting":
		s.submitManyLasting(d)
	case "submit spread":
		s.submitSpread(d)
	case "submit crashing":
		s.markNextJobCrashing(step)
		s.jobCount++
		s.trySubmit(d, twoStepJob(s.jobCount, time.Second))
	case "submit crashing lasting":
		if !s.fitsAfterCrashes(1) {
			return
		}
		s.markNextJobCrashing(step)
		s.jobCount++
		s.trySubmit(d, longRunningJob(s.jobCount, 1))
	case "submit crashing wide":
		s.submitCrashingWide(d, step)
	case "worker down":
		s.grid.SetListed(step.Place, true)
		s.grid.CrashWithDowntime(step.Place)
	case "shrink worker":
		s.grid.SetCapacity(step.Place, step.remainingCapacity())
	case "grow worker":
		s.grid.SetCapacity(step.Place, 1)
	case "drain worker":
		s.grid.Drain(step.Place, time.Duration(step.Work)*time.Millisecond)
	case "cancel":
		s.tryCancel(d, jobID(1+step.Work%max(1, s.jobCount)))
	case "kill daemon":
		s.replaceDaemon(step.Daemon)
	case "freeze daemon":
		d.freeze()
	case "store outage":
		s.setOutage(true)
	case "store back":
		s.setOutage(false)
	case "store forgets":
		s.store.Compact()
	case "crash worker":
		s.grid.SetListed(step.Place, true)
		s.grid.Crash(step.Place)
	case "restart worker":
		s.grid.CrashKeepingFaults(step.Place)
	case "restart all workers":
		for place := range scriptWorkers {
			s.grid.CrashKeepingFaults(place)
		}
	case "drain and isolate worker":
		s.grid.Drain(step.Place, step.announced())
		s.grid.Isolate(step.Place, false)
	case "drain and isolate refusing worker":
		s.grid.Drain(step.Place, step.announced())
		s.grid.Isolate(step.Place, true)
	case "isolate worker":
		s.grid.Isolate(step.Place, false)
	case "isolate refusing worker":
		s.grid.Isolate(step.Place, true)
	case "cut worker":
		s.grid.SetFaults(step.Place, faultsCut)
	case "late worker":
		s.grid.SetFaults(step.Place, faultsLate)
	case "lose worker answers":
		s.grid.SetFaults(step.Place, grid.Faults{LoseAnswers: true})
	case "unlist worker":
		s.grid.SetListed(step.Place, false)
	case "heal worker":
		s.grid.SetFaults(step.Place, noFaults)
		s.grid.SetListed(step.Place, true)
	case "cordon domain":
		s.grid.Cordon(grid.DomainName(step.Place))
	case "lift cordon":
		s.grid.LiftCordon(grid.DomainName(step.Place))
	case "kill owner", "kill owner daemon": // the audit is told of the second as a fault
		s.replaceOwner()
	case "kill all daemons":
		for n := range scriptDaemons {
			s.replaceDaemon(n)
		}
	default:
		s.applyDaemonStep(d, step)
	}
}

func (s *scriptRun) applyDaemonStep(d *testDaemon, step scriptStep) {
	if step.What == "heal daemon" {
		d.heal()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch step.What {
	case "cut daemon from store":
		d.storeCut = true
	case "cut daemon from workers":
		d.workerCut = true
	case "lose store answers":
		d.lostAnswerDraw = rand.New(rand.NewPCG(uint64(step.Work), 1))
	}
}

func (d *testDaemon) heal() {
	d.thaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeCut, d.workerCut, d.lostAnswerDraw = false, false, nil
}

// replaceDaemon kills a daemon without a handover, as a power failure would, and starts a new one in its place.
func (s *scriptRun) replaceDaemon(n int) {
	at := len(s.daemons) - scriptDaemons + n
	s.daemons[at].kill()
	fresh := s.startDaemon()
	s.testCluster.mu.Lock()
	defer s.testCluster.mu.Unlock()
	last := len(s.daemons) - 1
	copy(s.daemons[at:last], s.daemons[at+1:last])
	s.daemons = append(s.daemons[:last-1], fresh)
}

// trySubmit submits a job once. A job whose submission has an unknown outcome may run.
func (s *scriptRun) trySubmit(d *testDaemon, spec jobs.Spec) {
	spec.Queue = testQueue
	s.mu.Lock()
	if s.submitted != nil {
		s.submitted[spec.ID] = spec
	}
	s.mu.Unlock()
	s.grid.Expect(spec, testAttempts)
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	if d.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}) == (platform.Done{}) {
		s.accepted = append(s.accepted, spec)
		if spec.Repeat.Count != weekTimes { // whose end would show that lost acknowledgements are not missed
			s.grid.Accepted(spec.ID)
		}
	}
}

// submitLongRunning submits a job of long-running tasks if all of them still fit on the workers.
func (s *scriptRun) submitLongRunning(d *testDaemon, tasks int) {
	if s.longRunningTasks+tasks > cmp.Or(s.scenario.maxLongRunning, maxLongRunningTasks) {
		return
	}
	s.longRunningTasks += tasks
	s.jobCount++
	s.trySubmit(d, longRunningJob(s.jobCount, tasks))
}

// fitsAfterCrashes reports whether long-running tasks, the first of which crashes its workers, need not be counted, or still
// fit on the workers when it crashes them no more, and counts them.
func (s *scriptRun) fitsAfterCrashes(tasks int) bool {
	if !s.scenario.crashesEnd {
		return true
	}
	if s.longRunningTasks+tasks > maxLongRunningTasks {
		return false
	}
	s.longRunningTasks += tasks
	return true
}

// submitSpread submits a job with a task on each worker but one, once in a run.
func (s *scriptRun) submitSpread(d *testDaemon) {
	if s.spreadSubmitted {
		return
	}
	s.spreadSubmitted = true
	s.jobCount++
	spec := longRunningJob(s.jobCount, s.scenario.workers-1)
	spec.Steps[0].PerWorker = 1
	s.trySubmit(d, spec)
}

// submitCrashingWide submits a long-running job of several tasks, the first of which crashes its workers, once in a run:
// each costs several workers one after the other.
func (s *scriptRun) submitCrashingWide(d *testDaemon, step scriptStep) {
	if s.crashingWide || !s.fitsAfterCrashes(wideTasks) {
		return
	}
	s.crashingWide = true
	s.markNextJobCrashing(step)
	s.jobCount++
	s.trySubmit(d, longRunningJob(s.jobCount, wideTasks))
}

func (s *scriptRun) tryCancel(d *testDaemon, id jobs.ID) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	s.grid.Cancelled(id)
	switch d.Cancel(ctx, id).(type) {
	case platform.Done:
		s.cancelled[id] = true
	case platform.MaybeDone:
		s.maybeCancelled[id] = true
	}
	s.resumeProgressChecks(id)
}

func (s *scriptRun) heal() {
	s.mu.Lock()
	s.crashesOver = s.scenario.crashesEnd
	s.mu.Unlock()
	s.grid.NoteFault()
	s.grid.LiftCordons()
	s.setOutage(false)
	for _, d := range s.daemons {
		d.heal()
	}
	for place := range scriptWorkers {
		s.grid.SetFaults(place, noFaults)
		s.grid.SetListed(place, true)
		s.grid.StopDraining(place)
		s.grid.SetCapacity(place, 1)
	}
}

// settleTimeout is how long after the last fault all jobs may take to reach their expected states: leases of previous
// owners have to expire, and the work of all jobs has to be done.
const settleTimeout = 90 * time.Second

// check waits until all jobs are in their expected states, and describes what is wrong; empty if nothing.
func (s *scriptRun) check() string {
	deadline := time.Now().Add(settleTimeout)
	problem := ""
	for time.Now().Before(deadline) {
		if problem = s.unmet(); problem == "" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if breaches := s.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("breaches: ", breaches)
	}
	if problem != "" {
		return problem
	}
	return s.awaitTrueBelief(s.restDaemons)
}

// unmet describes an accepted job that is not yet in its expected state; empty if there is none.
func (s *scriptRun) unmet() string {
	for _, spec := range s.accepted {
		for _, d := range s.daemons {
			state := s.state(d, spec.ID)
			switch {
			case s.maybeCancelled[spec.ID] && state == jobs.StateCancelled && s.grid.Running(spec.ID) == 0:
			case s.cancelled[spec.ID]:
				if !state.Ended() || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("cancelled job %s is %q at %s, %d tasks are running", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.crashing[spec.ID] != 0 && (!s.scenario.crashesEnd || state == jobs.StateFailed):
				if !s.maybeCancelled[spec.ID] && state != jobs.StateFailed || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("job %s, which crashes its workers, is %q at %s, %d tasks are running", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.workerFailsAll && state == jobs.StateFailed && s.grid.MostFailures(spec.ID) >= testAttempts:
				if s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("failed job %s has %d tasks running", spec.ID, s.grid.Running(spec.ID))
				}
			case spec.Repeat.Count == weekTimes:
				if state != jobs.StateRunning || !s.grid.DueSucceeded(spec.ID) {
					return fmt.Sprintf("job %s, whose last time is not due, is %q at %s", spec.ID, state, d.name)
				}
			case spec.Steps[0].LongRunning:
				if state != jobs.StateRunning || s.grid.Running(spec.ID) != spec.Steps[0].Count {
					return fmt.Sprintf("long-running job %s is %q at %s, %d tasks are running", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case state != jobs.StateSucceeded:
				return fmt.Sprintf("job %s is %q at %s", spec.ID, state, d.name)
			}
		}
	}
	return ""
}
