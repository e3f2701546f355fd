// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
)

// movesPerTxn is how many jobs that move as a whole fit into a transaction: each takes four conditions and two writes.
const movesPerTxn = 4

// beginMoves begins to move jobs as a whole to cellThere.
func (h *manualOwner) beginMoves(count int) []jobs.ID {
	h.t.Helper()
	ids := make([]jobs.ID, 0, count)
	for n := range count {
		ids = append(ids, h.beginMoveOf(twoStepJob(n+1, time.Second)).ID)
	}
	return ids
}

// countCommits counts the transactions from now on, and checks that none has more entries than the store takes.
func (h *manualOwner) countCommits() *int {
	count := 0
	h.store.commit = func(txn platform.Txn) (platform.Version, error) {
		count++
		require.LessOrEqual(h.t, txn.Entries(), platform.MaxTxnEntries)
		return h.store.Local.Commit(h.t.Context(), txn)
	}
	return &count
}

// beforeNextCommit calls a function just before the next transaction is performed.
func (h *manualOwner) beforeNextCommit(do func()) {
	h.store.commit = func(txn platform.Txn) (platform.Version, error) {
		h.store.commit = nil
		do()
		return h.store.Local.Commit(h.t.Context(), txn)
	}
}

// requireMoved checks that all tasks of a job are in cellThere, and that none can start in cellHere.
func (h *manualOwner) requireMoved(id jobs.ID) {
	h.t.Helper()
	here, err := h.readRecord(h.t.Context(), cellHere, id)
	require.NoError(h.t, err)
	require.True(h.t, here.AllTasksMoved(), "job %s in the record here", id)
	there, err := h.readRecord(h.t.Context(), cellThere, id)
	require.NoError(h.t, err)
	require.NotZero(h.t, there.Version)
	require.Equal(h.t, there.Spec.Steps[0].Count, len(there.HeldTasks()[0]))
	_, known := h.core.State(id)
	require.False(h.t, known, "job %s would run here as well", id)
}

// change is what happens to a job while it moves.
type change string

const (
	changeCancelled change = "cancelled"
	changeEnded     change = "ended"
	changeForgotten change = "forgotten"
	changeThere     change = "in the other cell"
	changeRewritten change = "rewritten"
)

// apply makes a change in the store.
func (h *manualOwner) apply(c change, id jobs.ID) {
	h.t.Helper()
	record, err := h.readRecord(h.t.Context(), cellHere, id)
	require.NoError(h.t, err)
	switch c {
	case changeCancelled:
		txn, err := putTxn(cancelKey(cellHere, id), jobs.Cancellation{At: 1})
		require.NoError(h.t, err)
		_, err = h.store.Local.Commit(h.t.Context(), txn)
		require.NoError(h.t, err)
	case changeEnded:
		h.put(cellHere, record.EndedAs(jobs.StateFailed, 1))
	case changeForgotten:
		_, err := h.store.Local.Commit(h.t.Context(), platform.Txn{Delete: []string{jobKey(cellHere, id)}})
		require.NoError(h.t, err)
	case changeThere:
		h.put(cellThere, record)
	case changeRewritten:
		h.put(cellHere, record)
	}
}

// TestMovesShareTransactions guards against jobs that move one in a transaction: the last of many waits the longer, the more of them
// there are.
func TestMovesShareTransactions(t *testing.T) {
	h := newManualOwner(t)
	ids := h.beginMoves(maxMovesInProgress)
	commits := h.countCommits()
	require.False(t, h.executeMoves(t.Context()))
	require.Equal(t, maxMovesInProgress/movesPerTxn, *commits)
	require.Empty(t, h.moves)
	for _, id := range ids {
		h.requireMoved(id)
	}
}

// TestMovesReadEachJobOnce guards against moves of many jobs that take most of the reading calls that the store answers.
func TestMovesReadEachJobOnce(t *testing.T) {
	h := newManualOwner(t)
	h.beginMoves(maxMovesInProgress)
	var reads atomic.Int64
	h.store.get = func(string) error {
		reads.Add(1)
		return nil
	}
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	require.EqualValues(t, maxMovesInProgress, reads.Load())
}

// TestMovesOfOneTransactionFit guards against a transaction of several moves that has more entries than the store takes, or is larger
// than any that it has to take, and against a move of unknown outcome that depends on others.
func TestMovesOfOneTransactionFit(t *testing.T) {
	type sizedMove struct {
		Entries    int  `json:"entries"`
		Bytes      int  `json:"bytes"`
		Unresolved bool `json:"unresolved"`
	}
	type fitCase struct {
		Moves   []sizedMove `json:"moves"`
		Batches []int       `json:"batches"` // the number of moves in each
	}
	for name, c := range casefile.Read[map[string]fitCase](t, "testdata/move_batches.json") {
		t.Run(name, func(t *testing.T) {
			var moves []preparedMove
			for _, m := range c.Moves {
				txn := platform.Txn{Require: make([]platform.Precondition, m.Entries-1), Put: []platform.Write{{Value: make([]byte, m.Bytes)}}}
				moves = append(moves, preparedMove{move: &move{unresolved: m.Unresolved}, txn: txn})
			}
			var sizes []int
			for _, batch := range batchMoves(moves) {
				sizes = append(sizes, len(batch))
			}
			require.Equal(t, c.Batches, sizes)
		})
	}
}

// TestRefusedMoveHoldsNoOthersUp guards against a job that has changed since its records were read, and whose move the store therefore
// rejects together with those of other jobs: these move all the same, and the job is where the store says.
func TestRefusedMoveHoldsNoOthersUp(t *testing.T) {
	type refusedMoveCase struct {
		Change change     `json:"change"`
		State  jobs.State `json:"state"` // of the job in this cell; empty: it is not known here any more
	}
	for _, c := range casefile.Read[[]refusedMoveCase](t, "testdata/refused_moves.json") {
		for refused := range movesPerTxn + 1 { // the last one has a transaction of its own
			t.Run(fmt.Sprint(c.Change, " ", refused), func(t *testing.T) {
				h := newManualOwner(t)
				ids := h.beginMoves(movesPerTxn + 1)
				h.beforeNextCommit(func() { h.apply(c.Change, ids[refused]) })
				h.executeMoves(t.Context())
				for n, id := range ids {
					if n != refused {
						h.requireMoved(id)
					}
				}
				h.executeMoves(t.Context())
				require.Empty(t, h.moves, "no transaction may still move it")
				state, _ := h.core.State(ids[refused])
				require.Equal(t, c.State, state)
			})
		}
	}
}

// TestMoveThatTheStoreRefusesHoldsNoOthersUp guards against a move that the store never accepts, because a record is too large for a
// value, and that keeps those in its transaction from being stored: these move, and the job stays and is not offered again.
func TestMoveThatTheStoreRefusesHoldsNoOthersUp(t *testing.T) {
	h := newManualOwner(t)
	ids := h.beginMoves(movesPerTxn + 1)
	refused := ids[1]
	h.store.commit = func(txn platform.Txn) (platform.Version, error) {
		for _, w := range txn.Put {
			if w.Key == jobKey(cellThere, refused) {
				return 0, errors.Mark(errors.New("value is not accepted"), platform.ErrInvalid)
			}
		}
		return h.store.Local.Commit(t.Context(), txn)
	}
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	for _, id := range ids {
		if id != refused {
			h.requireMoved(id)
		}
	}
	state, known := h.core.State(refused)
	require.True(t, known)
	require.Equal(t, jobs.StateQueued, state)
}

// TestMovesWithoutAnswerAreResolvedOneByOne guards against jobs that run in both cells, or in none, because the transaction of several
// moves has no answer, whether it was carried out, is carried out late or never, and while one of the jobs changes.
func TestMovesWithoutAnswerAreResolvedOneByOne(t *testing.T) {
	type unansweredMovesCase struct {
		Performed string     `json:"performed"` // at once, late or never
		Next      string     `json:"next"`      // the answer to the next attempt, in words; empty: as usual
		Change    change     `json:"change"`    // of the first job before the next attempt; empty: none
		State     jobs.State `json:"state"`     // of the first job in this cell then
	}
	answers := map[string]error{"unavailable": platform.ErrUnavailable, "limited": platform.ErrRateLimited, "conflict": platform.ErrConflict, "none": platform.ErrUnknownOutcome}
	for name, c := range casefile.Read[map[string]unansweredMovesCase](t, "testdata/unanswered_moves.json") {
		t.Run(name, func(t *testing.T) {
			h := newManualOwner(t)
			ids := h.beginMoves(movesPerTxn)
			late := h.withholdCommit(platform.ErrUnknownOutcome)
			if c.Performed == "at once" {
				h.store.commit = func(txn platform.Txn) (platform.Version, error) {
					h.store.commit = nil
					_, err := h.store.Local.Commit(t.Context(), txn)
					require.NoError(t, err)
					h.store.get = func(string) error { return platform.ErrUnavailable } // the journal doesn't tell
					return 0, platform.ErrUnknownOutcome
				}
			}
			h.executeMoves(t.Context())
			h.store.get = nil
			require.Len(t, h.moves, movesPerTxn, "the outcome of all is unknown")
			require.Len(t, h.core.Pending(), 1, "none of them is forgotten")
			if c.Next != "" {
				h.store.commit = func(platform.Txn) (platform.Version, error) { return 0, answers[c.Next] }
				h.executeMoves(t.Context())
				require.Len(t, h.moves, movesPerTxn, "the answer is that to the next attempt only")
				h.store.commit = nil
			}
			if c.Performed == "late" {
				late()
			}
			if c.Change != "" {
				h.apply(c.Change, ids[0])
			}
			h.executeMoves(t.Context())
			for n, id := range ids {
				if n > 0 || c.Change == "" {
					h.requireMoved(id)
				}
			}
			state, _ := h.core.State(ids[0])
			require.Equal(t, c.State, state)
		})
	}
}

// lateMovesStore is a store that performs transactions with jobs of two cells with a delay, and does not answer them.
type lateMovesStore struct {
	platform.TxnStore
	ctx  context.Context // of the test
	late *atomic.Int64   // the delay in nanoseconds; 0: it answers
}

func (s lateMovesStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	late := time.Duration(s.late.Load())
	if late == 0 || !writesJobs(txn, cellName(0)) || !writesJobs(txn, cellName(1)) {
		return s.TxnStore.Commit(ctx, txn)
	}
	time.AfterFunc(late, func() { _, _ = s.TxnStore.Commit(s.ctx, txn) }) // the result is lost
	sleep(ctx, testCallTimeout)
	return 0, platform.ErrUnknownOutcome
}

// writesJobs reports whether a transaction writes jobs of a cell.
func writesJobs(txn platform.Txn, cell jobs.CellName) bool {
	return slices.ContainsFunc(txn.Put, func(w platform.Write) bool { return strings.HasPrefix(w.Key, jobKeyPrefix(cell)) })
}

// TestManyMovesWithoutAnswerAreDoneOnce guards against jobs that run in both cells, or in none, when the transactions that move many of
// them take effect late and have no answer, while some of the jobs are cancelled and the workers of their cell come back.
func TestManyMovesWithoutAnswerAreDoneOnce(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLateMoves(t, late) })
		})
	}
}

// playLateMoves lets many jobs wait in a cell whose workers are away, and performs the moves of the first of them late.
func playLateMoves(t *testing.T, late time.Duration) {
	t.Helper()
	const count, cancelledOneIn = 60, 7
	var delay atomic.Int64
	w := newTwoCellClusterWithStore(t, 4, func(int) time.Duration { return time.Minute }, func(w *testCluster) {
		w.wrapStore = func(_ *testDaemon, store platform.TxnStore) platform.TxnStore {
			return lateMovesStore{answeringStore{store}, w.ctx, &delay}
		}
	})
	away := w.workersOfCell(0)
	for _, place := range away {
		w.grid.SetListed(place, false)
	}
	time.Sleep(roomCalm)
	delay.Store(int64(late))
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() {
			w.submitTo(0, jobs.Spec{ID: jobID(n + 1), Payload: "payload", Steps: []jobs.Step{{
				Count: 1, Size: models.Resources{CPU: 20, Memory: 10}, Estimate: 60_000,
			}}})
			if n%cancelledOneIn == 0 {
				time.Sleep(late / count * time.Duration(n))
				require.Equal(t, platform.Done{}, w.daemons[n%len(w.daemons)].Cancel(w.ctx, jobID(n+1)))
			}
		})
	}
	time.Sleep(2 * late)
	delay.Store(0)
	for _, place := range away {
		w.grid.SetListed(place, true)
	}
	calls.Wait()
	allRun := func() bool {
		for n := range count {
			if expected := min(1, n%cancelledOneIn); w.grid.Running(jobID(n+1)) != expected {
				return false
			}
		}
		return true
	}
	w.eventually(10*time.Second, "all jobs run that are not cancelled", allRun)
	time.Sleep(10 * time.Second)
	require.True(t, allRun())
	w.requireNoBreaches()
}
