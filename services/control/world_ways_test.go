// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// The connections of a test daemon to the store, the workers, the list of workers and the other daemons,
// with the simulated faults of each.

// callTime is the timeout of the calls of test daemons.
const callTime = 700 * time.Millisecond

// storeFault returns the error of a call to the store that the current faults cause, before or after the
// store carries out the call.
func (d *testDaemon) storeFault(ctx context.Context, write, after bool, _ string) error {
	d.waitThawed(ctx)
	d.mu.Lock()
	cut := d.storeCut
	lost := after && write && d.loseWrite != nil && d.loseWrite.IntN(10) < 3
	d.mu.Unlock()
	d.world.mu.Lock()
	cut = cut || d.world.outage
	d.world.mu.Unlock()
	if cut && !after {
		return platform.ErrUnavailable
	}
	if lost {
		sleep(ctx, callTime)
		return platform.ErrUnknown
	}
	return ctx.Err()
}

// testStore is a daemon's connection to the store. With heldFor, the store receives the daemon's transactions
// that much later, and their calls time out.
type testStore struct {
	*kv.Local
	daemon *testDaemon
}

// losesWatch reports whether the daemon's watches fail at present; if so, it waits for callTime first.
func (d *testDaemon) losesWatch(ctx context.Context) bool {
	d.mu.Lock()
	lost := d.watchLost
	d.mu.Unlock()
	if lost {
		sleep(ctx, callTime)
	}
	return lost
}

func (s *testStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	if s.daemon.losesWatch(ctx) {
		return nil, 0, platform.ErrUnknown
	}
	records, at, err := s.Local.Watch(ctx, prefix, after)
	if s.daemon.losesWatch(ctx) {
		return nil, 0, platform.ErrUnknown
	}
	return records, at, err
}

func (s *testStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	s.daemon.mu.Lock()
	held := s.daemon.heldFor
	before := s.daemon.beforeCommit
	s.daemon.mu.Unlock()
	if before != nil {
		before()
	}
	if held == 0 {
		return s.Local.Commit(ctx, txn)
	}
	time.AfterFunc(held, func() { _, _ = s.Local.Commit(context.Background(), txn) }) // the result is lost
	sleep(ctx, callTime)
	return 0, platform.ErrUnknown
}

func (s *testStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	s.daemon.mu.Lock()
	held := s.daemon.heldFor
	s.daemon.mu.Unlock()
	if held == 0 {
		return s.Local.KeepAlive(ctx, lease)
	}
	sleep(ctx, callTime)
	return platform.ErrUnknown
}

// testWorkers is a daemon's connection to the workers.
type testWorkers struct{ *testDaemon }

func (w *testWorkers) call(ctx context.Context, to jobs.Worker, wait time.Duration, perform func(ctx context.Context) error) error {
	w.waitThawed(ctx)
	ctx, cancel := context.WithTimeout(ctx, callTime+wait)
	defer cancel()
	w.mu.Lock()
	cut := w.workerCut || w.cutFrom[to.ID]
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return platform.ErrUnknown
	}
	err := perform(ctx)
	w.waitThawed(ctx)
	return err
}

// order makes a call that slowFor may delay.
func (w *testWorkers) order(ctx context.Context, to jobs.Worker, perform func(ctx context.Context) error) error {
	w.mu.Lock()
	slow := w.slowFor
	w.mu.Unlock()
	if slow == 0 {
		return w.call(ctx, to, 0, perform)
	}
	time.AfterFunc(slow, func() { _ = perform(context.Background()) }) // the result is lost
	sleep(ctx, callTime)
	return platform.ErrUnknown
}

func (w *testWorkers) StartRun(ctx context.Context, to jobs.Worker, call jobs.StartCall) (clock models.Milli, err error) {
	err = w.order(ctx, to, func(ctx context.Context) error {
		clock, err = w.world.grid.StartRun(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) StopRun(ctx context.Context, to jobs.Worker, call jobs.StopCall) (clock models.Milli, err error) {
	err = w.order(ctx, to, func(ctx context.Context) error {
		clock, err = w.world.grid.StopRun(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) SetPace(ctx context.Context, to jobs.Worker, call jobs.PaceCall) (clock models.Milli, err error) {
	err = w.call(ctx, to, 0, func(ctx context.Context) error {
		clock, err = w.world.grid.SetPace(ctx, to, call)
		return err
	})
	return clock, err
}

func (w *testWorkers) ProlongLease(ctx context.Context, to jobs.Worker, call jobs.LeaseCall) (report jobs.Report, err error) {
	err = w.call(ctx, to, call.Wait, func(ctx context.Context) error {
		report, err = w.world.grid.ProlongLease(ctx, to, call)
		return err
	})
	return report, err
}

type testList struct{ *testDaemon }

func (l *testList) JobWorkers(ctx context.Context) ([]jobs.Worker, platform.Version, error) {
	if err := l.fault(ctx); err != nil {
		return nil, 0, err
	}
	return l.world.grid.JobWorkers(ctx)
}

func (l *testList) WorkerChanges(ctx context.Context, after platform.Version) ([]platform.WorkerChange, platform.Version, error) {
	if err := l.fault(ctx); err != nil {
		return nil, 0, err
	}
	changes, at, err := l.world.grid.WorkerChanges(ctx, after)
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
		return platform.ErrUnknown
	}
	return nil
}

// testPeers calls the other daemons of the cluster.
type testPeers struct{ *world }

func (p *testPeers) Jobs(_ context.Context, address string, query jobs.Query) (jobs.Answer, error) {
	p.mu.Lock()
	d := p.byName[address]
	p.mu.Unlock()
	if d != nil && d.hasExited() {
		return jobs.Answer{}, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if d == nil || d.isFrozen() {
		return jobs.Answer{}, errNoOwner
	}
	return d.Cells.Answer(query), nil
}
