// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// ownerLossKind is a way in which a cell loses its owner.
type ownerLossKind string

const (
	lossOfProcess  ownerLossKind = "process"   // the process is killed; its VM refuses connections
	lossOfPower    ownerLossKind = "power"     // the VM is off
	lossByCut      ownerLossKind = "isolation" // the VM is cut off from all others
	lossByDivision ownerLossKind = "division"  // the VM is cut off from all others but some workers, which only it reaches
	lossOfStore    ownerLossKind = "store"     // the VM is cut off from the store
	lossByFreeze   ownerLossKind = "freeze"    // the process stands still
	lossBySuspend  ownerLossKind = "suspend"   // the VM stands still, with its clock
)

var (
	allLosses     = []ownerLossKind{lossOfProcess, lossOfPower, lossByCut, lossByDivision, lossOfStore, lossByFreeze, lossBySuspend}
	dividedLosses = []ownerLossKind{lossByDivision, lossByDivision, lossByDivision, lossOfProcess, lossOfStore}
	finalLosses   = []ownerLossKind{lossOfProcess, lossOfPower, lossByCut, lossByFreeze}
)

// ownerLoss is a loss of the daemon that owns the cell.
type ownerLoss struct {
	Kind  ownerLossKind `json:"kind"`
	After models.Milli  `json:"after_ms"`       // how long it has been the owner; for the first, how long the scenario has run
	Back  models.Milli  `json:"back_ms"`        // after which it is back; 0: never
	Kept  int           `json:"kept,omitempty"` // of a division: workers that only the daemon reaches
	// Refused says that connections to a divided daemon are refused, as by a firewall, though its process goes on.
	Refused bool `json:"refused,omitempty"`
}

// randomTakeover is a scenario of takeovers. Its times are counted from its beginning.
type randomTakeover struct {
	Workers  int            `json:"workers"`
	Lasting  int            `json:"lasting"` // long-running tasks
	Work     models.Milli   `json:"work_ms"` // of the other tasks
	Lease    models.Milli   `json:"lease_ms"`
	Order    uint64         `json:"order"`   // seed of the order in which workers go, are cut off and are divided
	GoneAt   []models.Milli `json:"gone_at"` // when workers go for good
	Cut      int            `json:"cut"`     // workers that are cut off from all daemons
	CutAt    models.Milli   `json:"cut_at_ms"`
	CutFor   models.Milli   `json:"cut_for_ms"`
	StoreAt  models.Milli   `json:"store_at_ms"`
	StoreFor models.Milli   `json:"store_for_ms"` // for which the store is down
	SubmitAt models.Milli   `json:"submit_at_ms"` // when another job is submitted
	Losses   []ownerLoss    `json:"losses"`
}

const (
	takeoverDaemons  = 5
	maxOwnerLosses   = 3
	goneOneIn        = 4 // workers that may go for good: one in so many
	firstLossAt      = 8 * time.Second
	maxLeadTime      = 2 * time.Second // from the begin of a cut, or of a fault of the store, to the first loss
	maxCutTime       = 20 * time.Second
	maxStoreTime     = 4 * time.Second
	maxOwnedTime     = 8 * time.Second // from a takeover to the successor's loss
	maxBackTime      = 6 * time.Second
	maxDividedTime   = 25 * time.Second // longer than an owner that the store doesn't reach may go on
	maxTakeoverTime  = 10 * time.Second
	maxTakeoverWork  = 15 * time.Second
	takeoverObserved = 45 * time.Second // after the last fault; longer than any wait of a cell
)

// tenths returns the times between two times in steps of a tenth of a second.
func tenths(from, to time.Duration) []models.Milli {
	var times []models.Milli
	for at := from; at <= to; at += 100 * time.Millisecond {
		times = append(times, models.MilliOf(at))
	}
	return times
}

// upTo returns the numbers from 0 to n.
func upTo(n int) []int {
	numbers := make([]int, n+1)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// lossKinds are the losses that a test draws.
type lossKinds struct {
	kinds   []ownerLossKind
	changes []clusterChange
	forGood bool // half of those from which the owner need not come back are for good
}

// drawTakeover draws a scenario. All values are equally likely.
func drawTakeover(rt *rapid.T, losses lossKinds) randomTakeover {
	number := func(name string, numbers []int) int { return rapid.SampledFrom(numbers).Draw(rt, name) }
	at := func(name string, from, to time.Duration) models.Milli {
		return rapid.SampledFrom(tenths(from, to)).Draw(rt, name)
	}
	c := randomTakeover{
		Workers: number("workers", []int{6, 9, takeoverWorkers}), Work: at("work", time.Second, maxTakeoverWork),
		Lease:    rapid.SampledFrom([]models.Milli{models.MilliOf(takeoverLease), models.MilliOf(testSettings.WorkerLease)}).Draw(rt, "lease"),
		Order:    uint64(number("order", upTo(1000))),
		CutAt:    at("cut at", firstLossAt-maxLeadTime, firstLossAt+maxLeadTime),
		CutFor:   at("cut for", 0, maxCutTime),
		StoreAt:  at("store at", firstLossAt-maxLeadTime, firstLossAt+maxLeadTime),
		StoreFor: at("store for", 0, maxStoreTime),
		SubmitAt: at("submit at", 0, 2*firstLossAt),
	}
	c.Lasting = c.Workers/2 + number("lasting", upTo(c.Workers/2))
	for range number("gone", upTo(c.Workers/goneOneIn)) {
		c.GoneAt = append(c.GoneAt, at("gone at", 0, firstLossAt+maxLeadTime))
	}
	c.Cut = number("cut", upTo(c.Workers-len(c.GoneAt)))
	c.Losses = []ownerLoss{losses.draw(rt, c.Workers, tenths(firstLossAt, firstLossAt))}
	for range number("further losses", upTo(maxOwnerLosses-1)) {
		c.Losses = append(c.Losses, losses.draw(rt, c.Workers, tenths(0, maxOwnedTime)))
	}
	return c
}

// draw draws the loss of an owner.
func (l lossKinds) draw(rt *rapid.T, workers int, after []models.Milli) ownerLoss {
	loss := ownerLoss{Kind: rapid.SampledFrom(l.kinds).Draw(rt, "kind"), After: rapid.SampledFrom(after).Draw(rt, "after")}
	if l.forGood && slices.Contains(finalLosses, loss.Kind) && rapid.Bool().Draw(rt, "for good") {
		return loss
	}
	longest := maxBackTime
	if loss.Kind == lossByDivision {
		longest = maxDividedTime
		loss.Kept = rapid.SampledFrom(upTo(workers)).Draw(rt, "kept")
		loss.Refused = rapid.Bool().Draw(rt, "refused")
	}
	loss.Back = rapid.SampledFrom(tenths(100*time.Millisecond, longest)).Draw(rt, "back")
	return loss
}

// takeoverRun is the state of one run of a scenario.
type takeoverRun struct {
	*scriptRun
	takeover randomTakeover
	places   []int // in the scenario's order
	begin    time.Time
	faults   conc.WaitGroup

	mu   sync.Mutex
	lost map[*testDaemon]bool // daemons that are lost at present
}

// runTakeover plays a scenario and describes what was wrong; empty if nothing.
func runTakeover(t *testing.T, scenario randomTakeover, changes ...clusterChange) (failure string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings
		settings.WorkerLease = scenario.Lease.Duration()
		r := &takeoverRun{
			scriptRun: &scriptRun{testCluster: newTestClusterWithSettings(t, takeoverDaemons, settings, grid.Config{Workers: scenario.Workers}, changes...)},
			takeover:  scenario, lost: map[*testDaemon]bool{},
			places: rand.New(rand.NewPCG(scenario.Order, 0)).Perm(scenario.Workers),
		}
		if failure = r.play(); failure != "" {
			failure += "\nscenario and log: " + saveFailure(outer, scenario, failure, r.log())
		}
	})
	return failure
}

// play submits the jobs, lets the faults happen and observes the cell until long after the last.
func (r *takeoverRun) play() string {
	lasting := longRunningJob(1, r.takeover.Lasting)
	lasting.Steps[0].PerWorker = 2
	r.submit(r.daemons[0], lasting)
	r.submit(r.daemons[0], twoStepJob(2, r.takeover.Work.Duration()))
	r.grid.Accepted(lasting.ID)
	r.grid.Accepted(jobID(2))
	r.accepted = []jobs.Spec{lasting, twoStepJob(2, r.takeover.Work.Duration())}
	r.eventually(10*time.Second, "all tasks run", func() bool { return r.grid.Running(lasting.ID) == r.takeover.Lasting })
	r.begin = time.Now()
	r.startFaults()
	go r.progressLoop()
	time.Sleep(time.Until(r.begin.Add(r.takeover.SubmitAt.Duration())))
	r.trySubmit(r.anyDaemon(), twoStepJob(3, r.takeover.Work.Duration()))
	r.faults.Wait()
	time.Sleep(takeoverObserved)
	if breaches := r.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("breaches: ", breaches)
	}
	if problem := r.unfinished(); problem != "" {
		return problem
	}
	return r.awaitTrueBelief(r.liveDaemons)
}

// unfinished describes an accepted job that has not reached its expected state; empty if there is none.
func (r *takeoverRun) unfinished() string {
	for _, spec := range r.accepted {
		running := r.grid.Running(spec.ID)
		if spec.Steps[0].LongRunning && running != spec.Steps[0].Count || !spec.Steps[0].LongRunning && !r.grid.Succeeded(spec.ID) {
			return fmt.Sprintf("job %s has %d tasks running and has not ended as expected", spec.ID, running)
		}
	}
	return ""
}

// progressLoop checks the progress of the jobs.
func (r *takeoverRun) progressLoop() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.grid.CheckProgress(r.hasEnded)
		}
	}
}

// hasEnded reports whether a daemon that is not lost shows a job as ended: the success of a task may be known although it
// was not acknowledged before its worker went.
func (r *takeoverRun) hasEnded(id jobs.ID) bool {
	return slices.ContainsFunc(r.liveDaemons(), func(d *testDaemon) bool { return r.state(d, id).Ended() })
}

// startFaults starts a goroutine for each fault of the scenario but the losses, which follow each other in one.
func (r *takeoverRun) startFaults() {
	for n, at := range r.takeover.GoneAt {
		r.at(at, func() { r.grid.CrashForGood(r.places[n]) })
	}
	r.at(r.takeover.CutAt, func() {
		for _, place := range r.places[len(r.takeover.GoneAt):][:r.takeover.Cut] {
			r.grid.SetFaults(place, faultsCut)
			defer r.grid.SetFaults(place, noFaults)
		}
		time.Sleep(r.takeover.CutFor.Duration())
	})
	r.at(r.takeover.StoreAt, func() {
		r.lasts("store", r.takeover.StoreFor, func() { r.setOutage(true) }, func() { r.setOutage(false) })
	})
	r.faults.Go(func() {
		for n, loss := range r.takeover.Losses {
			if d := r.nextOwner(); d != nil {
				time.Sleep(loss.After.Duration())
				r.loseOwner(n, loss, d)
			}
		}
	})
}

// at begins a fault at a time of the scenario.
func (r *takeoverRun) at(at models.Milli, fault func()) {
	r.faults.Go(func() {
		time.Sleep(time.Until(r.begin.Add(at.Duration())))
		fault()
	})
}

// lasts begins a fault that the audit of the grid can't see by itself, and ends it after some time.
func (r *takeoverRun) lasts(name string, d models.Milli, begin, end func()) {
	r.grid.BeginFault(name)
	defer r.grid.EndFault(name)
	begin()
	time.Sleep(d.Duration())
	end()
}

// loseOwner loses a daemon, which comes back later unless it is lost for good.
func (r *takeoverRun) loseOwner(n int, loss ownerLoss, d *testDaemon) {
	r.setLost(d, true)
	r.grid.NoteFault()
	begin, end := r.lossOf(loss, d)
	begin()
	if loss.Back == 0 {
		return
	}
	r.faults.Go(func() {
		r.lasts(fmt.Sprint("loss ", n), loss.Back, func() {}, end)
		r.setLost(d, false)
	})
}

// lossOf returns what loses a daemon and what brings it back.
func (r *takeoverRun) lossOf(loss ownerLoss, d *testDaemon) (begin, end func()) {
	isolate := func(cut bool) func() {
		return func() { d.set(func() { d.storeCut, d.workerCut, d.peersCut = cut, cut, cut }) }
	}
	switch loss.Kind {
	case lossOfProcess:
		return d.killProcess, func() { d.restart() }
	case lossOfPower:
		return d.kill, func() { d.restart() }
	case lossByCut:
		return isolate(true), isolate(false)
	case lossByDivision:
		return func() { r.divide(d, loss) }, func() { r.joinAgain(d) }
	case lossOfStore:
		return func() { d.set(func() { d.storeCut = true }) }, func() { d.set(func() { d.storeCut = false }) }
	case lossByFreeze:
		return d.freeze, d.thaw
	default:
		return d.suspend, d.resume
	}
}

// divide cuts a daemon off from all others and from all workers but some, which the others don't reach.
func (r *takeoverRun) divide(d *testDaemon, loss ownerLoss) {
	d.set(func() { d.storeCut, d.peersCut, d.exited = true, true, loss.Refused })
	ids := r.grid.IDs()
	for n, place := range r.places {
		for _, other := range r.daemonList() {
			if (other == d) != (n < loss.Kept) {
				other.cut(ids[place])
			}
		}
	}
}

// joinAgain connects a daemon, and all others, to all others and to all workers.
func (r *takeoverRun) joinAgain(d *testDaemon) {
	d.set(func() { d.storeCut, d.peersCut, d.exited = false, false, false })
	for _, id := range r.grid.IDs() {
		for _, other := range r.daemonList() {
			other.reach(id)
		}
	}
}

func (r *takeoverRun) setLost(d *testDaemon, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[d] = lost
}

// liveDaemons returns the daemons that run and are not lost.
func (r *takeoverRun) liveDaemons() []*testDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.daemonList(), func(d *testDaemon) bool { return d.hasEnded() || r.lost[d] })
}

// anyDaemon returns a daemon that runs and is not lost; there are more daemons than losses.
func (r *takeoverRun) anyDaemon() *testDaemon { return r.liveDaemons()[0] }

// nextOwner waits until a daemon that is not lost owns the cell; nil if that takes too long.
func (r *takeoverRun) nextOwner() *testDaemon {
	for deadline := time.Now().Add(maxTakeoverTime); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, d := range r.liveDaemons() {
			if d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner {
				return d
			}
		}
	}
	return nil
}

// checkRandomTakeovers plays random scenarios.
func checkRandomTakeovers(t *testing.T, losses lossKinds) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawTakeover(rt, losses)
		if failure := runTakeover(t, scenario, losses.changes...); failure != "" {
			data, err := json.Marshal(scenario)
			require.NoError(t, err)
			rt.Fatalf("%s\n%s", failure, data)
		}
	})
}

// TestTasksRunSoonAfterRandomTakeovers guards against tasks that wait beside idle workers after takeovers, and against
// tasks on two workers, whichever way the owners are lost, while workers go for good, others are cut off for some time
// and the store is down for a short time.
func TestTasksRunSoonAfterRandomTakeovers(t *testing.T) {
	checkRandomTakeovers(t, lossKinds{kinds: allLosses})
}

// TestTasksRunSoonAfterRandomTakeoversForGood guards against the same when owners may not come back, so that nobody can
// say what they have done.
func TestTasksRunSoonAfterRandomTakeoversForGood(t *testing.T) {
	checkRandomTakeovers(t, lossKinds{kinds: allLosses, forGood: true})
}

// TestTasksRunOnceWhileOwnersAreDivided guards against tasks on two workers while owners go on with some of the workers,
// which their successors don't reach.
func TestTasksRunOnceWhileOwnersAreDivided(t *testing.T) {
	checkRandomTakeovers(t, lossKinds{kinds: dividedLosses})
}

// TestTasksRunOnceWhileOwnersWithoutWitnessesAreDivided guards against the same where the workers alone prove ownership.
func TestTasksRunOnceWhileOwnersWithoutWitnessesAreDivided(t *testing.T) {
	checkRandomTakeovers(t, lossKinds{kinds: dividedLosses, changes: []clusterChange{withoutWitnesses}})
}

// TestTasksRunSoonAfterRandomTakeoversWithoutWitnesses guards against waits after takeovers where daemons of older versions
// vouch for no owner.
func TestTasksRunSoonAfterRandomTakeoversWithoutWitnesses(t *testing.T) {
	checkRandomTakeovers(t, lossKinds{kinds: allLosses, changes: []clusterChange{withoutWitnesses}})
}

// playNamedTakeovers plays the scenarios of a folder, which are failures found by random scenarios.
func playNamedTakeovers(t *testing.T, pattern string) {
	casefile.Each(t, pattern, func(t *testing.T, scenario randomTakeover) {
		require.Empty(t, runTakeover(t, scenario))
	})
}

// TestNamedTakeovers guards against tasks that wait after takeovers, with scenarios found by random plays.
func TestNamedTakeovers(t *testing.T) { playNamedTakeovers(t, "testdata/random_takeovers/*.json") }

// TestNamedTakeoversForGood guards against the same with owners that don't come back.
func TestNamedTakeoversForGood(t *testing.T) {
	playNamedTakeovers(t, "testdata/random_takeovers_for_good/*.json")
}
