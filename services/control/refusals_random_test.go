// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// said is what a caller was told of a change.
type said string

const (
	saidDone    said = "done"
	saidNotDone said = "not done"
	saidMaybe   said = "maybe"
	saidNoJob   said = "no such job"
)

// reply is the verdict on a change, and whether the caller was told when to come back, or
// that it is no use.
type reply struct {
	verdict said
	advised bool
}

// submitted hands a job in. Together with cancelled it is all that knows the form in which
// the service tells what became of a change.
func submitted(ctx context.Context, s *Service, spec jobs.Spec) reply {
	return replyOf(s.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}))
}

// cancelled cancels a job.
func cancelled(ctx context.Context, s *Service, id jobs.ID) reply {
	return replyOf(s.Cancel(ctx, id))
}

func replyOf(outcome platform.Outcome) reply {
	switch o := outcome.(type) {
	case platform.Done:
		return reply{saidDone, true}
	case platform.NotDone:
		if o.Why == platform.RefusedNoJob {
			return reply{saidNoJob, true}
		}
		return reply{saidNotDone, o.Why == platform.RefusedUnfit || o.RetryAfter > 0}
	default:
		return reply{saidMaybe, true}
	}
}

// refusalStep is one step of a script, and the time until the next.
type refusalStep struct {
	What   string        `json:"what"`
	Daemon int           `json:"daemon"`
	Job    int           `json:"job"`
	Leaves time.Duration `json:"leaves,omitempty"` // the caller is gone then; 0: it waits
	Writes []plannedCall `json:"writes,omitempty"` // of the daemon's next writes about the job
	Reads  []plannedCall `json:"reads,omitempty"`
	Wait   time.Duration `json:"wait"`
}

// What a step does beside changing the weather of a daemon's store, which is named by the fate.
const (
	stepHandIn  = "hand in"
	stepCancel  = "cancel"
	stepLapse   = "lapse lease"
	stepKill    = "kill daemon"
	stepForget  = "store forgets"
	refusalJobs = 4
)

var refusalSteps = []string{
	stepHandIn, stepHandIn, stepHandIn, stepHandIn, stepHandIn, stepHandIn, stepCancel, stepCancel, stepCancel,
	stepLapse, stepKill, stepForget,
	string(fateDone), string(fateDone), string(fateAway), string(fateLimited), string(fateSilent), string(fateLost), string(fateWrites),
}

const (
	// fatedWork is how long the tasks of the scripts' jobs work.
	fatedWork = 800 * time.Millisecond
	// wideCount tasks of refusalSize are more than one of two cells can run at once.
	wideCount = 8
	// callerPatience is how long a caller that doesn't leave waits.
	callerPatience = 3 * time.Second
	// uselessFor is how long a daemon may take to know that the store is of no use.
	uselessFor = 3 * time.Second
	// atOnce bounds the time of a refusal then.
	atOnce = 100 * time.Millisecond
	// cancelHolds is how long after a cancellation that is done the last start may come.
	cancelHolds = 3 * time.Second
	// startPause lies between the starts of two daemons, so that their calls are made in the
	// same order each time.
	startPause = 11 * time.Millisecond
	// stagger keeps two calls from being made in the same instant.
	stagger = 37 * time.Microsecond
)

var refusalSize = models.Resources{CPU: 1500, Memory: 500}

func drawPlan(rt *rapid.T, name string, fates []storeFate) []plannedCall {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedCall {
		planned := plannedCall{Fate: rapid.SampledFrom(fates).Draw(rt, "fate")}
		if planned.Fate == fateLate {
			planned.Late = time.Duration(rapid.IntRange(200, 5000).Draw(rt, "late")) * time.Millisecond
		}
		return planned
	}), 0, 4).Draw(rt, name)
}

func drawRefusalStep(rt *rapid.T) refusalStep {
	step := refusalStep{
		What:   rapid.SampledFrom(refusalSteps).Draw(rt, "what"),
		Daemon: rapid.IntRange(0, scriptDaemons-1).Draw(rt, "daemon"),
		Job:    rapid.IntRange(1, refusalJobs).Draw(rt, "job"),
		Wait:   time.Duration(rapid.OneOf(rapid.IntRange(0, 400), rapid.IntRange(0, 4000)).Draw(rt, "wait")) * time.Millisecond,
	}
	if step.What == stepHandIn || step.What == stepCancel {
		if rapid.Bool().Draw(rt, "leaves early") {
			step.Leaves = time.Duration(rapid.IntRange(1, 1500).Draw(rt, "leaves")) * time.Millisecond
		}
		step.Writes = drawPlan(rt, "writes", []storeFate{fateDone, fateLost, fateAway, fateLimited, fateLate, fateSilent})
		step.Reads = drawPlan(rt, "reads", []storeFate{fateDone, fateSlow, fateAway, fateLimited, fateSilent})
	}
	return step
}

// refusalCheck looks for one thing that must not be.
type refusalCheck struct {
	fault string                      // the same each time, so that scripts are made shorter
	find  func(p *refusalPlay) string // what happened; empty: nothing
}

var (
	refusalChecks = []refusalCheck{
		{"a call is refused that has stored its job", (*refusalPlay).refusedThoughStored},
		{"a daemon refuses a job that it may have stored, or may still store", (*refusalPlay).refusedThoughUnknown},
		{"a daemon refuses a job that it stores for another call", (*refusalPlay).refusedBesideAnother},
		{"a job that all callers were refused is stored or has run", (*refusalPlay).refusedAndStored},
		{"a refusal comes late, or does not say when to come back", (*refusalPlay).slowRefusals},
		{"an accepted job is not stored, or does not end", (*refusalPlay).lostJobs},
	}
	cancellationChecks = []refusalCheck{
		{"a job starts after its cancellation was told that there is no such job", (*refusalPlay).startedThoughUnknown},
		{"a cancellation that is done does not hold", (*refusalPlay).startedThoughCancelled},
	}
	acceptanceChecks = []refusalCheck{
		{"a daemon refuses a job that it has accepted", (*refusalPlay).refusedThoughAccepted},
	}
)

// refusalCells are how many workers a cell may have: one cell, and two.
var refusalCells = []int{scriptWorkers, scriptWorkers / 2}

// TestRandomRefusals plays scripts in which the store does, refuses, delays or loses calls
// one by one while callers hand jobs in again and again, cancel them and leave: what was
// refused by all never runs, and what is said to be done is so.
func TestRandomRefusals(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		playRefusalScripts(t, "testdata/refusals/*.json", slices.Concat(refusalChecks, cancellationChecks))
	})
	for _, perCell := range refusalCells {
		t.Run(fmt.Sprintf("refusals with %d workers to a cell", perCell), func(t *testing.T) { playRefusals(t, perCell, refusalChecks) })
		t.Run(fmt.Sprintf("cancellations with %d workers to a cell", perCell), func(t *testing.T) { playRefusals(t, perCell, cancellationChecks) })
	}
}

// TestRandomRefusalsOfAcceptedJobs looks for daemons that accepted a job and refuse it when it
// is handed in again.
func TestRandomRefusalsOfAcceptedJobs(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		playRefusalScripts(t, "testdata/refusals/accepted/*.json", acceptanceChecks)
	})
	for _, perCell := range refusalCells {
		t.Run(fmt.Sprintf("%d workers to a cell", perCell), func(t *testing.T) { playRefusals(t, perCell, acceptanceChecks) })
	}
}

// playRefusalScripts plays scripts of data files: failures that random runs have found.
func playRefusalScripts(t *testing.T, files string, checks []refusalCheck) {
	casefile.Each(t, files, func(t *testing.T, script []refusalStep) {
		for _, perCell := range refusalCells {
			fault, found := playRefusalScript(t, script, perCell, checks)
			require.Empty(t, fault, found)
		}
	})
}

func playRefusals(t *testing.T, perCell int, checks []refusalCheck) {
	rapid.Check(t, func(rt *rapid.T) {
		script := slices.Concat(rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawRefusalStep), 1, 8), 1, 6).Draw(rt, "script")...)
		if fault, found := playRefusalScript(t, script, perCell, checks); found != "" {
			data, err := json.Marshal(script)
			require.NoError(t, err)
			rt.Logf("%s\n%s", found, data)
			rt.Fatal(fault)
		}
	})
}

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
		if found != "" && os.Getenv("RILLSAIL_TEST_LOGS") != "" {
			found += "\n" + p.log()
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

// refusedThoughAccepted finds refusals by a daemon that had stored the job and said so.
func (p *refusalPlay) refusedThoughAccepted() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by.ended < refusal.ended && p.saidSo(refusal) })
}

// refusedThoughUnknown finds refusals by a daemon that had left open whether it accepted the
// job, and had stored it, or did so later by a write that was on its way.
func (p *refusalPlay) refusedThoughUnknown() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool {
		return by != refusal && by.ended < refusal.ended && !p.saidSo(refusal)
	})
}

// saidSo tells whether a daemon had told another caller that a job is accepted that it refuses.
func (p *refusalPlay) saidSo(refusal *refusalTry) bool {
	return slices.ContainsFunc(p.tries, func(t *refusalTry) bool {
		return t.what == stepHandIn && t.job == refusal.job && t.daemon == refusal.daemon && t.ended < refusal.ended && t.reply.verdict == saidDone
	})
}

// refusedBesideAnother finds refusals by a daemon that was storing the job for another call.
func (p *refusalPlay) refusedBesideAnother() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by.ended > refusal.ended })
}

// refusedThoughStored finds refusals of calls that have stored the job themselves.
func (p *refusalPlay) refusedThoughStored() string {
	return p.falseRefusal(func(refusal, by *refusalTry) bool { return by == refusal })
}

// falseRefusal finds a refusal by a daemon that stored the job by a write that was sent before.
func (p *refusalPlay) falseRefusal(relevant func(refusal, by *refusalTry) bool) string {
	for _, try := range p.tries {
		if try.what != stepHandIn || try.gone || try.reply.verdict != saidNotDone {
			continue
		}
		for _, c := range p.ledger.creating {
			if c.job == try.job && c.daemon == try.daemon && c.sent < try.ended && relevant(try, c.by) {
				return fmt.Sprintf("job %s is refused by %s, which stores it by a write that was sent before%s", try.job, try.daemon, p.told())
			}
		}
	}
	return ""
}

// refusedAndStored finds jobs that all callers were told were refused, and that are stored or ran.
func (p *refusalPlay) refusedAndStored() string {
	for n := range refusalJobs {
		id := jobID(n + 1)
		refused := func(t *refusalTry) bool {
			return t.job != id || t.what != stepHandIn || t.heard && t.reply.verdict == saidNotDone
		}
		if !slices.ContainsFunc(p.tries, func(t *refusalTry) bool { return !refused(t) }) &&
			(p.grid.Ran(id) || len(p.ledger.records(id)) > 0) {
			return fmt.Sprintf("job %s was refused each time; it is stored (%v) or ran (%v)%s", id, p.ledger.records(id), p.grid.Ran(id), p.told())
		}
	}
	return ""
}

// slowRefusals finds calls that were not refused at once though the store did nothing for
// the daemon, and refusals that don't say when to come back.
func (p *refusalPlay) slowRefusals() string {
	for _, try := range p.tries {
		switch {
		case try.gone:
		case try.reply.verdict == saidNotDone && !try.reply.advised:
			return fmt.Sprintf("%s of job %s is refused by %s, which doesn't say when to come back%s", try.what, try.job, try.daemon, p.told())
		case try.useless && (try.reply.verdict != saidNotDone || try.took() > atOnce):
			return fmt.Sprintf("%s of job %s can't be done at %s and is answered %q after %s%s", try.what, try.job, try.daemon,
				try.reply.verdict, try.took(), p.told())
		}
	}
	return ""
}

// lostJobs finds jobs that were accepted and are not in the store, or don't end.
func (p *refusalPlay) lostJobs() string {
	for _, try := range p.tries {
		if try.what == stepHandIn && try.broken != "" {
			return fmt.Sprintf("job %s is accepted by %s: %s%s", try.job, try.daemon, try.broken, p.told())
		}
		if try.what == stepHandIn && try.reply.verdict == saidDone && slices.Contains(p.ledger.removed, try.job) {
			return fmt.Sprintf("job %s is accepted by %s, and its record is deleted%s", try.job, try.daemon, p.told())
		}
	}
	if unfinished := p.unfinished(); unfinished != "" {
		return unfinished + p.told()
	}
	if breaches := p.grid.Breaches(); len(breaches) > 0 {
		return fmt.Sprint("promises broken: ", breaches, p.told())
	}
	return ""
}

// startedThoughUnknown finds jobs that start after a cancellation was told that there is no
// such job, and that were not handed in since it was asked for.
func (p *refusalPlay) startedThoughUnknown() string {
	for _, try := range p.tries {
		if try.what != stepCancel || try.gone || try.reply.verdict != saidNoJob {
			continue
		}
		again := slices.ContainsFunc(p.tries, func(t *refusalTry) bool {
			return t.what == stepHandIn && t.job == try.job && t.began > try.began
		})
		if at, ok := p.startAfter(try.job, try.endAt); ok && !again {
			return fmt.Sprintf("job %s starts %s after %s said that there is no such job%s", try.job, at.Sub(try.endAt), try.daemon, p.told())
		}
	}
	return ""
}

// startedThoughCancelled finds cancellations that are done and don't hold.
func (p *refusalPlay) startedThoughCancelled() string {
	for _, try := range p.tries {
		if try.what != stepCancel || try.reply.verdict != saidDone {
			continue
		}
		if try.broken != "" {
			return fmt.Sprintf("job %s is cancelled by %s: %s%s", try.job, try.daemon, try.broken, p.told())
		}
		if at, ok := p.startAfter(try.job, try.endAt.Add(cancelHolds)); ok {
			return fmt.Sprintf("job %s starts %s after it was cancelled by %s%s", try.job, at.Sub(try.endAt), try.daemon, p.told())
		}
	}
	return p.unfinished()
}

// startAfter gives the first start of a task of a job after a time.
func (p *refusalPlay) startAfter(id jobs.ID, after time.Time) (time.Time, bool) {
	for _, s := range p.ledger.starts {
		if s.job == id && s.at.After(after) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// told lists what callers were told and which daemon stored what.
func (p *refusalPlay) told() string {
	text := ""
	for _, t := range p.tries {
		text += fmt.Sprintf("\n%s of %s at %s: %s after %s, heard %v, moments %d to %d", t.what, t.job, t.daemon, t.reply.verdict, t.took(), t.heard, t.began, t.ended)
	}
	for _, c := range p.ledger.creating {
		text += fmt.Sprintf("\n%s is stored by %s with a write of moment %d", c.job, c.daemon, c.sent)
	}
	return text
}
