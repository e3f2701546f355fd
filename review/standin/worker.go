// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Properties of the workers, as on the users' pages.
const (
	stopTime         = 100 * time.Millisecond
	maxEndsPerAnswer = 500 // "The others come again, 500 at once"
	maxWait          = 2 * time.Second
)

// worker is a runner of the pages: it runs what it is told, and lists what runs and what has ended.
type worker struct {
	id       string
	record   *record
	bounds   bounds
	capacity amounts
	// work returns what a task needs and how long a run of it works; 0: until it is stopped.
	work  func(task string) (amounts, time.Duration)
	audit *audit

	mu       sync.Mutex
	began    time.Time
	fence    uint64
	used     amounts
	running  map[string]*workerRun
	highest  map[string]uint64 // the highest run that was stopped, barred or has ended, by task
	ends     []workerEnd
	lastEnd  uint64
	mostEnds int // that were unnoted at a time, as recorded
	leaseEnd time.Time
	lease    *time.Timer
	changed  chan struct{} // closed and replaced with each end
	cut      bool          // no packet reaches it or leaves it
	gone     bool          // it has left
	address  string
	listener *net.TCPListener
	filling  []net.Conn    // fill the queue of new connections during a cut
	held     chan struct{} // closed and replaced with each hold
}

// amounts are a runner's capacity, or what a task needs of it.
type amounts struct {
	CPU    int
	Memory int
}

// workerRun is a run under way.
type workerRun struct {
	task     string
	run      uint64
	needs    amounts
	timer    *time.Timer
	stopping bool
}

// workerEnd is a run that has ended and that the daemons have not taken note of.
type workerEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// workerCall has the fields of all calls to a worker.
type workerCall struct {
	Task   string
	Run    uint64
	Until  int64
	Fence  uint64
	Seen   uint64
	WaitMS int64
}

// startWorker starts a worker that listens on a loopback address.
func startWorker(w *worker, address string) error {
	w.began, w.running, w.highest = time.Now(), map[string]*workerRun{}, map[string]uint64{}
	w.changed, w.held = make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener = listener.(*net.TCPListener)
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["start"], w.handler(w.start))
	mux.HandleFunc("POST "+wire["stop"], w.handler(w.stop))
	mux.HandleFunc("POST "+wire["pace"], w.handler(w.pace))
	mux.HandleFunc("POST "+wire["hold"], w.handler(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(&pausableListener{Listener: listener, worker: w}, mux) }()
	return nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry(service string, draining bool, remaining time.Duration) []byte {
	entry := map[string]any{
		"backend": service, "address": w.address, "zone": "hofud-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.capacity.CPU, wire["memory"]: w.capacity.Memory, "gpus": 0},
		"labels": []string{"a", "r1-1"}, "clock_ms": w.clock(), "sequence": 1,
	}
	if draining {
		entry["state"], entry[wire["remaining"]] = "draining", remaining.Milliseconds()
	}
	value, _ := json.Marshal(entry)
	return value
}

// clock returns the worker's own clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// answer is a status and a body.
type answer struct {
	status int
	body   map[string]any
}

// handler decodes a call and answers with what do returns.
func (w *worker) handler(do func(ctx context.Context, call workerCall) answer) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var call workerCall
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if w.waitWhileCut(r.Context()) || w.hasLeft() {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get(wire["instance header"]); expected != "" && expected != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		a := do(r.Context(), call)
		if w.waitWhileCut(r.Context()) || w.hasLeft() { // the answer is lost
			panic(http.ErrAbortHandler)
		}
		if a.body == nil {
			a.body = map[string]any{}
		}
		a.body["clock_ms"] = w.clock()
		data, _ := json.Marshal(a.body)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(a.status)
		_, _ = out.Write(data)
	}
}

// checkFence refuses an order with a lower fence than the highest one seen.
func (w *worker) checkFence(fence uint64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

func refuse(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"reason": reason}}
}

// start carries out run-start.
func (w *worker) start(_ context.Context, call workerCall) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(call.Fence) {
		return refuse("fence")
	}
	if call.Until < w.clock() {
		return refuse("late")
	}
	w.extendLease(call.Until)
	if r := w.running[call.Task]; r != nil && r.run == call.Run {
		return answer{http.StatusOK, nil}
	}
	if call.Run <= w.highest[call.Task] || w.running[call.Task] != nil {
		return refuse("old")
	}
	needs, length := w.work(call.Task)
	if w.used.CPU+needs.CPU > w.capacity.CPU || w.used.Memory+needs.Memory > w.capacity.Memory {
		return refuse("room")
	}
	r := &workerRun{task: call.Task, run: call.Run, needs: needs}
	w.used.CPU += needs.CPU
	w.used.Memory += needs.Memory
	w.running[call.Task] = r
	w.record.note("%s starts %s run %d (fence %d)", w.id, call.Task, call.Run, call.Fence)
	w.audit.started(w.id, call.Task, call.Run)
	if length > 0 {
		r.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "done")
		})
	}
	return answer{http.StatusOK, nil}
}

// stop carries out run-stop: it ends the run, or bars it if it is not there yet.
func (w *worker) stop(_ context.Context, call workerCall) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(call.Fence) {
		return refuse("fence")
	}
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	w.record.note("%s is told to stop %s run %d", w.id, call.Task, call.Run)
	if r := w.running[call.Task]; r != nil && r.run == call.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return answer{http.StatusOK, nil}
}

// pace carries out pace. The tasks of these scenarios do not share their runner's processor.
func (w *worker) pace(_ context.Context, call workerCall) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(call.Fence) {
		return refuse("fence")
	}
	return answer{http.StatusOK, nil}
}

// hold carries out hold: it extends the lease, forgets the acknowledged ends and lists what runs and has ended.
func (w *worker) hold(ctx context.Context, call workerCall) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(call.Fence) {
		return refuse("fence")
	}
	w.extendLease(call.Until)
	w.forget(call.Seen)
	if call.Until != 0 {
		close(w.held)
		w.held = make(chan struct{})
	}
	timeout := time.After(min(time.Duration(call.WaitMS)*time.Millisecond, maxWait))
	for waiting := call.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running := []any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", 50, 0})
	}
	ended := []any{}
	for _, e := range w.ends[:min(len(w.ends), maxEndsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(w.ends) > maxEndsPerAnswer && len(w.ends) > w.mostEnds {
		w.mostEnds = len(w.ends)
		w.record.note("%s lists %d of %d ends, and %d running", w.id, len(ended), len(w.ends), len(running))
	}
	return answer{http.StatusOK, map[string]any{"running": running, wire["ended"]: ended}}
}

// forget drops the ends up to a number, which the daemons have taken note of.
func (w *worker) forget(seen uint64) {
	n := 0
	for n < len(w.ends) && w.ends[n].number <= seen {
		w.audit.noted(w.id, w.ends[n].task, w.ends[n].run)
		n++
	}
	w.ends = w.ends[n:]
}

// extendLease moves the end of the lease; it never shortens it.
func (w *worker) extendLease(until int64) {
	if until == 0 {
		return
	}
	end := w.began.Add(time.Duration(min(until, w.clock()+w.bounds.maxHold.Milliseconds())) * time.Millisecond)
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.leaseEnd) {
			return
		}
		w.record.note("%s: its lease has lapsed, %d runs end", w.id, len(w.running))
		w.audit.lapsed(w.id)
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

// end ends a run.
func (w *worker) end(r *workerRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.used.CPU -= r.needs.CPU
	w.used.Memory -= r.needs.Memory
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{w.lastEnd, r.task, r.run, how})
	w.record.note("%s: %s run %d ends %s (end %d)", w.id, r.task, r.run, how, w.lastEnd)
	w.audit.ended(w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// count returns how many runs are under way, and how many ends nobody has taken note of.
func (w *worker) count() (running, ends int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), len(w.ends)
}

// hasLeft reports whether the worker has left.
func (w *worker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// waitWhileCut waits until the worker is no longer cut off; true: it was.
func (w *worker) waitWhileCut(ctx context.Context) bool {
	was := false
	for ctx.Err() == nil {
		w.mu.Lock()
		cut := w.cut
		w.mu.Unlock()
		if !cut {
			return was
		}
		was = true
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return true
}

// waitForHold waits for the next call that extends the lease.
func (w *worker) waitForHold(ctx context.Context) {
	w.mu.Lock()
	held := w.held
	w.mu.Unlock()
	select {
	case <-held:
	case <-ctx.Done():
	}
}

// cutOff begins or ends a silent cut: calls reach the worker no more, its answers are lost, and new connections hang,
// because the queue of new connections is kept full.
func (w *worker) cutOff(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	backlog := syscall.SOMAXCONN
	if cut {
		backlog = 0
	}
	raw, err := w.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
	for cut {
		conn, err := net.DialTimeout("tcp", w.address, 30*time.Millisecond)
		if err != nil {
			return
		}
		w.filling = append(w.filling, conn)
	}
	for _, conn := range w.filling {
		_ = conn.Close()
	}
}

// leave ends the worker: everything that runs there dies, and its address refuses connections.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
	w.gone = true
}

// pausableListener accepts no connections while its worker is cut off.
type pausableListener struct {
	net.Listener
	worker *worker
}

// Accept implements net.Listener.
func (l *pausableListener) Accept() (net.Conn, error) {
	l.worker.waitWhileCut(context.Background())
	return l.Listener.Accept()
}

// String implements fmt.Stringer.
func (w *worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.address) }

// jobsRunning adds the jobs of which a task runs here.
func (w *worker) jobsRunning(ids map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		id, _, _ := strings.Cut(task, ".")
		ids[id] = true
	}
}
