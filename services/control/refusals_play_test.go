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

// refusalCall is one call of a caller.
type refusalCall struct {
	kind     string
	job      jobs.ID
	daemon   string
	reply    reply
	beganSeq int // the moment
	endedSeq int
	// When the call began and when it was over.
	beganAt, endedAt time.Time
	daemonKilled     bool // the daemon was killed before it could answer
	delivered        bool // the caller was there for the answer, and the daemon to give it
	// storeUnusable: the store had done nothing for the daemon for a while, and the daemon had not
	// been asked about the job before.
	storeUnusable bool
	violation     string // what the store held at the answer that must not be
}

// callContextKey is the key of the call on whose behalf something is sent to the store.
type callContextKey struct{}

// took is how long the call took.
func (t *refusalCall) took() time.Duration { return t.endedAt.Sub(t.beganAt) }

// refusalRun is a script under way.
type refusalRun struct {
	*scriptRun
	recorder *commitRecorder
	stores   map[string]*faultyStore
	group    sync.WaitGroup

	mu    sync.Mutex
	calls []*refusalCall
}

func runRefusalScript(t *testing.T, script []refusalStep, perCell int, checks []refusalCheck) (fault, found string) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		p := newRefusalRun(t, perCell)
		time.Sleep(5 * time.Second)
		for _, step := range script {
			stepsRun++
			p.applyStep(step)
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
			found += "\nscript and log: " + saveFailure(outer, script, found, p.log())
		}
	})
	return fault, found
}

func newRefusalRun(t *testing.T, perCell int) *refusalRun {
	t.Helper()
	l := &commitRecorder{}
	w := newWorldOf(t, scriptWorkers, 0, perCell, l.taskWork)
	l.store = w.store
	p := &refusalRun{scriptRun: &scriptRun{world: w}, recorder: l, stores: map[string]*faultyStore{}}
	w.wrapStore = func(d *testDaemon, _ platform.TxnStore) platform.TxnStore {
		store := newFaultyStore(d, l)
		p.stores[d.name] = store
		return store
	}
	for range scriptDaemons {
		w.startDaemon()
		time.Sleep(daemonStartPause)
	}
	for n := range refusalJobs {
		w.grid.Expect(refusalJob(n+1), testAttempts)
	}
	return p
}

// refusalJob is one of the jobs of the scripts; every second one is wide.
func refusalJob(n int) jobs.Spec {
	spec := twoSteps(n, scriptTaskTime)
	spec.Queue = testQueue
	if n%2 == 0 {
		spec.Steps = []jobs.Step{{Count: wideCount, Size: refusalSize, Estimate: models.MilliOf(scriptTaskTime)}}
	}
	return spec
}

func (p *refusalRun) applyStep(step refusalStep) {
	d := p.daemons[len(p.daemons)-scriptDaemons+step.Daemon]
	store := p.stores[d.name]
	switch step.What {
	case stepSubmit, stepCancel:
		store.plan(jobID(step.Job), step.Writes, step.Reads)
		p.startCall(d, step)
	case stepRevokeLease:
		p.revokeLease(d)
	case stepKill:
		store.kill()
		p.replaceDaemon(step.Daemon)
	case stepForget:
		p.store.Forget()
	default:
		store.setDefaultOutcome(callOutcome(step.What))
	}
}

// revokeLease ends a daemon's lease in the store.
func (p *refusalRun) revokeLease(d *testDaemon) {
	d.Cells.mu.Lock()
	lease := d.Cells.lease
	d.Cells.mu.Unlock()
	local := &kv.Local{Service: p.store, Fault: kv.NoFault}
	_ = local.Revoke(p.ctx, lease) // it never fails
}

// startCall makes a caller's call; it doesn't wait for its end.
func (p *refusalRun) startCall(d *testDaemon, step refusalStep) {
	store := p.stores[d.name]
	try := &refusalCall{kind: step.What, job: jobID(step.Job), daemon: d.name, beganSeq: p.recorder.nextSeq()}
	p.mu.Lock()
	asked := slices.ContainsFunc(p.calls, func(t *refusalCall) bool { return t.job == try.job && t.daemon == try.daemon })
	p.calls = append(p.calls, try)
	p.mu.Unlock()
	try.storeUnusable = !asked && store.unusable(storeUnusableAfter)
	p.group.Go(func() { p.runCall(d, step, try) })
}

// runCall makes a call and notes what came of it.
func (p *refusalRun) runCall(d *testDaemon, step refusalStep, try *refusalCall) {
	ctx, cancel := context.WithTimeout(context.WithValue(p.ctx, callContextKey{}, try), callerTimeout)
	defer cancel()
	if step.Leaves > 0 {
		defer time.AfterFunc(step.Leaves, cancel).Stop()
	}
	try.beganAt = time.Now()
	if try.kind == stepSubmit {
		try.reply = submitReply(ctx, d.Service, refusalJob(step.Job))
	} else {
		try.reply = cancelReply(ctx, d.Service, try.job)
	}
	try.endedAt = time.Now()
	try.daemonKilled = p.stores[d.name].killed()
	try.delivered = !try.daemonKilled && (step.Leaves == 0 || try.took() < step.Leaves)
	if try.reply.kind == replyDone {
		try.violation = p.missingInStore(d, try)
	}
	try.endedSeq = p.recorder.nextSeq()
}

// missingInStore tells what the store lacks of a change that is said to be done.
func (p *refusalRun) missingInStore(d *testDaemon, try *refusalCall) string {
	entries := p.recorder.stored(try.job, d.Cells.layout())
	if !entries.known() {
		return "there is no record of it"
	}
	open := func(entry jobEntry) bool { return entry.active() && !entry.cancelled }
	if try.kind == stepCancel && !entries.state().Ended() && slices.ContainsFunc(entries, open) {
		return "a cell has tasks of it and no word of its end"
	}
	return ""
}

// settle ends all faults and waits until every job has ended that the store knows.
func (p *refusalRun) settle() {
	for _, store := range p.stores {
		store.setDefaultOutcome(outcomeDone)
		store.mu.Lock()
		clear(store.writes)
		clear(store.reads)
		store.mu.Unlock()
	}
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if time.Until(deadline) < settleTimeout-6*time.Second && p.unfinished() == "" {
			return // also writes that were held up are done by now
		}
	}
}

// unfinished tells which job that the store knows has not ended.
func (p *refusalRun) unfinished() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		if len(p.recorder.records(id)) == 0 {
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
