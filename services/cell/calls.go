// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"rillsail.example/rillsail/models"
)

// handleForward handles an operator's call. Submissions and cancellations are answered once they are
// journalled, or immediately while the store can't be written. All other calls are answered
// immediately.
func (o *Owner) handleForward(m forwardMessage) {
	switch {
	case o.frozen || o.superseded:
		m.reply <- o.refuseCall(m.call)
	case !m.call.HasChanges():
		m.reply <- forwardReply{answer: o.query(m.call)}
	case o.storeFails.Load():
		m.reply <- o.changeReply(m.call, ErrStoreUnavailable)
	default:
		o.stage(m)
	}
}

// refuseCall answers a call that this owner can no longer execute.
func (o *Owner) refuseCall(call models.ForwardCall) forwardReply {
	if !call.HasChanges() {
		return forwardReply{err: ErrNotOwner}
	}
	return o.changeReply(call, ErrNotOwner)
}

// stage adds a call, with those of its submitted jobs that are new, to the next append.
func (o *Owner) stage(m forwardMessage) {
	s := staged{call: m.call, reply: m.reply}
	now := models.UnixMilliOf(time.Now())
	for _, spec := range m.call.Submit {
		if !o.knownJob(spec.ID) {
			s.jobs = append(s.jobs, models.Job{JobSpec: spec, State: models.JobActive, SubmittedAt: now})
		}
	}
	o.staged = append(o.staged, s)
}

func (o *Owner) knownJob(id models.JobID) bool {
	_, ok := o.working.Jobs[id]
	return ok || slices.ContainsFunc(o.staged, func(s staged) bool { return s.submits(id) })
}

// query answers calls that change nothing.
func (o *Owner) query(call models.ForwardCall) models.ForwardAnswer {
	var answer models.ForwardAnswer
	if call.ListJobs {
		answer.Jobs = slices.SortedFunc(maps.Values(o.working.Jobs), func(a, b models.Job) int {
			return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), strings.Compare(string(a.ID), string(b.ID)))
		})
	}
	if call.ListTasks {
		answer.Tasks = slices.SortedFunc(maps.Values(o.working.Tasks), func(a, b models.Task) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	if call.ListWorkers {
		answer.Workers = o.workerStatuses()
	}
	if call.ExplainTask != "" {
		if t, ok := o.working.Tasks[call.ExplainTask]; ok {
			answer.Tasks = []models.Task{t}
		}
		answer.Decisions = o.decisions.of(call.ExplainTask)
	}
	return answer
}

func (o *Owner) workerStatuses() []models.WorkerStatus {
	var statuses []models.WorkerStatus
	for _, w := range o.workers() {
		l := o.links[w.VM.ID]
		status := models.WorkerStatus{
			VM: w.VM.ID, Cell: o.config.Cell, Rack: w.VM.Rack, Capacity: w.VM.Capacity,
			Committed: w.VM.Capacity.Sub(w.Free), Tasks: len(w.Tasks), Incarnation: l.incarnation, State: "live",
		}
		for _, r := range l.report.Attempts {
			if r.Status == models.StatusRunning {
				status.Usage = status.Usage.Add(r.Usage)
			}
		}
		if !w.Usable {
			status.State = w.UnusableReason
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Dump is the complete state of an owner.
type Dump struct {
	Cell             models.CellID                         `json:"cell"`
	Epoch            models.Epoch                          `json:"epoch"`
	Sequence         models.Sequence                       `json:"sequence"`
	State            models.CellState                      `json:"state"`
	Workers          []models.WorkerStatus                 `json:"workers"`
	Waiting          int                                   `json:"waiting"`
	Unsettled        bool                                  `json:"unsettled"`
	StoreFails       bool                                  `json:"store_fails"`
	Counts           Counts                                `json:"counts"`
	Holds            map[models.VMID]models.TaskID         `json:"holds"`
	Throttles        map[models.VMID]map[models.TaskID]int `json:"throttles"`
	OfferedResources map[models.CellID]models.Resources    `json:"promised"`
	Decisions        []models.Decision                     `json:"decisions"`
}

func (o *Owner) dump() Dump {
	d := Dump{
		Cell: o.config.Cell, Epoch: o.config.Epoch, Sequence: o.sequence, State: o.working.Clone(),
		Workers: o.workerStatuses(), Waiting: o.countWaiting(), Unsettled: o.unsettled, StoreFails: o.storeFails.Load(),
		Counts: o.counts, Holds: map[models.VMID]models.TaskID{}, Throttles: map[models.VMID]map[models.TaskID]int{},
		OfferedResources: maps.Clone(o.offeredResources), Decisions: o.decisions.all(),
	}
	for vm, h := range o.holds {
		d.Holds[vm] = h.task
	}
	for vm, l := range o.links {
		if len(l.shares) > 0 {
			d.Throttles[vm] = maps.Clone(l.shares)
		}
	}
	return d
}

// countWaiting counts the tasks that wait to be placed.
func (o *Owner) countWaiting() int {
	n := 0
	for _, t := range o.working.Tasks {
		if t.State == models.TaskQueued {
			n++
		}
	}
	for _, job := range o.working.Jobs {
		n += job.Tasks - job.NextIndex
	}
	return n
}

// publish updates the state of the cell that is sent to the other daemons with the next heartbeat.
func (o *Owner) publish() {
	if time.Since(o.publishedAt) < o.config.Settings.Tick/2 {
		return
	}
	o.publishedAt = time.Now()
	beat := models.CellBeat{Epoch: o.config.Epoch, Teams: o.localUsage(), Waiting: o.countWaiting()}
	for _, w := range o.workers() {
		if !w.Usable {
			continue
		}
		beat.Free = beat.Free.Add(w.Free)
		if w.Free.CPU > beat.LargestFree.CPU {
			beat.LargestFree = w.Free
		}
	}
	o.beat.Store(&beat)
}
