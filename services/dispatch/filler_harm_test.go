// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// A filler harm simulation is a core whose workers each have a serving task, and many jobs of filler tasks that raise its tail
// latency, of which none may run by the loads.
const (
	harmWorkers  = 4
	harmJobs     = 40
	harmTasks    = 4 // of each of these
	harmTime     = 30 * time.Second
	harmAllowed  = 4 * time.Second // for which a serving task may be over its target for the filler tasks beside it
	harmSpan     = 500 * time.Millisecond
	harmPaceTime = 100 * time.Millisecond // from the order of a pace until it is in force
)

type harmRun struct {
	row    jobs.Run
	filler bool
	cpu    models.MilliCPU // that it declares
	pace   jobs.Percent
	next   jobs.Percent
	nextAt time.Time
	done   time.Duration // of its work at full pace
}

type harmWorker struct {
	runs      []*harmRun
	unused    models.MilliCPU // shared by the filler tasks; 0: enough for all
	ended     []jobs.Ended
	ends      uint64
	tails     []float64 // of the last harmSpan
	overSince time.Time
	longest   time.Duration
	starts    int
}

// speed returns the part of its pace that each filler task gets of the CPU.
func (w *harmWorker) speed() float64 {
	wanted := 0.0
	for _, r := range w.runs {
		if r.filler {
			wanted += fillerUse * float64(r.cpu) * float64(r.pace) / float64(jobs.FullSpeed)
		}
	}
	if w.unused == 0 || wanted <= float64(w.unused) {
		return 1
	}
	return float64(w.unused) / wanted
}

// tail returns the tail latency now: that of the idle worker and what each filler task adds at its pace.
func (w *harmWorker) tail(idle, adds float64) (tail float64, working bool) {
	tail = idle
	speed := w.speed()
	for _, r := range w.runs {
		if r.filler && r.pace > 0 {
			tail += adds * speed * float64(r.pace) / float64(jobs.FullSpeed)
			working = true
		}
	}
	return tail, working
}

// pass applies paces and measures for how long the serving task is over its target beside filler tasks at work.
func (w *harmWorker) pass(idle, adds float64, work time.Duration, now time.Time) {
	for _, r := range w.runs {
		if !r.nextAt.IsZero() && !now.Before(r.nextAt) {
			r.pace, r.nextAt = r.next, time.Time{}
		}
	}
	w.endRuns(work)
	tail, working := w.tail(idle, adds)
	w.tails = append(w.tails, tail)
	if n := int(harmSpan / simulationStep); len(w.tails) > n {
		w.tails = w.tails[len(w.tails)-n:]
	}
	if tail <= float64(servingStep.Target) || !working {
		w.overSince = time.Time{}
		return
	}
	if w.overSince.IsZero() {
		w.overSince = now
	}
	w.longest = max(w.longest, now.Sub(w.overSince))
}

// endRuns ends the filler tasks whose work is done.
func (w *harmWorker) endRuns(work time.Duration) {
	speed := w.speed()
	w.runs = slices.DeleteFunc(w.runs, func(r *harmRun) bool {
		r.done += time.Duration(speed * float64(simulationStep) * float64(r.pace) / float64(jobs.FullSpeed))
		if !r.filler || r.done < work {
			return false
		}
		w.end(r, jobs.EndSucceeded)
		return true
	})
}

// end lists the end of a run.
func (w *harmWorker) end(r *harmRun, how jobs.End) {
	w.ends++
	w.ended = append(w.ended, jobs.Ended{Number: w.ends, Task: r.row.Task, Run: r.row.Run, How: how})
}

// stop ends the run of a task.
func (w *harmWorker) stop(call jobs.StopCall) {
	w.runs = slices.DeleteFunc(w.runs, func(r *harmRun) bool {
		if r.row.Task != call.Task || r.row.Run != call.Run {
			return false
		}
		w.end(r, jobs.EndStopped)
		return true
	})
}

// rows returns the runs as reported: the highest tail latency of the last half second, and the CPU in use of filler tasks.
func (w *harmWorker) rows() []jobs.Run {
	var rows []jobs.Run
	speed := w.speed()
	for _, r := range w.runs {
		row := r.row
		row.Figure = int(slices.Max(w.tails))
		if r.filler {
			row.Figure = int(fillerUse * speed * float64(r.cpu) * float64(r.pace) / float64(jobs.FullSpeed))
		}
		rows = append(rows, row)
	}
	return rows
}

// fillerHarms are serving tasks and filler tasks that raise their tail latency.
var fillerHarms = map[string]struct {
	idle, adds float64 // tail latencies in milliseconds
	learned    float64 // the factor that is known
	work       time.Duration
}{
	"the harm is known":           {85, 60, 20, time.Minute},
	"the harm is not known":       {85, 60, math.NaN(), time.Minute},
	"each task harms a little":    {90, 12, math.NaN(), time.Minute},
	"the target is nearly met":    {98, 8, math.NaN(), time.Minute},
	"short tasks, not known":      {85, 60, math.NaN(), 600 * time.Millisecond},
	"short tasks, known":          {85, 60, 20, 600 * time.Millisecond},
	"longer tasks, not known":     {85, 60, math.NaN(), 2 * time.Second},
	"little harm, underestimated": {90, 12, 0, 2 * time.Second},
	"the harm is underestimated":  {70, 40, 0, time.Minute},
}

// TestIdleFillerJobsEndNoTargets guards against many jobs of filler tasks that start in turn whatever the loads, and keep serving
// tasks over their targets for longer than callers allow.
func TestIdleFillerJobsEndNoTargets(t *testing.T) {
	for name, c := range fillerHarms {
		t.Run(name, func(t *testing.T) { playFillerHarm(t, c.idle, c.adds, c.learned, c.work, 0) })
	}
}

// TestIdleJobsOfSuspectsEndNoTargets guards against the same with tasks that are suspects.
func TestIdleJobsOfSuspectsEndNoTargets(t *testing.T) {
	for name, c := range fillerHarms {
		t.Run(name, func(t *testing.T) { playFillerHarm(t, c.idle, c.adds, c.learned, c.work, suspectLosses) })
	}
}

// playFillerHarm plays jobs of filler tasks that have lost some runs.
func playFillerHarm(t *testing.T, idle, adds, learned float64, work time.Duration, losses int) {
	t.Helper()
	b := newBench(t, harmWorkers)
	if !math.IsNaN(learned) {
		b.setInterference(fillerStep.Image, learned)
	}
	workers := make([]harmWorker, harmWorkers)
	serving := servingStep
	serving.Count, serving.Size.CPU, serving.PerWorker = harmWorkers, 1000, 1
	record := b.job(serving)
	record.Spec.ID = otherJob
	b.AddJob(record, jobs.Progress{}, true, b.now)
	begin, submitted := b.now, false
	for step := 0; b.now.Sub(begin) < harmTime; step++ {
		b.now = b.now.Add(simulationStep)
		if !submitted && b.now.Sub(begin) > 2*time.Second {
			submitted = true
			for n := range harmJobs {
				step := fillerStep
				step.Count, step.Estimate = harmTasks, models.MilliOf(work)
				record := b.job(step)
				record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", n+0x100))
				b.AddJob(record, progressWithLosses(losses, harmTasks), true, b.now)
			}
		}
		for n := range workers {
			workers[n].pass(idle, adds, work, b.now)
		}
		b.reportHarm(workers, step)
		for _, order := range b.Decide(b.now) {
			b.obeyHarm(workers, order)
		}
		b.Stored(b.TakeChanges(100, b.now), b.now)
	}
	for n := range workers {
		w := &workers[n]
		paces := map[jobs.Percent]int{}
		for _, r := range w.runs {
			paces[r.pace]++
		}
		t.Logf("worker %d: %d filler tasks, %d ended, over the target for %v at most; tasks by pace at the end: %v", n, w.starts, len(w.ended), w.longest, paces)
		require.Less(t, w.longest, harmAllowed)
	}
}

// reportHarm lets the workers report twice a second.
func (b *bench) reportHarm(workers []harmWorker, step int) {
	for n := range workers {
		if (step+n)%int(500*time.Millisecond/simulationStep) == 0 {
			report := jobs.Report{Clock: models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0))), Running: workers[n].rows(), Ended: workers[n].ended}
			b.call(n, report)
			if !b.workers[b.ids[n]].renewed {
				b.call(n, report)
			}
		}
	}
}

// obeyHarm carries out an order.
func (b *bench) obeyHarm(workers []harmWorker, order Order) {
	switch order := order.(type) {
	case StartOrder:
		w := &workers[slices.Index(b.ids, order.Worker.ID)]
		filler := order.Call.Task.Job != otherJob
		w.runs = append(w.runs, &harmRun{
			row: jobs.Run{Task: order.Call.Task, Run: order.Call.Run}, filler: filler, cpu: b.find(order.Call.Task).step.spec.Size.CPU, pace: jobs.FullSpeed,
		})
		if filler {
			w.starts++
		}
		b.Started(order, Result{Outcome: OutcomeDone}, b.now)
	case PaceOrder:
		for _, r := range workers[slices.Index(b.ids, order.Worker.ID)].runs {
			if r.row.Task == order.Call.Task {
				r.next, r.nextAt = order.Call.Pace, b.now.Add(harmPaceTime)
			}
		}
		b.Paced(order, Result{Outcome: OutcomeDone}, b.now)
	case StopOrder:
		workers[slices.Index(b.ids, order.Worker.ID)].stop(order.Call)
		b.Stopped(order, Result{Outcome: OutcomeDone}, b.now)
	}
}
