// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// refusalTry is one call of a caller.
type refusalTry struct {
	what   string
	job    jobs.ID
	daemon string
	reply  reply
	began  int // the moment
	ended  int
	// When the call began and when it was over.
	beginAt, endAt time.Time
	gone           bool // the daemon was killed before it could answer
	heard          bool // the caller was there for the answer, and the daemon to give it
	// useless: the store had done nothing for the daemon for a while, and the daemon had not
	// been asked about the job before.
	useless bool
	broken  string // what the store held at the answer that must not be
}

// tryOfContext is the key of the call on whose behalf something is sent to the store.
type tryOfContext struct{}

// took is how long the call took.
func (t *refusalTry) took() time.Duration { return t.endAt.Sub(t.beginAt) }

// refusalPlay is a script under way.
type refusalPlay struct {
	*scripted
	ledger *ledger
	stores map[string]*fatedStore
	group  sync.WaitGroup

	mu    sync.Mutex
	tries []*refusalTry
}

func playRefusalScript(t *testing.T, script []refusalStep, perCell int, checks []refusalCheck) (fault, found string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		p := newRefusalPlay(t, perCell)
		time.Sleep(5 * time.Second)
		for _, step := range script {
			randomSteps++
			p.step(step)
			time.Sleep(step.Wait + stagger)
		}
		p.group.Wait()
		p.settle()
		for _, check := range checks {
			if found = check.find(p); found != "" {
				fault = check.fault
				break
			}
		}
		if found != "" {
			found += "\nscript and log: " + keepFailure(outer, script, found, p.log())
		}
	})
	return fault, found
}

func newRefusalPlay(t *testing.T, perCell int) *refusalPlay {
	t.Helper()
	l := &ledger{}
	w := newWorldOf(t, scriptWorkers, 0, perCell, l.work)
	l.store = w.store
	p := &refusalPlay{scripted: &scripted{world: w}, ledger: l, stores: map[string]*fatedStore{}}
	w.wrapStore = func(d *testDaemon, _ platform.TxnStore) platform.TxnStore {
		store := newFatedStore(d, l)
		p.stores[d.name] = store
		return store
	}
	for range scriptDaemons {
		w.startDaemon()
		time.Sleep(startPause)
	}
	for n := range refusalJobs {
		w.grid.Expect(refusalJob(n+1), testAttempts)
	}
	return p
}

// refusalJob is one of the jobs of the scripts; every second one is wide.
func refusalJob(n int) jobs.Spec {
	spec := twoSteps(n, fatedWork)
	spec.Queue = testQueue
	if n%2 == 0 {
		spec.Steps = []jobs.Step{{Count: wideCount, Size: refusalSize, Estimate: models.MilliOf(fatedWork)}}
	}
	return spec
}

func (p *refusalPlay) step(step refusalStep) {
	d := p.daemons[len(p.daemons)-scriptDaemons+step.Daemon]
	store := p.stores[d.name]
	switch step.What {
	case stepHandIn, stepCancel:
		store.plan(jobID(step.Job), step.Writes, step.Reads)
		p.begin(d, step)
	case stepLapse:
		p.lapse(d)
	case stepKill:
		store.kill()
		p.replace(step.Daemon)
	case stepForget:
		p.store.Forget()
	default:
		store.setWeather(storeFate(step.What))
	}
}

// lapse ends a daemon's lease in the store.
func (p *refusalPlay) lapse(d *testDaemon) {
	d.Cells.mu.Lock()
	lease := d.Cells.lease
	d.Cells.mu.Unlock()
	local := &kv.Local{Service: p.store, Fault: kv.NoFault}
	_ = local.Revoke(p.ctx, lease) // it never fails
}

// begin makes a caller's call; it doesn't wait for its end.
func (p *refusalPlay) begin(d *testDaemon, step refusalStep) {
	store := p.stores[d.name]
	try := &refusalTry{what: step.What, job: jobID(step.Job), daemon: d.name, began: p.ledger.moment()}
	p.mu.Lock()
	asked := slices.ContainsFunc(p.tries, func(t *refusalTry) bool { return t.job == try.job && t.daemon == try.daemon })
	p.tries = append(p.tries, try)
	p.mu.Unlock()
	try.useless = !asked && store.useless(uselessFor)
	p.group.Go(func() { p.make(d, step, try) })
}

// make makes a call and notes what came of it.
func (p *refusalPlay) make(d *testDaemon, step refusalStep, try *refusalTry) {
	ctx, cancel := context.WithTimeout(context.WithValue(p.ctx, tryOfContext{}, try), callerPatience)
	defer cancel()
	if step.Leaves > 0 {
		defer time.AfterFunc(step.Leaves, cancel).Stop()
	}
	try.beginAt = time.Now()
	if try.what == stepHandIn {
		try.reply = submitted(ctx, d.Service, refusalJob(step.Job))
	} else {
		try.reply = cancelled(ctx, d.Service, try.job)
	}
	try.endAt = time.Now()
	try.gone = p.stores[d.name].killed()
	try.heard = !try.gone && (step.Leaves == 0 || try.took() < step.Leaves)
	if try.reply.verdict == saidDone {
		try.broken = p.notStored(d, try)
	}
	try.ended = p.ledger.moment()
}

// notStored tells what the store lacks of a change that is said to be done.
func (p *refusalPlay) notStored(d *testDaemon, try *refusalTry) string {
	entries := p.ledger.stored(try.job, d.Cells.layout())
	if !entries.known() {
		return "there is no record of it"
	}
	open := func(entry jobEntry) bool { return entry.active() && !entry.cancelled }
	if try.what == stepCancel && !entries.state().Ended() && slices.ContainsFunc(entries, open) {
		return "a cell has tasks of it and no word of its end"
	}
	return ""
}

// settle ends all faults and waits until every job has ended that the store knows.
func (p *refusalPlay) settle() {
	for _, store := range p.stores {
		store.setWeather(fateDone)
		store.mu.Lock()
		clear(store.writes)
		clear(store.reads)
		store.mu.Unlock()
	}
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if time.Until(deadline) < settleTime-6*time.Second && p.unfinished() == "" {
			return // also writes that were held up are done by now
		}
	}
}

// unfinished tells which job that the store knows has not ended.
func (p *refusalPlay) unfinished() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		if len(p.ledger.records(id)) == 0 {
			continue
		}
		for _, d := range p.daemons {
			if state := p.state(d, id); !p.stores[d.name].killed() && (!state.Ended() || p.grid.Running(id) > 0) {
				return fmt.Sprintf("job %s is %q at %s, %d tasks run", id, state, d.name, p.grid.Running(id))
			}
		}
	}
	return ""
}
