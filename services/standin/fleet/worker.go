// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
)

// attempt is one attempt of a task at a worker.
type attempt struct {
	call      models.StartCall
	status    models.AttemptStatus
	progress  float64 // 0..1
	share     float64 // of processor time, 1 when not throttled
	leaseEnds time.Time
	ended     string
	// samples are the latencies of a service, oldest first; the report lags by
	// reading an older one.
	samples  []sample
	observed uint64
}

type sample struct {
	at  time.Time
	p99 time.Duration
}

// worker is the agent of one worker VM.
type worker struct {
	mu          sync.Mutex
	fleet       *Fleet
	vm          models.VM
	incarnation models.Incarnation
	runs        int
	epochs      map[models.CellID]models.Epoch
	attempts    map[models.TaskID]*attempt
	barred      map[models.TaskID]models.Attempt
	down        bool // the VM is dead
	cut         bool // the VM runs but can't be reached
	faulty      bool // every task fails
}

func newWorker(f *Fleet, vm models.VM) *worker {
	w := &worker{fleet: f, vm: vm}
	w.begin()
	return w
}

// begin starts a new incarnation, which remembers nothing.
func (w *worker) begin() {
	w.runs++
	w.incarnation = models.Incarnation(fmt.Sprintf("%s-%s-%d", w.vm.ID, w.fleet.config.Run, w.runs))
	w.epochs = map[models.CellID]models.Epoch{}
	w.attempts = map[models.TaskID]*attempt{}
	w.barred = map[models.TaskID]models.Attempt{}
}

// guard checks a call's epoch and incarnation; the caller holds the lock.
func (w *worker) guard(g models.Guard, needIncarnation bool) models.Refusal {
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
	answer := models.StartAnswer{Incarnation: w.incarnation, Refused: w.guard(call.Guard, true), Epoch: w.epochs[call.Cell]}
	if answer.Refused != "" {
		return answer
	}
	if known := w.attempts[call.Task]; known != nil && known.call.Attempt >= call.Attempt {
		if known.call.Attempt > call.Attempt {
			answer.Refused = models.RefusedAttempt
		}
		return answer // a repeated start
	}
	if w.barred[call.Task] >= call.Attempt {
		answer.Refused = models.RefusedBarred
		return answer
	}
	if w.fleet.config.Guards && !call.Size.Fits(w.free()) {
		w.barred[call.Task] = call.Attempt
		answer.Refused = models.RefusedRoom
		return answer
	}
	w.launch(call)
	return answer
}

// launch starts an attempt; the caller holds the lock.
func (w *worker) launch(call models.StartCall) {
	a := &attempt{call: call, status: models.StatusRunning, share: 1, leaseEnds: time.Now().Add(call.Lease.Duration())}
	if text, ok := strings.CutPrefix(call.Checkpoint, checkpointPrefix); ok {
		a.progress, _ = strconv.ParseFloat(text, 64)
	}
	if old := w.attempts[call.Task]; old != nil && old.status == models.StatusRunning {
		w.finish(old, models.StatusStopped, "replaced")
	}
	w.attempts[call.Task] = a
	w.fleet.audit.started(w.vm.ID, call)
	w.fleet.audit.committed(w.vm, w.used())
}

const checkpointPrefix = "progress="

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
	a.status, a.ended = status, reason
	w.fleet.audit.ended(w.vm.ID, a.call, status)
}

func (w *worker) renew(call models.RenewCall) models.RenewAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := models.RenewAnswer{Incarnation: w.incarnation, Refused: w.guard(call.Guard, false), Epoch: w.epochs[call.Cell]}
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
			a.share = 1
			if percent, ok := call.Throttle[id]; ok {
				a.share = float64(percent) / 100
			}
		}
		answer.Attempts = append(answer.Attempts, w.report(a))
	}
	return answer
}

func (w *worker) report(a *attempt) models.AttemptReport {
	report := models.AttemptReport{
		AttemptRef: a.call.AttemptRef,
		Status:     a.status,
		Reason:     a.ended,
		Progress:   int(a.progress * 100),
		Usage:      scale(a.call.Size, w.fleet.sizeFactor(a.call)),
	}
	if a.status == models.StatusStopped && a.call.Work > 0 {
		report.Checkpoint = checkpointPrefix + strconv.FormatFloat(a.progress, 'f', 4, 64)
	}
	before := time.Now().Add(-w.fleet.config.ReportLag)
	for i := len(a.samples) - 1; i >= 0; i-- {
		if !a.samples[i].at.After(before) {
			report.P99 = models.MilliOf(a.samples[i].p99)
			report.Observed = a.observed - uint64(len(a.samples)-1-i)
			break
		}
	}
	return report
}

func (w *worker) stop(call models.StopCall) models.StopAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := models.StopAnswer{Incarnation: w.incarnation, Refused: w.guard(call.Guard, true)}
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
	if !call.Checkpoint {
		answer.Report.Checkpoint = ""
	}
	return answer
}

// advance lets the worker's tasks run for a while.
func (w *worker) advance(now time.Time, passed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	for _, a := range w.attempts {
		if a.status != models.StatusRunning {
			continue
		}
		switch {
		case now.After(a.leaseEnds):
			w.finish(a, models.StatusStopped, "lease lapsed")
		case w.faulty:
			w.finish(a, models.StatusFailed, "worker is faulty")
		case a.call.Kind == models.TaskService:
			w.observe(a, now)
		default:
			w.work(a, passed)
		}
	}
}

func (w *worker) work(a *attempt, passed time.Duration) {
	needed := a.call.Work.Duration().Seconds() * w.fleet.sizeFactor(a.call)
	a.progress += passed.Seconds() * a.share / max(needed, 0.001)
	if a.progress >= 1 {
		a.progress = 1
		w.finish(a, models.StatusFinished, "")
	}
}

// sampleLimit is how many latencies are kept for lagging reports.
const sampleLimit = 256

func (w *worker) observe(a *attempt, now time.Time) {
	slowdown := 1.0
	for _, other := range w.attempts {
		if other.call.Kind == models.TaskBatch && other.status == models.StatusRunning {
			slowdown += other.share * w.fleet.config.Pairs.Slowdown(a.call.Labels[appLabel], other.call.Labels[appLabel])
		}
	}
	base := a.call.Target.Duration() / 2
	a.samples = append(a.samples, sample{at: now, p99: time.Duration(float64(base) * slowdown)})
	if len(a.samples) > sampleLimit {
		a.samples = a.samples[len(a.samples)-sampleLimit:]
	}
	a.observed++
	w.fleet.audit.latency(slowdown > 2)
}

// kill ends everything that runs, as when the VM dies; restart begins anew.
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
	w.begin()
}

// scale multiplies an amount by a factor.
func scale(r models.Resources, factor float64) models.Resources {
	return models.Resources{
		CPU:          models.MilliCPU(float64(r.CPU) * factor),
		Memory:       models.MiB(float64(r.Memory) * factor),
		Accelerators: r.Accelerators,
	}
}

// spread gives a number in 0..1 that depends on the text alone.
func spread(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum32()%10_000) / 10_000
}
