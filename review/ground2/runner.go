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
	"sync"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// runnerConfig configures a runner.
type runnerConfig struct {
	machine  int    // number of the machine, which gives the address
	kind     string // its first label
	cpu, mem int
	// work returns how long a run works and how it ends.
	work func(task string, run uint64) (time.Duration, string)
}

// maxHold is the longest time for which a runner holds its tasks.
const maxHold = 6 * time.Second

// stopTime is how long a stop takes.
const stopTime = 200 * time.Millisecond

// clockRate is how fast a runner's clock goes.
const clockRate = 0.99

// endsPerAnswer is how many ends a runner lists at once.
const endsPerAnswer = 500

// runner is a life of a machine.
type runner struct {
	config   runnerConfig
	g        *ground
	id       string
	address  string
	began    time.Time
	server   *http.Server
	cancel   context.CancelFunc
	mu       sync.Mutex
	up       bool
	fence    uint64
	deadline int64 // on the runner's clock
	runs     map[string]*taskRun
	barred   map[string]uint64
	ends     []end
	lastEnd  uint64
	changed  chan struct{}
}

// taskRun is a run on a runner.
type taskRun struct {
	task     string
	run      uint64
	cpu, mem int
	began    time.Time
	work     time.Duration
	how      string
	stopping bool
}

// end is an ended run.
type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// startRunner starts a life of a machine at the machine's address; an empty address picks a free port.
func (g *ground) startRunner(config runnerConfig, address string) (*runner, error) {
	if address == "" {
		address = fmt.Sprintf("%s%d:0", g.net, 100+config.machine)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.lives++
	id := fmt.Sprintf("i-%02d-%03d", config.machine, g.lives)
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		config: config, g: g, id: id, address: listener.Addr().String(), began: time.Now(), cancel: cancel, up: true,
		runs: map[string]*taskRun{}, barred: map[string]uint64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST @path@/run-start", r.handle(r.start))
	mux.HandleFunc("POST @path@/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST @path@/hold", r.handle(r.hold))
	mux.HandleFunc("POST @path@/pace", r.handle(r.pace))
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }()
	go r.lapseLoop(ctx)
	go r.heartbeatLoop(ctx)
	g.log("runner %s of kind %s begins at %s", r.id, config.kind, r.address)
	return r, nil
}

// crash ends the runner without a word; its entry goes after three liveness reports of silence.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	lost := len(r.runs)
	for _, t := range r.runs {
		r.g.log("runner %s: run %d of %s is lost with the runner after %d ms", r.id, t.run, t.task, time.Since(t.began).Milliseconds())
	}
	r.runs = map[string]*taskRun{}
	r.mu.Unlock()
	r.cancel()
	_ = r.server.Close()
	r.g.log("runner %s crashes with %d runs", r.id, lost)
	time.AfterFunc(3*heartbeat, func() { _ = r.g.store.RemoveEntry(context.Background(), jobs.WorkerID(r.id)) })
}

// running returns how many tasks run on the runner.
func (r *runner) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// clock returns the runner's clock in milliseconds.
func (r *runner) clock() int64 { return int64(float64(time.Since(r.began).Milliseconds()) * clockRate) }

// heartbeatLoop writes the runner's entry.
func (r *runner) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		entry, err := json.Marshal(map[string]any{
			"backend": pool, "address": r.address, "zone": fmt.Sprintf("zone-%d", r.config.machine%2), "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": r.config.cpu, "@memory@": r.config.mem, "gpus": 0},
			"labels": []string{r.config.kind, fmt.Sprintf("r-%d", r.config.machine/4)}, "clock_ms": r.clock(), "sequence": sequence,
		})
		if err == nil {
			_ = r.g.store.WriteEntry(ctx, jobs.WorkerID(r.id), entry)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// lapseLoop ends all runs when the time of the last hold is over.
func (r *runner) lapseLoop(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		lapsed := r.clock() > r.deadline
		for _, t := range r.runs {
			ran := time.Since(t.began)
			switch {
			case lapsed:
				r.end(t, "lapsed")
			case t.how != "" && !t.stopping && ran >= t.work:
				r.end(t, t.how)
			}
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// end lists the end of a run. The caller holds r.mu.
func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.barred[t.task] = max(r.barred[t.task], t.run)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, t.task, t.run, how})
	r.g.log("runner %s: run %d of %s ends %s", r.id, t.run, t.task, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"@run@"`
	Payload  string `json:"@spec@"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"@fence@"`
	LastSeen uint64 `json:"@seen@"`
	Wait     int    `json:"wait_ms"`
}

// handle answers a call after the checks that all calls have in common.
func (r *runner) handle(do func(ctx context.Context, o order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := request.Header.Get("@instance@"); expected != "" && expected != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		if o.Fence < r.fence {
			r.mu.Unlock()
			r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		r.fence = o.Fence
		r.deadline = max(r.deadline, min(o.Deadline, r.clock()+maxHold.Milliseconds()))
		r.mu.Unlock()
		status, body := do(request.Context(), o)
		r.answer(w, status, body)
	}
}

func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = r.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// start begins a run.
func (r *runner) start(_ context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refuse := func(reason string) (int, map[string]any) {
		r.g.log("runner %s: start of run %d of %s is rejected: %s", r.id, o.Run, o.Task, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	running := r.runs[o.Task]
	size, known := r.g.stepOf(o.Task)
	switch {
	case !r.up:
		return http.StatusServiceUnavailable, map[string]any{}
	case running != nil && running.run == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Deadline < r.clock():
		return refuse("late")
	case running != nil || r.barred[o.Task] >= o.Run:
		return refuse("old")
	case !known:
		r.g.log("runner %s: UNASKED start of %s", r.id, o.Task)
	case r.used("cpu")+size.CPU > r.config.cpu || r.used("mem")+size.Memory > r.config.mem:
		return refuse("room")
	}
	work, how := r.config.work(o.Task, o.Run)
	r.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, cpu: size.CPU, mem: size.Memory, began: time.Now(), work: work, how: how}
	r.g.log("runner %s: run %d of %s starts (fence %d)", r.id, o.Run, o.Task, o.Fence)
	r.g.noteStart(o.Task)
	return http.StatusOK, map[string]any{}
}

func (r *runner) used(what string) int {
	sum := 0
	for _, t := range r.runs {
		if what == "cpu" {
			sum += t.cpu
		} else {
			sum += t.mem
		}
	}
	return sum
}

// stop ends a run, or bars it.
func (r *runner) stop(_ context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	t := r.runs[o.Task]
	if t == nil || t.run != o.Run || t.stopping {
		return http.StatusOK, map[string]any{}
	}
	t.stopping = true
	r.g.log("runner %s: run %d of %s is told to stop", r.id, o.Run, o.Task)
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.up && r.runs[t.task] == t {
			r.end(t, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

// pace is carried out without effect on the work.
func (r *runner) pace(_ context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.runs[o.Task]; t == nil || t.run != o.Run {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	return http.StatusOK, map[string]any{}
}

// hold answers the lists of runs and ends, and waits for an end.
func (r *runner) hold(ctx context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	changed, wait := r.changed, o.Wait > 0 && len(r.ends) == 0
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := []any{}, []any{}
	for _, t := range r.runs {
		percent := 0
		if t.work > 0 {
			percent = min(100, int(100*time.Since(t.began)/t.work))
		}
		running = append(running, []any{t.task, t.run, "", percent, t.cpu})
	}
	for _, e := range r.ends[:min(len(r.ends), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "@ended@": ended}
}
