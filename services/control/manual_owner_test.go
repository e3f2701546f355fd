// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// Cells of the tests below, which no daemon claims.
const (
	cellHere  jobs.CellName = "here"
	cellThere jobs.CellName = "there"
)

// hookStore is a store whose calls a test can intercept.
type hookStore struct {
	*kv.Local
	commit func(txn platform.Txn) (platform.Version, error) // nil: commits as usual
	get    func(key string) error                           // called before each read; nil: no call
}

func (s *hookStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if s.commit != nil {
		return s.commit(txn)
	}
	return s.Local.Commit(ctx, txn)
}

func (s *hookStore) Get(ctx context.Context, key string) (platform.Record, error) {
	if s.get != nil {
		if err := s.get(key); err != nil {
			return platform.Record{}, err
		}
	}
	return s.Local.Get(ctx, key)
}

// manualOwner is an owner of cellHere without loops; the test makes the calls of the loops.
type manualOwner struct {
	*Owner
	t     *testing.T
	store *hookStore
}

func newManualOwner(t *testing.T) *manualOwner {
	t.Helper()
	store := &hookStore{Local: &kv.Local{Service: kv.New(kv.Config{}), Fault: kv.NoFault}}
	service := New(Config{
		Self: "daemon", Settings: testSettings, Store: store, Logger: zap.NewNop(), Scope: tally.NoopScope,
	})
	epoch, err := store.Swap(t.Context(), ownerKey(cellHere), []byte("{}"), 0, 0)
	require.NoError(t, err)
	return &manualOwner{newOwner(service.Cells, cellHere, jobs.Epoch(epoch), time.Now()), t, store}
}

// put stores a job's record in a cell unconditionally.
func (h *manualOwner) put(cell jobs.CellName, record jobs.Record) platform.Version {
	h.t.Helper()
	writes, err := encodeWrites([]keyValue{{jobKey(cell, record.Spec.ID), record}})
	require.NoError(h.t, err)
	version, err := h.store.Local.Commit(h.t.Context(), platform.Txn{Put: writes})
	require.NoError(h.t, err)
	return version
}

// beginMove accepts a job in cellHere and begins to move it as a whole to cellThere.
func (h *manualOwner) beginMove() jobs.Spec {
	h.t.Helper()
	return h.beginMoveOf(twoStepJob(1, time.Second))
}

// beginMoveOf does the same with a given job.
func (h *manualOwner) beginMoveOf(spec jobs.Spec) jobs.Spec {
	h.t.Helper()
	spec.Queue = testQueue
	record := jobs.Record{Spec: spec, Terms: testTerms, Accepted: models.UnixMilliOf(time.Now())}
	record.Version = uint64(h.put(cellHere, record))
	h.core.AddJob(record, jobs.Progress{}, true, time.Now())
	whole := dispatch.Move{Job: spec.ID, Whole: true, To: cellThere, Tasks: record.HeldTasks()}
	require.True(h.t, h.core.BeginMove(whole))
	h.moves = append(h.moves, &move{Move: whole})
	return spec
}

// withholdCommit withholds the next transaction and answers it with an error; late performs the transaction.
func (h *manualOwner) withholdCommit(answer error) (late func()) {
	var held platform.Txn
	h.store.commit = func(txn platform.Txn) (platform.Version, error) {
		held, h.store.commit = txn, nil
		return 0, answer
	}
	return func() {
		_, err := h.store.Local.Commit(h.t.Context(), held)
		require.NoError(h.t, err)
	}
}

// TestMoveDoneLateIsNotTakenBackAfterTheOtherCellHasEndedTheJob guards against tasks that run again in this cell. The
// first attempt of the move has no answer and takes effect while the second one reads the records; the other cell runs
// and ends the job at once.
func TestMoveDoneLateIsNotTakenBackAfterTheOtherCellHasEndedTheJob(t *testing.T) {
	h := newManualOwner(t)
	spec := h.beginMove()
	late := h.withholdCommit(platform.ErrUnknownOutcome)
	h.executeMoves(t.Context())
	require.Len(t, h.moves, 1, "its outcome is unknown")
	h.store.get = func(key string) error {
		if key == jobKey(cellThere, spec.ID) {
			h.store.get = nil
			late()
			h.put(cellThere, jobs.Record{Spec: spec, Ended: jobs.StateSucceeded})
		}
		return nil
	}
	h.executeMoves(t.Context())
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	_, known := h.core.State(spec.ID)
	require.False(t, known, "its tasks would run again here")
}

// TestForgottenJobIsNotTakenBack guards against the same when the other cell has run and forgotten the job before the
// next attempt.
func TestForgottenJobIsNotTakenBack(t *testing.T) {
	h := newManualOwner(t)
	spec := h.beginMove()
	late := h.withholdCommit(platform.ErrUnknownOutcome)
	h.executeMoves(t.Context())
	late()
	_, err := h.store.Local.Commit(t.Context(), platform.Txn{Delete: jobKeys([]jobs.CellName{cellHere, cellThere}, spec.ID)})
	require.NoError(t, err)
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	_, known := h.core.State(spec.ID)
	require.False(t, known, "its tasks would run again here")
}

// TestMoveIsOffOnlyIfTheStoreSaysSo guards against a move that counts as rejected after an error that the store does not
// define, although its write took effect or may still do so.
func TestMoveIsOffOnlyIfTheStoreSaysSo(t *testing.T) {
	for name, c := range map[string]struct {
		answer error
		open   int
	}{
		"no answer":       {platform.ErrUnknownOutcome, 1},
		"no class":        {errors.New("answered Internal Server Error"), 1},
		"too large":       {platform.ErrTooLarge, 1},
		"caller has left": {context.Canceled, 1},
		"turned away":     {platform.ErrUnavailable, 0},
		"too many":        {platform.ErrRateLimited, 0},
		"conflict":        {platform.ErrConflict, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newManualOwner(t)
			spec := h.beginMove()
			h.withholdCommit(c.answer)
			h.executeMoves(t.Context())
			require.Len(t, h.moves, c.open)
			require.Equal(t, 1, h.core.Pending()[spec.Queue])
		})
	}
}

// TestMoveStaysOpenWhenItsNextTryIsTurnedAway guards against a refusal of the second attempt that is taken for one of
// the first attempt, whose outcome is unknown.
func TestMoveStaysOpenWhenItsNextTryIsTurnedAway(t *testing.T) {
	for _, second := range []error{platform.ErrUnavailable, platform.ErrRateLimited, platform.ErrConflict} {
		h := newManualOwner(t)
		spec := h.beginMove()
		late := h.withholdCommit(platform.ErrUnknownOutcome)
		h.executeMoves(t.Context())
		h.withholdCommit(second)
		h.executeMoves(t.Context())
		require.Len(t, h.moves, 1, "%v", second)
		late()
		h.executeMoves(t.Context())
		require.Empty(t, h.moves)
		_, known := h.core.State(spec.ID)
		require.False(t, known)
	}
}

// TestTransactionOfUnknownFateIsNothingElse guards against the error of the read that should resolve an unknown outcome
// being taken for the outcome of the transaction.
func TestTransactionOfUnknownFateIsNothingElse(t *testing.T) {
	h := newManualOwner(t)
	h.withholdCommit(platform.ErrUnknownOutcome)
	h.store.get = func(string) error { return platform.ErrUnavailable }
	_, err := h.commitJournaled(t.Context(), platform.Txn{})
	require.True(t, errors.Is(err, platform.ErrUnknownOutcome), "%v", err)
	require.False(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
}

// TestConflictIsNothingElse guards against a read without answer making the outcome unknown of a transaction whose
// conditions failed.
func TestConflictIsNothingElse(t *testing.T) {
	h := newManualOwner(t)
	spec := h.beginMove()
	h.withholdCommit(platform.ErrConflict)
	h.store.get = func(key string) error {
		if key == journalKey(cellHere) {
			return platform.ErrUnknownOutcome
		}
		return nil
	}
	h.executeMoves(t.Context())
	require.Empty(t, h.moves)
	require.Equal(t, 1, h.core.Pending()[spec.Queue], "the job waits in this cell again")
}

// TestWorkerThatSaysThatItIsNotWellHasNotLeft guards against tasks that start elsewhere while their worker is still
// there: a draining worker may stay longer than announced, and its entry in the list may be missing.
func TestWorkerThatSaysThatItIsNotWellHasNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newManualOwner(t)
		worker := jobs.Worker{ID: "w", Pool: testPool}
		h.core.SetWorkers([]jobs.Worker{worker}, time.Now())
		h.recordReport(worker, 0, time.Now(), jobs.Report{}, nil)
		worker.Draining, worker.Remaining = true, time.Second
		h.core.SetWorkers([]jobs.Worker{worker}, time.Now())
		h.core.SetWorkers(nil, time.Now())
		time.Sleep(2 * time.Second)
		h.recordReport(worker, 0, time.Now(), jobs.Report{}, platform.ErrOverloaded)
		require.Len(t, h.core.Workers(), 1, "the worker has answered")
		h.recordReport(worker, 0, time.Now(), jobs.Report{}, platform.ErrUnreachable)
		require.Len(t, h.core.Workers(), 1, "the worker may be cut off")
		h.core.Decide(time.Now())
		require.Empty(t, h.core.Workers(), "the worker runs nothing, as it has reported")
	})
}

// TestFailedCallForAFormerIncarnationSaysNothing guards against a worker that counts as lost or silent because of a
// failed call to its previous incarnation.
func TestFailedCallForAFormerIncarnationSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newManualOwner(t)
		worker := jobs.Worker{ID: "w", Pool: testPool, Born: 2000}
		h.core.SetWorkers([]jobs.Worker{worker}, time.Now())
		h.recordReport(worker, 0, time.Now(), jobs.Report{Born: 1000}, nil)
		h.core.SetWorkers(nil, time.Now())
		time.Sleep(4 * time.Second)
		h.recordReport(worker, 0, time.Now(), jobs.Report{}, errors.Mark(platform.ErrUnreachable, platform.ErrConnectionRefused))
		require.Len(t, h.core.Workers(), 1)
		require.EqualValues(t, 1000, h.core.Workers()[0].Born)
	})
}

// TestRemovalOfAFormerOwnersKeyLosesNoCell guards against a new owner that gives its cell up because a lagging watch
// reports the removal of the previous owner's key.
func TestRemovalOfAFormerOwnersKeyLosesNoCell(t *testing.T) {
	h := newManualOwner(t)
	h.cells.owned[cellHere] = h.Owner
	removed := platform.Record{Key: ownerKey(cellHere), Version: platform.Version(h.epoch) - 1, Deleted: true}
	h.cells.applyOwnerRecord(removed)
	require.Contains(t, h.cells.ownedCells(), cellHere)
	removed.Version = platform.Version(h.epoch) + 1
	h.cells.applyOwnerRecord(removed)
	require.NotContains(t, h.cells.ownedCells(), cellHere)
}
