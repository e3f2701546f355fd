// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// checkpointRun is a run on a checkpointWorker with its latest checkpoint; empty: none.
type checkpointRun struct {
	task jobs.TaskID
	run  jobs.RunID
	text jobs.Text
}

// checkpointWorker is a worker whose runs save checkpoints. It obeys orders as docs/design/platform.md specifies:
// only of the newest epoch that it has seen, no run that is not above one that has ended or was stopped here, no
// start later than its lease, and no run outlives the lease.
type checkpointWorker struct {
	info     jobs.Worker
	began    time.Time
	until    time.Time // end of its lease
	fence    jobs.Fence
	running  map[jobs.TaskID]*checkpointRun
	barred   map[jobs.TaskID]jobs.RunID // the highest that was stopped or has ended
	ends     []jobs.Ended
	lastEnd  uint64
	cut      bool // no call reaches it
	replaced bool // another incarnation is at its address
	listed   bool
}

func newCheckpointWorker(id jobs.WorkerID, address string, now time.Time) *checkpointWorker {
	return &checkpointWorker{
		info:  jobs.Worker{ID: id, Pool: testPool, Address: address, Capacity: models.Resources{CPU: 4000, Memory: 8000}},
		began: now, listed: true, running: map[jobs.TaskID]*checkpointRun{}, barred: map[jobs.TaskID]jobs.RunID{},
	}
}

func (w *checkpointWorker) clock(now time.Time) models.Milli { return models.MilliOf(now.Sub(w.began)) }

// renewLease sets the end of the lease, given on the worker's own clock.
func (w *checkpointWorker) renewLease(until models.Milli) {
	if at := w.began.Add(until.Duration()); at.After(w.until) {
		w.until = at
	}
}

// lapse ends all runs once the lease is over.
func (w *checkpointWorker) lapse(now time.Time) {
	if now.Before(w.until) {
		return
	}
	for _, run := range w.runs() {
		w.end(run, jobs.EndLapsed)
	}
}

// runs returns the worker's runs in the order of their tasks.
func (w *checkpointWorker) runs() []*checkpointRun {
	return slices.SortedFunc(maps.Values(w.running), func(a, b *checkpointRun) int {
		return strings.Compare(a.task.String(), b.task.String())
	})
}

// end ends a run with its latest checkpoint.
func (w *checkpointWorker) end(run *checkpointRun, how jobs.End) {
	delete(w.running, run.task)
	w.listEnd(run, how)
}

func (w *checkpointWorker) listEnd(run *checkpointRun, how jobs.End) {
	w.barred[run.task] = max(w.barred[run.task], run.run)
	w.lastEnd++
	w.ends = append(w.ends, jobs.Ended{Number: w.lastEnd, Task: run.task, Run: run.run, How: how, Checkpoint: run.text})
}

// report returns the worker's present report.
func (w *checkpointWorker) report(now time.Time) jobs.Report {
	report := jobs.Report{Clock: w.clock(now), Born: w.info.Born, Ended: append([]jobs.Ended(nil), w.ends...)}
	for _, run := range w.runs() {
		report.Running = append(report.Running, jobs.Run{Task: run.task, Run: run.run, Checkpoint: run.text, Figure: 1000})
	}
	return report
}

// forget drops the ends that are acknowledged.
func (w *checkpointWorker) forget(acknowledged uint64) {
	for len(w.ends) > 0 && w.ends[0].Number <= acknowledged {
		w.ends = w.ends[1:]
	}
}

// start obeys a start.
func (w *checkpointWorker) start(call jobs.StartCall, now time.Time) Result {
	if call.Fence < w.fence {
		return Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedFence}
	}
	w.fence = call.Fence
	if call.Until < w.clock(now) {
		return Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedLate}
	}
	w.renewLease(call.Until)
	if there := w.running[call.Task]; there != nil && there.run == call.Run {
		return Result{Outcome: OutcomeDone}
	}
	if w.running[call.Task] != nil || w.barred[call.Task] >= call.Run {
		return Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedStaleRun}
	}
	w.running[call.Task] = &checkpointRun{task: call.Task, run: call.Run, text: call.Checkpoint}
	return Result{Outcome: OutcomeDone}
}

// stop obeys a stop, and returns the run that it stops, which has not ended yet; nil: it bars one.
func (w *checkpointWorker) stop(call jobs.StopCall) (*checkpointRun, Result) {
	if call.Fence < w.fence {
		return nil, Result{Outcome: OutcomeRefused, Refusal: jobs.RefusedFence}
	}
	w.fence = call.Fence
	w.barred[call.Task] = max(w.barred[call.Task], call.Run)
	if run := w.running[call.Task]; run != nil && run.run == call.Run {
		return run, Result{Outcome: OutcomeDone}
	}
	return nil, Result{Outcome: OutcomeDone}
}
