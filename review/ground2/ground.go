// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rillsail.example/rillsail/platform/emulator"
	"rillsail.example/rillsail/services/standin/grid"
)

// Names and amounts of the small deployment that a case plays.
const (
	pool       = "hire-booking"
	queueHost  = "jobs.example"
	prefix     = "/jobs/"
	heartbeat  = 1100 * time.Millisecond
	daemonUp   = 20 * time.Second // for the daemons to become ready
	callerTime = 3 * time.Second  // that a requester waits for an answer
	settle     = 4 * time.Second  // after the daemons are ready, before anything is handed in
)

// groundConfig configures a ground.
type groundConfig struct {
	daemon   string // path of the program
	template string // of its settings
	record   string // file that takes what happened
	daemons  int
}

// ground is a deployment on loopback addresses.
type ground struct {
	config  groundConfig
	folder  string // for settings and logs
	begin   time.Time
	net     string // first three bytes of all addresses
	store   *emulator.Emulator
	address string // of the store
	server  *http.Server
	daemons []*daemon

	mu     sync.Mutex
	record *os.File
	lives  int            // of all machines
	jobs   map[string]job // handed in, by ID
	starts map[string]int // by task
}

// daemon is a rillsaild process.
type daemon struct {
	name, caller, ready string
	settings            string
	log                 *os.File
	process             *exec.Cmd
	ended               chan struct{}
}

// newGround starts the store and the daemons. They become ready once there are runners.
func newGround(ctx context.Context, config groundConfig) (*ground, error) {
	record, err := os.Create(config.record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	g := &ground{
		config: config, folder: folder, begin: time.Now(), record: record,
		net:  fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)),
		jobs: map[string]job{}, starts: map[string]int{},
	}
	if err := g.startStore(ctx); err != nil {
		return nil, err
	}
	for n := range config.daemons {
		d, err := g.addDaemon(n)
		if err == nil {
			err = g.start(d)
		}
		if err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

// log adds a line to the record.
func (g *ground) log(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%7.3f %s\n", time.Since(g.begin).Seconds(), fmt.Sprintf(format, args...))
}

// startStore starts the stand-in for the store and writes the configuration.
func (g *ground) startStore(ctx context.Context) error {
	var err error
	g.store, err = emulator.New(emulator.Config{Grid: grid.Config{Pool: pool}, Heartbeat: heartbeat})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", g.net+"200:0")
	if err != nil {
		return err
	}
	g.address = listener.Addr().String()
	g.server = &http.Server{Handler: g.noteLargeValues(g.store.Handler()), ReadHeaderTimeout: time.Minute}
	go func() { _ = g.server.Serve(listener) }() // ends with close
	g.log("store listens at %s", g.address)
	return g.configure(ctx, 1, pool)
}

// valueBytes is the largest value that the store takes.
const valueBytes = 1 << 20

// noteLargeValues records the changes that the store turns away because a value is too large.
func (g *ground) noteLargeValues(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "@path@/kv-txn" || r.ContentLength < valueBytes {
			store.ServeHTTP(w, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		var call struct {
			Put []struct {
				Key   string `json:"@key@"`
				Value []byte `json:"value"`
			} `json:"put"`
		}
		_ = json.Unmarshal(data, &call)
		for _, p := range call.Put {
			if len(p.Value) > valueBytes {
				g.log("store turns a change away: the value of %s has %d bytes, at most %d are allowed", p.Key, len(p.Value), valueBytes)
			}
		}
		store.ServeHTTP(w, r)
	})
}

// configure writes a configuration with one queue, whose tasks run in the given pool.
func (g *ground) configure(ctx context.Context, version int, backend string) error {
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": queueHost, "@prefix@": prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"@target@": 1000, "priority": 2, "backend": backend, "max_attempts": 4, "extension": 2.0,
		}},
		"services": []map[string]any{{"name": pool, "@rejects@": true}},
		"limits":   map[string]any{},
	})
	if err != nil {
		return err
	}
	g.log("operator writes configuration %d", version)
	return g.store.WriteConfiguration(ctx, value)
}

// addDaemon writes the settings of a daemon, as the platform fills the template.
func (g *ground) addDaemon(number int) (*daemon, error) {
	text, err := os.ReadFile(g.config.template)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("%s%d", g.net, 10+number)
	d := &daemon{name: fmt.Sprintf("front-%d", number+1), caller: ip + ":8161", ready: ip + ":8167"}
	fields := strings.NewReplacer(
		"{{node_name}}", d.name, "{{region}}", "region", "{{zone}}", fmt.Sprintf("zone-%d", number%2), "{{listen_addrs.front}}", d.caller,
		"{{listen_addrs.ready}}", d.ready, "{{ip}}", ip, "{{internal_port_range.0}}", "7720", "{{platform.address}}", g.address,
		"{{bounds.max_hold_ms}}", "6000", "{{bounds.grace_s}}", "6", "{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000.0",
	)
	d.settings = filepath.Join(g.folder, d.name+".ini")
	if err := os.WriteFile(d.settings, []byte(fields.Replace(string(text))), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(g.folder, d.name+".log")); err != nil {
		return nil, err
	}
	g.daemons = append(g.daemons, d)
	return d, nil
}

// start starts a daemon's process.
func (g *ground) start(d *daemon) error {
	d.process = exec.Command(g.config.daemon, "--config="+d.settings)
	d.process.Stdout, d.process.Stderr = d.log, d.log
	if err := d.process.Start(); err != nil {
		return err
	}
	process, ended := d.process, make(chan struct{})
	d.ended = ended
	g.log("%s starts, process %d", d.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		g.log("%s has ended: %v", d.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a daemon.
func (g *ground) signal(d *daemon, signal syscall.Signal) {
	g.log("%s gets signal %v", d.name, signal)
	_ = d.process.Process.Signal(signal)
}

// waitReady waits until all daemons say that they are ready.
func (g *ground) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, daemonUp)
	defer cancel()
	for _, d := range g.daemons {
		for !isReady(ctx, d) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	g.log("daemons are ready")
	return nil
}

func isReady(ctx context.Context, d *daemon) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"@path@/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and the store.
func (g *ground) close() {
	for _, d := range g.daemons {
		if d.process == nil || d.process.Process == nil {
			continue
		}
		_ = d.process.Process.Signal(syscall.SIGCONT)
		_ = d.process.Process.Kill()
		<-d.ended
		_ = d.log.Close()
	}
	_ = g.server.Close()
	_ = g.record.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", g.folder)
		return
	}
	_ = os.RemoveAll(g.folder)
}

// answer is the answer to a requester's call; status 0: none.
type answer struct {
	status int
	body   string
}

// call makes a requester's call at a daemon.
func (g *ground) call(d *daemon, method, path string, body any) answer {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.caller+path, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("@deadline@", fmt.Sprint(callerTime.Milliseconds()))
	response, err := callerClient.Do(request)
	if err != nil {
		g.log("%s %s at %s: no answer (%v)", method, path, d.name, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		g.log("%s %s at %s: answer cut off (%v)", method, path, d.name, err)
		return answer{}
	}
	a := answer{response.StatusCode, strings.TrimSpace(string(text))}
	g.log("%s %s at %s: %d %s", method, path, d.name, a.status, a.body)
	return a
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// job is a job as requesters submit it.
type job struct {
	Payload string `json:"@spec@"`
	Steps   []step `json:"steps"`
}

// step is a step of a job.
type step struct {
	Count    int `json:"count"`
	CPU      int `json:"cpu"`
	Memory   int `json:"@memory@"`
	Estimate int `json:"@estimate@,omitempty"`
}

// submit hands a job in, again at the next daemon after no answer or a refusal, and returns whether it was accepted.
func (g *ground) submit(id string, j job) bool {
	g.expect(id, j)
	for try := range 8 {
		a := g.call(g.daemons[try%len(g.daemons)], http.MethodPost, prefix+id, j)
		switch {
		case a.status/100 == 2:
			return true
		case a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at a daemon; empty if there is none.
func (g *ground) state(d *daemon, id string) (string, int) {
	a := g.call(d, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.State, a.status
}

// expect records a job that is about to be submitted.
func (g *ground) expect(id string, j job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[id] = j
}

// taskParts is the number of parts of a task's name: job, time, step and index.
const taskParts = 4

// stepOf returns the step of a task; false if nobody has handed the task in.
func (g *ground) stepOf(task string) (step, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	parts := strings.Split(task, ".")
	j, ok := g.jobs[parts[0]]
	if !ok || len(parts) != taskParts {
		return step{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return step{}, false
	}
	return j.Steps[n], true
}

// noteStart counts a start of a task.
func (g *ground) noteStart(task string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts[task]++
}

// startsOf returns how often a task was started.
func (g *ground) startsOf(task string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts[task]
}

// startRunners starts a runner on each of some machines, from the configured one on.
func (g *ground) startRunners(config runnerConfig, machines int) ([]*runner, error) {
	var runners []*runner
	for range machines {
		r, err := g.startRunner(config, "")
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
		config.machine++
	}
	return runners, nil
}
