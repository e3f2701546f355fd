// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/platform/emulator"
	"rillsail.example/rillsail/services/standin/grid"
)

// site is the users' platform, which is emulated in this process with a proxy in front of the store, with
// the daemons, which run as processes.
type site struct {
	t          *testing.T
	emulator   *emulator.Emulator
	storeProxy *toxiproxy.Proxy // in front of the store
	daemons    []*siteDaemon
}

type siteDaemon struct {
	*process
	caller, ready, metrics string
}

const (
	siteHost        = "jobs.example"
	sitePrefix      = "/quotes/"
	siteMaxAttempts = 3
)

func newSite(t *testing.T, workers, daemons int) *site {
	t.Helper()
	e, err := emulator.New(emulator.Config{
		Grid: grid.Config{
			Workers: workers, PerRack: 4, Pool: "pool", Capacity: models.Resources{CPU: 4000, Memory: 8000},
			LongestLease: 6 * time.Second, StopTime: 200 * time.Millisecond,
		},
		Queues: []emulator.Queue{{
			Name: "quotes", Host: siteHost, Prefix: sitePrefix, Pool: "pool", Slack: 250, Stretch: 1.5, MaxAttempts: siteMaxAttempts,
		}},
		Heartbeat: 500 * time.Millisecond,
	})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = store.Serve(listener) }() // returns after Close
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- e.Run(ctx) }()
	s := &site{t: t, emulator: e}
	proxies := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	s.storeProxy = toxiproxy.NewProxy(proxies, "store", freeAddress(t), listener.Addr().String())
	require.NoError(t, s.storeProxy.Start())
	t.Cleanup(func() {
		s.storeProxy.Stop()
		cancel()
		require.NoError(t, <-ran)
		_ = store.Close()
	})
	for i := range daemons {
		s.daemons = append(s.daemons, s.startDaemon(i))
	}
	for _, d := range s.daemons {
		eventually(t, "daemon is ready", func() bool { return d.isReady(t) })
	}
	return s
}

func statusCodeOf(url string) int {
	response, err := http.Get(url) //nolint:noctx // the test's own timeout applies
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (s *site) startDaemon(i int) *siteDaemon {
	s.t.Helper()
	d := &siteDaemon{caller: freeAddress(s.t), ready: freeAddress(s.t), metrics: freeAddress(s.t)}
	file := filepath.Join(s.t.TempDir(), "app.ini")
	require.NoError(s.t, os.WriteFile(file, []byte(formatINI(map[string]string{
		"daemon.id": fmt.Sprintf("front-%d", i), "daemon.domain": "south/a",
		"listen.caller": d.caller, "listen.ready": d.ready, "listen.peer": freeAddress(s.t), "listen.metrics": d.metrics,
		"platform.adapter": "users", "platform.store": s.storeProxy.Listen, "platform.call_timeout": "700ms", "platform.watch_wait": "800ms",
		"jobs.worker_lease": "4500ms", "jobs.longest_lease": "6s", "jobs.stop_grace": "2s",
	})), 0o600))
	d.process = startDaemonProcess(s.t, file)
	return d
}

// siteCaller submits jobs as the platform's callers do.
var siteCaller = emulator.Caller{Client: http.DefaultClient, Host: siteHost, Prefix: sitePrefix}

// isReady reports whether the daemon accepts callers.
func (d *siteDaemon) isReady(t *testing.T) bool {
	ready, err := emulator.Ready(t.Context(), http.DefaultClient, d.ready)
	return err == nil && ready
}

func siteJob(n int, lasts bool) jobs.Spec {
	step := jobs.Step{Count: 3, Size: models.Resources{CPU: 500, Memory: 100}, Estimate: 300, LongRunning: lasts}
	spec := jobs.Spec{ID: jobs.ID(fmt.Sprintf("%016x", n)), Queue: "quotes", Payload: jobs.Text(fmt.Sprint("payload ", n)), Steps: []jobs.Step{step}}
	if !lasts {
		second := step
		second.Count, second.After = 2, []int{0}
		spec.Steps = append(spec.Steps, second)
	}
	return spec
}

func (s *site) submit(d *siteDaemon, n int, lasts bool) jobs.ID {
	s.t.Helper()
	spec := siteJob(n, lasts)
	s.emulator.Grid.Expect(spec, siteMaxAttempts)
	eventually(s.t, "job is accepted", func() bool {
		answer, err := siteCaller.Submit(s.t.Context(), d.caller, spec)
		return err == nil && answer.Status == http.StatusOK
	})
	return spec.ID
}

func (s *site) waitState(d *siteDaemon, id jobs.ID, state jobs.State) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("%s is %s", id, state), func() bool {
		shown, answer, err := siteCaller.State(s.t.Context(), d.caller, id)
		return err == nil && answer.Status == http.StatusOK && shown == state
	})
}

func (s *site) requireNoBreaches() {
	s.t.Helper()
	require.Empty(s.t, s.emulator.Grid.Breaches())
}

func TestJobsOnTheUsersPlatform(t *testing.T) {
	s := newSite(t, 4, 3)
	id := s.submit(s.daemons[0], 1, false)
	for _, d := range s.daemons {
		s.waitState(d, id, jobs.StateSucceeded)
	}
	lasting := s.submit(s.daemons[1], 2, true)
	eventually(t, "tasks run", func() bool { return s.emulator.Grid.Running(lasting) == 3 })
	answer, err := siteCaller.Pending(t.Context(), s.daemons[2].caller)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status, answer.Body)
	answer, err = siteCaller.Cancel(t.Context(), s.daemons[2].caller, lasting)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	eventually(t, "tasks are stopped", func() bool { return s.emulator.Grid.Running(lasting) == 0 })
	s.waitState(s.daemons[0], lasting, jobs.StateCancelled)
	_, answer, err = siteCaller.State(t.Context(), s.daemons[0].caller, siteJob(99, false).ID)
	require.NoError(t, err)
	require.Equal(t, http.StatusGone, answer.Status)
	require.Equal(t, http.StatusOK, statusCodeOf("http://"+s.daemons[0].metrics+"/metrics"))
	s.requireNoBreaches()
}

func TestDaemonsKilledOneAfterTheOther(t *testing.T) {
	s := newSite(t, 4, 3)
	lasting := s.submit(s.daemons[0], 1, true)
	eventually(t, "tasks run", func() bool { return s.emulator.Grid.Running(lasting) == 3 })
	for i := range s.daemons {
		s.daemons[i].kill()
		id := s.submit(s.daemons[(i+1)%len(s.daemons)], 10+i, false)
		s.waitState(s.daemons[(i+1)%len(s.daemons)], id, jobs.StateSucceeded)
		s.daemons[i] = s.startDaemon(i)
		eventually(t, "daemon is ready", func() bool { return s.daemons[i].isReady(t) })
	}
	require.Equal(t, 3, s.emulator.Grid.Running(lasting))
	s.requireNoBreaches()
}

func TestDaemonsFrozenInTurn(t *testing.T) {
	s := newSite(t, 4, 2)
	lasting := s.submit(s.daemons[0], 1, true)
	eventually(t, "tasks run", func() bool { return s.emulator.Grid.Running(lasting) == 3 })
	for i, d := range s.daemons {
		other := s.daemons[1-i]
		d.signal(syscall.SIGSTOP)
		id := s.submit(other, 10+i, false)
		s.waitState(other, id, jobs.StateSucceeded)
		d.signal(syscall.SIGCONT)
		s.waitState(d, id, jobs.StateSucceeded)
	}
	s.requireNoBreaches()
}

func TestOutageOfTheUsersStore(t *testing.T) {
	s := newSite(t, 4, 2)
	first := s.submit(s.daemons[0], 1, false)
	s.waitState(s.daemons[0], first, jobs.StateSucceeded)
	s.storeProxy.Stop()
	// Each try submits another job: the outcome of a job that was being written when the outage began is
	// unknown, so that job is never refused.
	n := 100
	eventually(t, "a job is refused at once", func() bool {
		n++
		spec := siteJob(n, false)
		s.emulator.Grid.Expect(spec, siteMaxAttempts)
		began := time.Now()
		answer, err := siteCaller.Submit(t.Context(), s.daemons[1].caller, spec)
		return err == nil && answer.Status == http.StatusServiceUnavailable && time.Since(began) < 200*time.Millisecond
	})
	require.NoError(t, s.storeProxy.Start())
	id := s.submit(s.daemons[1], 3, false)
	s.waitState(s.daemons[0], id, jobs.StateSucceeded)
	s.requireNoBreaches()
}

func TestPlannedStopsInTurn(t *testing.T) {
	s := newSite(t, 4, 2)
	lasting := s.submit(s.daemons[0], 1, true)
	eventually(t, "tasks run", func() bool { return s.emulator.Grid.Running(lasting) == 3 })
	for i := range s.daemons {
		s.daemons[i].stop()
		require.True(t, s.daemons[i].cmd.ProcessState.Success())
		id := s.submit(s.daemons[1-i], 10+i, false)
		s.waitState(s.daemons[1-i], id, jobs.StateSucceeded)
		s.daemons[i] = s.startDaemon(i)
		eventually(t, "daemon is ready", func() bool { return s.daemons[i].isReady(t) })
	}
	require.Equal(t, 3, s.emulator.Grid.Running(lasting))
	s.requireNoBreaches()
}

func TestPlannedStopInAnOutageEndsInTime(t *testing.T) {
	s := newSite(t, 2, 1)
	s.storeProxy.Stop()
	began := time.Now()
	s.daemons[0].stop()
	require.Less(t, time.Since(began), 2*time.Second, "a planned stop may take 2 s")
	require.True(t, s.daemons[0].cmd.ProcessState.Success())
}

func TestHangupReadsTheSettingsAgain(t *testing.T) {
	s := newSite(t, 2, 1)
	s.daemons[0].signal(syscall.SIGHUP)
	id := s.submit(s.daemons[0], 1, false)
	s.waitState(s.daemons[0], id, jobs.StateSucceeded)
	s.daemons[0].stop()
	require.Contains(t, s.daemons[0].stderr.String(), "settings reloaded, nothing has changed")
}
