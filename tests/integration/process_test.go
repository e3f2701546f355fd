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

// process is a process of one of the programs.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	stderr bytes.Buffer
}

// newProcess creates a process of one of the programs without starting it.
func newProcess(t *testing.T, program string, args ...string) *process {
	return &process{t: t, cmd: exec.Command(programPath(t, program), args...)}
}

// start starts the process. It is killed at the end of the test.
func (p *process) start() {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Start())
	p.t.Cleanup(p.kill)
}

// startDaemonProcess starts a rillsaild. Its log and its error output are both collected in stderr.
func startDaemonProcess(t *testing.T, file string) *process {
	t.Helper()
	p := newProcess(t, "rillsaild", "--config", file)
	p.cmd.Stdout, p.cmd.Stderr = &p.stderr, &p.stderr
	p.start()
	return p
}

// reap waits for the process to exit.
func (p *process) reap() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Wait()
	}
}

// kill kills the process, even if it is frozen, and waits for its exit. If the test has failed, kill logs
// the process's output.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.reap()
	if p.t.Failed() {
		p.t.Logf("%v:\n%s", p.cmd.Args, p.stderr.String())
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop makes a planned stop and waits for the process to exit.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	p.reap()
}

// startStandin starts a stand-in and returns the address that it prints.
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

// ports allocates the addresses that daemons listen on.
var ports portblock.Block

// freeAddress returns an unused address on the loopback interface.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Take()
	require.NoError(t, err)
	return address
}
