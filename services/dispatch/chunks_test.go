// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	// smallValue is the size of the largest value of a store in which a job of some tens of tasks is large, in bytes.
	smallValue = 16 << 10
	chunkTasks = 60 // of the job in these tests; more chunks than fit into one transaction
)

// chunkStore holds the progress of one job, as a store would.
type chunkStore struct {
	whole    jobs.Progress
	chunking jobs.ChunkingID // written together with whole; empty: none
	chunks   map[jobs.Chunk]jobs.Progress
}

// apply carries out the changes of a transaction, and checks that the store accepts it.
func (s *chunkStore) apply(t require.TestingT, changes Changes, maxValueSize int) {
	accepts := func(p jobs.Progress) {
		data, err := json.Marshal(p)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxValueSize, "bytes of a value")
	}
	entries := len(changes.Remove)
	for _, change := range changes.Jobs {
		entries += len(change.Chunks)
		for _, each := range change.Chunks {
			accepts(each.Content)
			if each.Content.Empty() {
				delete(s.chunks, each.Chunk)
			} else {
				s.chunks[each.Chunk] = each.Content
			}
		}
		if change.ChunksOnly {
			continue
		}
		entries += 2
		accepts(change.Progress)
		s.whole, s.chunking = change.Progress, ""
		if change.Chunking != nil {
			s.chunking = change.Chunking.ID
		}
	}
	for _, each := range changes.Remove {
		delete(s.chunks, each)
	}
	require.LessOrEqual(t, entries, storeLimit*MaxEntriesPerJob+1, "entries of a transaction")
}

// newChunkStore returns a store that holds nothing.
func newChunkStore() chunkStore { return chunkStore{chunks: map[jobs.Chunk]jobs.Progress{}} }

// maxStorePasses is more transactions than any test needs to store all changes.
const maxStorePasses = 100

// storeEach stores all changes of an owner, and passes on each transaction before it counts as stored.
func (b *bench) storeEach(t require.TestingT, carryOut func(Changes)) {
	for passes := 0; b.HasChanges(); passes++ {
		require.Less(t, passes, maxStorePasses, "stores without end")
		changes := b.TakeChanges(storeLimit, b.now)
		carryOut(changes)
		b.Stored(changes, b.now)
	}
}

// storeAllIn stores all changes of an owner in a store that accepts values of a size.
func (b *bench) storeAllIn(t require.TestingT, store *chunkStore, maxValueSize int) {
	b.storeEach(t, func(changes Changes) { store.apply(t, changes, maxValueSize) })
}

// read returns the progress that a successor would read.
func (s *chunkStore) read() jobs.Progress {
	read := jobs.Progress{DoneOccurrences: s.whole.DoneOccurrences, Done: s.whole.Done, Suspected: jobs.Suspicions{}}
	read.AddChunk(s.whole)
	for key, content := range s.chunks {
		if key.Chunking == s.chunking && key.Number != jobs.ChunkingItself {
			read.AddChunk(content)
		}
	}
	return read
}

// stateOf describes what a progress says of a task.
func stateOf(p jobs.Progress, step, index int) string {
	for _, done := range p.Done[step] {
		if done == index {
			return "done"
		}
	}
	data, _ := json.Marshal([]any{p.Failed[step][index], p.Suspected[step][index]})
	return string(data)
}

// chunkWorld changes the tasks of a job at random and stores what changes, with answers that are lost.
type chunkWorld struct {
	t       *rapid.T
	b       *bench
	j       *job
	store   chunkStore
	pending *Changes
	// history lists for each task what was to be stored of it, by the job's version.
	history map[*task][]versionedState
	runs    jobs.RunID
}

// versionedState is what is to be stored of a task from a version of its job on.
type versionedState struct {
	version uint64
	state   string
}

// tasks calls a function for each task of the job.
func (w *chunkWorld) tasks(do func(t *task)) {
	for s := range w.j.heldSteps() {
		for i := range s.tasks {
			do(&s.tasks[i])
		}
	}
}

// record adds the present state of all tasks to their history.
func (w *chunkWorld) record() {
	present := progressOf(w.j)
	w.tasks(func(t *task) {
		state := stateOf(present, t.step.flat(), t.index)
		if h := w.history[t]; len(h) == 0 || h[len(h)-1].state != state {
			w.history[t] = append(h, versionedState{w.j.version, state})
		}
	})
}

// change changes a range of tasks.
func (w *chunkWorld) change() {
	kind := rapid.SampledFrom([]string{"lost", "lost", "lost", "failed", "cleared", "done"}).Draw(w.t, "change")
	from := rapid.IntRange(0, chunkTasks-1).Draw(w.t, "from")
	to := rapid.IntRange(from, chunkTasks-1).Draw(w.t, "to")
	if kind == "done" {
		to = from
	}
	for number := from; number <= to; number++ {
		step, index := w.j.spec.TaskAt(number)
		t := w.b.task(w.j, step, index)
		if t.state == taskDone {
			continue
		}
		w.runs++
		switch kind {
		case "lost":
			t.suspicion.Lost = append(t.suspicion.Lost, jobs.LostRun{Run: w.runs, RanAtMost: 1234, EvidenceVsChance: -3.25, EvidenceVsAll: -7.5, LossID: math.MaxUint32})
		case "failed":
			t.failures = append(t.failures, w.runs)
		case "cleared":
			t.suspicion = jobs.Suspicion{}
		case "done":
			t.step.waiting--
			w.b.finishTask(t)
		}
		w.b.markTaskChanged(t)
	}
	w.record()
}

// take takes changes to be stored.
func (w *chunkWorld) take() {
	if w.pending == nil {
		changes := w.b.TakeChanges(storeLimit, w.b.now)
		w.pending = &changes
	}
}

// answer carries out the pending transaction, or not, and answers it, or not.
func (w *chunkWorld) answer() {
	if w.pending == nil {
		return
	}
	outcome := rapid.SampledFrom([]string{"stored", "stored", "stored", "answer lost", "call lost"}).Draw(w.t, "outcome")
	if outcome != "call lost" {
		w.store.apply(w.t, *w.pending, smallValue)
	}
	if outcome == "stored" {
		w.b.Stored(*w.pending, w.b.now)
	} else {
		w.b.Unstored(*w.pending)
	}
	w.pending = nil
}

// check compares what a successor would read with what the owner takes for stored: of each task a state that it has had
// since the version that counts as stored.
func (w *chunkWorld) check(*rapid.T) {
	read := w.store.read()
	w.tasks(func(t *task) {
		state := stateOf(read, t.step.flat(), t.index)
		var allowed []string
		for _, each := range w.history[t] {
			if each.version <= w.j.storedVersion {
				allowed = allowed[:0]
			}
			allowed = append(allowed, each.state)
		}
		require.Contains(w.t, allowed, state, "task %s, version %d is stored, %d is the latest", t.id(), w.j.storedVersion, w.j.version)
	})
}

// newChunkWorld makes a world of a job of which nothing is stored, in a store that accepts small values only.
func newChunkWorld(t *rapid.T, tb testing.TB) *chunkWorld {
	b := newBench(tb, 1)
	b.config.MaxValueSize = smallValue
	b.AddJob(b.job(jobs.Step{Count: chunkTasks / 3}, jobs.Step{Count: chunkTasks - chunkTasks/3}), jobs.Progress{}, true, b.now)
	w := &chunkWorld{t: t, b: b, j: b.jobs[testJob], store: newChunkStore(), history: map[*task][]versionedState{}}
	w.record()
	return w
}

// TestProgressInChunksIsStoredWhole guards against losses and failures that are stored in part when the owner takes them
// for stored: a successor would start a task again too often.
func TestProgressInChunksIsStoredWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newChunkWorld(rt, t)
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { w.change() },
			"take":   func(*rapid.T) { w.take() },
			"answer": func(*rapid.T) { w.answer() },
			"":       w.check,
		})
		for passes := 0; w.pending != nil || w.b.HasChanges(); passes++ {
			require.Less(rt, passes, maxStorePasses, "stores without end")
			w.take()
			w.store.apply(rt, *w.pending, smallValue)
			w.b.Stored(*w.pending, w.b.now)
			w.pending = nil
			w.check(rt)
		}
		require.Equal(rt, w.j.version, w.j.storedVersion)
		read, present := w.store.read(), progressOf(w.j)
		w.tasks(func(t *task) {
			require.Equal(rt, stateOf(present, t.step.flat(), t.index), stateOf(read, t.step.flat(), t.index))
		})
	})
}

// TestChunksAreTakenOverAndDropped guards against chunks that stay in the store for ever: a successor goes on with those
// of active jobs, and deletes them when the job has ended, as it does those that belong to no progress.
func TestChunksAreTakenOverAndDropped(t *testing.T) {
	first := newBench(t, 1)
	first.config.MaxValueSize = smallValue
	record := first.job(jobs.Step{Count: chunkTasks})
	first.AddJob(record, jobs.Progress{}, true, first.now)
	store := newChunkStore()
	loseAll := func(b *bench) {
		for i := range chunkTasks {
			t := b.task(b.jobs[testJob], 0, i)
			t.suspicion.Lost = append(t.suspicion.Lost, jobs.LostRun{Run: jobs.RunID(len(t.suspicion.Lost) + 1), EvidenceVsAll: 1})
			b.markTaskChanged(t)
		}
	}
	storeAll := func(b *bench) { b.storeAllIn(t, &store, smallValue) }
	loseAll(first)
	storeAll(first)
	require.NotEmpty(t, store.chunking)
	stored := len(store.chunks)
	require.Greater(t, stored, storeLimit*MaxEntriesPerJob/2, "one transaction holds all chunks")

	second := newBench(t, 1)
	second.config.MaxValueSize = smallValue
	strange := jobs.Chunk{Job: "00000000000000bb", Chunking: "3-1", Number: 7}
	store.chunks[strange] = jobs.Progress{}
	var keys []jobs.Chunk
	for key := range store.chunks {
		keys = append(keys, key)
	}
	keys = append(keys, jobs.Chunk{Job: testJob, Chunking: store.chunking, Number: jobs.ChunkingItself})
	second.RestoreChunks(map[jobs.ID]jobs.Chunking{testJob: first.jobs[testJob].chunks.Chunking}, keys)
	second.AddJob(record, store.read(), false, second.now)
	second.DropUnusedChunks()
	loseAll(second)
	storeAll(second)
	require.NotContains(t, store.chunks, strange)
	require.Len(t, store.chunks, stored)
	require.Len(t, store.read().Suspected[0][0].Lost, 2)
	require.Equal(t, first.jobs[testJob].chunks.ID, store.chunking, "the successor goes on with the chunks")

	second.endJob(second.jobs[testJob], jobs.StateFailed)
	second.jobs[testJob].running = 0
	storeAll(second)
	require.NotContains(t, second.jobs, testJob)
	require.Empty(t, store.chunks)
}

// TestChunkOfTheLargestTasksFitsIntoAValue checks that the number of tasks in a chunk follows from the most that is stored of
// a task: all losses that are kept, with the longest numbers, and some tens of failures.
func TestChunkOfTheLargestTasksFitsIntoAValue(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(jobs.Step{Count: jobs.MaxStepTasks}), jobs.Progress{}, true, b.now)
	j := b.jobs[testJob]
	for s := range j.heldSteps() {
		for i := range s.tasks {
			fillTask(&s.tasks[i], 200, 60)
			b.markTaskChanged(&s.tasks[i])
		}
	}
	store := newChunkStore()
	b.storeAllIn(t, &store, defaultMaxValueSize)
	require.Equal(t, j.version, j.storedVersion)
	require.Len(t, store.read().Suspected[0], jobs.MaxStepTasks)
}

// fillTask gives a task losses and failures whose numbers are as long as they can be.
func fillTask(t *task, losses, failures int) {
	lost := jobs.LostRun{Run: math.MaxUint64, RanAtMost: 9999, EvidenceVsChance: -1234.25, EvidenceVsAll: -1234.25, LossID: math.MaxUint32}
	for range losses {
		t.suspicion.Lost = append(t.suspicion.Lost, lost)
		t.suspicion.UnobservedRuns = append(t.suspicion.UnobservedRuns, math.MaxUint64)
	}
	t.suspicion.Unresolved = &jobs.UnresolvedRun{LostRun: lost, Worker: jobs.WorkerID(strings.Repeat("w", 100)), Born: 1796608680142, BeganAt: 1796608680142, ChanceRate: 0.123, NeighbourRate: 123.456}
	for range failures {
		t.failures = append(t.failures, math.MaxUint64)
	}
}

// chunkRuns are the runs of a job on the workers of a bench, driven by the orders and answers of an owner.
type chunkRuns struct {
	*bench
	t       *rapid.T
	store   chunkStore
	workers int                     // how many there have been
	running map[string][]jobs.Run   // by worker
	ended   map[string][]jobs.Ended // not acknowledged, by worker
	numbers map[string]uint64       // of the latest end, by worker
}

const chunkRunWorkers = 3

// newChunkRuns makes a bench with a job whose progress outgrows a value soon.
func newChunkRuns(t *rapid.T, tb testing.TB) *chunkRuns {
	r := &chunkRuns{
		bench: newBench(tb, 0), t: t, store: newChunkStore(),
		running: map[string][]jobs.Run{}, ended: map[string][]jobs.Ended{}, numbers: map[string]uint64{},
	}
	r.config.MaxValueSize = smallValue
	for range chunkRunWorkers {
		r.ids = append(r.ids, "")
		r.replaceWorker(len(r.ids) - 1)
	}
	small := models.Resources{CPU: 10, Memory: 1}
	record := r.job(jobs.Step{Count: chunkTasks / 2, Size: small, Estimate: 20_000}, jobs.Step{Count: chunkTasks / 2, Size: small, LongRunning: true})
	record.Terms.MaxAttempts = 1000
	r.AddJob(record, jobs.Progress{}, true, r.now)
	return r
}

// replaceWorker puts a new worker into a place.
func (r *chunkRuns) replaceWorker(n int) {
	r.workers++
	r.ids[n] = jobs.WorkerID(fmt.Sprintf("w%d-%d", n, r.workers))
	r.listWorkers()
	r.report(n, jobs.Report{})
}

// obey carries out the owner's orders.
func (r *chunkRuns) obey() {
	for _, order := range r.Decide(r.now) {
		switch order := order.(type) {
		case StartOrder:
			if rapid.IntRange(0, 9).Draw(r.t, "start") == 0 {
				r.Started(order, Result{Outcome: OutcomeUnknown}, r.now) // not carried out
				continue
			}
			r.running[string(order.Worker.ID)] = append(r.running[string(order.Worker.ID)], jobs.Run{Task: order.Call.Task, Run: order.Call.Run})
			r.Started(order, Result{Outcome: OutcomeDone}, r.now)
		case StopOrder:
			r.end(string(order.Worker.ID), order.Call.Task, jobs.EndStopped)
			r.Stopped(order, Result{Outcome: OutcomeDone}, r.now)
		}
	}
}

// end ends a run of a task on a worker.
func (r *chunkRuns) end(worker string, task jobs.TaskID, how jobs.End) {
	r.running[worker] = slices.DeleteFunc(r.running[worker], func(run jobs.Run) bool {
		if run.Task != task {
			return false
		}
		r.numbers[worker]++
		r.ended[worker] = append(r.ended[worker], jobs.Ended{Number: r.numbers[worker], Task: task, Run: run.Run, How: how})
		return true
	})
}

// reportAll lets all workers report.
func (r *chunkRuns) reportAll() {
	for n, id := range r.ids {
		r.report(n, jobs.Report{Running: r.running[string(id)], Ended: r.ended[string(id)]})
		r.ended[string(id)] = nil
	}
}

// endSome ends some runs of a worker.
func (r *chunkRuns) endSome(how jobs.End) {
	id := string(r.ids[rapid.IntRange(0, chunkRunWorkers-1).Draw(r.t, "worker")])
	for _, run := range slices.Clone(r.running[id]) {
		if rapid.Bool().Draw(r.t, "ends") {
			r.end(id, run.Task, how)
		}
	}
	r.reportAll()
}

// lose loses a worker, with or without refused connections before.
func (r *chunkRuns) lose() {
	n := rapid.IntRange(0, chunkRunWorkers-1).Draw(r.t, "worker")
	id := r.ids[n]
	r.Unreached(id, rapid.Bool().Draw(r.t, "refused"), r.now)
	r.storeAll()
	r.now = r.now.Add(time.Second)
	r.Replaced(id, r.now)
	delete(r.running, string(id))
	r.replaceWorker(n)
}

// pass lets time pass while the workers report.
func (r *chunkRuns) pass() {
	for range rapid.IntRange(1, 15).Draw(r.t, "seconds") {
		r.now = r.now.Add(700 * time.Millisecond)
		r.reportAll()
		r.obey()
	}
}

// storeAll stores all changes.
func (r *chunkRuns) storeAll() { r.storeAllIn(r.t, &r.store, smallValue) }

// check stores all changes and compares what a successor would read with the state of the tasks.
func (r *chunkRuns) check(*rapid.T) {
	r.storeAll()
	j := r.jobs[testJob]
	if j == nil || j.end != "" {
		return
	}
	read, present := r.store.read(), progressOf(j)
	for s := range j.heldSteps() {
		for i := range s.tasks {
			require.Equal(r.t, stateOf(present, s.flat(), i), stateOf(read, s.flat(), i), "task %s", s.tasks[i].id())
		}
	}
}

// TestChangesOfTasksReachTheirChunks guards against a change of a task, by whatever it comes about, with which its chunk is
// not stored again.
func TestChangesOfTasksReachTheirChunks(t *testing.T) {
	chunked := 0
	rapid.Check(t, func(rt *rapid.T) {
		r := newChunkRuns(rt, t)
		rt.Repeat(map[string]func(*rapid.T){
			"obey":    func(*rapid.T) { r.obey() },
			"succeed": func(*rapid.T) { r.endSome(jobs.EndSucceeded) },
			"fail":    func(*rapid.T) { r.endSome(jobs.EndFailed) },
			"lapse":   func(*rapid.T) { r.endSome(jobs.EndLapsed) },
			"lose":    func(*rapid.T) { r.lose() },
			"pass":    func(*rapid.T) { r.pass() },
			"":        r.check,
		})
		if r.store.chunking != "" {
			chunked++
		}
	})
	require.Positive(t, chunked, "no progress was stored in chunks")
}
