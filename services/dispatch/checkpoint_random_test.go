// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models/jobs"
)

// TestMain fixes the seed of the random tests, so that CI gives the same verdict each time; "make long" asks for
// other seeds and more runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "300", "rapid.shrinktime": "20s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// checkpointEvents are the events around an owner whose tasks save checkpoints; an event that is listed several
// times is drawn more often.
var checkpointEvents = []string{
	"settle", "settle", "settle", "settle", "settle", "settle", "submit", "submit lasting", "cancel",
	"call", "call", "call", "deliver", "deliver", "decide", "decide", "carry", "carry", "carry", "store", "pass", "pass long",
	"save", "save", "save", "save", "save", "save", "succeed", "fail", "stop", "stop", "stop",
	"cut", "heal", "replace", "unlist", "relist", "list twice", "drain", "take over",
	"list an old end", "run that nobody ordered", "end that nobody ordered", "old run on a second worker",
	"move away and back", "answers pass each other",
}

// maxJobs is how many jobs a simulation has at most: so few that their tasks run many times.
const maxJobs = 4

// TestStartsBringTheNewestTextOfTheirTask simulates an owner among workers that save, end, are lost and come back,
// list ends late, again and in any order, and invent runs. Every start that is not a repetition must bring the
// newest checkpoint of the newest run of its own task of which this owner has received a checkpoint, and never a
// checkpoint of a run that was not ordered.
func TestStartsBringTheNewestTextOfTheirTask(t *testing.T) {
	starts, resumed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newCheckpointWorld(rt)
		w.submit(false)
		w.submit(true)
		w.settle()
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			w.playEvent(rapid.SampledFrom(checkpointEvents).Draw(rt, "what"))
		}
		w.settle()
		starts, resumed = starts+w.starts, resumed+w.resumed
	})
	t.Logf("%d starts, %d of them with a checkpoint", starts, resumed)
	require.Greater(t, resumed, starts/10, "hardly any start brings a checkpoint")
}

func (w *checkpointWorld) drawWorker() *checkpointWorker {
	return w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.T, "worker")]
}

func (w *checkpointWorld) drawJob() jobs.ID {
	return jobID(rapid.IntRange(0, w.jobs-1).Draw(w.T, "job"))
}

// drawTask draws a task of the first step of a drawn job.
func (w *checkpointWorld) drawTask() jobs.TaskID {
	return jobs.TaskID{Job: w.drawJob(), Index: rapid.IntRange(0, 1).Draw(w.T, "index")}
}

// reorderAnswers lets a run end between two answers with the same worker clock, the later of which arrives first.
func (w *checkpointWorld) reorderAnswers(worker *checkpointWorker) {
	before := len(w.flights)
	w.call(worker)
	w.changeRun(worker, "stop")
	w.call(worker)
	for len(w.flights) > before {
		w.deliver(len(w.flights) - 1)
	}
}

// playEvent carries out one event.
func (w *checkpointWorld) playEvent(what string) {
	switch what {
	case "settle":
		w.settle()
	case "submit", "submit lasting":
		if w.jobs < maxJobs {
			w.submit(what == "submit lasting")
		}
	case "cancel":
		w.core.Cancel(w.drawJob())
	case "call":
		w.call(w.drawWorker())
	case "deliver":
		if len(w.flights) > 0 {
			w.deliver(rapid.IntRange(0, len(w.flights)-1).Draw(w.T, "flight"))
		}
	case "decide":
		w.decide()
	case "carry":
		if len(w.orders) > 0 {
			w.resolveOrder(rapid.IntRange(0, len(w.orders)-1).Draw(w.T, "order"), rapid.SampledFrom(orderOutcomes).Draw(w.T, "fate"))
		}
	case "store":
		w.store()
	case "pass":
		w.advance(time.Duration(rapid.IntRange(0, 500).Draw(w.T, "ms")) * time.Millisecond)
	case "pass long":
		w.advance(3 * time.Second)
	case "take over":
		w.takeOver()
	case "move away and back":
		task := w.drawTask()
		w.endRunOf(task)
		w.moveAwayAndBack(task)
	default:
		w.playWorkerEvent(w.drawWorker(), what)
	}
}

// playWorkerEvent carries out one event at a worker.
func (w *checkpointWorld) playWorkerEvent(worker *checkpointWorker, what string) {
	switch what {
	case "save", "succeed", "fail", "stop":
		w.changeRun(worker, what)
	case "answers pass each other":
		w.reorderAnswers(worker)
	case "cut":
		worker.cut = true
	case "heal":
		worker.cut = false
	case "replace":
		w.replace(worker)
	case "unlist", "relist":
		worker.listed = what == "relist"
		w.list()
	case "list twice":
		w.workers = append(w.workers, worker)
		w.list()
		w.workers = w.workers[:len(w.workers)-1]
	case "drain":
		worker.info.Draining, worker.info.Remaining = true, 3*time.Second
		w.list()
	default:
		w.reportUnaccountedRun(worker, w.drawTask(), what)
	}
}

// changeRun lets a run on a worker save a checkpoint or end.
func (w *checkpointWorld) changeRun(worker *checkpointWorker, what string) {
	runs := worker.runs()
	if len(runs) == 0 {
		return
	}
	run := rapid.SampledFrom(runs).Draw(w.T, "run")
	if what != "succeed" {
		w.save(run)
	}
	if how, ends := map[string]jobs.End{"succeed": jobs.EndSucceeded, "fail": jobs.EndFailed, "stop": jobs.EndStopped}[what]; ends {
		worker.end(run, how)
	}
}

// replace puts another incarnation in the place of a worker.
func (w *checkpointWorld) replace(worker *checkpointWorker) {
	if worker.replaced || len(w.workers) > 2*checkpointWorkers {
		return
	}
	worker.replaced, worker.listed = true, rapid.Bool().Draw(w.T, "its entry stays")
	id := jobs.WorkerID(fmt.Sprint("w", len(w.workers)))
	w.workers = append(w.workers, newCheckpointWorker(id, worker.info.Address, w.now))
	w.list()
}

// reportUnaccountedRun lets a worker report a run that no order of this cell explains: an older run of the task that has
// ended or runs there, or a run that was not ordered. Older runs must have run ids that no invented run has raised: of
// raised ids the owner accepts only that of the run that it ordered itself, at the worker where it ordered the run.
func (w *checkpointWorld) reportUnaccountedRun(worker *checkpointWorker, task jobs.TaskID, what string) {
	if len(w.runs[task]) == 0 || worker.replaced || worker.running[task] != nil {
		return
	}
	run := &checkpointRun{task: task, run: rapid.SampledFrom(w.runs[task]).Draw(w.T, "older run")}
	if what == "run that nobody ordered" || what == "end that nobody ordered" {
		run.run = w.inventRun(task)
	} else if run.run >= w.minInventedRun(task) {
		return
	}
	w.save(run)
	if what == "list an old end" || what == "end that nobody ordered" {
		worker.listEnd(run, rapid.SampledFrom([]jobs.End{jobs.EndStopped, jobs.EndLapsed, jobs.EndFailed}).Draw(w.T, "how"))
		return
	}
	worker.running[task] = run
}

// endRunOf lets the run of a task end, and its owner learn of it, so that the task waits.
func (w *checkpointWorld) endRunOf(task jobs.TaskID) {
	for _, worker := range w.workers {
		if run := worker.running[task]; run != nil {
			w.save(run)
			worker.end(run, jobs.EndStopped)
			before := len(w.flights)
			w.call(worker)
			for len(w.flights) > before {
				w.deliver(before)
			}
		}
	}
}

// moveAwayAndBack hands a task to another cell and takes it back, with runs there in between. Run ids that an invented
// run has raised are not handed over, because they would count as ordered then.
func (w *checkpointWorld) moveAwayAndBack(task jobs.TaskID) {
	record := w.records[task.Job]
	if !record.Spec.Divisible() || record.Ended != "" {
		return
	}
	t := w.core.find(task)
	if t == nil || t.run >= w.minInventedRun(task) {
		return
	}
	move := Move{Job: task.Job, Tasks: jobs.TaskSet{task.Step: {task.Index}}}
	if !w.core.BeginMove(move) {
		return
	}
	w.version++
	w.core.Moved(move, w.version)
	w.version++
	there := t.run + rapid.SampledFrom([]jobs.RunID{3, 100 * runsPerEpoch}).Draw(w.T, "run there")
	w.highestElsewhere[task.Job] = max(w.highestElsewhere[task.Job], there)
	record.Version, record.Rewritten, record.HighestRun = w.version, true, w.highestElsewhere[task.Job]
	w.records[task.Job] = record
	w.core.AddJob(record, jobs.Progress{}, false, w.now)
}
