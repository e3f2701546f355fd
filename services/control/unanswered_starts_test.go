// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/standin/grid"
)

// A start has no answer, and its worker goes through further faults, while the owner may be lost. The task runs nowhere unless
// the start was carried out, and the other workers are free. Users count such a wait like any other: from the time of calm
// after the last fault on.

const (
	unansweredWorkers  = 6
	unansweredDaemons  = 4
	unansweredDowntime = 800 * time.Millisecond
	unansweredTime     = 6 * time.Second // in which the faults begin
	minUnansweredFault = 3 * time.Second // how long a fault of the worker lasts, at least and at most
	maxUnansweredFault = 12 * time.Second
	minOrderLateness   = 2 * time.Second
	maxOrderLateness   = 12 * time.Second
	unansweredWatched  = 40 * time.Second // after the first start
)

var (
	unansweredStarts      = flag.Uint64("unanswered-starts", 40, "number of scripts of unanswered starts to play with each naming of workers")
	unansweredStartsFirst = flag.Uint64("unanswered-starts-first", 0, "seed of the first of them")
)

// unansweredFault is why a start is not answered, or what happens to its worker afterwards.
type unansweredFault string

const (
	unansweredCut      unansweredFault = "cut"
	unansweredLate     unansweredFault = "orders late"
	unansweredLost     unansweredFault = "answers lost"
	unansweredGone     unansweredFault = "gone for good"
	unansweredRestarts unansweredFault = "restarts"
	unansweredSilently unansweredFault = "restarts silently"
	unansweredDrains   unansweredFault = "drains"
	unansweredNothing  unansweredFault = "nothing"
)

// unansweredScript is one script. Times count from the first start.
type unansweredScript struct {
	Lasting  bool
	Why      unansweredFault // the start is not answered
	For      time.Duration   // how long that lasts
	Lateness time.Duration   // of orders
	Then     unansweredFault
	ThenAt   time.Duration
	Again    unansweredFault // after ThenAt and before For
	AgainAt  time.Duration
	OwnerAt  time.Duration // when the owner is lost; 0: never
	OwnerVM  bool          // with its VM
}

// drawUnansweredScript draws a script.
func drawUnansweredScript(random *rand.Rand) unansweredScript {
	whys := []unansweredFault{unansweredCut, unansweredLate, unansweredLost}
	thens := []unansweredFault{
		unansweredNothing, unansweredCut, unansweredLate, unansweredLost, unansweredGone, unansweredRestarts, unansweredSilently, unansweredDrains,
	}
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	s := unansweredScript{
		Lasting: random.IntN(2) == 0, Why: whys[random.IntN(len(whys))], For: between(minUnansweredFault, maxUnansweredFault),
		Lateness: between(minOrderLateness, maxOrderLateness), Then: thens[random.IntN(len(thens))], ThenAt: between(time.Millisecond, unansweredTime),
	}
	s.Again, s.AgainAt = thens[random.IntN(len(thens))], between(s.ThenAt, s.ThenAt+unansweredTime)
	if random.IntN(2) == 0 {
		s.OwnerAt, s.OwnerVM = between(time.Millisecond, unansweredTime), random.IntN(2) == 0
	}
	return s
}

// unansweredPlay plays a script.
type unansweredPlay struct {
	*testCluster
	script unansweredScript
	spec   jobs.Spec

	playMu sync.Mutex
	began  time.Time // when the first start was sent
	place  int       // of its worker
	faulty bool      // a fault of the worker lasts
	gone   bool      // the worker is gone for good
	last   time.Time // when the latest fault took effect or ended
}

// noteStart lets the first start have no answer.
func (p *unansweredPlay) noteStart(to jobs.Worker) {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	if !p.began.IsZero() {
		return
	}
	p.began = time.Now()
	for place := range unansweredWorkers {
		if p.grid.Worker(place).ID == to.ID {
			p.place = place
		}
	}
	p.disturb(p.script.Why)
}

func (p *unansweredPlay) beganAt() time.Time {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	return p.began
}

// disturb lets a fault of the worker begin.
func (p *unansweredPlay) disturb(fault unansweredFault) {
	if p.gone || fault == unansweredNothing {
		return
	}
	p.last = time.Now()
	switch fault {
	case unansweredCut:
		p.setFaults(faultsCut)
	case unansweredLate:
		p.setFaults(grid.Faults{LateOrders: p.script.Lateness})
	case unansweredLost:
		p.setFaults(grid.Faults{LoseAnswers: true})
	case unansweredGone:
		p.grid.CrashForGood(p.place)
		p.gone, p.faulty = true, false
	case unansweredRestarts:
		p.grid.CrashWithDowntime(p.place)
		p.last, p.faulty = p.last.Add(unansweredDowntime), false
	case unansweredSilently:
		p.grid.CrashSilently(p.place)
		p.faulty = false
	case unansweredDrains:
		p.grid.Drain(p.place, p.script.Lateness)
	case unansweredNothing:
	}
}

func (p *unansweredPlay) setFaults(faults grid.Faults) {
	p.grid.SetFaults(p.place, faults)
	p.faulty = true
}

// at does something to the worker at a time after the first start.
func (p *unansweredPlay) at(after time.Duration, do func()) {
	p.awaitTime(after)
	p.playMu.Lock()
	defer p.playMu.Unlock()
	do()
}

func (p *unansweredPlay) awaitTime(after time.Duration) {
	time.Sleep(time.Until(p.beganAt().Add(after)))
}

// endFaults ends the faults of the worker that can end.
func (p *unansweredPlay) endFaults() {
	if p.faulty {
		p.grid.SetFaults(p.place, noFaults)
		p.faulty, p.last = false, time.Now()
	}
}

// loseOwner loses the owner at its time.
func (p *unansweredPlay) loseOwner() {
	p.awaitTime(p.script.OwnerAt)
	owner := p.owner()
	if owner == nil {
		return
	}
	p.playMu.Lock()
	p.last = time.Now()
	p.playMu.Unlock()
	if p.script.OwnerVM {
		owner.kill()
	} else {
		owner.killProcess()
	}
}

// perform lets the faults of the script happen that follow the first.
func (p *unansweredPlay) perform() {
	var faults sync.WaitGroup
	if p.script.OwnerAt > 0 {
		faults.Go(p.loseOwner)
	}
	p.at(p.script.ThenAt, func() { p.disturb(p.script.Then) })
	p.at(p.script.AgainAt, func() { p.disturb(p.script.Again) })
	p.at(max(p.script.For, p.script.AgainAt+unansweredDowntime), p.endFaults)
	faults.Wait()
}

// run plays the script and returns for how long the task waited, counted as users do but with the time of calm, and what ran
// that must not.
func (p *unansweredPlay) run() (waited time.Duration, breaches []string) {
	time.Sleep(firstWitnessCheck + time.Second)
	p.beforeStart = p.noteStart
	p.submit(p.daemons[0], p.spec)
	p.eventually(10*time.Second, "the start is sent", func() bool { return !p.beganAt().IsZero() })
	var faults sync.WaitGroup
	faults.Go(p.perform)
	defer faults.Wait()
	ran := p.beganAt()
	for time.Since(p.beganAt()) < unansweredWatched {
		switch {
		case p.hasSucceeded():
			return waited, p.grid.Breaches()
		case p.grid.Running(p.spec.ID) > 0:
			ran = time.Now()
		}
		waited = max(waited, time.Since(later(ran, p.lastFault())))
		time.Sleep(10 * time.Millisecond)
	}
	return waited, p.grid.Breaches()
}

// lastFault returns when the latest fault was; a fault that lasts is one now.
func (p *unansweredPlay) lastFault() time.Time {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	if p.faulty {
		return time.Now()
	}
	return p.last
}

// hasSucceeded reports whether the job is shown as done.
func (p *unansweredPlay) hasSucceeded() bool {
	for _, d := range p.daemonList() {
		if !d.hasEnded() && p.state(d, p.spec.ID) == jobs.StateSucceeded {
			return true
		}
	}
	return false
}

// playUnansweredStart plays a script with workers that are named in a way.
func playUnansweredStart(t *testing.T, script unansweredScript, naming grid.Naming) (waited time.Duration, breaches []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings
		settings.WorkerLease = takeoverLease
		p := &unansweredPlay{script: script, spec: shortTasks(1, 1, time.Second), testCluster: newTestClusterWithSettings(t, unansweredDaemons, settings, grid.Config{
			Workers: unansweredWorkers, Naming: naming, RestartDelay: unansweredDowntime,
		})}
		if script.Lasting {
			p.spec = longRunningJob(1, 1)
		}
		waited, breaches = p.run()
	})
	return waited, breaches
}

// testUnansweredStarts plays random scripts.
func testUnansweredStarts(t *testing.T, naming grid.Naming) {
	t.Helper()
	var longest time.Duration
	for seed := *unansweredStartsFirst; seed < *unansweredStartsFirst+*unansweredStarts; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			script := drawUnansweredScript(rand.New(rand.NewPCG(seed, 34)))
			waited, breaches := playUnansweredStart(t, script, naming)
			require.Empty(t, breaches, "%+v", script)
			require.LessOrEqual(t, waited, takeoverCalm+takeoverAllowed, "%+v", script)
			longest = max(longest, waited)
		})
	}
	t.Log("longest wait:", longest)
}

// TestTasksWhoseStartsHaveNoAnswerRunSoon guards against tasks that wait beside free workers because nobody says whether their
// starts were carried out, where each incarnation of a worker has an id of its own.
func TestTasksWhoseStartsHaveNoAnswerRunSoon(t *testing.T) {
	for name, naming := range map[string]grid.Naming{"new ids": grid.NewIDs, "new ids and start times": grid.NewIDsAndStartTime} {
		t.Run(name, func(t *testing.T) { testUnansweredStarts(t, naming) })
	}
}

// TestTasksWhoseStartsHaveNoAnswerRunSoonUnderSameIDs guards against the same where workers restart under their ids, so that a
// late start may be carried out by the next incarnation.
func TestTasksWhoseStartsHaveNoAnswerRunSoonUnderSameIDs(t *testing.T) {
	testUnansweredStarts(t, grid.SameID)
}
