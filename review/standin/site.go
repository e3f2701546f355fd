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
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rillsail.example/rillsail/platform/emulator"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// Names of the deployment.
const (
	service  = "service-a"
	host     = "jobs.example"
	prefix   = "/queue-a/"
	maxTries = 3 // max_attempts of the queue
)

// bounds are the figures of a site's sheet that the scenarios need.
type bounds struct {
	maxHold   time.Duration // max_hold_ms: workers cut a longer lease to this
	heartbeat time.Duration // heartbeat_ms of the settings
	drain     time.Duration // drain_ms
}

// The bounds of the small sites.
var (
	samferdRill = bounds{maxHold: 10 * time.Second, heartbeat: 1500 * time.Millisecond, drain: 2 * time.Second}
	wapfhaSched = bounds{maxHold: 6 * time.Second, heartbeat: 1100 * time.Millisecond, drain: 2 * time.Second}
)

// site is the platform's store with its daemons and workers.
type site struct {
	options options
	record  *record
	audit   *audit
	bounds  bounds
	folder  string
	network string // the first three parts of its loopback addresses
	store   *emulator.Emulator
	server  *http.Server
	address string // of the store
	daemons []*daemon
	workers []*worker
	client  *http.Client
}

// daemon is a rillsaild process.
type daemon struct {
	name, ip string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newSite starts the store and the workers, writes the configuration, and then starts the daemons.
func newSite(ctx context.Context, o options, r *record, b bounds, workers []*worker, daemons int) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{
		options: o, record: r, bounds: b, audit: newAudit(r), folder: folder, workers: workers,
		network: fmt.Sprintf("127.%d.%d", 100+pid>>8&63, pid&255),
		client:  &http.Client{Timeout: 4 * time.Second},
	}
	if err := s.startStore(ctx); err != nil {
		return s, err
	}
	for n, w := range workers {
		w.record, w.audit, w.bounds = r, s.audit, b
		if err := startWorker(w, fmt.Sprintf("%s.%d:0", s.network, 100+n)); err != nil {
			return s, err
		}
		if err := s.store.Write(ctx, "servers/"+w.id, w.entry(service, false, 0)); err != nil {
			return s, err
		}
		r.note("worker %s joins", w)
	}
	for n := range daemons {
		if err := s.addDaemon(n + 1); err != nil {
			return s, err
		}
	}
	return s, s.waitReady(ctx)
}

// startStore starts the platform's store and writes the configuration.
func (s *site) startStore(ctx context.Context) error {
	var err error
	if s.store, err = emulator.New(emulator.Config{Store: kv.Config{WritesPerSecond: 400, ReadsPerSecond: 2000}, Heartbeat: s.bounds.heartbeat}); err != nil {
		return err
	}
	configuration, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": host, wire["prefix"]: prefix, "type": "non_idempotent", "timeout_ms": 3000, wire["slack"]: 1000,
			"priority": 0, "backend": service, "max_attempts": maxTries, "extension": 2.0,
		}},
		"services": []any{map[string]any{"name": service, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", wire["guards"]: true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.store.WriteConfiguration(ctx, configuration); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.network+".90:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// removeEntry removes a worker's entry from the store, as the platform does.
func (s *site) removeEntry(ctx context.Context, w *worker) error {
	local := &kv.Local{Service: s.store.Store, Fault: kv.NoFault, WatchWait: time.Second}
	_, err := local.Commit(ctx, platform.Txn{Delete: []string{"servers/" + w.id}})
	return err
}

// addDaemon fills in the template of the settings and starts a daemon.
func (s *site) addDaemon(number int) error {
	template, err := os.ReadFile(s.options.template)
	if err != nil {
		return err
	}
	d := &daemon{name: fmt.Sprintf("front-hofud-a-%d", number), ip: fmt.Sprintf("%s.%d", s.network, number)}
	settings := strings.NewReplacer(
		"{{node_name}}", d.name, "{{region}}", "hofud", "{{zone}}", "hofud-a",
		"{{listen_addrs.front}}", d.ip+":8161", "{{listen_addrs.ready}}", d.ip+":8167",
		"{{ip}}", d.ip, "{{internal_port_range.0}}", "7720", "{{platform.address}}", s.address,
		"{{bounds.max_hold_ms}}", fmt.Sprint(s.bounds.maxHold.Milliseconds()), "{{bounds.grace_s}}", "6",
		"{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000",
	).Replace(string(template))
	if strings.Contains(settings, "{{") {
		return fmt.Errorf("the template has a gap that is not known here")
	}
	d.settings = filepath.Join(s.folder, d.name+".ini")
	if err := os.WriteFile(d.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(s.folder, d.name+".log")); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	return s.startDaemon(d)
}

// startDaemon starts a process of the daemon.
func (s *site) startDaemon(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	command := exec.Command(s.options.daemon, "--config="+d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	s.record.note("%s is started, process %d", d.name, command.Process.Pid)
	return nil
}

// kill kills the daemon's process and waits for its end.
func (s *site) kill(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.exited
	s.record.note("%s is killed", d.name)
}

// owner returns the daemon that owns the cell, by the last line of a log that says so; nil: none does.
func (s *site) owner() *daemon {
	var owner *daemon
	var latest string
	for _, d := range s.daemons {
		data, _ := os.ReadFile(d.log.Name())
		for line := range strings.SplitSeq(string(data), "\n") {
			if strings.Contains(line, "cell is taken") && line > latest {
				owner, latest = d, line
			}
		}
	}
	return owner
}

// waitReady waits until all daemons are ready.
func (s *site) waitReady(ctx context.Context) error {
	for _, d := range s.daemons {
		for {
			ok, err := emulator.Ready(ctx, s.client, d.ip+":8167")
			if err == nil && ok {
				break
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s does not become ready", d.name)
			}
		}
	}
	s.record.note("all daemons are ready")
	return nil
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, d := range s.daemons {
		s.kill(d)
		_ = d.log.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// call makes a requester's call about a job and returns the status; 0: no answer.
func (s *site) call(ctx context.Context, d *daemon, method, id string, body []byte) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.ip+":8161"+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire["deadline header"], "3000")
	response, err := s.client.Do(request)
	if err != nil {
		s.record.note("%s %s at %s: no answer (%v)", method, id, d.name, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	s.record.note("%s %s at %s: %d %s", method, id, d.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a job in at one daemon after the other until it is accepted.
func (s *site) submit(ctx context.Context, id string, job map[string]any) bool {
	body, _ := json.Marshal(job)
	for try := range 10 {
		status, _ := s.call(ctx, s.daemons[try%len(s.daemons)], http.MethodPost, id, body)
		if status == http.StatusOK {
			return true
		}
		if !sleep(ctx, 300*time.Millisecond) {
			return false
		}
	}
	return false
}

// sleep waits; false: ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitFor waits until a condition holds, for some time at most.
func waitFor(ctx context.Context, most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); {
		if holds() {
			return true
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return false
		}
	}
	return false
}
