// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
)

// daemon is a rillsaild process with the proxies for its connections.
type daemon struct {
	name         string
	program      string
	settingsFile string
	log          *os.File
	readyAddress string // listener that reports whether the daemon accepts callers

	callers *toxiproxy.Proxy // in front of the callers' listener
	peers   *toxiproxy.Proxy // in front of the peers' listener
	store   *toxiproxy.Proxy // between the daemon and the store

	mu          sync.Mutex
	process     *os.Process
	exited      chan struct{}
	exitState   *os.ProcessState // of the incarnation that exited last
	incarnation int              // how often the daemon was started
}

// stopGrace is the time that daemons have for a planned stop.
const stopGrace = 4 * time.Second

// start starts the next incarnation of the daemon.
func (d *daemon) start() error {
	command := exec.Command(d.program, "--config", d.settingsFile)
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", d.name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.exited = command.Process, make(chan struct{})
	d.incarnation++
	go d.waitForExit(command, d.exited)
	return nil
}

// waitForExit waits for the exit of one incarnation, records its state and closes exited.
func (d *daemon) waitForExit(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the process state tells how the process exited
	d.mu.Lock()
	d.exitState = command.ProcessState
	d.mu.Unlock()
	close(exited)
}

// signal sends a signal to the incarnation that was started last.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.process.Signal(signal) // the process may have exited
}

// stop makes a planned stop, and kills the process if that takes longer than stopGrace.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(stopGrace):
		d.kill()
	}
}

// kill kills the process and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// running reports whether the process runs, and which incarnation is the latest.
func (d *daemon) running() (incarnation int, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
		return d.incarnation, false
	default:
		return d.incarnation, true
	}
}

// processTarget names the daemon's process among the targets of faults.
func (d *daemon) processTarget() string { return "process of " + d.name }

// lastExit returns the exit state of the incarnation that exited last, and the number of incarnations.
func (d *daemon) lastExit() (exit *os.ProcessState, incarnations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exitState, d.incarnation
}

// newDaemon writes the settings of a daemon, creates its log and starts its proxies.
func (s *site) newDaemon(number int) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("front-%d", number), program: s.config.Daemon}
	addresses, err := s.takeAddresses("caller", "ready", "peer", "metrics")
	if err != nil {
		return nil, err
	}
	d.readyAddress = addresses["ready"]
	if err := s.startProxies(d, addresses); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(s.config.Folder, d.name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	d.settingsFile = filepath.Join(s.config.Folder, d.name+".ini")
	return d, errors.Wrap(os.WriteFile(d.settingsFile, []byte(s.settingsINI(d, addresses)), 0o600), "write settings")
}

// takeAddresses allocates an address for each listener.
func (s *site) takeAddresses(listeners ...string) (map[string]string, error) {
	addresses := map[string]string{}
	for _, listener := range listeners {
		address, err := s.ports.Take()
		if err != nil {
			return nil, err
		}
		addresses[listener] = address
	}
	return addresses, nil
}

// startProxies starts the daemon's proxies.
func (s *site) startProxies(d *daemon, addresses map[string]string) (err error) {
	if d.callers, err = s.newProxy(d.name+" callers", addresses["caller"]); err != nil {
		return err
	}
	if d.peers, err = s.newProxy(d.name+" peers", addresses["peer"]); err != nil {
		return err
	}
	storeAddress, err := s.listenForStore(d)
	if err != nil {
		return err
	}
	d.store, err = s.newProxy(d.name+" store", storeAddress)
	return err
}

// Times in the daemons' settings, as on the users' platform (platform/settings.ini).
const (
	callTimeout   = 700 * time.Millisecond
	workerTimeout = 400 * time.Millisecond
	dialTimeout   = 300 * time.Millisecond
	watchWait     = 800 * time.Millisecond
	workerLease   = 4500 * time.Millisecond // less than maxWorkerLease, the longest lease that workers grant
)

// settingsINI returns the daemon's settings as INI.
func (s *site) settingsINI(d *daemon, addresses map[string]string) string {
	lines := []string{
		"[daemon]", "id = " + d.name, "domain = south/a",
		"[listen]", "caller = " + addresses["caller"], "ready = " + addresses["ready"], "peer = " + addresses["peer"],
		"peer_advertised = " + d.peers.Listen, "metrics = " + addresses["metrics"],
		"[platform]", "adapter = users", "store = " + d.store.Listen,
		fmt.Sprintf("call_timeout = %s", callTimeout), fmt.Sprintf("dial_timeout = %s", dialTimeout),
		fmt.Sprintf("worker_timeout = %s", workerTimeout), fmt.Sprintf("watch_wait = %s", watchWait),
		fmt.Sprintf("max_value_size = %d", s.config.maxValueSize()),
		"[jobs]", fmt.Sprintf("worker_lease = %s", workerLease), fmt.Sprintf("longest_lease = %s", maxWorkerLease), fmt.Sprintf("stop_grace = %s", stopGrace),
		fmt.Sprintf("workers_per_cell = %d", s.config.WorkersPerCell),
	}
	if s.config.EndsPerReport > 0 {
		lines = append(lines, fmt.Sprintf("ends_per_report = %d", s.config.EndsPerReport))
	}
	return strings.Join(append(lines, ""), "\n")
}
