//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the runners; those of the deployment wapfha-sched where its sheet has them.
const (
	heartbeat    = 1100 * time.Millisecond
	silentBeats  = 3
	maxHold      = 6000 // milliseconds
	stopTime     = 300 * time.Millisecond
	endsPerList  = 500
	runnerCPU    = 16000
	runnerMemory = 62500
	pool         = "hire-booking"
)

// run is one run of a task on a runner.
type run struct {
	task    string
	number  uint64
	started time.Time
	ends    *time.Timer
	percent int
	cpu     int64
	memory  int64
}

// ended is a run that has ended and is listed until it is acknowledged.
type ended struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// place is a machine: an address at which one runner lives after the other, each with an id of its own.
type place struct {
	fleet   *fleet
	number  int
	address string
	rack    string

	mu   sync.Mutex
	life *life // nil: down
}

// life is one life of a runner.
type life struct {
	place    *place
	id       string
	born     time.Time
	fence    uint64
	until    int64 // end of the hold, on the runner's clock
	runs     map[string]*run
	barred   map[string]uint64 // the highest run of a task that was stopped or has ended here
	ended    []ended
	lastEnd  uint64
	wake     chan struct{} // closed and replaced when a run ends
	gone     chan struct{} // closed at the crash
	starts   int
	server   *http.Server
	sequence int
}

// fleet is all machines, and the record of what ran.
type fleet struct {
	store  *store
	record *record
	places []*place
	// workOf returns how long a run of a task works and how it ends.
	workOf func(task string, number uint64) (time.Duration, string)
	// sizeOf returns what a task of a job takes.
	sizeOf func(task string) (cpu, memory int64)
	// onStart is called after a start was carried out.
	onStart func(l *life, r *run)
	guards  bool
}

// servingTail is the tail of the answer times of a task that serves, in milliseconds: well below its target.
const servingTail = 15

// figureOf returns the figure that a report shows for a run: the tail of a task that serves, or the cpu that another one uses.
func (f *fleet) figureOf(r *run) int64 {
	if r.cpu > 0 {
		return servingTail
	}
	return 400
}

func (f *fleet) add() {
	number := len(f.places)
	f.places = append(f.places, &place{fleet: f, number: number, address: freeAddress(), rack: "r" + strconv.Itoa(number/8)})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// boot begins the next life of the machine's runner.
func (p *place) boot() {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", p.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	l := &life{
		place: p, id: newID(), born: time.Now(), runs: map[string]*run{}, barred: map[string]uint64{},
		wake: make(chan struct{}), gone: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST @path@/run-start", l.call(l.start))
	mux.HandleFunc("POST @path@/run-stop", l.call(l.stop))
	mux.HandleFunc("POST @path@/pace", l.call(l.pace))
	mux.HandleFunc("POST @path@/hold", l.call(l.hold))
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	p.mu.Lock()
	p.life = l
	p.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go l.beatLoop()
	go l.lapseLoop()
	p.fleet.record.add("boot", "place", p.number, "runner", l.id)
}

// crash ends the life at once: its connections break, and nothing of it is known any more. Its entry stays until three
// beats are missing.
func (p *place) crash() {
	p.mu.Lock()
	l := p.life
	p.life = nil
	if l == nil {
		p.mu.Unlock()
		return
	}
	close(l.gone)
	lost := []string{}
	for _, r := range l.runs {
		r.ends.Stop()
		lost = append(lost, fmt.Sprintf("%s/%d", r.task, r.number))
	}
	l.runs = map[string]*run{}
	p.mu.Unlock()
	_ = l.server.Close()
	p.fleet.record.add("crash", "place", p.number, "runner", l.id, "age_ms", time.Since(l.born).Milliseconds(), "runs_lost", strings.Join(lost, ","))
	time.AfterFunc(silentBeats*heartbeat, func() { p.fleet.store.remove("servers/" + l.id) })
}

// beatLoop writes the runner's entry.
func (l *life) beatLoop() {
	for {
		l.sequence++
		l.place.fleet.store.write("servers/"+l.id, map[string]any{
			"backend": pool, "address": l.place.address, "zone": "perth-cbd", "version": "1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "sequence": l.sequence, "capacity": map[string]int{"cpu": runnerCPU, "@memory@": runnerMemory},
			"labels": []string{"a", l.place.rack},
		})
		select {
		case <-l.gone:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock is the runner's steady clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1000 }

// lapseLoop kills all that runs when the hold is over.
func (l *life) lapseLoop() {
	for {
		select {
		case <-l.gone:
			return
		case <-time.After(10 * time.Millisecond):
		}
		l.place.mu.Lock()
		if l.clock() > l.until {
			for _, r := range l.runs {
				l.finish(r, "lapsed")
			}
		}
		l.place.mu.Unlock()
	}
}

// finish ends a run. The caller holds the mutex.
func (l *life) finish(r *run, how string) {
	if l.runs[key(r.task, r.number)] != r {
		return
	}
	r.ends.Stop()
	delete(l.runs, key(r.task, r.number))
	l.barred[r.task] = max(l.barred[r.task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, ended{l.lastEnd, r.task, r.number, how})
	l.place.fleet.record.add("end", "task", r.task, "run", r.number, "how", how, "place", l.place.number)
	close(l.wake)
	l.wake = make(chan struct{})
}

func key(task string, number uint64) string { return task + "/" + strconv.FormatUint(number, 10) }

type runnerCall struct {
	Task       string `json:"task"`
	Run        uint64 `json:"@run@"`
	Spec       string `json:"@spec@"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"@fence@"`
	Checkpoint string `json:"checkpoint"`
	Percent    int    `json:"percent"`
	LastSeen   uint64 `json:"@seen@"`
	Wait       int64  `json:"wait_ms"`
}

// call returns the handler of a call: it decodes, and checks the instance and the fence. The call itself runs under the mutex.
func (l *life) call(do func(w http.ResponseWriter, r *http.Request, c runnerCall)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c runnerCall
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		if expected := r.Header.Get("@instance@"); expected != "" && expected != l.id {
			answer(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		l.place.mu.Lock()
		defer l.place.mu.Unlock()
		if l.place.life != l {
			panic(http.ErrAbortHandler)
		}
		if c.Fence < l.fence {
			l.refuse(w, "fence")
			return
		}
		l.fence = c.Fence
		do(w, r, c)
	}
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason})
}

func (l *life) done(w http.ResponseWriter) {
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

// extend takes the deadline of a call. It never shortens the hold.
func (l *life) extend(deadline int64) { l.until = max(l.until, min(deadline, l.clock()+maxHold)) }

func (l *life) start(w http.ResponseWriter, _ *http.Request, c runnerCall) {
	f := l.place.fleet
	if l.runs[key(c.Task, c.Run)] != nil {
		l.extend(c.Deadline)
		l.done(w)
		return
	}
	if c.Deadline <= l.clock() {
		l.refuse(w, "late")
		return
	}
	l.extend(c.Deadline)
	if c.Run <= l.barred[c.Task] {
		l.refuse(w, "old")
		return
	}
	cpu, memory := f.sizeOf(c.Task)
	usedCPU, usedMemory := cpu, memory
	for _, r := range l.runs {
		usedCPU, usedMemory = usedCPU+r.cpu, usedMemory+r.memory
	}
	if f.guards && (usedCPU > runnerCPU || usedMemory > runnerMemory) {
		l.refuse(w, "room")
		return
	}
	work, how := f.workOf(c.Task, c.Run)
	r := &run{task: c.Task, number: c.Run, started: time.Now(), cpu: cpu, memory: memory}
	r.ends = time.AfterFunc(work, func() {
		l.place.mu.Lock()
		defer l.place.mu.Unlock()
		l.finish(r, how)
	})
	l.runs[key(c.Task, c.Run)] = r
	l.starts++
	f.record.add("start", "task", c.Task, "run", c.Run, "place", l.place.number, "runner", l.id, "work_ms", work.Milliseconds())
	l.done(w)
	if f.onStart != nil {
		f.onStart(l, r)
	}
}

func (l *life) stop(w http.ResponseWriter, _ *http.Request, c runnerCall) {
	l.barred[c.Task] = max(l.barred[c.Task], c.Run)
	if r := l.runs[key(c.Task, c.Run)]; r != nil {
		time.AfterFunc(stopTime, func() {
			l.place.mu.Lock()
			defer l.place.mu.Unlock()
			l.finish(r, "stopped")
		})
	}
	l.done(w)
}

func (l *life) pace(w http.ResponseWriter, _ *http.Request, _ runnerCall) { l.done(w) }

func (l *life) hold(w http.ResponseWriter, r *http.Request, c runnerCall) {
	if c.Deadline > 0 {
		l.extend(c.Deadline)
	}
	for len(l.ended) > 0 && l.ended[0].number <= c.LastSeen {
		l.place.fleet.record.add("noted", "task", l.ended[0].task, "run", l.ended[0].run, "how", l.ended[0].how, "place", l.place.number)
		l.ended = l.ended[1:]
	}
	deadline := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(l.ended) == 0; {
		wake := l.wake
		l.place.mu.Unlock()
		select {
		case <-wake:
		case <-deadline:
			waiting = false
		case <-l.gone:
		case <-r.Context().Done():
		}
		l.place.mu.Lock()
		if l.place.life != l || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, each := range l.runs {
		running = append(running, []any{each.task, each.number, "", 100, l.place.fleet.figureOf(each)})
	}
	list := [][]any{}
	for _, e := range l.ended[:min(len(l.ended), endsPerList)] {
		list = append(list, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock(), "running": running, "@ended@": list})
}

// running counts the runs of a job that are at work now.
func (f *fleet) running(job string) int {
	count := 0
	for _, p := range f.places {
		p.mu.Lock()
		if p.life != nil {
			for _, r := range p.life.runs {
				if strings.HasPrefix(r.task, job+".") {
					count++
				}
			}
		}
		p.mu.Unlock()
	}
	return count
}
