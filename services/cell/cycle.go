// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"maps"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/place"
)

// cycle runs the stages of the package comment once. The loop calls it after messages, ticks and
// wake-ups.
func (o *Owner) cycle(ctx context.Context) {
	if o.frozen {
		return
	}
	o.observe(ctx)            // apply worker losses, VM list changes and cancellations
	o.drainWorkers()          // evict from VMs that leave or are drained
	o.reconcileServices()     // create and retire replicas
	o.probeStore()            // check whether the store can be written again
	if !o.storeFails.Load() { // nothing new starts while the store can't be written
		for _, c := range o.admit() { // the next tasks in order, within quotas
			o.placeOne(c)
		}
	}
	o.prune()
	o.commit(ctx) // journal the changes first
	o.act()       // act only on journalled records
	o.sendPeerCalls(ctx)
	o.pruneInFlight(time.Now())
	o.publish()
}

// placeOne places one candidate on a worker of this cell, offers it to another cell, or preempts
// batch tasks for it.
func (o *Owner) placeOne(c candidate) {
	if c.virtual && c.task.Index != o.working.Jobs[c.task.Job].NextIndex {
		return // an earlier task of the job found no place in this cycle
	}
	workers := o.workers()
	choice := place.Choose(o.request(c.task, workers))
	if choice.Found {
		o.start(c, choice)
		return
	}
	if cell, ok := o.chooseCell(c.task); ok {
		o.offerTo(c, cell)
		return
	}
	if c.task.Kind == models.TaskService || c.task.Urgent {
		if o.preempt(c.task, workers) {
			return
		}
	}
	if choice.NeverFits && !o.anyWorkerCouldHold(c.task) {
		choice.Reason = "no worker of any cell could hold it even if empty"
	}
	o.recordDecision(c.task.ID, "waits", "", choice.Reason)
	o.skip(c)
}

func (o *Owner) request(t models.Task, workers []place.Worker) place.Request {
	if _, pairs := o.policy.(place.PairPrediction); pairs && t.Kind == models.TaskBatch {
		for i := range workers {
			workers[i].TryingUnknownPair = o.hasUnknownPair(workers[i])
		}
	}
	return place.Request{
		Task: t, Workers: workers, Rules: o.config.View().Rules, Selectors: o.selectors,
		Policy: o.policy, Predict: o.config.Learner,
	}
}

// start places a candidate on a worker of this cell.
func (o *Owner) start(c candidate, choice place.Choice) {
	o.materialise(c)
	l := o.links[choice.Worker]
	if o.step(c.task.ID, models.EventPlace{Worker: choice.Worker, Incarnation: l.incarnation}) {
		o.recordDecision(c.task.ID, "placed", choice.Worker, choice.Reason)
	}
	if held, ok := o.holds[choice.Worker]; ok && held.task == c.task.ID {
		delete(o.holds, choice.Worker)
	}
}

// materialise creates the record of a virtual candidate and advances its job to the next task.
func (o *Owner) materialise(c candidate) {
	if !c.virtual {
		return
	}
	job := o.working.Jobs[c.task.Job]
	job.NextIndex++
	o.putJob(job)
	o.putTask(c.task)
}

// workers returns the cell's workers, ordered by VM id, in the form that placement takes.
func (o *Owner) workers() []place.Worker {
	now := time.Now()
	view := o.config.View()
	workers := make([]place.Worker, 0, len(o.links))
	index := make(map[models.VMID]int, len(o.links))
	for _, id := range o.sortedLinks() {
		l := o.links[id]
		w := place.Worker{VM: l.vm, Free: l.vm.Capacity, ServiceOverTarget: o.overTarget(l)}
		w.UnusableReason = o.unusableReason(l, view.Drained(id), now)
		w.Usable = w.UnusableReason == ""
		if h, ok := o.holds[id]; ok && now.Before(h.until) {
			w.ReservedFor = h.task
		}
		index[id] = len(workers)
		workers = append(workers, w)
	}
	for _, t := range o.working.Tasks {
		if i, ok := index[t.Worker]; ok && t.HoldsCapacity() {
			workers[i].Free = workers[i].Free.Sub(t.Size)
			workers[i].Tasks = append(workers[i].Tasks, t)
		}
	}
	return workers
}

// unusableReason tells why no new task may start on a worker; empty when tasks may start.
func (o *Owner) unusableReason(l *link, drained bool, now time.Time) string {
	listed, _ := o.config.Inventory.Listed(l.vm.ID)
	switch {
	case !listed:
		return "VM is gone"
	case l.vm.State == models.VMLeaving:
		return "VM is leaving"
	case drained:
		return "VM is drained"
	case o.isSilent(l, now):
		return "worker is silent"
	case l.incarnation == "":
		return "worker has not answered yet"
	case l.failures.quarantined(now):
		return "worker is quarantined: it failed many different tasks"
	default:
		return ""
	}
}

// probeStore queues an empty append after a failure when nothing else is to be written, so that the
// owner notices that the store can be written again.
func (o *Owner) probeStore() {
	if o.storeFails.Load() && !o.appending && o.dirty.empty() {
		o.dirty.generations[probeKey] = true
	}
}

// prune removes expired holds and skips, and the oldest ended jobs beyond the configured number.
func (o *Owner) prune() {
	now := time.Now()
	maps.DeleteFunc(o.holds, func(_ models.VMID, h hold) bool { return now.After(h.until) })
	maps.DeleteFunc(o.skippedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	o.pruneJobs()
}

func (o *Owner) pruneJobs() {
	for {
		var oldest models.Job
		ended := 0
		for _, job := range o.working.Jobs {
			if job.EndedAt == 0 {
				continue
			}
			ended++
			if oldest.EndedAt == 0 || job.EndedAt < oldest.EndedAt || job.EndedAt == oldest.EndedAt && job.ID < oldest.ID {
				oldest = job
			}
		}
		if ended <= o.config.Settings.KeepJobs {
			return
		}
		delete(o.working.Jobs, oldest.ID)
		o.dirty.dropJob(oldest.ID)
	}
}
