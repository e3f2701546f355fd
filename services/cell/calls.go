// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// handleForward takes an operator's call. Submissions and cancellations are
// answered once they are journalled; everything else at once.
func (o *Owner) handleForward(m forwardMessage) {
	if o.frozen || o.superseded {
		m.reply <- forwardReply{err: ErrNotOwner}
		return
	}
	switch {
	case len(m.call.Submit) > 0:
		o.submit(m)
	case len(m.call.Cancel) > 0:
		o.cancelJobs(m)
	default:
		m.reply <- forwardReply{answer: o.look(m.call)}
	}
}

// submit stages new jobs. A job that was accepted before is answered with its first
// outcome; one that is being accepted waits for the same append.
func (o *Owner) submit(m forwardMessage) {
	var fresh []models.Job
	for _, spec := range m.call.Submit {
		known, ok := o.knownJob(spec.ID)
		if ok && !reflect.DeepEqual(known.JobSpec, spec) {
			m.reply <- forwardReply{err: errors.Wrapf(ErrOtherSpec, "job %s", spec.ID)}
			return
		}
		if !ok {
			fresh = append(fresh, models.Job{JobSpec: spec, State: models.JobActive, Submitted: models.UnixMilliOf(time.Now())})
		}
	}
	switch {
	case o.storeFails.Load() && len(fresh) > 0:
		m.reply <- forwardReply{err: ErrNoStore}
		return
	case o.unsettled:
		m.reply <- forwardReply{err: ErrMaybe}
		return
	}
	o.stage(staged{jobs: fresh}, m.reply, func() models.ForwardAnswer {
		var answer models.ForwardAnswer
		for _, spec := range m.call.Submit {
			answer.Submitted = append(answer.Submitted, o.working.Jobs[spec.ID])
		}
		return answer
	})
}

func (o *Owner) knownJob(id models.JobID) (models.Job, bool) {
	if job, ok := o.working.Jobs[id]; ok {
		return job, true
	}
	for _, s := range o.staged {
		for _, job := range s.jobs {
			if job.ID == id {
				return job, true
			}
		}
	}
	return models.Job{}, false
}

// cancelJobs stages the cancellation of jobs: one record for each job, however many
// tasks it has.
func (o *Owner) cancelJobs(m forwardMessage) {
	if o.storeFails.Load() {
		m.reply <- forwardReply{err: ErrNoStore}
		return
	}
	o.stage(staged{cancel: m.call.Cancel}, m.reply, func() models.ForwardAnswer {
		var answer models.ForwardAnswer
		for _, id := range m.call.Cancel {
			if job, ok := o.working.Jobs[id]; ok {
				answer.Cancelled = append(answer.Cancelled, job)
			}
		}
		return answer
	})
}

func (o *Owner) stage(s staged, reply chan<- forwardReply, result func() models.ForwardAnswer) {
	s.answer = func(err error) {
		if err != nil {
			reply <- forwardReply{err: err}
			return
		}
		reply <- forwardReply{answer: result()}
	}
	o.staged = append(o.staged, s)
}

// look answers the calls that change nothing.
func (o *Owner) look(call models.ForwardCall) models.ForwardAnswer {
	var answer models.ForwardAnswer
	if call.Jobs {
		answer.Jobs = slices.SortedFunc(maps.Values(o.working.Jobs), func(a, b models.Job) int {
			return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), strings.Compare(string(a.ID), string(b.ID)))
		})
	}
	if call.Tasks {
		answer.Tasks = slices.SortedFunc(maps.Values(o.working.Tasks), func(a, b models.Task) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	if call.Worker {
		answer.Workers = o.workerStatus()
	}
	if call.Task != "" {
		if t, ok := o.working.Tasks[call.Task]; ok {
			answer.Tasks = []models.Task{t}
		}
		answer.Decisions = o.decisions.of(call.Task)
	}
	return answer
}

func (o *Owner) workerStatus() []models.WorkerStatus {
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
			status.State = w.Why
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Dump is an owner's whole state.
type Dump struct {
	Cell       models.CellID                         `json:"cell"`
	Epoch      models.Epoch                          `json:"epoch"`
	Sequence   models.Sequence                       `json:"sequence"`
	State      models.CellState                      `json:"state"`
	Workers    []models.WorkerStatus                 `json:"workers"`
	Waiting    int                                   `json:"waiting"`
	Unsettled  bool                                  `json:"unsettled"`
	StoreFails bool                                  `json:"store_fails"`
	Counts     Counts                                `json:"counts"`
	Holds      map[models.VMID]models.TaskID         `json:"holds"`
	Throttles  map[models.VMID]map[models.TaskID]int `json:"throttles"`
	Promised   map[models.CellID]models.Resources    `json:"promised"`
	Decisions  []models.Decision                     `json:"decisions"`
}

func (o *Owner) dump() Dump {
	d := Dump{
		Cell: o.config.Cell, Epoch: o.config.Epoch, Sequence: o.sequence, State: o.working.Clone(),
		Workers: o.workerStatus(), Waiting: o.waiting(), Unsettled: o.unsettled, StoreFails: o.storeFails.Load(),
		Counts: o.counts, Holds: map[models.VMID]models.TaskID{}, Throttles: map[models.VMID]map[models.TaskID]int{},
		Promised: maps.Clone(o.promised), Decisions: o.decisions.all(),
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

// waiting counts the tasks that wait for a place.
func (o *Owner) waiting() int {
	n := 0
	for _, t := range o.working.Tasks {
		if t.State == models.TaskQueued {
			n++
		}
	}
	for _, job := range o.working.Jobs {
		n += job.Tasks - job.Next
	}
	return n
}

// publish tells the other daemons of the cell with the next heartbeat.
func (o *Owner) publish() {
	if time.Since(o.published) < o.config.Settings.Tick/2 {
		return
	}
	o.published = time.Now()
	beat := models.CellBeat{Epoch: o.config.Epoch, Teams: o.ownUsage(), Waits: o.waiting()}
	for _, w := range o.workers() {
		if !w.Usable {
			continue
		}
		beat.Free = beat.Free.Add(w.Free)
		if w.Free.CPU > beat.Room.CPU {
			beat.Room = w.Free
		}
	}
	o.beat.Store(&beat)
}
