// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// crowdScript is a script of testdata/filler_crowds.json: jobs of filler tasks that are submitted within a few seconds in a cell
// whose workers each have a serving task.
type crowdScript struct {
	Name  string       `json:"name"`
	Jobs  int          `json:"jobs"`
	For   models.Milli `json:"submitted_ms"` // from the first job to the last
	Tasks int          `json:"tasks"`        // of each job
	Work  models.Milli `json:"work_ms"`
	Idle  float64      `json:"idle_tail_ms"` // tail latency without filler tasks
	Adds  float64      `json:"adds_ms"`      // tail latency that a filler task adds at full pace
	// AsLongAs names a script of fewer jobs with which the longest time without a run is as long.
	AsLongAs string `json:"as_long_as"`
	// OwnerLost is when the owner is lost, from the first job on; 0: it is not.
	OwnerLost   models.Milli `json:"owner_lost_ms"`
	WorkersLost int          `json:"workers_lost"` // for good, with the owner
}

const (
	crowdWorkers     = 48
	crowdBefore      = 2 * time.Second        // until the first job is submitted
	crowdTime        = 12 * time.Second       // from the first job on
	crowdCalmTime    = 7 * time.Second        // watched after a takeover
	crowdDecidePause = 100 * time.Millisecond // the longest one of an owner
	crowdServingCPU  = 1000
	crowdReportPause = 60 * time.Millisecond  // from a report to the next one that tells an end
	crowdReportWait  = 500 * time.Millisecond // from a report to the next one that tells no end
	crowdChanges     = 200                    // jobs in a transaction at most
	crowdMostUsed    = 0.5                    // share of the capacity in use from which on nothing of a job has to run
	// crowdGrowth is by how much longer nothing may run of a job among more of them.
	crowdGrowth = 500 * time.Millisecond
)

var (
	crowdCapacity = models.Resources{CPU: 4000, Memory: 8000} // of each worker of a bench
	crowdStep     = jobs.Step{Size: models.Resources{CPU: 250, Memory: 40}, Image: "filling", Filler: true}
)

// fillerCrowd is a simulation of one script.
type fillerCrowd struct {
	*bench
	crowdScript
	began      time.Time
	submitted  int
	stored     waitStore
	workers    []harmWorker
	lost       int // workers that are gone, the first ones
	reportedAt []time.Time
	told       []uint64 // the last end that a worker has told
	audit      crowdAudit
}

func newFillerCrowd(t *testing.T, script crowdScript) *fillerCrowd {
	p := &fillerCrowd{
		bench: newBench(t, crowdWorkers), crowdScript: script, workers: make([]harmWorker, crowdWorkers),
		reportedAt: make([]time.Time, crowdWorkers), told: make([]uint64, crowdWorkers), audit: newCrowdAudit(),
		stored: waitStore{epoch: 5, active: map[jobs.ID]jobs.Record{}, progress: map[jobs.ID]jobs.Progress{}},
	}
	p.began = p.now
	serving := servingStep
	serving.Count, serving.Size.CPU, serving.PerWorker = crowdWorkers, crowdServingCPU, 1
	record := p.job(serving)
	record.Spec.ID = otherJob
	p.add(record)
	for n := range p.workers {
		p.workers[n].unused = crowdCapacity.CPU - crowdServingCPU
	}
	return p
}

// add hands a job in.
func (p *fillerCrowd) add(record jobs.Record) {
	record.Version = uint64(p.stored.epoch)
	p.stored.active[record.Spec.ID] = record
	p.AddJob(record, jobs.Progress{}, true, p.now)
}

// advance lets time pass.
func (p *fillerCrowd) advance(passed time.Duration) {
	for until := p.now.Add(passed); p.now.Before(until); {
		p.work()
		p.submitDue()
		p.report()
		if p.now.Sub(p.began)%crowdDecidePause < simulationStep {
			p.decide()
		}
		p.audit.look(p)
	}
}

// work lets the workers work for a moment.
func (p *fillerCrowd) work() {
	p.now = p.now.Add(simulationStep)
	for n := range p.workers {
		p.workers[n].pass(p.Idle, p.Adds, p.Work.Duration(), p.now)
		p.audit.noteEnds(&p.workers[n], p.now)
	}
}

// decide lets the workers carry out the owner's orders, and stores its changes.
func (p *fillerCrowd) decide() {
	for _, order := range p.Decide(p.now) {
		p.obeyHarm(p.workers, order)
	}
	changes := p.TakeChanges(crowdChanges, p.now)
	p.stored.take(changes)
	p.Stored(changes, p.now)
}

// submitDue submits the jobs whose time has come.
func (p *fillerCrowd) submitDue() {
	passed := p.now.Sub(p.began) - crowdBefore
	for p.submitted < p.Jobs && passed >= p.For.Duration()*time.Duration(p.submitted)/time.Duration(p.Jobs) {
		step := crowdStep
		step.Count, step.Estimate = p.Tasks, p.Work
		record := p.job(step)
		p.submitted++
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", 0x100+p.submitted))
		p.add(record)
		p.audit.expect(record.Spec.ID, p.Tasks, p.now)
	}
}

// report lets the workers report which have an end to tell, or have not reported for long.
func (p *fillerCrowd) report() {
	for n := p.lost; n < crowdWorkers; n++ {
		w := &p.workers[n]
		passed := p.now.Sub(p.reportedAt[n])
		if passed < crowdReportPause || passed < crowdReportWait && w.ends == p.told[n] && p.Core.workers[p.ids[n]].renewed {
			continue
		}
		p.reportedAt[n], p.told[n] = p.now, w.ends
		sent := p.now.Add(-time.Millisecond)
		call, _ := p.LeaseCall(p.ids[n], time.Second, sent)
		w.ended = slices.DeleteFunc(w.ended, func(e jobs.Ended) bool { return e.Number <= call.Acknowledged })
		p.Reported(p.ids[n], sent, jobs.Report{Clock: models.MilliOf(p.now.Sub(time.Unix(1_000_000, 0))), Running: w.rows(), Ended: w.ended}, p.now)
	}
}

// crowdAudit follows what truly runs on the workers.
type crowdAudit struct {
	left      map[jobs.ID]int // tasks of a job that have not ended
	done      map[jobs.TaskID]bool
	idleSince map[jobs.ID]time.Time // since when nothing of a job has run, while most of the capacity has been free
	longest   time.Duration         // for which that was so
	longestOf jobs.ID
	mostUsed  float64
	jobsEnded int
	calmFrom  time.Time // nothing is expected before
}

func newCrowdAudit() crowdAudit {
	return crowdAudit{left: map[jobs.ID]int{}, done: map[jobs.TaskID]bool{}, idleSince: map[jobs.ID]time.Time{}}
}

// expect notes a job that is submitted.
func (a *crowdAudit) expect(id jobs.ID, tasks int, now time.Time) {
	a.left[id] = tasks
	a.idleSince[id] = now
}

// noteEnds notes the successes that a worker lists.
func (a *crowdAudit) noteEnds(w *harmWorker, now time.Time) {
	for _, ended := range w.ended {
		id := ended.Task.Job
		if ended.How != jobs.EndSucceeded || a.done[ended.Task] {
			continue
		}
		a.done[ended.Task] = true
		a.idleSince[id] = now
		if a.left[id]--; a.left[id] == 0 {
			delete(a.left, id)
			a.jobsEnded++
		}
	}
}

// look notes for how long nothing of a job has run.
func (a *crowdAudit) look(p *fillerCrowd) {
	used := p.used()
	a.mostUsed = max(a.mostUsed, used)
	running := p.running()
	for id := range a.left {
		if used >= crowdMostUsed || running[id] > 0 || p.now.Before(a.calmFrom) {
			a.idleSince[id] = p.now
		} else if idle := p.now.Sub(a.idleSince[id]); idle > a.longest {
			a.longest, a.longestOf = idle, id
		}
	}
}

// forgetEnds takes the successes back that a lost worker has not been able to tell. If the owner knows of one all the same, the
// job ends in its view.
func (a *crowdAudit) forgetEnds(w *harmWorker) {
	for _, ended := range w.ended {
		if id := ended.Task.Job; a.done[ended.Task] {
			delete(a.done, ended.Task)
			if a.left[id]++; a.left[id] == 1 {
				a.jobsEnded--
			}
		}
	}
}

// dropEnded forgets the jobs that have ended: the owner does not hold them any more, also where its predecessor had stored an end
// that a lost worker listed.
func (a *crowdAudit) dropEnded(c *Core) {
	for id := range a.left {
		if _, active := c.jobs[id]; !active {
			delete(a.left, id)
			a.jobsEnded++
		}
	}
}

// used returns the share of the capacity in use: of the CPU that others than filler tasks declare, or of the memory.
func (p *fillerCrowd) used() float64 {
	var used models.Resources
	for n := range p.workers {
		for _, r := range p.workers[n].runs {
			if r.filler {
				used.Memory += crowdStep.Size.Memory
			} else {
				used = used.Add(models.Resources{CPU: r.cpu, Memory: servingStep.Size.Memory})
			}
		}
	}
	workers := float64(crowdWorkers - p.lost)
	return max(float64(used.CPU)/float64(crowdCapacity.CPU), float64(used.Memory)/float64(crowdCapacity.Memory)) / workers
}

// running returns how many tasks of each job run on the workers.
func (p *fillerCrowd) running() map[jobs.ID]int {
	running := map[jobs.ID]int{}
	for n := range p.workers {
		for _, r := range p.workers[n].runs {
			running[r.row.Task.Job]++
		}
	}
	return running
}

// overTarget returns for how long a serving task was over its target at most while filler tasks beside it worked.
func (p *fillerCrowd) overTarget() time.Duration {
	longest := time.Duration(0)
	for n := range p.workers {
		longest = max(longest, p.workers[n].longest)
	}
	return longest
}

// logResult logs what is measured without a bound.
func (p *fillerCrowd) logResult(t *testing.T) {
	starts, halted, fillers := 0, 0, 0
	for n := range p.workers {
		starts += p.workers[n].starts
		for _, r := range p.workers[n].runs {
			if r.filler {
				fillers++
			}
			if r.filler && r.pace == 0 {
				halted++
			}
		}
	}
	t.Logf("nothing of a job runs for %v at most (%s), a serving task is over its target for %v; %d of %d jobs ended, %d tasks, %d starts, %d pace orders; %.2f in use at most; at the end %d filler tasks, %d at pace 0",
		p.audit.longest, p.audit.longestOf, p.overTarget(), p.audit.jobsEnded, p.Jobs, len(p.audit.done), starts, p.counts.Paces, p.audit.mostUsed, fillers, halted)
}

// TestSomethingOfEachFillerJobRuns guards against jobs of filler tasks of which nothing runs for longer than callers allow because many
// others wait for the same loads, although most of the capacity is free.
func TestSomethingOfEachFillerJobRuns(t *testing.T) {
	scripts := casefile.Read[[]crowdScript](t, "testdata/filler_crowds.json")
	var mu sync.Mutex
	longest := map[string]time.Duration{}
	t.Run("scripts", func(t *testing.T) {
		for _, script := range scripts {
			t.Run(script.Name, func(t *testing.T) {
				t.Parallel()
				p := newFillerCrowd(t, script)
				p.advance(crowdBefore + crowdTime)
				p.logResult(t)
				mu.Lock()
				longest[script.Name] = p.audit.longest
				mu.Unlock()
				require.LessOrEqual(t, p.audit.longest, fillerAllowed)
				require.Less(t, p.overTarget(), harmAllowed)
			})
		}
	})
	for _, script := range scripts {
		if other := script.AsLongAs; other != "" {
			require.Contains(t, longest, other)
			require.LessOrEqual(t, longest[script.Name], longest[other]+crowdGrowth, "the time grows with the number of jobs")
		}
	}
}

// loseOwner lets a successor take the cell a moment after the owner and some workers are lost. Nothing is expected before all has
// been calm for waitCalm.
func (p *fillerCrowd) loseOwner() {
	p.audit.calmFrom, p.audit.longest = p.now.Add(waitCalm), 0
	p.lost = p.WorkersLost
	for n := range p.lost {
		w := &p.workers[n]
		p.audit.forgetEnds(w)
		w.runs, w.ended = nil, nil
	}
	for until := p.now.Add(waitOwnerless); p.now.Before(until); {
		p.work()
	}
	listed := p.Workers()
	p.stored.epoch++
	p.Core = New(Config{Epoch: p.stored.epoch, Taken: p.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop()})
	p.RestoreRoster(p.stored.roster, p.now)
	p.RestoreParameters(p.stored.learned, p.now)
	for _, id := range slices.Sorted(maps.Keys(p.stored.active)) {
		p.AddJob(p.stored.active[id], p.stored.progress[id], false, p.now)
	}
	p.SetWorkers(listed, p.now)
}

// TestSomethingOfEachFillerJobRunsAfterATakeover guards against the same after a takeover, where all waits begin anew while the
// successor waits for lost workers.
func TestSomethingOfEachFillerJobRunsAfterATakeover(t *testing.T) {
	for _, script := range casefile.Read[[]crowdScript](t, "testdata/filler_crowds_takeover.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			p := newFillerCrowd(t, script)
			p.advance(crowdBefore + script.OwnerLost.Duration())
			p.logResult(t)
			p.loseOwner()
			p.advance(p.audit.calmFrom.Sub(p.now))
			p.audit.dropEnded(p.Core)
			for n := range p.workers {
				p.workers[n].overSince, p.workers[n].longest = time.Time{}, 0
			}
			p.advance(crowdCalmTime)
			p.logResult(t)
			require.LessOrEqual(t, p.audit.longest, fillerAllowed)
			require.Less(t, p.overTarget(), harmAllowed)
			require.Zero(t, p.counts.GivenUp)
		})
	}
}
