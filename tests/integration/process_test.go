// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/portblock"
)

// process is one running program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	stderr bytes.Buffer
}

// newProcess makes a process of one of the programs, not started yet.
func newProcess(t *testing.T, program string, args ...string) *process {
	return &process{t: t, cmd: exec.Command(programPath(t, program), args...)}
}

// start starts the process, which is killed at the end of the test.
func (p *process) start() {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Start())
	p.t.Cleanup(p.kill)
}

// startDaemonProcess starts a rillsaild; what it logs is kept with its errors.
func startDaemonProcess(t *testing.T, file string) *process {
	t.Helper()
	p := newProcess(t, "rillsaild", "--config", file)
	p.cmd.Stdout, p.cmd.Stderr = &p.stderr, &p.stderr
	p.start()
	return p
}

// reap waits for the process to end.
func (p *process) reap() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Wait()
	}
}

// kill ends the process at once, also when it is frozen.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.reap()
	if p.t.Failed() {
		p.t.Logf("%v:\n%s", p.cmd.Args, p.stderr.String())
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop is a planned stop; it waits for the process to end.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	p.reap()
}

// startStandin starts a stand-in and reads the address it prints.
func startStandin(t *testing.T, args ...string) (*process, string) {
	t.Helper()
	p := newProcess(t, "rillsail-standin", args...)
	stdout, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.cmd.Stderr = &p.stderr
	p.start()
	line, err := bufio.NewReader(stdout).ReadString('\n')
	require.NoError(t, err, p.stderr.String())
	var ready struct{ Address string }
	require.NoError(t, json.Unmarshal([]byte(line), &ready))
	return p, ready.Address
}

// ports is where the addresses come from that daemons are told to listen on.
var ports portblock.Block

// freeAddress is an address on the loopback that nothing else uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Take()
	require.NoError(t, err)
	return address
}
