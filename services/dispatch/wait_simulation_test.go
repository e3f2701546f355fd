// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// A wait simulation is a core with a large cell, whose workers restart under their ids, and with work for less than a
// third of the capacity. It measures how long work waits although there is room.

const (
	waitWorkers        = 48
	waitWorkersPerRack = 8
	waitLastingJobs    = 20
	waitDowntime       = 500 * time.Millisecond
	waitListDelay      = 200 * time.Millisecond // after which the list names a worker's new incarnation
	waitSubmitInterval = 200 * time.Millisecond
	waitTime           = 20 * time.Second // simulated after the last restart
	waitRuntime        = time.Second
	waitBefore         = 3 * time.Second // before the first restart
	// Nothing may be expected of the cell until waitCalm after the last restart. From then on, no job may have nothing
	// running for waitAllowed, and no long-running task may wait for longer than waitAllowedLasting.
	waitCalm           = 4 * time.Second
	waitAllowed        = 3 * time.Second
	waitAllowedLasting = 6 * time.Second
)

var (
	waitSuspectStep = jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 100}, LongRunning: true, Image: "serving"}
	waitCapacity    = models.Resources{CPU: 64_000, Memory: 256_000}
	waitLastingStep = jobs.Step{Count: 6, Size: models.Resources{CPU: 4000, Memory: 8000}, LongRunning: true, Image: "serving"}
	waitShortSteps  = []jobs.Step{
		{Count: 6, Size: models.Resources{CPU: 4600, Memory: 8000}, Estimate: models.MilliOf(waitRuntime)},
		{Count: 8, Size: models.Resources{CPU: 7000, Memory: 8000}, Estimate: models.MilliOf(waitRuntime)},
	}
)

// waitWorker is the true state of a worker.
type waitWorker struct {
	info     jobs.Worker
	upAt     time.Time // when its present incarnation began, or begins
	listedAt time.Time // when the list names the present incarnation
	listed   bool
	runs     map[jobs.TaskID]simulatedRun
	ends     []jobs.Ended
}

func (w *waitWorker) up(now time.Time) bool { return !now.Before(w.upAt) }

// rows returns the running tasks as the worker reports them.
func (w *waitWorker) rows() []jobs.Run {
	var rows []jobs.Run
	for _, id := range slices.SortedFunc(maps.Keys(w.runs), func(a, b jobs.TaskID) int { return cmp.Compare(a.String(), b.String()) }) {
		rows = append(rows, jobs.Run{Task: id, Run: w.runs[id].run})
	}
	return rows
}

// waitSimulation is one simulation.
type waitSimulation struct {
	*Core
	t           *testing.T
	now         time.Time
	began       time.Time
	workers     []*waitWorker
	submitted   int
	running     map[jobs.ID]int
	idleSince   map[jobs.ID]time.Time     // jobs of which nothing runs
	waitsSince  map[jobs.TaskID]time.Time // long-running tasks that do not run
	lastRestart time.Time
	stored      waitStore

	longestJob, longestTask time.Duration
	longestOrdinary         time.Duration                // of jobs that lost no run
	longestByLosses         [maxLosses + 1]time.Duration // of long-running tasks, by the number of losses; the last one: that number or more
	late                    map[string]struct{}

	crashEvery, crashed int                       // each so many submitted short jobs crash workers; workers crashed by tasks
	crashTime           time.Duration             // after which the first task of these jobs crashes its worker
	crashAfter          map[jobs.ID]time.Duration // the jobs whose first task crashes its workers, and after which time
	crashesOf           map[jobs.ID]int           // workers that the job has crashed
	startsTooMany       int                       // starts of a task that has crashed maxLosses workers
	besideRoom          waitsBesideRoom           // of jobs of which no task crashes workers
	crashersBesideRoom  waitsBesideRoom           // of the others
}

func newWaitSimulation(t *testing.T) *waitSimulation {
	t.Helper()
	p := &waitSimulation{
		t: t, began: time.Unix(1_000_000, 0), running: map[jobs.ID]int{}, idleSince: map[jobs.ID]time.Time{},
		waitsSince: map[jobs.TaskID]time.Time{}, late: map[string]struct{}{},
		crashesOf: map[jobs.ID]int{}, besideRoom: newWaitsBesideRoom(), crashersBesideRoom: newWaitsBesideRoom(),
		stored: waitStore{epoch: 5, active: map[jobs.ID]jobs.Record{}, progress: map[jobs.ID]jobs.Progress{}},
	}
	p.now = p.began
	p.Core = New(Config{Epoch: 5, Taken: p.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop()})
	p.RestoreRoster(jobs.Roster{}, p.now)
	for n := range waitWorkers {
		id := jobs.WorkerID(fmt.Sprintf("w%02d", n))
		p.workers = append(p.workers, &waitWorker{
			info: jobs.Worker{
				ID: id, Pool: testPool, Address: string(id), Rack: jobs.RackLabel(fmt.Sprintf("r%d", n/waitWorkersPerRack)),
				Capacity: waitCapacity, Born: models.UnixMilliOf(p.now),
			},
			upAt: p.now, listed: true, runs: map[jobs.TaskID]simulatedRun{},
		})
	}
	p.list()
	p.advance(500 * time.Millisecond)
	for range waitLastingJobs {
		p.submit(waitLastingStep)
	}
	return p
}

// list lets the list name the workers' present incarnations.
func (p *waitSimulation) list() {
	var list []jobs.Worker
	for _, w := range p.workers {
		list = append(list, w.info)
	}
	p.SetWorkers(list, p.now)
}

// innocentGivenUp counts the jobs that were given up although none of their tasks crashes workers.
func (p *waitSimulation) innocentGivenUp() int {
	count := 0
	for id, ended := range p.ended {
		if _, crashes := p.crashAfter[id]; !crashes && ended.state == jobs.StateFailed {
			count++
		}
	}
	return count
}

// nextID is the id of the job that is submitted next.
func (p *waitSimulation) nextID() jobs.ID { return jobs.ID(fmt.Sprintf("%016x", p.submitted+1)) }

func (p *waitSimulation) submit(step jobs.Step) {
	id := p.nextID()
	p.submitted++
	if p.crashEvery > 0 && !step.LongRunning && p.submitted%p.crashEvery == 0 {
		p.crashAfter[id] = p.crashTime
	}
	record := jobs.Record{
		Spec:  jobs.Spec{ID: id, Queue: "q", Steps: []jobs.Step{step}},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(p.now),
		Version: uint64(p.stored.epoch),
	}
	p.stored.active[id] = record
	p.AddJob(record, jobs.Progress{}, true, p.now)
	p.idleSince[id] = p.now
	if step.LongRunning {
		for n := range step.Count {
			p.waitsSince[jobs.TaskID{Job: id, Index: n}] = p.now
		}
	}
}

// advance lets time pass while short jobs are submitted.
func (p *waitSimulation) advance(passed time.Duration) {
	for until := p.now.Add(passed); p.now.Before(until); {
		p.now = p.now.Add(simulationStep)
		if at := p.now.Sub(p.began); at > time.Second && at%waitSubmitInterval < simulationStep {
			p.submit(waitShortSteps[p.submitted%len(waitShortSteps)])
		}
		p.completeRuns()
		p.crashWorkers()
		p.listNewIncarnations()
		if p.now.Sub(p.began)%reportInterval < simulationStep {
			p.report()
		}
		p.obey()
		p.store()
		p.measure()
	}
}

// listNewIncarnations updates the list once it is to name new incarnations.
func (p *waitSimulation) listNewIncarnations() {
	changed := false
	for _, w := range p.workers {
		if !w.listed && !p.now.Before(w.listedAt) {
			w.listed, changed = true, true
		}
	}
	if changed {
		p.list()
	}
}

func (p *waitSimulation) completeRuns() {
	for _, w := range p.workers {
		for _, row := range w.rows() {
			id, r := row.Task, w.runs[row.Task]
			if spec := p.find(id); spec != nil && spec.step.spec.LongRunning || p.now.Sub(r.began) < waitRuntime {
				continue
			}
			w.ends = append(w.ends, jobs.Ended{Number: uint64(len(w.ends) + 1), Task: id, Run: r.run, How: jobs.EndSucceeded})
			p.endRun(w, id)
		}
	}
}

func (p *waitSimulation) endRun(w *waitWorker, id jobs.TaskID) {
	if _, runs := w.runs[id]; !runs {
		return
	}
	delete(w.runs, id)
	p.running[id.Job]--
	if p.running[id.Job] == 0 {
		p.idleSince[id.Job] = p.now
	}
	p.waitsSince[id] = p.now
}

// restart lets workers end and start again under their ids.
func (p *waitSimulation) restart(first, count int) {
	for _, w := range p.workers[first : first+count] {
		for _, row := range w.rows() {
			p.endRun(w, row.Task)
		}
		w.ends = nil
		w.upAt = p.now.Add(waitDowntime)
		w.info.Born = models.UnixMilliOf(w.upAt)
		w.listed, w.listedAt = false, w.upAt.Add(waitListDelay)
		p.Unreached(w.info.ID, true, p.now)
	}
	p.lastRestart = p.now
}

func (p *waitSimulation) report() {
	for _, w := range p.workers {
		if !w.up(p.now) {
			p.Unreached(w.info.ID, true, p.now)
			continue
		}
		sent := p.now.Add(-time.Millisecond)
		p.LeaseCall(w.info.ID, time.Second, sent)
		p.Reported(w.info.ID, sent, jobs.Report{Clock: models.MilliOf(p.now.Sub(w.upAt)), Born: w.info.Born, Running: w.rows(), Ended: w.ends}, p.now)
	}
}

// obey carries out the core's orders.
func (p *waitSimulation) obey() {
	workers := map[jobs.WorkerID]*waitWorker{}
	for _, w := range p.workers {
		workers[w.info.ID] = w
	}
	for _, order := range p.Decide(p.now) {
		switch order := order.(type) {
		case StartOrder:
			w := workers[order.Worker.ID]
			switch {
			case !w.up(p.now):
				p.Started(order, Result{Outcome: OutcomeUnreached}, p.now)
			case w.info.Born != order.Worker.Born:
				p.Started(order, Result{Outcome: OutcomeOtherIncarnation, Born: w.info.Born}, p.now)
			default:
				p.start(w, order)
			}
		case StopOrder:
			w := workers[order.Worker.ID]
			p.endRun(w, order.Call.Task)
			p.Stopped(order, Result{Outcome: OutcomeDone}, p.now)
		}
	}
}

func (p *waitSimulation) start(w *waitWorker, order StartOrder) {
	id := order.Call.Task
	if id.Index == 0 && p.crashesOf[id.Job] >= maxLosses {
		p.startsTooMany++
	}
	w.runs[id] = simulatedRun{run: order.Call.Run, began: p.now}
	p.running[id.Job]++
	p.measureJob(id.Job)
	p.measureTask(id)
	delete(p.idleSince, id.Job)
	delete(p.waitsSince, id)
	p.Started(order, Result{Outcome: OutcomeDone}, p.now)
}

// crashWorkers lets the workers end that a task crashes now.
func (p *waitSimulation) crashWorkers() {
	for n, w := range p.workers {
		for _, row := range w.rows() {
			id := row.Task
			after, crashes := p.crashAfter[id.Job]
			if crashes && id.Index == 0 && p.now.Sub(w.runs[id].began) >= after {
				p.crashed++
				p.crashesOf[id.Job]++
				p.restart(n, 1)
				break
			}
		}
	}
}

// measureBesideRoom measures how long long-running tasks, and jobs of which nothing runs, have been waiting while most of
// the capacity of the workers that are up is free, whatever faults there are.
func (p *waitSimulation) measureBesideRoom() {
	used, capacity := models.MilliCPU(0), models.MilliCPU(0)
	for _, w := range p.workers {
		if !w.up(p.now) {
			continue
		}
		capacity += waitCapacity.CPU
		for id := range w.runs {
			used += p.find(id).step.spec.Size.CPU
		}
	}
	mostFree := 2*used < capacity
	p.besideRoom.extend(p, mostFree, false)
	p.crashersBesideRoom.extend(p, mostFree, true)
}

// waitsBesideRoom are waits while most of the capacity is free.
type waitsBesideRoom struct {
	taskSince               map[jobs.TaskID]time.Time // long-running tasks
	jobSince                map[jobs.ID]time.Time     // jobs of which nothing runs
	longestTask, longestJob time.Duration
}

func newWaitsBesideRoom() waitsBesideRoom {
	return waitsBesideRoom{taskSince: map[jobs.TaskID]time.Time{}, jobSince: map[jobs.ID]time.Time{}}
}

// extend notes what waits now, of the jobs that crash workers or of the others.
func (b *waitsBesideRoom) extend(p *waitSimulation, mostFree, crashing bool) {
	if !mostFree {
		clear(b.taskSince)
		clear(b.jobSince)
		return
	}
	of := func(id jobs.ID) bool {
		_, crashes := p.crashAfter[id]
		j := p.jobs[id]
		return crashes == crashing && j != nil && j.end == ""
	}
	b.longestTask = max(b.longestTask, extend(b.taskSince, p.waitsSince, p.now, func(id jobs.TaskID) bool {
		t := p.find(id)
		return of(id.Job) && t != nil && t.step.spec.LongRunning
	}))
	b.longestJob = max(b.longestJob, extend(b.jobSince, p.idleSince, p.now, of))
}

// extend notes what waits now and counts, forgets what does not wait any more, and returns the longest wait.
func extend[K comparable](since map[K]time.Time, waiting map[K]time.Time, now time.Time, counts func(K) bool) time.Duration {
	maps.DeleteFunc(since, func(k K, _ time.Time) bool {
		_, waits := waiting[k]
		return !waits || !counts(k)
	})
	longest := time.Duration(0)
	for k := range waiting {
		if _, noted := since[k]; !noted && counts(k) {
			since[k] = now
		}
	}
	for _, from := range since {
		longest = max(longest, now.Sub(from))
	}
	return longest
}

// measure measures how long jobs and tasks have been waiting.
func (p *waitSimulation) measure() {
	for id := range p.idleSince {
		p.measureJob(id)
	}
	for id := range p.waitsSince {
		p.measureTask(id)
	}
	if p.crashAfter != nil {
		p.measureBesideRoom()
	}
}

func (p *waitSimulation) measureJob(id jobs.ID) {
	since, idle := p.idleSince[id]
	j := p.jobs[id]
	if !idle || j == nil || j.end != "" || p.lastRestart.IsZero() {
		return
	}
	p.longestJob = max(p.longestJob, p.now.Sub(latest(since, p.lastRestart)))
	if !j.hasLost() {
		p.longestOrdinary = max(p.longestOrdinary, p.now.Sub(latest(since, p.lastRestart)))
	}
	if p.now.Sub(latest(since, p.lastRestart.Add(waitCalm))) > waitAllowed {
		p.late[string(id)] = struct{}{}
	}
}

func (p *waitSimulation) measureTask(id jobs.TaskID) {
	since, idle := p.waitsSince[id]
	t := p.find(id)
	if !idle || t == nil || !t.step.spec.LongRunning || p.lastRestart.IsZero() {
		return
	}
	waited := p.now.Sub(latest(since, p.lastRestart))
	p.longestTask = max(p.longestTask, waited)
	longest := &p.longestByLosses[min(t.losses(), maxLosses)]
	*longest = max(*longest, waited)
	if p.now.Sub(since) > waitAllowedLasting && p.now.Sub(p.lastRestart) > waitCalm {
		p.late[id.String()] = struct{}{}
	}
}

func (p *waitSimulation) suspects() (all, several int) {
	for t := range p.tasksWithLosses {
		if !t.isOver() && t.suspected() {
			all++
			if t.losses() >= minLosses {
				several++
			}
		}
	}
	return all, several
}

// hasLost reports whether a task of the job has lost a run.
func (j *job) hasLost() bool {
	for s := range j.heldSteps() {
		for i := range s.tasks {
			if s.tasks[i].losses() > 0 {
				return true
			}
		}
	}
	return false
}

// rollingRestarts is a script in which all workers of a cell restart, one group after the other, several times.
type rollingRestarts struct {
	group  int           // workers that restart together
	every  time.Duration // from one group to the next
	passes int           // how often each worker restarts
}

// play plays the script and lets time pass until all work runs again.
func (r rollingRestarts) play(t *testing.T) *waitSimulation {
	t.Helper()
	p := newWaitSimulation(t)
	p.advance(waitBefore)
	for range r.passes {
		for first := 0; first < waitWorkers; first += r.group {
			p.restart(first, r.group)
			p.advance(r.every)
		}
	}
	p.advance(waitCalm)
	suspects, several := p.suspects()
	p.advance(waitTime)
	t.Logf("%+v: %d suspects after %v, %d of several losses; waits: job %v, job without loss %v, long-running task %v; %d late, %d jobs given up",
		r, suspects, waitCalm, several, p.longestJob, p.longestOrdinary, p.longestTask, len(p.late), p.counts.GivenUp)
	return p
}
