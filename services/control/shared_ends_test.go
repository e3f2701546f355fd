// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/grid"
	"rillsail.example/rillsail/services/standin/kv"
)

// sharedEndCase is a job that is given up while its tasks are in several cells, with a fault at the transaction that
// stores its end.
type sharedEndCase struct {
	Cells int         `json:"cells"`
	Fault sharedFault `json:"fault"`
	State jobs.State  `json:"state"` // of the job in the end
}

// sharedFault is what happens at the first transaction that stores the end of a divided job.
type sharedFault string

const (
	faultOwnerLostBefore sharedFault = "owner lost, end not stored"
	faultOwnerLostAfter  sharedFault = "owner lost, end stored"
	faultAnswerLost      sharedFault = "answer lost"
	faultStoredLate      sharedFault = "end stored late"
	faultNoAnswer        sharedFault = "end not stored, no answer"
	faultRefused         sharedFault = "refused"
	faultCancelled       sharedFault = "cancelled"
	faultCancelledLate   sharedFault = "cancelled late"
	faultOthersLate      sharedFault = "others learn late"
	faultOthersLost      sharedFault = "others lost"
	faultAllLost         sharedFault = "all lost"
	faultSubmittedAgain  sharedFault = "submitted again"
	faultTasksMove       sharedFault = "tasks move"
	faultRecordChanges   sharedFault = "record changes"
)

// sharedEndCluster runs one job with a task on each worker but one, the first of which can be made to crash its workers.
type sharedEndCluster struct {
	*testCluster
	spec     jobs.Spec
	crashing atomic.Bool
	fault    sharedFault
	sent     atomic.Bool   // the end has been sent to the store
	met      chan struct{} // closed when its transaction has met the fault
	after    func()        // what follows then
}

// endStore is a daemon's connection to a store whose first transaction with the end of a divided job meets a fault.
type endStore struct {
	platform.TxnStore
	cluster *sharedEndCluster
	daemon  *testDaemon
}

// endsJob reports whether a transaction stores that a job has failed.
func endsJob(txn platform.Txn) bool {
	for _, put := range txn.Put {
		if strings.HasPrefix(put.Key, jobPrefix) && bytes.Contains(put.Value, []byte(`"ended":"failed"`)) {
			return true
		}
	}
	return false
}

func (s *endStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	require.LessOrEqual(s.cluster.t, txn.Entries(), platform.MaxTxnEntries)
	if !endsJob(txn) || !s.cluster.sent.CompareAndSwap(false, true) {
		return s.TxnStore.Commit(ctx, txn)
	}
	return s.cluster.commitWithFault(ctx, s.daemon, func(ctx context.Context) (platform.Version, error) { return s.TxnStore.Commit(ctx, txn) })
}

// commitWithFault performs the transaction that ends the job, sent by the daemon that owns the crashing task's cell.
func (w *sharedEndCluster) commitWithFault(ctx context.Context, d *testDaemon, commit func(context.Context) (platform.Version, error)) (platform.Version, error) {
	defer close(w.met)
	others := func(do func(other *testDaemon)) {
		for _, other := range w.daemonList() {
			if other != d {
				do(other)
			}
		}
	}
	switch w.fault {
	case faultOwnerLostBefore:
		w.after = d.kill
		d.set(func() { d.storeCut = true })
		return 0, platform.ErrUnknownOutcome
	case faultOwnerLostAfter:
		w.after = d.kill
		_, _ = commit(ctx)
		d.set(func() { d.storeCut = true })
		return 0, platform.ErrUnknownOutcome
	case faultAnswerLost:
		_, _ = commit(ctx)
		sleep(ctx, testCallTimeout)
		return 0, platform.ErrUnknownOutcome
	case faultStoredLate:
		time.AfterFunc(100*time.Millisecond, func() { _, _ = commit(w.ctx) })
		return 0, platform.ErrUnknownOutcome
	case faultNoAnswer:
		sleep(ctx, testCallTimeout)
		return 0, platform.ErrUnknownOutcome
	case faultRefused:
		return 0, platform.ErrUnavailable
	case faultCancelled:
		others(w.cancelJob)
	case faultCancelledLate:
		w.after = func() { others(w.cancelJob) }
	case faultOthersLate:
		others(func(other *testDaemon) { other.set(func() { other.watchLost = true }) })
		w.after = func() {
			w.eventually(time.Second, "the owner tells the end", func() bool { return w.state(d, w.spec.ID) == jobs.StateFailed })
			w.requireEndStays(jobs.StateFailed, 4*time.Second)
			others(func(other *testDaemon) { other.set(func() { other.watchLost = false }) })
		}
	case faultOthersLost:
		w.after = func() { others((*testDaemon).kill) }
	case faultAllLost:
		w.after = func() { w.loseDaemons("all daemons", 0) }
	case faultSubmittedAgain:
		w.after = func() { w.submit(w.daemons[0], w.spec) }
	case faultTasksMove:
		others(func(other *testDaemon) { other.set(func() { other.watchLost = true }) })
		w.disconnectWorkerOfAnother(d)
		w.after = func() { // the tasks there are offered to other cells meanwhile
			time.Sleep(15 * time.Second)
			others(func(other *testDaemon) { other.set(func() { other.watchLost = false }) })
		}
	case faultRecordChanges:
		w.rewriteRecordOfAnother(d)
	}
	return commit(ctx)
}

// cancelJob cancels the job by way of a daemon.
func (w *sharedEndCluster) cancelJob(d *testDaemon) {
	w.eventually(5*time.Second, "job is cancelled", func() bool {
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		return d.Cancel(ctx, w.spec.ID) == (platform.Done{})
	})
}

// cellOfAnother returns a cell that another daemon owns.
func (w *sharedEndCluster) cellOfAnother(owner *testDaemon) int {
	for cell := range w.daemons[0].Cells.layout().Cells {
		if w.ownerOfCell(cellName(cell)) != owner {
			return cell
		}
	}
	require.Fail(w.t, "one daemon owns all cells")
	return 0
}

// disconnectWorkerOfAnother disconnects a worker of a cell that another daemon owns, so that its tasks have to move.
func (w *sharedEndCluster) disconnectWorkerOfAnother(owner *testDaemon) {
	place := w.workersOfCell(w.cellOfAnother(owner))[0]
	w.grid.SetFaults(place, faultsCut)
	w.grid.SetListed(place, false)
}

// rewriteRecordOfAnother changes the job's record in a cell that another daemon owns, as a move does.
func (w *sharedEndCluster) rewriteRecordOfAnother(owner *testDaemon) {
	store := &kv.Local{Service: w.store, Fault: kv.NoFault}
	key := jobKey(cellName(w.cellOfAnother(owner)), w.spec.ID)
	record, err := store.Get(w.ctx, key)
	require.NoError(w.t, err)
	_, err = store.Commit(w.ctx, platform.Txn{Put: []platform.Write{{Key: key, Value: record.Value}}})
	require.NoError(w.t, err)
}

// placeOfTask returns the place of the worker on which a task is placed.
func (w *sharedEndCluster) placeOfTask(id jobs.TaskID, workers int) (place int, found bool) {
	for cell := range w.daemons[0].Cells.layout().Cells {
		owner := w.ownerOfCell(cellName(cell))
		if owner == nil {
			continue
		}
		for _, state := range owner.Cells.ownedCells()[cellName(cell)].core.WorkerStates(time.Now()) {
			for place := range workers {
				if w.grid.Worker(place).ID == state.ID && len(state.Tasks) > 0 && state.Tasks[0] == id.String() {
					return place, true
				}
			}
		}
	}
	return 0, false
}

// newSharedEndCluster makes cells of two workers each, all tasks of the job running.
func newSharedEndCluster(t *testing.T, c sharedEndCase) *sharedEndCluster {
	t.Helper()
	w := &sharedEndCluster{fault: c.Fault, met: make(chan struct{})}
	w.testCluster = newTestClusterWithGrid(t, 0, 2, grid.Config{
		Workers: 2 * c.Cells, RestartDelay: workerDowntime,
		Crash: func(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
			return 20 * time.Millisecond, w.crashing.Load() && task.Index == 0
		},
	})
	w.wrapStore = func(d *testDaemon, store platform.TxnStore) platform.TxnStore {
		return &endStore{TxnStore: store, cluster: w, daemon: d}
	}
	for range 3 {
		w.startDaemon()
	}
	w.spec = longRunningJob(1, 2*c.Cells-1)
	w.spec.Steps[0].PerWorker = 1
	w.submit(w.daemons[0], w.spec)
	w.eventually(60*time.Second, "all tasks are running", func() bool { return w.grid.Running(w.spec.ID) == w.spec.Steps[0].Count })
	time.Sleep(5 * time.Second)
	return w
}

// requireEndStays asks all daemons for a while and checks that none of them takes an end back.
func (w *sharedEndCluster) requireEndStays(state jobs.State, during time.Duration) {
	w.t.Helper()
	for until := time.Now().Add(during); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, d := range w.daemons {
			if told := w.state(d, w.spec.ID); told != "" {
				require.Equal(w.t, state, told)
			}
		}
	}
}

// replaceLostDaemons starts a daemon for each that was killed, and forgets the latter.
func (w *sharedEndCluster) replaceLostDaemons() {
	var left []*testDaemon
	lost := 0
	for _, d := range w.daemons {
		select {
		case <-d.done:
			lost++
		default:
			left = append(left, d)
		}
	}
	w.mu.Lock()
	w.daemons = left
	w.mu.Unlock()
	for range lost {
		w.startDaemon()
	}
}

// TestJobGivenUpEndsInAllItsCells guards against a job that is given up in the cell of its crashing task and goes on in
// other cells, whatever happens to the transaction that stores its end: the tasks of all cells are stopped, no daemon
// tells another state once one has told the end, and no keys are left.
func TestJobGivenUpEndsInAllItsCells(t *testing.T) {
	for name, c := range casefile.Read[map[string]sharedEndCase](t, "testdata/shared_ends.json") {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSharedEnd(t, c) })
		})
	}
}

func testSharedEnd(t *testing.T, c sharedEndCase) {
	t.Helper()
	w := newSharedEndCluster(t, c)
	place, found := w.placeOfTask(jobs.TaskID{Job: w.spec.ID}, 2*c.Cells)
	require.True(t, found)
	w.crashing.Store(true)
	w.grid.CrashWithDowntime(place)
	w.eventually(90*time.Second, "job is given up", func() bool {
		select {
		case <-w.met:
			return true
		default:
			return false
		}
	})
	if w.after != nil {
		w.after()
	}
	w.replaceLostDaemons()
	w.eventually(30*time.Second, "a daemon tells the end", func() bool {
		for _, d := range w.daemons {
			if w.state(d, w.spec.ID) == c.State {
				return true
			}
		}
		return false
	})
	w.requireEndStays(c.State, 10*time.Second)
	w.eventually(10*time.Second, "all tasks are stopped", func() bool { return w.grid.Running(w.spec.ID) == 0 })
	w.requireEndStays(c.State, 5*time.Second)
	require.Zero(t, w.grid.Running(w.spec.ID))
	require.LessOrEqual(t, w.grid.Crashes(w.spec.ID), 5)
	time.Sleep(170 * time.Second)
	require.Empty(t, w.keysOf(w.spec.ID))
	w.requireNoBreaches()
}

// TestMoveThatFindsTheJobEndedEndsItHere guards against tasks that wait for a place again when their move finds that
// another cell has ended their job, of which this owner has not learned yet.
func TestMoveThatFindsTheJobEndedEndsItHere(t *testing.T) {
	h := newManualOwner(t)
	spec := longRunningJob(1, 2)
	spec.Queue = testQueue
	record := jobs.Record{Spec: spec, Terms: testTerms, Accepted: models.UnixMilliOf(time.Now())}
	record.Version = uint64(h.put(cellHere, record))
	h.core.AddJob(record, jobs.Progress{}, true, time.Now())
	part := dispatch.Move{Job: spec.ID, To: cellThere, Tasks: jobs.TaskSet{0: {1}}}
	require.True(t, h.core.BeginMove(part))
	h.moves = append(h.moves, &move{Move: part})
	late := h.withholdCommit(platform.ErrUnknownOutcome)
	h.executeMoves(t.Context())
	require.Len(t, h.moves, 1, "its outcome is unknown")
	late()
	for _, cell := range []jobs.CellName{cellHere, cellThere} {
		h.put(cell, record.EndedAs(jobs.StateFailed, 1))
	}
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	state, _ := h.core.State(spec.ID)
	require.Equal(t, jobs.StateFailed, state)
	require.Zero(t, h.core.Summary(time.Now()).Jobs, "its tasks would start here")
}

// TestStateIsThatOfAllCells checks which state a job has of which two cells tell different states.
func TestStateIsThatOfAllCells(t *testing.T) {
	for _, c := range casefile.Read[[]struct{ A, B, Both jobs.State }](t, "testdata/states_of_cells.json") {
		require.Equal(t, c.Both, combineStates(c.A, c.B), "%+v", c)
		require.Equal(t, c.Both, combineStates(c.B, c.A), "%+v", c)
	}
}
