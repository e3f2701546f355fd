// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// A loss simulation consists of a core alone, with workers that are lost by chance and tasks that crash workers, and
// knows the cause of each loss. No daemon, store or connection takes part, so that thousands of lost runs are judged
// in a second.

// evidenceCase is a case of testdata/evidence_plays.json: how often workers are lost by chance, and which error
// rates are allowed.
type evidenceCase struct {
	Name       string       `json:"name"`
	AloneEvery models.Milli `json:"alone_every_ms"` // how long a worker runs on average until it is lost by itself; 0: it never is
	BurstEvery models.Milli `json:"burst_every_ms"` // 0: there are no bursts
	BurstShare float64      `json:"burst_share"`    // of the workers
	// BurstsAtRandom: the intervals between bursts vary, with BurstEvery as their mean.
	BurstsAtRandom bool `json:"bursts_at_random"`
	// Fillers: the tasks are filler tasks that need all the CPU of a worker, and more of it than there is.
	Fillers bool `json:"fillers"`
	// CrashesStanding: a task crashes its worker some time after its start, also at pace 0; else after some work.
	CrashesStanding bool `json:"crashes_standing"`
	// Abandoned is how many jobs of a million lost innocent runs may be abandoned, and TooOften how many of a thousand
	// tasks that crash their workers may be started a sixth time.
	Abandoned float64 `json:"given_up_per_million"`
	TooOften  float64 `json:"too_often_per_thousand"`
}

const (
	simulatedWorkers    = 12
	simulationStep      = 20 * time.Millisecond
	reportInterval      = 100 * time.Millisecond
	submitInterval      = 250 * time.Millisecond
	taskRuntime         = time.Second
	submitTime          = 20 * time.Second // in which jobs are submitted
	simulationTime      = 60 * time.Second // by which all jobs are decided
	workerDowntime      = 3300 * time.Millisecond
	crashingJobShare    = 0.08 // of the jobs
	maxStarts           = 5
	minCrashTime        = 5 * time.Millisecond
	crashTimeRange      = 300 // the longest time until a crash, divided by the shortest
	simulationsInCI     = 40  // of each case
	simulationsOfBursts = 2000
	simulationsOfTimes  = 240 // of each case of evidence_plays_times.json
)

// simulatedWorker is the true state of a worker in a simulation.
type simulatedWorker struct {
	info  jobs.Worker
	down  time.Time // since when the worker is down; zero: it is up
	runs  map[jobs.TaskID]simulatedRun
	ended []jobs.Ended
	clock time.Time // when the worker's clock showed 0
}

// running returns the running tasks, in the same order in each simulation.
func (w *simulatedWorker) running() []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b jobs.TaskID) int { return cmp.Compare(a.String(), b.String()) })
}

type simulatedRun struct {
	run    jobs.RunID
	began  time.Time
	pace   jobs.Percent
	next   jobs.Percent  // in force from nextAt on
	nextAt time.Time     // zero: no order is open
	worked time.Duration // at full pace
}

// pass lets the run work for a step of a simulation.
func (r *simulatedRun) pass(now time.Time) {
	r.worked += simulationStep * time.Duration(r.pace) / time.Duration(jobs.FullSpeed)
	if !r.nextAt.IsZero() && !now.Before(r.nextAt) {
		r.pace, r.nextAt = r.next, time.Time{}
	}
}

// lossSimulation is one simulation of a case.
type lossSimulation struct {
	*Core
	evidenceCase
	random      *rand.Rand
	now         time.Time
	began       time.Time
	workers     []*simulatedWorker
	workersMade int
	crashing    map[jobs.ID]time.Duration
	crashes     map[jobs.ID]int
	lost        int // runs of jobs that crash no worker
	burst       time.Time
	burstAfter  time.Duration // time from that burst to the next one
}

func newLossSimulation(c evidenceCase, seed uint64) *lossSimulation {
	p := &lossSimulation{
		evidenceCase: c, random: rand.New(rand.NewPCG(seed, 7)), began: time.Unix(1_000_000, 0),
		crashing: map[jobs.ID]time.Duration{}, crashes: map[jobs.ID]int{},
	}
	p.now = p.began
	p.burstAfter = p.drawBurstInterval()
	p.Core = New(Config{Epoch: 5, Taken: p.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop()})
	p.RestoreRoster(jobs.Roster{}, p.now)
	for range simulatedWorkers {
		p.workers = append(p.workers, p.newWorker())
	}
	p.list()
	return p
}

func (p *lossSimulation) newWorker() *simulatedWorker {
	p.workersMade++
	id := jobs.WorkerID(fmt.Sprintf("w%d", p.workersMade))
	return &simulatedWorker{
		info: jobs.Worker{ID: id, Pool: testPool, Address: string(id), Capacity: models.Resources{CPU: 4000, Memory: 8000}},
		runs: map[jobs.TaskID]simulatedRun{}, clock: p.now,
	}
}

func (p *lossSimulation) list() {
	list := make([]jobs.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		list = append(list, w.info)
	}
	p.SetWorkers(list, p.now)
}

func (p *lossSimulation) run() {
	for n := 0; p.now.Sub(p.began) < simulationTime; n++ {
		p.now = p.now.Add(simulationStep)
		if at := p.now.Sub(p.began); at > time.Second && at < submitTime && at%submitInterval < simulationStep {
			p.submit(n)
		}
		p.completeRuns()
		p.loseAndReplaceWorkers()
		if p.now.Sub(p.began)%reportInterval < simulationStep {
			p.report()
		}
		p.obey()
		p.Stored(p.TakeChanges(10, p.now), p.now)
	}
}

func (p *lossSimulation) submit(n int) {
	id := jobs.ID(fmt.Sprintf("%016x", n))
	if p.random.Float64() < crashingJobShare {
		p.crashing[id] = time.Duration(float64(minCrashTime) * math.Pow(crashTimeRange, p.random.Float64()))
	}
	step := jobs.Step{Count: 4, Size: models.Resources{CPU: 1000, Memory: 500}, Estimate: models.MilliOf(taskRuntime)}
	if p.Fillers {
		step.Size, step.Filler, step.Image = models.Resources{CPU: 4000, Memory: 50}, true, fillerStep.Image
	}
	p.AddJob(jobs.Record{
		Spec:  jobs.Spec{ID: id, Queue: "q", Steps: []jobs.Step{step}},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(p.now),
	}, jobs.Progress{}, true, p.now)
}

// completeRuns ends the runs that are done, and the workers that a run crashes.
func (p *lossSimulation) completeRuns() {
	for _, w := range p.workers {
		for _, id := range w.running() {
			r, running := w.runs[id]
			if !running {
				continue
			}
			r.pass(p.now)
			w.runs[id] = r
			after, crashes := p.crashing[id.Job]
			ran := r.worked
			switch {
			case crashes && id.Index == 0 && (ran >= after || p.CrashesStanding && p.now.Sub(r.began) >= after):
				p.crashes[id.Job]++
				p.crash(w)
			case ran >= taskRuntime && w.down.IsZero():
				delete(w.runs, id)
				w.ended = append(w.ended, jobs.Ended{Number: uint64(len(w.ended) + 1), Task: id, Run: r.run, How: jobs.EndSucceeded})
			}
		}
	}
}

func (p *lossSimulation) crash(w *simulatedWorker) {
	if !w.down.IsZero() {
		return
	}
	w.down = p.now
	for id := range w.runs {
		if _, crashes := p.crashing[id.Job]; !crashes {
			p.lost++
		}
	}
	clear(w.runs)
	p.Unreached(w.info.ID, true, p.now)
}

// loseAndReplaceWorkers loses workers by chance, alone and in bursts, and replaces those that have been down for
// workerDowntime.
func (p *lossSimulation) loseAndReplaceWorkers() {
	burst := p.BurstEvery > 0 && p.now.Sub(p.burst) >= p.burstAfter
	if burst {
		p.burst = p.now
		p.burstAfter = p.drawBurstInterval()
	}
	came := false
	for n, w := range p.workers {
		alone := p.AloneEvery > 0 && p.random.Float64() < float64(simulationStep)/float64(p.AloneEvery.Duration())
		switch {
		case !w.down.IsZero() && p.now.Sub(w.down) >= workerDowntime:
			p.Replaced(w.info.ID, p.now)
			p.workers[n] = p.newWorker()
			came = true
		case p.now.Sub(p.began) > submitTime:
		case alone || burst && p.random.Float64() < p.BurstShare:
			p.crash(w)
		}
	}
	if came {
		p.list()
	}
}

// drawBurstInterval returns the time from one burst to the next.
func (p *lossSimulation) drawBurstInterval() time.Duration {
	if p.BurstsAtRandom {
		return time.Duration(p.random.ExpFloat64() * float64(p.BurstEvery.Duration()))
	}
	return p.BurstEvery.Duration()
}

func (p *lossSimulation) report() {
	for _, w := range p.workers {
		if !w.down.IsZero() {
			p.Unreached(w.info.ID, true, p.now)
			continue
		}
		report := jobs.Report{Clock: models.MilliOf(p.now.Sub(w.clock)), Ended: w.ended}
		for _, id := range w.running() {
			run := jobs.Run{Task: id, Run: w.runs[id].run}
			if p.Fillers {
				run.Figure = int(fillerUse * float64(w.info.Capacity.CPU) * float64(w.runs[id].pace) / float64(jobs.FullSpeed))
			}
			report.Running = append(report.Running, run)
		}
		sent := p.now.Add(-time.Millisecond)
		p.LeaseCall(w.info.ID, time.Second, sent)
		p.Reported(w.info.ID, sent, report, p.now)
	}
}

// obey carries out the core's orders.
func (p *lossSimulation) obey() {
	workers := map[jobs.WorkerID]*simulatedWorker{}
	for _, w := range p.workers {
		workers[w.info.ID] = w
	}
	for _, order := range p.Decide(p.now) {
		switch order := order.(type) {
		case StartOrder:
			w := workers[order.Worker.ID]
			if w == nil || !w.down.IsZero() {
				p.Started(order, Result{Outcome: OutcomeUnreached}, p.now)
				continue
			}
			w.runs[order.Call.Task] = simulatedRun{run: order.Call.Run, began: p.now, pace: jobs.FullSpeed}
			p.Started(order, Result{Outcome: OutcomeDone}, p.now)
		case PaceOrder:
			w := workers[order.Worker.ID]
			if w == nil || !w.down.IsZero() {
				p.Paced(order, Result{Outcome: OutcomeUnreached}, p.now)
				continue
			}
			if r, ok := w.runs[order.Call.Task]; ok {
				r.next, r.nextAt = order.Call.Pace, p.now.Add(harmPaceTime)
				w.runs[order.Call.Task] = r
			}
			p.Paced(order, Result{Outcome: OutcomeDone}, p.now)
		case StopOrder:
			if w := workers[order.Worker.ID]; w != nil {
				delete(w.runs, order.Call.Task)
				p.Stopped(order, Result{Outcome: OutcomeDone}, p.now)
			}
		}
	}
}

// TestEvidenceOfLostRuns checks the promised error rates, also where workers are lost in bursts or one by one all the
// time: per million lost runs of tasks that crash nothing, few jobs are abandoned, and per thousand tasks that crash
// their workers, few are started a sixth time.
func TestEvidenceOfLostRuns(t *testing.T) {
	simulateLosses(t, "testdata/evidence_plays.json", simulationsInCI)
}

// TestEvidenceOfLostRunsInFrequentBursts guards against innocent jobs that are abandoned where some of the workers
// are lost at the same moment every 2 s, so that lost tasks start again at the same time after each burst.
func TestEvidenceOfLostRunsInFrequentBursts(t *testing.T) {
	simulateLosses(t, "testdata/evidence_plays_bursts.json", simulationsOfBursts)
}

// TestEvidenceOfLostRunsAtRegularTimes guards against innocent jobs that are abandoned where workers are lost at regular
// times, because a lost task starts again as long after each loss: bursts of another size, and single losses beside them.
// The same bursts at random times show that only their regularity makes the difference.
func TestEvidenceOfLostRunsAtRegularTimes(t *testing.T) {
	simulateLosses(t, "testdata/evidence_plays_times.json", simulationsOfTimes)
}

// TestEvidenceOfLostRunsOfFillers guards against more such errors where tasks stand by and go on.
func TestEvidenceOfLostRunsOfFillers(t *testing.T) {
	simulateLosses(t, "testdata/evidence_plays_fillers.json", simulationsInCI)
}

// simulateLosses runs the given number of simulations for each case of a file.
func simulateLosses(t *testing.T, file string, simulations int) {
	for _, c := range casefile.Read[[]evidenceCase](t, file) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			var all evidenceTally
			for seed := range simulations {
				p := newLossSimulation(c, uint64(seed))
				p.run()
				all.add(p)
			}
			t.Logf("%d simulations: %+v", simulations, all)
			require.LessOrEqual(t, float64(all.abandoned), 1+c.Abandoned*float64(all.lost)/1e6)
			require.LessOrEqual(t, float64(all.tooOften), 1+c.TooOften*float64(all.crashing)/1e3)
		})
	}
}

// evidenceTally sums up the results of simulations.
type evidenceTally struct {
	lost      int // innocent runs
	abandoned int // abandoned jobs of innocent runs
	crashing  int // tasks that crash their workers
	tooOften  int // of these tasks, started a sixth time
	undecided int // of these tasks, not abandoned in time
}

func (all *evidenceTally) add(p *lossSimulation) {
	all.lost += p.lost
	all.crashing += len(p.crashing)
	for id, ended := range p.ended {
		if _, crashes := p.crashing[id]; !crashes && ended.state == jobs.StateFailed {
			all.abandoned++
		}
	}
	for id := range p.crashing {
		if p.crashes[id] > maxStarts {
			all.tooOften++
		}
		if state, _ := p.State(id); !state.Ended() {
			all.undecided++
		}
	}
}
