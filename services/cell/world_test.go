// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/journal"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

var viewOf = config.ViewOf

// world is a store, a fleet and any number of owners in one process, on the clock of a synctest
// bubble. The owners are real; only the network connections are replaced.
type world struct {
	t         require.TestingT
	ctx       context.Context
	store     *kv.Service
	fleet     *fleet.Fleet
	view      *config.View
	owners    map[models.CellID][]*testOwner // the latest owner last
	idsIssued int

	settings setting.Cell
	learner  func() Learner

	mu     sync.Mutex
	faults worldFaults
}

// worldFaults are the faults that are currently injected.
type worldFaults struct {
	outage       bool
	lostAnswers  int              // number of store writes that take effect and whose answers are lost
	paused       map[int]chan any // by daemon: the calls of a paused daemon wait until the channel is closed
	repeatCalls  bool             // calls to workers are delivered twice
	lostReplies  int              // number of answers of workers that are lost
	lossyReplies *rand.Rand       // draws the answers of workers that are lost, 3 of 10
	lateStarts   int              // number of calls to workers that arrive after the caller has timed out
	lateOffers   int              // number of offers of which a second copy arrives later
	cutOff       map[int]bool     // daemons that can't reach any worker
}

type testOwner struct {
	*Owner
	daemon int
	cancel context.CancelFunc
}

var testSettings = setting.Cell{
	Lease: 4 * time.Second, Renew: 200 * time.Millisecond, Append: 50 * time.Millisecond, Tick: 100 * time.Millisecond,
	RingSlots: 8, KeepJobs: 100, SettleAfter: 500 * time.Millisecond, Policy: "pairs",
}

func newWorld(t *testing.T, verdict require.TestingT, workers int) *world {
	t.Helper()
	return newWorldOf(t, verdict, testSettings, fleet.Config{
		RunName: "test", Workers: workers, PerRack: 2, Worker: models.Resources{CPU: 4000, Memory: 4096},
		Domains: []string{"south/a", "south/b"}, ListLag: time.Second, ReportLag: 200 * time.Millisecond, NoListeners: true,
	})
}

func newWorldOf(t *testing.T, verdict require.TestingT, settings setting.Cell, config fleet.Config) *world {
	t.Helper()
	f, err := fleet.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{
		t: verdict, ctx: ctx, store: kv.New(kv.Config{}), fleet: f, owners: map[models.CellID][]*testOwner{},
		settings: settings,
		learner:  func() Learner { return interference.New(interference.Config{}) },
		view:     viewOf(1, models.Team{Name: "office"}),
		faults:   worldFaults{paused: map[int]chan any{}, cutOff: map[int]bool{}},
	}
	go f.Advance(ctx)
	t.Cleanup(func() {
		w.healAll()
		cancel()
		time.Sleep(time.Minute) // lets every goroutine end
		synctest.Wait()
	})
	return w
}

func (w *world) config() *config.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) setView(v *config.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
}

func (w *world) setFaults(change func(*worldFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// pause makes all calls of a daemon wait, as when its process is frozen.
func (w *world) pause(daemon int) {
	w.setFaults(func(f *worldFaults) {
		if f.paused[daemon] == nil {
			f.paused[daemon] = make(chan any)
		}
	})
}

func (w *world) resume(daemon int) {
	w.setFaults(func(f *worldFaults) {
		if f.paused[daemon] != nil {
			close(f.paused[daemon])
			delete(f.paused, daemon)
		}
	})
}

func (w *world) healAll() {
	for daemon := range 8 {
		w.resume(daemon)
	}
	w.setFaults(func(f *worldFaults) {
		f.outage, f.lostAnswers, f.repeatCalls, f.lostReplies, f.lateStarts, f.lateOffers = false, 0, false, 0, 0, 0
		f.cutOff = map[int]bool{}
	})
	for _, vm := range w.fleet.VMs().VMs {
		_ = w.fleet.Apply(fleet.Control{VM: vm.ID, Action: fleet.ActionHeal})
		_ = w.fleet.Apply(fleet.Control{VM: vm.ID, Action: fleet.ActionRepair})
	}
}

// waitWhilePaused blocks a call of a paused daemon until the daemon is resumed or ctx ends.
func (w *world) waitWhilePaused(ctx context.Context, daemon int) error {
	w.mu.Lock()
	late := w.faults.paused[daemon]
	w.mu.Unlock()
	if late == nil {
		return nil
	}
	select {
	case <-late:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *world) storeFor(daemon int) platform.Store {
	return &kv.Local{Service: w.store, WatchWait: time.Second, Fault: func(ctx context.Context, write, after bool, _ string) error {
		if err := w.waitWhilePaused(ctx, daemon); err != nil {
			return errors.Mark(err, platform.ErrUnknownOutcome)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !after && w.faults.outage {
			return platform.ErrUnavailable
		}
		if after && write && w.faults.lostAnswers > 0 {
			w.faults.lostAnswers--
			return platform.ErrUnknownOutcome
		}
		return nil
	}}
}

// lateDelay is the delay of late calls and late copies of offers.
const lateDelay = 1500 * time.Millisecond

var errLost = errors.New("answer lost")

func (w *world) workersFor(daemon int) platform.Workers {
	return &fleet.Local{
		Fleet: w.fleet,
		Fault: func(ctx context.Context, after bool, _ string) error {
			if err := w.waitWhilePaused(ctx, daemon); err != nil {
				return err
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.faults.cutOff[daemon] {
				return errLost
			}
			if after && w.faults.lossyReplies != nil && w.faults.lossyReplies.IntN(10) < 3 {
				return errLost
			}
			if after && w.faults.lostReplies > 0 {
				w.faults.lostReplies--
				return errLost
			}
			return nil
		},
		StartDelay: func() time.Duration {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.faults.lateStarts == 0 {
				return 0
			}
			w.faults.lateStarts--
			return lateDelay
		},
		Duplicate: func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.faults.repeatCalls
		},
	}
}

type listFunc func() models.VMList

// VMs implements platform.VMList.
func (l listFunc) VMs(context.Context) (models.VMList, error) { return l(), nil }

// takeOver makes a daemon take over a cell. Previous owners continue until they notice.
func (w *world) takeOver(daemon int, cell models.CellID) (*testOwner, error) {
	vms, j, err := w.newDependencies(daemon, cell)
	if err != nil {
		return nil, err
	}
	err = j.Acquire(w.ctx)
	for errors.Is(err, journal.ErrPending) {
		time.Sleep(retryAppend)
		err = j.ResolvePending(w.ctx)
	}
	if err != nil {
		return nil, err
	}
	return w.startOwner(daemon, cell, j, vms, false), nil
}

// newDependencies returns the inventory and the journal that a daemon needs to own a cell.
func (w *world) newDependencies(daemon int, cell models.CellID) (*inventory.Service, *journal.Journal, error) {
	store := w.storeFor(daemon)
	vms := inventory.New(inventory.Config{
		List: listFunc(w.fleet.VMs), Store: store, Interval: 200 * time.Millisecond,
		Logger: zap.NewNop(), Scope: tally.NoopScope, Changed: func() {},
	})
	j := journal.New(journal.Config{
		Store: store, Cell: cell, Writer: models.MemberID(fmt.Sprint("daemon-", daemon)), Slots: w.settings.RingSlots, NewID: w.newID,
	})
	return vms, j, vms.Refresh(w.ctx)
}

// adopt makes a daemon continue a cell that was handed over to it. The cell map is read from the store
// with the outage suspended, because in an outage a daemon has received the map from its peers.
func (w *world) adopt(daemon int, cell models.CellID, call models.HandoverCall) {
	outage := false
	w.setFaults(func(f *worldFaults) { outage, f.outage = f.outage, false })
	vms, j, err := w.newDependencies(daemon, cell)
	w.setFaults(func(f *worldFaults) { f.outage = outage })
	require.NoError(w.t, err)
	require.NoError(w.t, j.Import(call))
	w.startOwner(daemon, cell, j, vms, true)
}

func (w *world) startOwner(daemon int, cell models.CellID, j *journal.Journal, vms *inventory.Service, adopted bool) *testOwner {
	ctx, cancel := context.WithCancel(w.ctx)
	o := &testOwner{daemon: daemon, cancel: cancel, Owner: NewOwner(OwnerConfig{
		Cell: cell, Epoch: j.Epoch(), Adopted: adopted, Settings: w.settings, Journal: j, Workers: w.workersFor(daemon), Inventory: vms,
		View: w.config, Peers: &worldPeers{w}, Learner: w.learner(), Logger: zap.NewNop(), Scope: tally.NoopScope,
	})}
	w.mu.Lock()
	w.owners[cell] = append(w.owners[cell], o)
	w.mu.Unlock()
	go vms.Run(ctx)
	go o.Run(ctx)
	return o
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idsIssued++
	return fmt.Sprint("id-", w.idsIssued)
}

// worldPeers delivers calls to the latest owner of each cell.
type worldPeers struct{ w *world }

// Cells implements Peers.
func (p *worldPeers) Cells() map[models.CellID]models.CellBeat {
	cells := map[models.CellID]models.CellBeat{}
	for _, cell := range worldCells {
		if p.w.ownerless(cell) {
			continue
		}
		if beat := p.w.owner(cell).beat.Load(); beat != nil {
			cells[cell] = *beat
		}
	}
	return cells
}

// Offer implements Peers.
func (p *worldPeers) Offer(ctx context.Context, call models.OfferCall) (models.OfferAnswer, error) {
	reply := make(chan models.OfferAnswer, 1)
	answer, err := askOwner(ctx, p.w.owner(call.To), offerMessage{call: call, reply: reply}, reply)
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.faults.lateOffers > 0 {
		p.w.faults.lateOffers--
		time.AfterFunc(lateDelay, func() { p.offerAgain(call) })
	}
	return answer, err
}

// offerAgain delivers a late copy of an offer. Its answer is discarded.
func (p *worldPeers) offerAgain(call models.OfferCall) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	owners := p.w.owners[call.To]
	select {
	case owners[len(owners)-1].inbox <- offerMessage{call: call, reply: make(chan models.OfferAnswer, 1)}:
	default:
	}
}

// Report implements Peers.
func (p *worldPeers) Report(ctx context.Context, call models.ReportCall) (models.ReportAnswer, error) {
	reply := make(chan models.ReportAnswer, 1)
	return askOwner(ctx, p.w.owner(call.To), reportMessage{call: call, reply: reply}, reply)
}

func askOwner[A any](ctx context.Context, o *testOwner, m message, reply <-chan A) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return awaitReply(ctx, o.Owner, m, reply)
}

func (w *world) ownerless(cell models.CellID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.owners[cell]) == 0
}

// owner returns the latest owner of a cell.
func (w *world) owner(cell models.CellID) *testOwner {
	w.mu.Lock()
	defer w.mu.Unlock()
	owners := w.owners[cell]
	return owners[len(owners)-1]
}

func (w *world) forward(o *testOwner, call models.ForwardCall) (models.ForwardAnswer, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	call.Cell = o.config.Cell
	return forwardTo(ctx, o.Owner, call)
}

// advance lets time pass and checks that the fleet has seen no violation of its invariants.
func (w *world) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
	require.Empty(w.t, w.fleet.Audit().Violations)
}

// waitUntil lets time pass until the condition holds; it fails with what after limit.
func (w *world) waitUntil(limit time.Duration, what string, condition func() bool) {
	end := time.Now().Add(limit)
	for !condition() {
		require.True(w.t, time.Now().Before(end), what)
		w.advance(100 * time.Millisecond)
	}
}

// jobs returns the jobs of all cells as their latest owners know them.
func (w *world) jobs() map[models.JobID]models.Job {
	jobs := map[models.JobID]models.Job{}
	for _, cell := range slices.Sorted(maps.Keys(w.owners)) {
		answer, err := w.forward(w.owner(cell), models.ForwardCall{ListJobs: true})
		if err != nil {
			continue
		}
		for _, job := range answer.Jobs {
			jobs[job.ID] = job
		}
	}
	return jobs
}

func testJob(id models.JobID, tasks int, work models.Milli) models.JobSpec {
	return models.JobSpec{
		ID: id, Team: "office", Labels: map[string]string{"app": "report"}, Tasks: tasks,
		Size: models.Resources{CPU: 1000, Memory: 256}, Work: work,
	}
}

// verdict records the first failure of a run and ends the run, so that package rapid can shrink the
// failing script.
type verdict struct{ failure string }

type runEnded struct{}

// Errorf implements require.TestingT.
func (v *verdict) Errorf(format string, args ...any) { v.failure += fmt.Sprintf(format, args...) }

// FailNow implements require.TestingT.
func (v *verdict) FailNow() { panic(runEnded{}) }

// runInBubble runs a script in a synctest bubble of its own and returns the failure, if any.
func runInBubble(t *testing.T, run func(t *testing.T, v *verdict)) string {
	t.Helper()
	v := &verdict{}
	synctest.Test(t, func(t *testing.T) {
		defer func() {
			if r := recover(); r != nil && r != any(runEnded{}) {
				panic(r)
			}
		}()
		run(t, v)
	})
	return v.failure
}
