// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// The shape of a cell with many waiting filler tasks: workers with serving tasks, and filler tasks beside them up to what the loads allow.
const (
	costServing   = 4 // on each worker
	costTasks     = 13
	costImages    = 9 // of filler tasks
	costRuntime   = 1700 * time.Millisecond
	costStep      = 25 * time.Millisecond // between two decisions: more than scanBackoff, so that each decision looks at all steps
	costSettles   = 200                   // decisions until the cell has settled
	costDecisions = 100                   // that are measured
	costReports   = 20                    // decisions between two reports of a worker
)

// costWorker is what a simulated worker runs.
type costWorker struct {
	running []jobs.Run
	began   []time.Time
	ended   []jobs.Ended
	lastEnd uint64
}

// costBench is a cell with many waiting filler tasks.
type costBench struct {
	*bench
	simulated []costWorker
	places    map[jobs.WorkerID]int
	random    *rand.Rand
	decisions int
	silent    int // the worker that does not report; -1: all do
}

// newCostBench returns a cell with serving tasks on each worker, and filler tasks of which perWorker may be on each worker; 0: any number.
func newCostBench(t testing.TB, workers, fillerJobs, perWorker int, seed uint64) *costBench {
	t.Helper()
	b := &costBench{bench: newBench(t, workers), simulated: make([]costWorker, workers), places: map[jobs.WorkerID]int{}, silent: -1, random: rand.New(rand.NewPCG(seed, seed))}
	for n, id := range b.ids {
		b.places[id] = n
		b.workers[id].info.Capacity = models.Resources{CPU: 74_000, Memory: 400_000}
	}
	b.learnFactors()
	for n := range costServing {
		step := servingStep
		step.Count, step.PerWorker, step.Size = workers, 1, models.Resources{CPU: 7000, Memory: 10_000}
		step.Image = jobs.ImageName(fmt.Sprintf("serving-%d", n))
		b.add(n, "serving", step)
	}
	for range costReports {
		b.decide()
	}
	for n := range fillerJobs {
		first := fillerStep
		first.Count, first.PerWorker, first.Image = costTasks, perWorker, jobs.ImageName(fmt.Sprintf("filling-%d", n%costImages))
		first.Size = models.Resources{CPU: models.MilliCPU(3000 + b.random.IntN(110)*100), Memory: models.MiB(5000 + b.random.IntN(16_000))}
		first.Estimate = models.Milli(800 + b.random.IntN(1800))
		second := first
		second.Count, second.After = 4, []int{0}
		b.add(0x1000+n, jobs.QueueName(fmt.Sprintf("pool-%d", n%2)), first, second)
	}
	return b
}

// learnFactors makes the core certain of the interference factors: one filler image in four harms each serving image much.
func (b *costBench) learnFactors() {
	learned := jobs.LearnedParameters{}
	for n := range costImages {
		learned.FillerImages = append(learned.FillerImages, jobs.ImageName(fmt.Sprintf("filling-%d", n)))
	}
	for n := range costServing {
		factors := jobs.ImageParameters{
			Serving: jobs.ImageName(fmt.Sprintf("serving-%d", n)), IdleTail: 0.2, TargetRatioSum: 1000, ObservedSeconds: 1000 * 0.2 / 0.55,
			Covariance: make([]float64, costImages*costImages),
		}
		for i := range costImages {
			factor := 0.1
			if (i+n)%costServing == 0 {
				factor = 1.2
			}
			factors.Mean = append(factors.Mean, factor)
		}
		learned.Factors = append(learned.Factors, factors)
	}
	b.Core.model.Restore(learned, 0)
}

func (b *costBench) add(number int, queue jobs.QueueName, steps ...jobs.Step) {
	record := b.job(steps...)
	record.Spec.ID, record.Spec.Queue = jobs.ID(fmt.Sprintf("%016x", number)), queue
	b.AddJob(record, jobs.Progress{}, true, b.now)
}

// decide lets the time of one decision pass, carries its orders out, and returns them with the time and the memory that the decision took.
func (b *costBench) decide() (orders []Order, cost decisionCost) {
	b.now = b.now.Add(costStep)
	b.decisions++
	for n := range b.simulated {
		if (b.decisions+n)%costReports == 0 && n != b.silent {
			b.reportRuns(n)
		}
	}
	var memory, memoryAfter runtime.MemStats
	runtime.ReadMemStats(&memory)
	began := processorTime()
	orders = b.Decide(b.now)
	cost.processor = processorTime() - began
	runtime.ReadMemStats(&memoryAfter)
	cost.bytes = memoryAfter.TotalAlloc - memory.TotalAlloc
	slices.SortStableFunc(orders, compareStops)
	for _, order := range orders {
		b.obeyOrder(order)
	}
	b.Stored(b.TakeChanges(1000, b.now), b.now)
	return orders, cost
}

// compareStops sorts stops, which are ordered in any order, behind other orders.
func compareStops(a, b Order) int {
	first, isStop := a.(StopOrder)
	second, areStops := b.(StopOrder)
	switch {
	case isStop && areStops:
		return strings.Compare(first.Call.Task.String(), second.Call.Task.String())
	case isStop:
		return 1
	case areStops:
		return -1
	default:
		return 0
	}
}

// decisionCost is what a decision has used: processor time of the whole process, which does not depend on what else runs on the machine.
type decisionCost struct {
	processor time.Duration
	bytes     uint64
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportRuns lets a worker end the filler tasks whose time is over, and report.
func (b *costBench) reportRuns(n int) {
	w := &b.simulated[n]
	for i := len(w.running) - 1; i >= 0; i-- {
		run := w.running[i]
		if b.jobs[run.Task.Job].spec.Queue == "serving" || b.now.Sub(w.began[i]) < costRuntime {
			continue
		}
		b.endRun(w, i, jobs.EndSucceeded)
	}
	report := jobs.Report{Clock: models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0))), Running: w.running, Ended: w.ended}
	b.call(n, report)
	w.ended = nil
}

// obeyOrder carries an order out.
func (b *costBench) obeyOrder(order Order) {
	switch order := order.(type) {
	case StartOrder:
		w := &b.simulated[b.places[order.Worker.ID]]
		task := b.find(order.Call.Task)
		figure := int(fillerUse * float64(task.step.spec.Size.CPU))
		if task.step.spec.LongRunning {
			figure = 60 + b.random.IntN(20)
		}
		w.running, w.began = append(w.running, jobs.Run{Task: order.Call.Task, Run: order.Call.Run, Figure: figure}), append(w.began, b.now)
		b.Started(order, Result{Outcome: OutcomeDone}, b.now)
	case PaceOrder:
		b.Paced(order, Result{Outcome: OutcomeDone}, b.now)
	case StopOrder:
		b.stopRun(order)
		b.Stopped(order, Result{Outcome: OutcomeDone}, b.now)
	}
}

// stopRun ends the run that a worker is to stop.
func (b *costBench) stopRun(order StopOrder) {
	w := &b.simulated[b.places[order.Worker.ID]]
	i := slices.IndexFunc(w.running, func(r jobs.Run) bool { return r.Task == order.Call.Task })
	if i >= 0 {
		b.endRun(w, i, jobs.EndStopped)
	}
}

// endRun ends a run of a worker.
func (b *costBench) endRun(w *costWorker, i int, how jobs.End) {
	w.lastEnd++
	w.ended = append(w.ended, jobs.Ended{Number: w.lastEnd, Task: w.running[i].Task, Run: w.running[i].Run, How: how})
	w.running, w.began = slices.Delete(w.running, i, i+1), slices.Delete(w.began, i, i+1)
}

// BenchmarkFillerCost measures the time and the memory of one decision beside many waiting filler tasks.
func BenchmarkFillerCost(b *testing.B) {
	for _, workers := range []int{48, 124} {
		for _, fillerJobs := range []int{100, 1000, 2000} {
			b.Run(fmt.Sprintf("%d workers %d jobs", workers, fillerJobs), func(b *testing.B) { benchmarkFillerCost(b, workers, fillerJobs) })
		}
	}
}

func benchmarkFillerCost(b *testing.B, workers, fillerJobs int) {
	for b.Loop() {
		cell := newCostBench(b, workers, fillerJobs, 0, 7)
		for range costSettles {
			cell.decide()
		}
		var times []time.Duration
		var sum decisionCost
		orders := 0
		for range costDecisions {
			ordered, cost := cell.decide()
			orders += len(ordered)
			times = append(times, cost.processor)
			sum.processor, sum.bytes = sum.processor+cost.processor, sum.bytes+cost.bytes
		}
		slices.Sort(times)
		waiting, fillers := 0, 0
		for _, s := range cell.waitingSteps {
			waiting += s.waiting
		}
		for _, w := range cell.sortedWorkers {
			fillers += len(w.tasks) - costServing
		}
		b.ReportMetric(float64(sum.processor.Microseconds())/costDecisions, "us/mean")
		b.ReportMetric(float64(times[costDecisions*99/100-1].Microseconds()), "us/99th")
		b.ReportMetric(float64(sum.bytes)/costDecisions/1024, "KiB/decision")
		b.ReportMetric(float64(orders), "orders")
		b.ReportMetric(float64(waiting), "waiting")
		b.ReportMetric(float64(fillers), "fillers")
	}
}
