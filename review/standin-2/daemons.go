//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// daemon is a process of the project, started as the deploy file says.
type daemon struct {
	name    string
	callers string // address of its front
	ready   string
	boot    string // its settings file
	log     string
	cmd     *exec.Cmd
}

// host is a loopback address of this play's own. Outgoing connections come from another one, so that a process that is away
// for some time finds its own port free again.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))

// freeAddress returns an address with a port that is free now and that was not returned before.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !givenAddresses[address] {
			givenAddresses[address] = true
			return address
		}
	}
}

var givenAddresses = map[string]bool{}

// newDaemon fills the template of the deploy file for a machine.
func newDaemon(number int, folder, store string) *daemon {
	d := &daemon{
		name: fmt.Sprintf("front-perth-cbd-%d", number), callers: freeAddress(), ready: freeAddress(),
		boot: filepath.Join(folder, fmt.Sprintf("boot-%d.ini", number)), log: filepath.Join(folder, fmt.Sprintf("daemon-%d.log", number)),
	}
	template, err := os.ReadFile("platform/settings.ini")
	if err != nil {
		panic(err)
	}
	text := strings.NewReplacer(
		"{{node_name}}", d.name, "{{region}}", "wa-south", "{{zone}}", "perth-cbd",
		"{{listen_addrs.front}}", d.callers, "{{listen_addrs.ready}}", d.ready,
		"{{ip}}:{{internal_port_range.0}}", freeAddress(), "{{ip}}:9464", freeAddress(),
		"{{platform.address}}", store, "{{bounds.max_hold_ms}}", "6000", "{{bounds.grace_s}}", "6",
		"{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000",
	).Replace(string(template))
	if err := os.WriteFile(d.boot, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return d
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	d.cmd = exec.Command("target/rillsaild", "--config="+d.boot)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		fmt.Println("could not start target/rillsaild:", err)
		os.Exit(exitNotRun)
	}
	_ = out.Close() // the process has its own copy
}

// kill ends the process with SIGKILL and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
}

// awaitReady waits until the daemon accepts requesters.
func (d *daemon) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _ := ask("GET", "http://"+d.ready+"@path@/readiness", "", ""); status == 200 {
			return true
		}
	}
	return false
}
