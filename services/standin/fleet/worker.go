// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
)

// worker is the agent on a worker VM.
type worker struct {
	mu           sync.Mutex
	fleet        *Fleet
	vm           models.VM
	incarnation  models.Incarnation
	incarnations int
	epochs       map[models.CellID]models.Epoch
	attempts     map[models.TaskID]*attempt
	barred       map[models.TaskID]models.Attempt
	down         bool // the VM is dead
	cut          bool // the VM runs but can't be reached
	faulty       bool // every task fails
}

func newWorker(f *Fleet, vm models.VM) *worker {
	w := &worker{fleet: f, vm: vm}
	w.startIncarnation()
	return w
}

// startIncarnation starts a new incarnation, which has no state of the previous one.
func (w *worker) startIncarnation() {
	w.incarnations++
	w.incarnation = models.Incarnation(fmt.Sprintf("%s-%s-%d", w.vm.ID, w.fleet.config.RunName, w.incarnations))
	w.epochs = map[models.CellID]models.Epoch{}
	w.attempts = map[models.TaskID]*attempt{}
	w.barred = map[models.TaskID]models.Attempt{}
}

// checkFencing checks the incarnation and epoch of a call and records the epoch; the caller holds the lock.
func (w *worker) checkFencing(g models.Guard, needIncarnation bool) models.Refusal {
	if g.Incarnation != w.incarnation && (g.Incarnation != "" || needIncarnation) {
		return models.RefusedIncarnation
	}
	if g.Epoch < w.epochs[g.Cell] {
		return models.RefusedEpoch
	}
	w.epochs[g.Cell] = g.Epoch
	return ""
}

func (w *worker) start(call models.StartCall) models.StartAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := models.StartAnswer{Incarnation: w.incarnation, Refused: w.checkFencing(call.Guard, true), Epoch: w.epochs[call.Cell]}
	if answer.Refused != "" {
		return answer
	}
	if known := w.attempts[call.Task]; known != nil && known.call.Attempt >= call.Attempt {
		if known.call.Attempt > call.Attempt {
			answer.Refused = models.RefusedStaleAttempt
		}
		return answer // a repeated start succeeds without effect
	}
	if w.barred[call.Task] >= call.Attempt {
		answer.Refused = models.RefusedBarred
		return answer
	}
	if w.fleet.config.RejectOvercommit && !call.Size.Fits(w.free()) {
		w.barred[call.Task] = call.Attempt
		answer.Refused = models.RefusedCapacity
		return answer
	}
	w.launch(call)
	return answer
}

// launch starts an attempt; the caller holds the lock.
func (w *worker) launch(call models.StartCall) {
	a := &attempt{call: call, status: models.StatusRunning, cpuShare: 1, leaseEnds: time.Now().Add(call.Lease.Duration())}
	if text, ok := strings.CutPrefix(call.Checkpoint, checkpointPrefix); ok {
		a.progress, _ = strconv.ParseFloat(text, 64)
	}
	if old := w.attempts[call.Task]; old != nil && old.status == models.StatusRunning {
		w.finish(old, models.StatusStopped, "replaced")
	}
	w.attempts[call.Task] = a
	w.fleet.audit.attemptStarted(w.vm.ID, call)
	w.fleet.audit.checkCapacity(w.vm, w.used())
}

func (w *worker) used() models.Resources {
	var used models.Resources
	for _, a := range w.attempts {
		if a.status == models.StatusRunning {
			used = used.Add(a.call.Size)
		}
	}
	return used
}

func (w *worker) free() models.Resources { return w.vm.Capacity.Sub(w.used()) }

// finish ends an attempt; the caller holds the lock.
func (w *worker) finish(a *attempt, status models.AttemptStatus, reason string) {
	a.status, a.endReason = status, reason
	w.fleet.audit.attemptEnded(w.vm.ID, a.call, status)
}

func (w *worker) renew(call models.RenewCall) models.RenewAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := models.RenewAnswer{Incarnation: w.incarnation, Refused: w.checkFencing(call.Guard, false), Epoch: w.epochs[call.Cell]}
	if answer.Refused != "" {
		return answer
	}
	for _, ref := range call.Acknowledge {
		if a := w.attempts[ref.Task]; a != nil && a.call.Attempt == ref.Attempt && a.status != models.StatusRunning {
			w.barred[ref.Task] = max(w.barred[ref.Task], ref.Attempt)
			delete(w.attempts, ref.Task)
		}
	}
	now := time.Now()
	for id, a := range w.attempts {
		if a.status == models.StatusRunning {
			a.leaseEnds = now.Add(call.Lease.Duration())
			a.cpuShare = 1
			if percent, ok := call.Throttle[id]; ok {
				a.cpuShare = float64(percent) / 100
			}
		}
		answer.Attempts = append(answer.Attempts, w.report(a))
	}
	return answer
}

func (w *worker) stop(call models.StopCall) models.StopAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := models.StopAnswer{Incarnation: w.incarnation, Refused: w.checkFencing(call.Guard, true)}
	if answer.Refused != "" {
		return answer
	}
	w.barred[call.Task] = max(w.barred[call.Task], call.Attempt)
	a := w.attempts[call.Task]
	if a == nil || a.call.Attempt != call.Attempt {
		answer.Report = models.AttemptReport{AttemptRef: call.AttemptRef, Status: models.StatusNeverBegan}
		return answer
	}
	if a.status == models.StatusRunning {
		w.finish(a, models.StatusStopped, "stopped")
	}
	answer.Report = w.report(a)
	if !call.TakeCheckpoint {
		answer.Report.Checkpoint = ""
	}
	return answer
}

// kill ends everything that runs on the worker. With restart, the worker continues with a new incarnation; otherwise
// the VM is dead.
func (w *worker) kill(restart bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		switch a.status {
		case models.StatusRunning:
			w.finish(a, models.StatusStopped, "killed")
		case models.StatusFinished:
			w.fleet.audit.resultLost(a.call.Task)
		}
	}
	w.down = !restart
	w.startIncarnation()
}
