// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// flight is a report in transit to the owner.
type flight struct {
	worker *checkpointWorker
	sent   time.Time
	report jobs.Report
}

// sentOrder is an order in transit to a worker.
type sentOrder struct {
	order Order
	owner *Core
}

// checkpointWorld is a cell whose tasks save checkpoints, with the store and the workers around its owner, and the
// model of each checkpoint's origin.
type checkpointWorld struct {
	*rapid.T
	core    *Core
	epoch   jobs.Epoch
	now     time.Time
	workers []*checkpointWorker
	flights []flight
	orders  []sentOrder

	records  map[jobs.ID]jobs.Record
	progress map[jobs.ID]jobs.Progress
	roster   jobs.Roster
	jobs     int
	version  uint64

	checkpointModel
	starts, resumed int
}

const checkpointWorkers = 3

func newCheckpointWorld(rt *rapid.T) *checkpointWorld {
	w := &checkpointWorld{
		T: rt, now: time.Unix(1_000_000, 0), epoch: 5, version: 1,
		records: map[jobs.ID]jobs.Record{}, progress: map[jobs.ID]jobs.Progress{}, checkpointModel: newCheckpointModel(),
	}
	for n := range checkpointWorkers {
		w.workers = append(w.workers, newCheckpointWorker(jobs.WorkerID(fmt.Sprint("w", n)), fmt.Sprint("a", n), w.now))
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by a new one that knows only what is stored.
func (w *checkpointWorld) takeOver() {
	w.epoch++
	w.core = New(Config{
		Epoch: w.epoch, Taken: w.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop(),
	})
	w.flights = nil
	w.startOwner(w.epoch)
	w.core.RestoreRoster(w.roster, w.now)
	for n := range w.jobs {
		id := jobID(n)
		w.core.AddJob(w.records[id], w.progress[id], false, w.now)
	}
	w.list()
	w.store()
}

func jobID(n int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", n+1)) }

// submit submits a job with two tasks that save checkpoints and one that does not, or with two long-running tasks
// that save checkpoints.
func (w *checkpointWorld) submit(lasting bool) {
	size := models.Resources{CPU: 1500, Memory: 10}
	steps := []jobs.Step{
		{Count: 2, Size: size, Estimate: 5000, Checkpoints: true},
		{Count: 1, Size: size, Estimate: 5000, After: []int{0}},
	}
	if lasting {
		steps = []jobs.Step{{Count: 2, Size: size, LongRunning: true, Checkpoints: true}}
	}
	w.submitSteps(steps)
}

// submitSteps submits a job with the given steps.
func (w *checkpointWorld) submitSteps(steps []jobs.Step) {
	record := jobs.Record{
		Spec:  jobs.Spec{ID: jobID(w.jobs), Queue: "q", Steps: steps},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 5, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(w.now), Version: w.version,
	}
	w.jobs++
	w.records[record.Spec.ID] = record
	w.core.AddJob(record, jobs.Progress{}, true, w.now)
}

// list lets the owner read the list of workers.
func (w *checkpointWorld) list() {
	var list []jobs.Worker
	for _, worker := range w.workers {
		if worker.listed {
			list = append(list, worker.info)
		}
	}
	w.core.SetWorkers(list, w.now)
}

// store carries out the owner's writes to the store, if there are any.
func (w *checkpointWorld) store() {
	changes := w.core.TakeChanges(100, w.now)
	if !changes.Empty() {
		w.write(changes)
	}
}

// write stores the changes that the owner has given up for that.
func (w *checkpointWorld) write(changes Changes) {
	for _, change := range changes.Jobs {
		if change.Ended != nil {
			w.records[change.ID] = *change.Ended
			continue
		}
		w.progress[change.ID] = change.Progress
	}
	if changes.Roster != nil {
		w.roster = *changes.Roster
	}
	w.core.Stored(changes, w.now)
}

// advance lets time pass.
func (w *checkpointWorld) advance(span time.Duration) {
	w.now = w.now.Add(span)
	for _, worker := range w.workers {
		worker.lapse(w.now)
	}
}

// call asks a worker for a report, which is then in flight.
func (w *checkpointWorld) call(worker *checkpointWorker) {
	call, known := w.core.LeaseCall(worker.info.ID, 0, w.now)
	switch {
	case !known:
	case worker.replaced:
		w.core.Replaced(worker.info.ID, w.now)
	case worker.cut:
		w.core.Overdue(worker.info.ID, w.now)
	default:
		worker.fence = call.Fence
		worker.forget(call.Acknowledged)
		worker.renewLease(call.Until)
		w.flights = append(w.flights, flight{worker, w.now, worker.report(w.now)})
	}
}

// deliver lets a report arrive.
func (w *checkpointWorld) deliver(n int) {
	f := w.flights[n]
	w.flights = append(w.flights[:n:n], w.flights[n+1:]...)
	before := w.beginReport(w.core, f)
	w.core.Reported(f.worker.info.ID, f.sent, f.report, w.now)
	w.endReport(w.core, f, before)
}

// decide takes the owner's orders and checks the checkpoints that its starts bring.
func (w *checkpointWorld) decide() {
	orders := w.core.Decide(w.now)
	slices.SortStableFunc(orders, func(a, b Order) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }) // the order of stops is arbitrary
	for _, order := range orders {
		if start, ok := order.(StartOrder); ok {
			w.checkStart(w.T, start)
			w.starts++
			if start.Call.Checkpoint != "" {
				w.resumed++
			}
		}
		w.orders = append(w.orders, sentOrder{order, w.core})
	}
}

// orderOutcomes are the possible outcomes of an order.
var orderOutcomes = []string{"done", "done", "done", "answer lost", "order lost", "order late", "not done", "not sent"}

// resolveOrder carries out an order with the given one of orderOutcomes.
func (w *checkpointWorld) resolveOrder(n int, outcome string) {
	sent := w.orders[n]
	w.orders = append(w.orders[:n:n], w.orders[n+1:]...)
	result := Result{Outcome: OutcomeUnknown}
	switch outcome {
	case "done":
		result = w.obey(sent.order)
	case "answer lost":
		w.obey(sent.order)
	case "order late": // the order is carried out after its call has been abandoned
		w.orders = append(w.orders, sentOrder{sent.order, nil})
	case "not done":
		result.Outcome = OutcomeNotDone
	case "not sent":
		result.Outcome = OutcomeNotSent
	}
	if sent.owner != w.core {
		return
	}
	switch order := sent.order.(type) {
	case StartOrder:
		w.core.Started(order, result, w.now)
	case StopOrder:
		w.core.Stopped(order, result, w.now)
	}
}

// obey carries out an order at the worker that it names; another incarnation of that worker carries out nothing.
func (w *checkpointWorld) obey(order Order) Result {
	switch order := order.(type) {
	case StartOrder:
		if worker := w.find(order.Worker.ID); worker != nil {
			if worker.info.Incarnation().Differs(order.Worker.Incarnation()) {
				return Result{Outcome: OutcomeOtherIncarnation, Born: worker.info.Born}
			}
			return worker.start(order.Call, w.now)
		}
	case StopOrder:
		if worker := w.find(order.Worker.ID); worker != nil {
			if worker.info.Incarnation().Differs(order.Worker.Incarnation()) {
				return Result{Outcome: OutcomeOtherIncarnation, Born: worker.info.Born}
			}
			run, result := worker.stop(order.Call)
			if run != nil {
				w.save(run)
				worker.end(run, jobs.EndStopped)
			}
			return result
		}
	}
	return Result{Outcome: OutcomeUnknown}
}

// find returns a worker that can be reached, or nil.
func (w *checkpointWorld) find(id jobs.WorkerID) *checkpointWorker {
	for _, worker := range w.workers {
		if worker.info.ID == id && !worker.cut && !worker.replaced {
			return worker
		}
	}
	return nil
}

// save lets a run save a checkpoint.
func (w *checkpointWorld) save(run *checkpointRun) {
	run.text = w.newCheckpoint(run.task, w.isOrdered(run.task, run.run))
}

// settle lets all reports, orders and writes come through.
func (w *checkpointWorld) settle() {
	for range 2 { // the first answers tell the workers' clocks
		w.advance(100 * time.Millisecond)
		for _, worker := range w.workers {
			w.call(worker)
		}
		for len(w.flights) > 0 {
			w.deliver(0)
		}
		w.store()
	}
	w.decide()
	for len(w.orders) > 0 {
		w.resolveOrder(0, "done")
	}
}
