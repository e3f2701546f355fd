// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/grid"
	"rillsail.example/rillsail/services/standin/kv"
)

// testCluster is a store, a grid of workers and any number of daemons in one process, on the clock of a synctest
// bubble. The daemons run the production code; only their connections and clocks are replaced.
type testCluster struct {
	t              *testing.T
	ctx            context.Context
	store          *kv.Service
	grid           *grid.Grid
	daemons        []*testDaemon
	feed           *testFeed
	daemonsStarted int // number of daemons started so far
	// processesStarted is the number of daemons' processes started so far, also on the same VM one after the other.
	processesStarted int
	settings         setting.Jobs
	scope            tally.TestScope
	daemonCores      float64 // processor cores of daemons started from now on; 0: as in testSettings
	daemonLinkMbit   float64 // link rate of daemons started from now on; 0: unknown
	logs             zapcore.Core
	logged           *observer.ObservedLogs
	maxValueSize     int // of the store, in bytes; 0: platform.MaxValueSize
	// acceptsInvalid is set in tests in which the daemons are meant to make calls that the store refuses as invalid.
	acceptsInvalid bool
	// wrapStore adds faults to the store connection of daemons started from now on; nil: none.
	wrapStore func(d *testDaemon, store platform.TxnStore) platform.TxnStore
	// beforeStart is called before each start that a daemon sends to a worker; nil: nothing. It must be set before the
	// first job is submitted.
	beforeStart func(to jobs.Worker)
	// losesQuery reports whether a query to another daemon gets no answer; nil: none. It must be set before the first daemon
	// is lost.
	losesQuery func(query jobs.Query) bool

	mu          sync.Mutex
	outage      bool
	byName      map[string]*testDaemon // all daemons ever started
	heldEntries map[jobs.WorkerID]bool // workers whose changed list entries don't reach the daemons
}

// testDaemon is a daemon with the simulated faults of its own connections.
type testDaemon struct {
	*Service
	cluster *testCluster
	name    string
	cancel  context.CancelFunc
	done    chan struct{}

	mu              sync.Mutex
	frozen          chan struct{} // closed when the daemon thaws; calls wait for that; nil: not frozen
	storeCut        bool
	lostAnswerDraw  *rand.Rand // draws which writes lose their answer, 3 of 10; nil: none
	workerCut       bool
	cutFrom         map[jobs.WorkerID]bool // workers that the daemon does not reach
	storeWriteDelay time.Duration          // see testStore
	orderDelay      time.Duration          // delay of the daemon's orders to workers, whose calls time out; 0: none
	watchLost       bool                   // watches of the store fail, while other calls are answered
	peersCut        bool                   // the daemon and the other daemons do not reach each other
	side            int                    // daemons of different sides do not reach each other

	vmSuspension *suspension

	exited bool // the process has exited while its VM runs: connections to its address are refused

	cordonsLost bool // readings of the cordons fail, while other calls are answered

	beforeCommit func() // called before each of the daemon's transactions; nil: nothing
}

type testFeed struct{ configuration jobs.Configuration }

func (f *testFeed) Configuration(context.Context) (jobs.Configuration, platform.Version, error) {
	return f.configuration, 1, nil
}

func (f *testFeed) NextConfiguration(ctx context.Context, _ platform.Version) (jobs.Configuration, platform.Version, error) {
	<-ctx.Done()
	return jobs.Configuration{}, 0, platform.ErrNotFound
}

var testSettings = setting.Jobs{
	OwnerLease: 2 * time.Second, WorkerLease: 6 * time.Second, LongestLease: 6 * time.Second,
	ReportWait: time.Second, ReportPause: 20 * time.Millisecond,
	StoreEvery: 200 * time.Millisecond, StopGrace: 6 * time.Second, WorkersPerCell: 100, Processor: 1,
}

const (
	testPool     = "pool"
	testQueue    = "quotes"
	testAttempts = 3
)

var testTerms = jobs.Terms{Pool: testPool, MaxAttempts: testAttempts, Slack: 250, Stretch: 1.5}

// newTestCluster creates a cluster of one cell. The changes are made before its first daemon starts.
func newTestCluster(t *testing.T, workers, daemons int, work func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End), changes ...clusterChange) *testCluster {
	t.Helper()
	return newTestClusterWithSettings(t, daemons, testSettings, grid.Config{Workers: workers, Work: work}, changes...)
}

// newTestClusterWithCells creates a cluster with perCell workers in each cell.
func newTestClusterWithCells(t *testing.T, workers, daemons, perCell int, work func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End)) *testCluster {
	t.Helper()
	return newTestClusterWithGrid(t, daemons, perCell, grid.Config{Workers: workers, Work: work})
}

// newTestClusterWithGrid creates a cluster with workers as configured. It sets their racks, pool, capacity, lease and
// stop time to the tests' defaults.
func newTestClusterWithGrid(t *testing.T, daemons, perCell int, workers grid.Config, changes ...clusterChange) *testCluster {
	t.Helper()
	settings := testSettings
	settings.WorkersPerCell, settings.EndsPerReport = perCell, workers.EndsPerReport
	return newTestClusterWithSettings(t, daemons, settings, workers, changes...)
}

// newTestClusterWithSettings creates the same cluster, with daemons that have the given settings.
func newTestClusterWithSettings(t *testing.T, daemons int, settings setting.Jobs, workers grid.Config, changes ...clusterChange) *testCluster {
	t.Helper()
	workers.PerRack, workers.Pool, workers.Capacity = 2, testPool, models.Resources{CPU: 4000, Memory: 8000}
	workers.LongestLease, workers.StopTime, workers.ClockDrift = testSettings.LongestLease, 300*time.Millisecond, 0.02
	ctx, cancel := context.WithCancel(t.Context())
	w := &testCluster{
		t: t, ctx: ctx, store: kv.New(kv.Config{}), settings: settings, scope: tally.NewTestScope("", nil),
		byName: map[string]*testDaemon{}, heldEntries: map[jobs.WorkerID]bool{},
		grid: grid.New(workers),
		feed: &testFeed{configuration: jobs.Configuration{
			Version: 1, Pools: []jobs.Pool{{Name: testPool}},
			Queues: []jobs.Queue{{Name: testQueue, Host: "a.example", Prefix: "/q/", Terms: testTerms}},
		}},
	}
	w.logs, w.logged = observer.New(zap.InfoLevel)
	for _, change := range changes {
		change(w)
	}
	for range daemons {
		w.startDaemon()
	}
	t.Cleanup(func() {
		for _, d := range w.daemons {
			d.kill()
		}
		cancel()
		if !w.acceptsInvalid {
			assert.Zero(t, w.invalidCommits(), "transactions that the store does not accept")
		}
	})
	return w
}

func (w *testCluster) startDaemon() *testDaemon {
	w.daemonsStarted++
	return w.startDaemonAs(fmt.Sprintf("daemon-%d", w.daemonsStarted))
}

// startDaemonAs starts a daemon's process under a name, which is also its address.
func (w *testCluster) startDaemonAs(name string) *testDaemon {
	w.mu.Lock()
	w.processesStarted++
	process := w.processesStarted
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	d := &testDaemon{cluster: w, name: name, cancel: cancel, done: make(chan struct{}), cutFrom: map[jobs.WorkerID]bool{}, vmSuspension: &suspension{}}
	ids := 0
	settings := w.settings
	if w.daemonCores > 0 {
		settings.Processor = w.daemonCores
	}
	settings.Link = w.daemonLinkMbit
	var store platform.TxnStore = &testStore{&kv.Local{Service: w.store, Fault: d.storeFault, WatchWait: time.Second}, d}
	if w.wrapStore != nil {
		store = w.wrapStore(d, store)
	}
	d.Service = New(Config{
		Self: name, Address: name, Settings: settings, Store: store, MaxValueSize: w.maxValueSize,
		Clock:   clock.New(clock.Config{Monotonic: d.vmSuspension.steady, Meter: d.vmSuspension}),
		Workers: &testWorkers{d}, List: &testList{d}, Cordons: &testCordons{d}, Feed: w.feed, Peers: &testPeers{d},
		NewID: func() string {
			ids++
			return fmt.Sprintf("%s-%d-%d", name, process, ids)
		},
		Logger: zap.New(w.logs).With(zap.String("id", name)), Scope: w.scope,
	})
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.byName[name] = d
	w.mu.Unlock()
	go d.run(ctx)
	return d
}

// daemonList returns the daemons, for use beside the goroutine that runs the script.
func (w *testCluster) daemonList() []*testDaemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.daemons)
}

func (d *testDaemon) run(ctx context.Context) {
	defer close(d.done)
	configured := make(chan struct{})
	go func() {
		defer close(configured)
		d.Configurations.Run(ctx)
	}()
	d.Cells.Run(ctx)
	<-configured
}

// kill ends a daemon as a power failure does: it hands nothing over.
func (d *testDaemon) kill() {
	d.vmSuspension.end()
	d.thaw()
	d.cancel()
	<-d.done
}

// killProcess ends a daemon as SIGKILL does: it hands nothing over, and its VM refuses connections.
func (d *testDaemon) killProcess() {
	d.kill()
	d.set(func() { d.exited = true })
}

// began returns when the cluster's first daemons were started.
func (w *testCluster) began() time.Time { return w.logged.All()[0].Time }

// restart starts the next process of a daemon that was killed, on the same VM.
func (d *testDaemon) restart() *testDaemon { return d.cluster.startDaemonAs(d.name) }

// hasEnded reports whether the process has ended.
func (d *testDaemon) hasEnded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// lastLiveDaemon returns the daemon that was started last among those whose process has not ended.
func (w *testCluster) lastLiveDaemon() *testDaemon {
	live := slices.DeleteFunc(w.daemonList(), (*testDaemon).hasEnded)
	return live[len(live)-1]
}

// answersPeers reports whether calls of another daemon reach the process.
func (d *testDaemon) answersPeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.hasEnded() && d.frozen == nil && !d.peersCut
}

func (d *testDaemon) hasExited() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// freeze blocks all calls of a daemon, as in a stopped process.
func (d *testDaemon) freeze() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozen == nil {
		d.frozen = make(chan struct{})
	}
}

func (d *testDaemon) thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozen != nil {
		close(d.frozen)
		d.frozen = nil
	}
}

func (d *testDaemon) isFrozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen != nil
}

func (d *testDaemon) waitThawed(ctx context.Context) {
	d.mu.Lock()
	frozen := d.frozen
	d.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
		}
	}
}

func (w *testCluster) setOutage(outage bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage = outage
}

// holdEntry sets whether changes of a worker's list entry are held back from the daemons, which then know the entry as
// it was.
func (w *testCluster) holdEntry(id jobs.WorkerID, held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heldEntries[id] = held
}

func (w *testCluster) isEntryHeld(id jobs.WorkerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldEntries[id]
}

// owner gives the daemon that owns the first cell, as the store says.
func (w *testCluster) owner() *testDaemon {
	for _, d := range w.daemons {
		if d.Cells.Answer(jobs.Query{Cell: cellName(0)}).IsOwner {
			return d
		}
	}
	return nil
}

// eventually waits until a condition holds, on the bubble's clock.
func (w *testCluster) eventually(within time.Duration, description string, condition func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			require.Fail(w.t, "condition not met in time: "+description, "breaches: %v", w.grid.Breaches())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit submits a job to a daemon until the job is accepted.
func (w *testCluster) submit(d *testDaemon, spec jobs.Spec) {
	w.t.Helper()
	spec.Queue = testQueue
	w.grid.Expect(spec, testAttempts)
	w.eventually(30*time.Second, "job is accepted", func() bool {
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		return d.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}) == (platform.Done{})
	})
}

func (w *testCluster) state(d *testDaemon, id jobs.ID) jobs.State {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	state, err := d.State(ctx, id)
	if err != nil {
		return ""
	}
	return state
}

// log returns the log lines of all daemons.
func (w *testCluster) log() string {
	var b strings.Builder
	for _, entry := range w.logged.All() {
		fmt.Fprintf(&b, "%s %s %v\n", entry.Time.Format("15:04:05.000"), entry.Message, entry.ContextMap())
	}
	return b.String()
}

// invalidCommits returns how many transactions of the daemons exceeded a limit of the store, or were refused by it as invalid.
func (w *testCluster) invalidCommits() int64 {
	counter := w.scope.Snapshot().Counters()["store_calls+call=commit,result=invalid"]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

func (w *testCluster) requireNoBreaches() {
	w.t.Helper()
	require.Empty(w.t, w.grid.Breaches())
}

func jobID(n int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", n)) }

// twoStepJob returns a job of two steps, the second of which depends on the first.
func twoStepJob(n int, work time.Duration) jobs.Spec {
	size := models.Resources{CPU: 1000, Memory: 500}
	return jobs.Spec{ID: jobID(n), Payload: jobs.Text(fmt.Sprint("payload ", n)), Steps: []jobs.Step{
		{Count: 3, Size: size, Estimate: models.MilliOf(work)},
		{Count: 2, Size: size, Estimate: models.MilliOf(work), After: []int{0}},
	}}
}

// longRunningJob returns a job of long-running tasks.
func longRunningJob(n, tasks int) jobs.Spec {
	return jobs.Spec{ID: jobID(n), Payload: jobs.Text(fmt.Sprint("payload ", n)), Steps: []jobs.Step{{
		Count: tasks, Size: models.Resources{CPU: 1500, Memory: 1000}, LongRunning: true, Image: "serving", Target: 100,
	}}}
}
