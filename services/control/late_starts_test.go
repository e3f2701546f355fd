// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// lateStart is a case of a start that a worker carries out late. The worker in place 0 gets the start; the one in place 1,
// if any, is cut off until an event frees it. Times count from the moment at which the first start is sent.
type lateStart struct {
	Guards  string           `json:"guards"`
	Workers int              `json:"workers"`
	Daemons int              `json:"daemons"`
	LateMS  int              `json:"late_ms"` // the lateness of all orders from the first start on
	WorkMS  int              `json:"work_ms"` // 0: the task lasts
	Suspect bool             `json:"suspect"` // the task has lost its worker once before
	Events  []lateStartEvent `json:"events"`
}

// lateStartEvent is something that happens in such a case.
type lateStartEvent struct {
	AtMS int    `json:"at_ms"`
	Do   string `json:"do"`
	// Entry is what the daemons know of the next incarnation's list entry when a worker restarts: empty, the entry; "stale",
	// the previous incarnation's; "absent", none.
	Entry string `json:"entry,omitempty"`
	// LateMS is the lateness of orders that "late" sets.
	LateMS int `json:"late_ms,omitempty"`
}

const (
	lateStartDowntime = 500 * time.Millisecond
	// lateStartBound is how long after the last crash a task may wait: the users' rules allow it to wait for 3 s, after 4 s
	// of calm.
	lateStartBound = 7 * time.Second
	// lateStartSettling is how long a case goes on after the last call has been carried out late.
	lateStartSettling = time.Second
	beside            = 1 // the place of the other worker
)

// TestLateStartsRunNowhereElse guards against tasks that run on two workers, run again after they have succeeded or wait for
// long, because a start without answer is carried out seconds later, by whichever incarnation the worker has by then.
func TestLateStartsRunNowhereElse(t *testing.T) {
	casefile.Each(t, "testdata/late_starts/*.json", checkLateStart)
}

// TestLateStartsOnIncarnationsOutOfReach guards against the same where the owner cannot call the incarnation in time, and
// the task runs elsewhere because no incarnation of its worker could take it.
func TestLateStartsOnIncarnationsOutOfReach(t *testing.T) {
	casefile.Each(t, "testdata/late_starts_open/*.json", checkLateStart)
}

func checkLateStart(t *testing.T, c lateStart) {
	synctest.Test(t, func(t *testing.T) { require.Empty(t, newLateStartPlay(t, c).run()) })
}

// lateStartPlay plays one case.
type lateStartPlay struct {
	*testCluster
	script    lateStart
	spec      jobs.Spec
	id        jobs.WorkerID
	killed    map[*testDaemon]bool
	lastCrash time.Time

	startMu sync.Mutex
	began   time.Time // when the first start was sent to the worker in place 0
}

func newLateStartPlay(t *testing.T, c lateStart) *lateStartPlay {
	t.Helper()
	spec := longRunningJob(1, 1)
	if c.WorkMS > 0 {
		spec = shortTasks(1, 1, time.Duration(c.WorkMS)*time.Millisecond)
	}
	p := &lateStartPlay{
		testCluster: newTestClusterWithGrid(t, max(1, c.Daemons), testSettings.WorkersPerCell, grid.Config{
			Workers: c.Workers, Naming: grid.SameID, RestartDelay: lateStartDowntime,
		}),
		script: c, spec: spec, killed: map[*testDaemon]bool{},
	}
	p.id = p.grid.Worker(0).ID
	p.beforeStart = p.noteStart
	return p
}

// run plays the case and returns what went wrong.
func (p *lateStartPlay) run() []string {
	time.Sleep(3 * time.Second)
	if p.script.Suspect {
		p.submitSuspect()
	} else {
		p.submitToPlace(0)
	}
	p.eventually(10*time.Second, "the start is sent", func() bool { return !p.beganAt().IsZero() })
	for _, e := range p.script.Events {
		time.Sleep(time.Until(p.beganAt().Add(time.Duration(e.AtMS) * time.Millisecond)))
		p.perform(e)
	}
	settled := time.Now().Add(time.Duration(p.script.LateMS)*time.Millisecond + lateStartSettling)
	var wrong []string
	if !p.progresses() {
		wrong = append(wrong, fmt.Sprintf("the task waits for more than %s after the last crash", lateStartBound))
	}
	time.Sleep(time.Until(settled))
	return append(wrong, p.grid.Breaches()...)
}

// submitToPlace submits the job while only the worker in the given place can be reached.
func (p *lateStartPlay) submitToPlace(place int) {
	for other := range p.script.Workers {
		if other != place {
			p.grid.SetFaults(other, faultsCut)
		}
	}
	time.Sleep(4 * time.Second)
	p.submit(p.daemons[0], p.spec)
}

// submitSuspect submits the job, and crashes the worker beside the one in place 0 when the task runs there.
func (p *lateStartPlay) submitSuspect() {
	p.submitToPlace(beside)
	p.eventually(5*time.Second, "the task is running", func() bool { return p.grid.RunningOn(beside) == 1 })
	p.grid.SetFaults(0, noFaults)
	time.Sleep(time.Second)
	p.grid.CrashWithDowntime(beside)
	time.AfterFunc(lateStartDowntime+time.Millisecond, func() { p.grid.SetFaults(beside, faultsCut) })
}

// noteStart makes the worker in place 0 carry out its orders late from its first start on.
func (p *lateStartPlay) noteStart(to jobs.Worker) {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	if to.ID != p.id || !p.began.IsZero() {
		return
	}
	p.began = time.Now()
	p.grid.SetFaults(0, grid.Faults{LateOrders: time.Duration(p.script.LateMS) * time.Millisecond})
}

func (p *lateStartPlay) beganAt() time.Time {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	return p.began
}

func (p *lateStartPlay) perform(e lateStartEvent) {
	switch e.Do {
	case "restart keeping faults":
		p.restart(e, p.grid.CrashKeepingFaults)
	case "restart silently":
		p.restart(e, p.grid.CrashSilently)
	case "restart with downtime":
		p.restart(e, p.grid.CrashWithDowntime)
		p.lastCrash = p.lastCrash.Add(lateStartDowntime)
	case "late":
		p.grid.SetFaults(0, grid.Faults{LateOrders: time.Duration(e.LateMS) * time.Millisecond})
	case "cut":
		p.grid.SetFaults(0, faultsCut)
	case "gone for good":
		p.grid.SetFaults(0, faultsCut)
		p.grid.SetListed(0, false)
		p.lastCrash = time.Now()
	case "answer":
		p.grid.SetFaults(0, noFaults)
	case "list":
		p.holdEntry(p.id, false)
		p.grid.SetListed(0, true)
	case "free beside":
		p.grid.SetFaults(beside, noFaults)
	case "kill owner":
		owner := p.owner()
		owner.kill()
		p.killed[owner] = true
		p.lastCrash = time.Now()
	default:
		require.Fail(p.t, "unknown event", e.Do)
	}
}

// restart crashes the worker in place 0.
func (p *lateStartPlay) restart(e lateStartEvent, crash func(place int)) {
	p.holdEntry(p.id, e.Entry != "")
	crash(0)
	p.lastCrash = time.Now()
	if e.Entry == "absent" {
		p.grid.SetListed(0, false)
		p.holdEntry(p.id, false)
		p.grid.SetListed(0, false) // notes the change again, which was held back before
	}
}

// progresses waits until the task has succeeded, or runs if it lasts, and returns whether that is in time.
func (p *lateStartPlay) progresses() bool {
	deadline := p.lastCrash.Add(lateStartBound + time.Duration(p.script.WorkMS)*time.Millisecond)
	for !p.isDone() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

func (p *lateStartPlay) isDone() bool {
	if p.script.WorkMS == 0 {
		return p.grid.Running(p.spec.ID) == 1
	}
	for _, d := range p.daemonList() {
		if !p.killed[d] && p.state(d, p.spec.ID) == jobs.StateSucceeded {
			return true
		}
	}
	return false
}
