// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// The connections of a test daemon to the store, the workers, the list of workers and the other daemons,
// with the simulated faults of each.

// testCallTimeout is the timeout of the calls of test daemons.
const testCallTimeout = 700 * time.Millisecond

// storeFault returns the error of a call to the store that the current faults cause, before or after the
// store carries out the call.
func (d *testDaemon) storeFault(ctx context.Context, write, after bool, _ string) error {
	d.waitThawed(ctx)
	d.mu.Lock()
	cut := d.storeCut
	lost := after && write && d.lostAnswerDraw != nil && d.lostAnswerDraw.IntN(10) < 3
	d.mu.Unlock()
	d.cluster.mu.Lock()
	cut = cut || d.cluster.outage
	d.cluster.mu.Unlock()
	if cut && !after {
		return platform.ErrUnavailable
	}
	if lost {
		sleep(ctx, testCallTimeout)
		return platform.ErrUnknownOutcome
	}
	return ctx.Err()
}

// testStore is a daemon's connection to the store. With storeWriteDelay, the store receives the daemon's transactions
// that much later, and their calls time out.
type testStore struct {
	*kv.Local
	daemon *testDaemon
}

// losesWatch reports whether the daemon's watches fail at present; if so, it waits for testCallTimeout first.
func (d *testDaemon) losesWatch(ctx context.Context) bool {
	d.mu.Lock()
	lost := d.watchLost
	d.mu.Unlock()
	if lost {
		sleep(ctx, testCallTimeout)
	}
	return lost
}

func (s *testStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	if s.daemon.losesWatch(ctx) {
		return nil, 0, platform.ErrUnknownOutcome
	}
	records, at, err := s.Local.Watch(ctx, prefix, after)
	if s.daemon.losesWatch(ctx) {
		return nil, 0, platform.ErrUnknownOutcome
	}
	return records, at, err
}

func (s *testStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	s.daemon.mu.Lock()
	held := s.daemon.storeWriteDelay
	before := s.daemon.beforeCommit
	s.daemon.mu.Unlock()
	if before != nil {
		before()
	}
	if held == 0 {
		return s.Local.Commit(ctx, txn)
	}
	time.AfterFunc(held, func() { _, _ = s.Local.Commit(context.Background(), txn) }) // the result is lost
	sleep(ctx, testCallTimeout)
	return 0, platform.ErrUnknownOutcome
}

func (s *testStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	s.daemon.mu.Lock()
	held := s.daemon.storeWriteDelay
	s.daemon.mu.Unlock()
	if held == 0 {
		return s.Local.KeepAlive(ctx, lease)
	}
	sleep(ctx, testCallTimeout)
	return platform.ErrUnknownOutcome
}

// testWorkers is a daemon's connection to the workers.
type testWorkers struct{ *testDaemon }

func (w *testWorkers) call(ctx context.Context, to jobs.Worker, wait time.Duration, perform func(ctx context.Context) error) error {
	w.waitThawed(ctx)
	ctx, cancel := context.WithTimeout(ctx, testCallTimeout+wait)
	defer cancel()
	w.mu.Lock()
	cut := w.workerCut || w.cutFrom[to.ID]
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return platform.ErrUnknownOutcome
	}
	err := perform(ctx)
	w.waitThawed(ctx)
	w.vmSuspension.wait() // nobody reads an answer on a suspended VM, also if the time for it is over
	return err
}

// order makes a call that orderDelay may delay.
func (w *testWorkers) order(ctx context.Context, to jobs.Worker, perform func(ctx context.Context) error) error {
	w.mu.Lock()
	slow := w.orderDelay
	w.mu.Unlock()
	if slow == 0 {
		return w.call(ctx, to, 0, perform)
	}
	time.AfterFunc(slow, func() { _ = perform(context.Background()) }) // the result is lost
	sleep(ctx, testCallTimeout)
	return platform.ErrUnknownOutcome
}

func (w *testWorkers) StartRun(ctx context.Context, to jobs.Worker, call jobs.StartCall) (clock models.Milli, err error) {
	if before := w.cluster.beforeStart; before != nil {
		before(to)
	}
	err = w.order(ctx, to, func(ctx context.Context) error {
		clock, err = w.cluster.grid.StartRun(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) StopRun(ctx context.Context, to jobs.Worker, call jobs.StopCall) (clock models.Milli, err error) {
	err = w.order(ctx, to, func(ctx context.Context) error {
		clock, err = w.cluster.grid.StopRun(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) SetPace(ctx context.Context, to jobs.Worker, call jobs.PaceCall) (clock models.Milli, err error) {
	err = w.call(ctx, to, 0, func(ctx context.Context) error {
		clock, err = w.cluster.grid.SetPace(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) RenewLease(ctx context.Context, to jobs.Worker, call jobs.LeaseCall) (report jobs.Report, err error) {
	err = w.call(ctx, to, call.Wait, func(ctx context.Context) error {
		report, err = w.cluster.grid.RenewLease(ctx, to, call)
		return err
	})
	return report, err
}

type testList struct{ *testDaemon }

func (l *testList) JobWorkers(ctx context.Context) ([]jobs.Worker, platform.Version, error) {
	if err := l.fault(ctx); err != nil {
		return nil, 0, err
	}
	workers, at, err := l.cluster.grid.JobWorkers(ctx)
	return slices.DeleteFunc(workers, func(w jobs.Worker) bool { return l.cluster.isEntryHeld(w.ID) }), at, err
}

func (l *testList) WorkerChanges(ctx context.Context, after platform.Version) ([]platform.WorkerChange, platform.Version, error) {
	if err := l.fault(ctx); err != nil {
		return nil, 0, err
	}
	changes, at, err := l.cluster.grid.WorkerChanges(ctx, after)
	changes = slices.DeleteFunc(changes, func(c platform.WorkerChange) bool { return l.cluster.isEntryHeld(c.Worker.ID) })
	if failed := l.fault(ctx); failed != nil {
		return nil, 0, failed // the answer is lost
	}
	return changes, at, err
}

// fault returns the error of a call to the list of workers that the current faults cause.
func (l *testList) fault(ctx context.Context) error {
	if err := l.storeFault(ctx, false, false, ""); err != nil {
		return err
	}
	if l.losesWatch(ctx) {
		return platform.ErrUnknownOutcome
	}
	return nil
}

// testCordons is a daemon's connection to the list of cordons.
type testCordons struct{ *testDaemon }

func (l *testCordons) Cordons(ctx context.Context) ([]jobs.Cordon, error) {
	if err := l.fault(ctx); err != nil {
		return nil, err
	}
	cordons, err := l.cluster.grid.Cordons(ctx)
	if failed := l.fault(ctx); failed != nil {
		return nil, failed // the answer is lost
	}
	return cordons, err
}

// fault returns the error of a call to the list of cordons that the current faults cause.
func (l *testCordons) fault(ctx context.Context) error {
	if err := (&testList{l.testDaemon}).fault(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cordonsLost {
		return platform.ErrUnknownOutcome
	}
	return nil
}

// ofSide returns the side of the daemon.
func (d *testDaemon) ofSide() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.side
}

// testPeers calls the other daemons of the cluster.
type testPeers struct{ caller *testDaemon }

func (p *testPeers) Jobs(_ context.Context, address string, query jobs.Query) (jobs.Answer, error) {
	cluster := p.caller.cluster
	cluster.mu.Lock()
	d := cluster.byName[address]
	cluster.mu.Unlock()
	if !p.caller.answersPeers() {
		return jobs.Answer{}, errNoOwner
	}
	if d != nil && d.hasExited() {
		return jobs.Answer{}, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if d == nil || !d.answersPeers() || d.ofSide() != p.caller.ofSide() {
		return jobs.Answer{}, errNoOwner
	}
	if cluster.losesQuery != nil && cluster.losesQuery(query) {
		return jobs.Answer{}, errNoOwner
	}
	return d.Cells.Answer(query), nil
}
