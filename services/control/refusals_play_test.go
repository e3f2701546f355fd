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

// refusalCall is one call of a caller, with its reply.
type refusalCall struct {
	kind     string
	job      jobs.ID
	daemon   string
	reply    reply
	beganSeq int // sequence number of the event, see commitRecorder.nextSeq
	endedSeq int
	// When the call began and ended.
	beganAt, endedAt time.Time
	daemonKilled     bool // the daemon was killed before it could answer
	delivered        bool // the daemon was running to give the answer, and the caller was still waiting for it
	// storeUnusable tells that the store had performed nothing for the daemon for a while when the call began, and that
	// the daemon had not got a call about the job before.
	storeUnusable bool
	violation     string // what was wrong with the store's content when the call was answered; empty: nothing
}

// callContextKey is the context key of the refusalCall on whose behalf a request is sent to the store.
type callContextKey struct{}

func (c *refusalCall) took() time.Duration { return c.endedAt.Sub(c.beganAt) }

// refusalRun is one run of a script.
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
	recorder := &commitRecorder{}
	w := newTestClusterWithCells(t, scriptWorkers, 0, perCell, recorder.taskWork)
	recorder.store = w.store
	p := &refusalRun{scriptRun: &scriptRun{testCluster: w}, recorder: recorder, stores: map[string]*faultyStore{}}
	w.wrapStore = func(d *testDaemon, _ platform.TxnStore) platform.TxnStore {
		store := newFaultyStore(d, recorder)
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

// refusalJob returns one of the jobs of the scripts; every second job is wide.
func refusalJob(n int) jobs.Spec {
	spec := twoStepJob(n, scriptTaskTime)
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
		p.store.Compact()
	default:
		store.setDefaultOutcome(callOutcome(step.What))
	}
}

// revokeLease revokes a daemon's lease in the store.
func (p *refusalRun) revokeLease(d *testDaemon) {
	d.Cells.mu.Lock()
	lease := d.Cells.lease
	d.Cells.mu.Unlock()
	local := &kv.Local{Service: p.store, Fault: kv.NoFault}
	_ = local.Revoke(p.ctx, lease) // never fails
}

// startCall starts a caller's call without waiting for its end.
func (p *refusalRun) startCall(d *testDaemon, step refusalStep) {
	store := p.stores[d.name]
	call := &refusalCall{kind: step.What, job: jobID(step.Job), daemon: d.name, beganSeq: p.recorder.nextSeq()}
	p.mu.Lock()
	asked := slices.ContainsFunc(p.calls, func(t *refusalCall) bool { return t.job == call.job && t.daemon == call.daemon })
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	call.storeUnusable = !asked && store.unusable(storeUnusableAfter)
	p.group.Go(func() { p.runCall(d, step, call) })
}

// runCall makes a call and records the reply and its circumstances.
func (p *refusalRun) runCall(d *testDaemon, step refusalStep, call *refusalCall) {
	ctx, cancel := context.WithTimeout(context.WithValue(p.ctx, callContextKey{}, call), callerTimeout)
	defer cancel()
	if step.Leaves > 0 {
		defer time.AfterFunc(step.Leaves, cancel).Stop()
	}
	call.beganAt = time.Now()
	if call.kind == stepSubmit {
		call.reply = submitReply(ctx, d.Service, refusalJob(step.Job))
	} else {
		call.reply = cancelReply(ctx, d.Service, call.job)
	}
	call.endedAt = time.Now()
	call.daemonKilled = p.stores[d.name].killed()
	call.delivered = !call.daemonKilled && (step.Leaves == 0 || call.took() < step.Leaves)
	if call.reply.kind == replyDone {
		call.violation = p.missingInStore(d, call)
	}
	call.endedSeq = p.recorder.nextSeq()
}

// missingInStore tells what the store lacks of a change that was reported as done; empty if nothing.
func (p *refusalRun) missingInStore(d *testDaemon, call *refusalCall) string {
	entries := p.recorder.stored(call.job, d.Cells.layout())
	if !entries.stored() {
		return "there is no record of it"
	}
	open := func(entry jobEntry) bool { return entry.active() && !entry.cancelled }
	if call.kind == stepCancel && !entries.state().Ended() && slices.ContainsFunc(entries, open) {
		return "a cell has tasks of it, and neither its end nor its cancellation is stored there"
	}
	return ""
}

// settle ends all faults and waits until every job in the store has ended.
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
			return // delayed writes have taken effect by now as well
		}
	}
}

// unfinished describes a job in the store that has not ended; empty if there is none.
func (p *refusalRun) unfinished() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		if len(p.recorder.records(id)) == 0 {
			continue
		}
		for _, d := range p.daemons {
			if state := p.state(d, id); !p.stores[d.name].killed() && (!state.Ended() || p.grid.Running(id) > 0) {
				return fmt.Sprintf("job %s is %q at %s, %d tasks are running", id, state, d.name, p.grid.Running(id))
			}
		}
	}
	return ""
}
