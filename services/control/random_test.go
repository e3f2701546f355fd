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
	fmt.Println("random steps taken:", randomSteps)
	os.Exit(code)
}

var randomSteps int

// happening is one step of a script: something that callers, daemons, workers or the
// store do, and the time until the next.
type happening struct {
	What   string        `json:"what"`
	Daemon int           `json:"daemon"`
	Place  int           `json:"place"`
	Work   int           `json:"work_ms"`
	Wait   time.Duration `json:"wait"`
}

var happenings = []string{
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
	// mostLasting lasting tasks find room on the four workers, and a step of ordinary ones too.
	mostLasting = 7
)

// crashHappenings are those, and jobs with a task that ends its workers.
var crashHappenings = append([]string{"submit crashing", "submit crashing", "submit crashing lasting", "worker down", "drain worker"}, happenings...)

func drawHappening(rt *rapid.T) happening { return drawFrom(rt, happenings) }

func drawCrashHappening(rt *rapid.T) happening { return drawFrom(rt, crashHappenings) }

func drawFrom(rt *rapid.T, whats []string) happening {
	return happening{
		What:   rapid.SampledFrom(whats).Draw(rt, "what"),
		Daemon: rapid.IntRange(0, scriptDaemons-1).Draw(rt, "daemon"),
		Place:  rapid.IntRange(0, scriptWorkers-1).Draw(rt, "place"),
		Work:   rapid.IntRange(50, 5000).Draw(rt, "work"),
		Wait:   time.Duration(rapid.IntRange(0, 40).Draw(rt, "tenths")) * 100 * time.Millisecond,
	}
}

// TestRandomFaults plays random scripts against the real daemons, with all workers in one
// cell.
func TestRandomFaults(t *testing.T) { checkScripts(t, cellOfAll, drawHappening) }

// TestRandomFaultsInTwoCells does the same with two cells.
func TestRandomFaultsInTwoCells(t *testing.T) { checkScripts(t, cellsOfTwo, drawHappening) }

// TestRandomFaultsInThreeCells does it with three.
func TestRandomFaultsInThreeCells(t *testing.T) { checkScripts(t, threeCells, drawHappening) }

// TestRandomCrashes plays scripts with tasks that end their workers beside all other faults, with
// one cell and with two.
func TestRandomCrashes(t *testing.T) {
	t.Run("one cell", func(t *testing.T) { checkScripts(t, cellOfAll, drawCrashHappening) })
	t.Run("two cells", func(t *testing.T) { checkScripts(t, cellsOfTwo, drawCrashHappening) })
}

// scene is where a script is played.
type scene struct {
	workers      int // 0: scriptWorkers; scripts disturb no more than these
	perCell      int // of them
	naming       grid.Naming
	forgetsAhead bool // see grid.Config
	mostLasting  int  // 0: mostLasting
}

var (
	cellOfAll  = scene{perCell: scriptWorkers}
	cellsOfTwo = scene{perCell: scriptWorkers / 2}
	threeCells = scene{workers: 3 * scriptWorkers / 2, perCell: scriptWorkers / 2}
)

// sameIDs is the scene with workers that start again under their ids.
func (s scene) sameIDs() scene {
	s.naming = grid.SameID
	return s
}

func checkScripts(t *testing.T, where scene, draw func(*rapid.T) happening) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(draw), 5, 40).Draw(rt, "script")
		if failure := playSeveral(t, script, where); failure != "" {
			data, err := json.MarshalIndent(script, "", " ")
			require.NoError(t, err)
			rt.Fatalf("%s\n%s", failure, data)
		}
	})
}

// playsOfEach is how often each script is played. A seed fixes the script, not its play: all clocks are
// those of a bubble, but goroutines that are ready at the same instant run in any order, even on one
// processor, a select with several ready cases takes any, and maps are ranged over in any order. The
// language lets none of these be fixed.
const playsOfEach = 3

// playSeveral plays a script several times, and gives the first failure.
func playSeveral(t *testing.T, script []happening, where scene) (failure string) {
	for range playsOfEach {
		if failure = playScript(t, script, where); failure != "" {
			return failure
		}
	}
	return ""
}

// TestNamedScripts plays the scripts of testdata: failures that random runs have found.
func TestNamedScripts(t *testing.T) {
	casefile.Each(t, "testdata/scripts/*.json", func(t *testing.T, script []happening) {
		require.Empty(t, playScript(t, script, cellOfAll))
		require.Empty(t, playScript(t, script, cellsOfTwo))
	})
}

// scripted is what a script has brought about so far.
type scripted struct {
	*world
	where     scene
	made      int
	spread    bool
	lasting   int // tasks that last
	accepted  []jobs.Spec
	cancelled map[jobs.ID]bool
	perhaps   map[jobs.ID]bool // the cancellation has no clear answer: either is right
	mu        sync.Mutex
	crashing  map[jobs.ID]time.Duration // jobs whose first task ends its workers, so long after its start
	failsAll  bool                      // a worker has failed all that it started: jobs may fail for it
}

func playScript(t *testing.T, script []happening, where scene) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{cancelled: map[jobs.ID]bool{}, perhaps: map[jobs.ID]bool{}, crashing: map[jobs.ID]time.Duration{}}
		s.where = where
		s.world = newWorldWith(t, scriptDaemons, where.perCell, grid.Config{
			Workers: cmp.Or(where.workers, scriptWorkers), Down: workerDown, Crash: s.crashOf, Naming: where.naming, ForgetsAhead: where.forgetsAhead,
		})
		time.Sleep(5 * time.Second)
		for _, h := range script {
			randomSteps++
			s.play(h)
			time.Sleep(h.Wait)
		}
		s.heal()
		if failure = s.judge(); failure != "" {
			failure += "\nscript and log: " + keepFailure(outer, script, failure, s.log())
		}
	})
	return failure
}

// crashOf tells whether a task ends its worker, and when.
func (s *scripted) crashOf(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, crashes := s.crashing[task.Job]
	return after, crashes && task.Step == 0 && task.Index == 0
}

// crashLater lets the first task of the next job end its workers.
func (s *scripted) crashLater(h happening) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing[jobID(s.made+1)] = time.Duration(1+h.Work%300) * time.Millisecond
}

func (s *scripted) play(h happening) {
	d := s.daemons[len(s.daemons)-scriptDaemons+h.Daemon]
	switch h.What {
	case "submit":
		s.made++
		s.trySubmit(d, twoSteps(s.made, time.Duration(h.Work)*time.Millisecond))
	case "submit lasting":
		s.submitLasting(d, 1)
	case "submit wide":
		s.submitLasting(d, wideTasks)
	case "submit spread":
		s.submitSpread(d)
	case "submit crashing":
		s.crashLater(h)
		s.made++
		s.trySubmit(d, twoSteps(s.made, time.Second))
	case "submit crashing lasting":
		s.crashLater(h)
		s.made++
		s.trySubmit(d, lasting(s.made, 1))
	case "worker down":
		s.grid.SetListed(h.Place, true)
		s.grid.CrashFor(h.Place)
	case "shrink worker":
		s.grid.SetRoom(h.Place, h.roomLeft())
	case "grow worker":
		s.grid.SetRoom(h.Place, 1)
	case "drain worker":
		s.grid.Drain(h.Place, time.Duration(h.Work)*time.Millisecond)
	case "cancel":
		s.tryCancel(d, jobID(1+h.Work%max(1, s.made)))
	case "kill daemon":
		s.replace(h.Daemon)
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
		s.playDaemon(d, h)
	}
}

func (s *scripted) playDaemon(d *testDaemon, h happening) {
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

// replace ends a daemon as a loss of power would and starts a new one in its place.
func (s *scripted) replace(n int) {
	at := len(s.daemons) - scriptDaemons + n
	s.daemons[at].kill()
	fresh := s.startDaemon()
	last := len(s.daemons) - 1
	copy(s.daemons[at:last], s.daemons[at+1:last])
	s.daemons = append(s.daemons[:last-1], fresh)
}

// trySubmit hands a job in once. A job without a clear answer may run.
func (s *scripted) trySubmit(d *testDaemon, spec jobs.Spec) {
	spec.Queue = testQueue
	s.grid.Expect(spec, testAttempts)
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	if d.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}) == (platform.Done{}) {
		s.accepted = append(s.accepted, spec)
	}
}

// submitLasting hands in a job of lasting tasks while there is room for all of them.
func (s *scripted) submitLasting(d *testDaemon, tasks int) {
	if s.lasting+tasks > cmp.Or(s.where.mostLasting, mostLasting) {
		return
	}
	s.lasting += tasks
	s.made++
	s.trySubmit(d, lasting(s.made, tasks))
}

// submitSpread hands in a job with a task on each worker but one, once.
func (s *scripted) submitSpread(d *testDaemon) {
	if s.spread {
		return
	}
	s.spread = true
	s.made++
	spec := lasting(s.made, s.where.workers-1)
	spec.Steps[0].PerWorker = 1
	s.trySubmit(d, spec)
}

func (s *scripted) tryCancel(d *testDaemon, id jobs.ID) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	switch d.Cancel(ctx, id).(type) {
	case platform.Done:
		s.cancelled[id] = true
	case platform.MaybeDone:
		s.perhaps[id] = true
	}
}

func (s *scripted) heal() {
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

// settleTime is how long everything may take to be right after the last fault: leases of
// former owners have to lapse, and the work of all jobs has to be done.
const settleTime = 90 * time.Second

// judge tells what is not as promised once all faults are over.
func (s *scripted) judge() string {
	deadline := time.Now().Add(settleTime)
	missing := ""
	for time.Now().Before(deadline) {
		if missing = s.missing(); missing == "" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if breaches := s.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("promises broken: ", breaches)
	}
	return missing
}

// missing tells which accepted job is not yet as it should be.
func (s *scripted) missing() string {
	for _, spec := range s.accepted {
		for _, d := range s.daemons {
			state := s.state(d, spec.ID)
			switch {
			case s.perhaps[spec.ID] && state == jobs.StateCancelled && s.grid.Running(spec.ID) == 0:
			case s.cancelled[spec.ID]:
				if !state.Ended() || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("cancelled job %s is %q at %s, %d tasks run", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.crashing[spec.ID] != 0:
				if !s.perhaps[spec.ID] && state != jobs.StateFailed || s.grid.Running(spec.ID) > 0 {
					return fmt.Sprintf("job %s, which ends its workers, is %q at %s, %d tasks run", spec.ID, state, d.name, s.grid.Running(spec.ID))
				}
			case s.failsAll && state == jobs.StateFailed && s.grid.MostFailures(spec.ID) >= testAttempts:
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
