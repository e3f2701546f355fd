// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// standbyTick is the time between two reports of each worker of a standby bench.
const standbyTick = 50 * time.Millisecond

// standbyRun is a run on a worker of a standby bench.
type standbyRun struct {
	row  jobs.Run
	step *jobs.Step
	pace jobs.Percent
	// nextPace is in force from nextPaceAt on; zero: no order is open.
	nextPace   jobs.Percent
	nextPaceAt time.Time
	done       time.Duration // of its work at full pace
	work       time.Duration // that it has to do; 0: what its step estimates
	// young is for how many more reports it shows no use of the CPU, although it works.
	young int
}

// lostOrder is an order that got lost on its way.
type lostOrder struct {
	order Order
	until time.Time // its answer is awaited
}

// standbyBench is a core whose workers do the work of their runs at the paces that were ordered.
type standbyBench struct {
	*bench
	runs  [][]*standbyRun
	ended [][]jobs.Ended
	// paced returns what becomes of an order on a pace; nil: it is carried out.
	paced func(PaceOrder) Outcome
	// started returns what becomes of a start; nil: it is carried out.
	started func(StartOrder) Outcome
	// stopped returns what becomes of a stop; nil: it is carried out.
	stopped func(StopOrder) Outcome
	// paceDelay is how long after its order a pace is in force.
	paceDelay time.Duration
	// reportTicks is how many ticks pass between two reports of a worker; 0: one.
	reportTicks int
	// workOf returns the work of a task; nil: as its step estimates.
	workOf func(jobs.TaskID) time.Duration
	// limit is that of the starts of each decision; 0: none.
	limit int
	// gone is the worker that has gone; nil: none has.
	gone *int
	// loses reports whether an order gets lost on its way, which is known after callTimeout; nil: none does.
	loses       func(Order) bool
	callTimeout time.Duration
	unanswered  []lostOrder
	// paces are the orders on paces so far.
	paces []PaceOrder
	// succeeded counts the tasks that have ended by job.
	succeeded map[jobs.ID]int
}

func newStandbyBench(t *testing.T, workers int) *standbyBench {
	t.Helper()
	return &standbyBench{
		bench: newBench(t, workers), runs: make([][]*standbyRun, workers), ended: make([][]jobs.Ended, workers), succeeded: map[jobs.ID]int{},
	}
}

// submit adds a job with one step.
func (b *standbyBench) submit(id jobs.ID, step jobs.Step) {
	record := b.job(step)
	record.Spec.ID = id
	b.AddJob(record, jobs.Progress{}, true, b.now)
}

// pass lets time pass; each is called after each step of it.
func (b *standbyBench) pass(passed time.Duration, each func()) {
	for until := b.now.Add(passed); b.now.Before(until); {
		b.now = b.now.Add(standbyTick)
		b.endCalls()
		for n := range b.ids {
			if b.gone != nil && *b.gone == n {
				b.Unreached(b.ids[n], true, b.now)
				continue
			}
			b.work(n)
			if b.reportIsDue(n) {
				b.answer(n)
			}
		}
		for range 2 { // jobs are stored at once
			if b.limit > 0 {
				b.AllowStarts(b.limit)
			}
			for _, order := range b.Decide(b.now) {
				b.obey(order)
			}
			b.Stored(b.TakeChanges(100, b.now), b.now)
		}
		if each != nil {
			each()
		}
	}
}

// reportIsDue reports whether a worker reports now: they do so one after the other.
func (b *standbyBench) reportIsDue(n int) bool {
	ticks := int64(max(1, b.reportTicks))
	return (b.now.UnixMilli()/standbyTick.Milliseconds()+int64(n))%ticks == 0
}

// work lets the runs of a worker work, and ends those whose work is done.
func (b *standbyBench) work(n int) {
	b.runs[n] = slices.DeleteFunc(b.runs[n], func(r *standbyRun) bool {
		r.done += standbyTick * time.Duration(r.pace) / time.Duration(jobs.FullSpeed)
		r.applyPace(b.now)
		if r.step.LongRunning || r.done < cmp.Or(r.work, r.step.Estimate.Duration()) {
			return false
		}
		b.end(n, r, jobs.EndSucceeded)
		b.succeeded[r.row.Task.Job]++
		return true
	})
}

// applyPace lets the run go on at the pace that was ordered, once it is in force.
func (r *standbyRun) applyPace(now time.Time) {
	if r.nextPaceAt.IsZero() || now.Before(r.nextPaceAt) {
		return
	}
	r.pace, r.nextPaceAt = r.nextPace, time.Time{}
}

// end lists the end of a run.
func (b *standbyBench) end(n int, r *standbyRun, how jobs.End) {
	b.ended[n] = append(b.ended[n], jobs.Ended{Number: uint64(len(b.ended[n]) + 1), Task: r.row.Task, Run: r.row.Run, How: how})
}

// answer lets a worker report.
func (b *standbyBench) answer(n int) {
	report := jobs.Report{Clock: models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0))), Ended: b.ended[n]}
	for _, r := range b.runs[n] {
		row := r.row
		row.Figure = 40
		if r.step.Filler {
			row.Figure = int(fillerUse * float64(r.step.Size.CPU) * float64(r.pace) / float64(jobs.FullSpeed))
		}
		if r.young > 0 {
			row.Figure = 0
			r.young--
		}
		report.Running = append(report.Running, row)
	}
	b.call(n, report)
	if w := b.workers[b.ids[n]]; w != nil && !w.renewed {
		b.call(n, report)
	}
}

// endCalls ends the calls whose orders got lost and whose answers are awaited no longer.
func (b *standbyBench) endCalls() {
	lost := b.unanswered
	b.unanswered = nil
	for _, each := range lost {
		if b.now.Before(each.until) {
			b.unanswered = append(b.unanswered, each)
			continue
		}
		switch order := each.order.(type) {
		case StartOrder:
			b.Started(order, Result{Outcome: OutcomeUnknown}, b.now)
		case PaceOrder:
			b.Paced(order, Result{Outcome: OutcomeUnknown}, b.now)
		case StopOrder:
			b.Stopped(order, Result{Outcome: OutcomeUnknown}, b.now)
		}
	}
}

// obey carries out an order, unless it gets lost.
func (b *standbyBench) obey(order Order) {
	if b.loses != nil && b.loses(order) {
		b.unanswered = append(b.unanswered, lostOrder{order, b.now.Add(b.callTimeout)})
		return
	}
	switch order := order.(type) {
	case StartOrder:
		if b.started != nil {
			if outcome := b.started(order); outcome != OutcomeDone {
				b.Started(order, Result{Outcome: outcome}, b.now)
				return
			}
		}
		n := b.index(order.Worker.ID)
		step := b.find(order.Call.Task).step.spec
		work := time.Duration(0)
		if b.workOf != nil {
			work = b.workOf(order.Call.Task)
		}
		b.runs[n] = append(b.runs[n], &standbyRun{row: jobs.Run{Task: order.Call.Task, Run: order.Call.Run}, step: step, pace: jobs.FullSpeed, work: work})
		b.Started(order, Result{Outcome: OutcomeDone}, b.now)
	case PaceOrder:
		b.paces = append(b.paces, order)
		outcome := OutcomeDone
		if b.paced != nil {
			outcome = b.paced(order)
		}
		if r := b.run(order.Call.Task); r != nil && outcome == OutcomeDone {
			r.nextPace, r.nextPaceAt = order.Call.Pace, b.now.Add(b.paceDelay)
			r.applyPace(b.now)
		}
		b.Paced(order, Result{Outcome: outcome}, b.now)
	case StopOrder:
		if b.stopped != nil {
			if outcome := b.stopped(order); outcome != OutcomeDone {
				b.Stopped(order, Result{Outcome: outcome}, b.now)
				return
			}
		}
		n := b.index(order.Worker.ID)
		b.runs[n] = slices.DeleteFunc(b.runs[n], func(r *standbyRun) bool {
			stops := r.row.Task == order.Call.Task
			if stops {
				b.end(n, r, jobs.EndStopped)
			}
			return stops
		})
		b.Stopped(order, Result{Outcome: OutcomeDone}, b.now)
	}
}

// index returns the index of a worker.
func (b *standbyBench) index(id jobs.WorkerID) int { return slices.Index(b.ids, id) }

// run returns the run of a task; nil: it does not run.
func (b *standbyBench) run(task jobs.TaskID) *standbyRun {
	for _, runs := range b.runs {
		for _, r := range runs {
			if r.row.Task == task {
				return r
			}
		}
	}
	return nil
}

// runsOf returns the runs of a job.
func (b *standbyBench) runsOf(id jobs.ID) []*standbyRun {
	var list []*standbyRun
	for _, runs := range b.runs {
		for _, r := range runs {
			if r.row.Task.Job == id {
				list = append(list, r)
			}
		}
	}
	return list
}

// addFreeWorker adds a worker without tasks.
func (b *standbyBench) addFreeWorker() {
	id := jobs.WorkerID(fmt.Sprintf("w%d", len(b.ids)))
	b.ids, b.runs, b.ended = append(b.ids, id), append(b.runs, nil), append(b.ended, nil)
	list := b.Workers()
	added := list[0]
	added.ID, added.Address = id, string(id)
	b.SetWorkers(append(list, added), b.now)
}

// addOtherCell adds a free worker of the same pool to the other cells.
func (b *standbyBench) addOtherCell() {
	use := jobs.UseOfPools{testPool: {Present: b.sortedWorkers[0].info.Capacity}}
	use.Add(b.otherCells)
	b.SetOtherCells(use)
}
