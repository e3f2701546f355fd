// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

const testSlots = 4

// journalFactory creates journals of one cell that share a store; fault injects faults into all of them.
type journalFactory struct {
	store     *kv.Service
	idsIssued int
	fault     func(ctx context.Context, write, after bool, key string) error
}

func newJournalFactory() *journalFactory {
	return &journalFactory{store: kv.New(kv.Config{}), fault: kv.NoFault}
}

func (w *journalFactory) newJournal(name models.MemberID) *Journal {
	store := &kv.Local{Service: w.store, Fault: func(ctx context.Context, write, after bool, key string) error {
		return w.fault(ctx, write, after, key)
	}}
	return New(Config{Store: store, Cell: "c", Writer: name, Slots: testSlots, NewID: func() string {
		w.idsIssued++
		return fmt.Sprint(w.idsIssued)
	}})
}

func changeOf(id string) models.CellChange {
	return models.CellChange{Tasks: []models.Task{{ID: models.TaskID(id), Kind: models.TaskBatch, State: models.TaskQueued}}}
}

// TestRingWrapsAndIsReadBack appends ten times as many entries as the ring has slots, and loads the journal at another
// daemon after each append.
func TestRingWrapsAndIsReadBack(t *testing.T) {
	w := newJournalFactory()
	first := w.newJournal("first")
	require.NoError(t, first.Acquire(t.Context()))
	for i := range 10 * testSlots {
		require.NoError(t, first.Append(t.Context(), changeOf(fmt.Sprint(i))))
		second := w.newJournal("second")
		require.NoError(t, second.Load(t.Context()))
		assert.Equal(t, first.State(), second.State())
		assert.Equal(t, first.Sequence(), second.Sequence())
	}
	assert.Len(t, w.store.KeysWithPrefix(Prefix), testSlots+1, "the ring and one snapshot")
}

// TestTakeoverFencesTheFormerOwner lets the previous and the new owner append in turn after a takeover.
func TestTakeoverFencesTheFormerOwner(t *testing.T) {
	w := newJournalFactory()
	previous, next := w.newJournal("previous"), w.newJournal("next")
	require.NoError(t, previous.Acquire(t.Context()))
	require.NoError(t, previous.Append(t.Context(), changeOf("a")))
	require.NoError(t, next.Acquire(t.Context()))
	assert.Greater(t, next.Epoch(), previous.Epoch())
	assert.Contains(t, next.State().Tasks, models.TaskID("a"))
	for range 3 * testSlots {
		assert.True(t, errors.Is(previous.Append(t.Context(), changeOf("late")), ErrSuperseded))
		require.NoError(t, next.Append(t.Context(), changeOf("b")))
	}
	assert.NotContains(t, next.State().Tasks, models.TaskID("late"))
}

// TestLostAnswerIsSettled loses the answer to an append that took effect, and to one that did not.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, tookEffect := range []bool{true, false} {
		w := newJournalFactory()
		j := w.newJournal("one")
		require.NoError(t, j.Acquire(t.Context()))
		lost := true
		w.fault = func(_ context.Context, write, after bool, _ string) error {
			if write && after == tookEffect && lost {
				lost = false
				return platform.ErrUnknownOutcome
			}
			return nil
		}
		require.True(t, errors.Is(j.Append(t.Context(), changeOf("a")), ErrPending))
		assert.NotContains(t, j.State().Tasks, models.TaskID("a"), "the change is not applied before its write is confirmed")
		require.True(t, errors.Is(j.Append(t.Context(), changeOf("b")), ErrPending), "no other entry is accepted before that")
		require.NoError(t, j.ResolvePending(t.Context()))
		assert.Contains(t, j.State().Tasks, models.TaskID("a"))
		other := w.newJournal("other")
		require.NoError(t, other.Load(t.Context()))
		assert.Equal(t, j.State(), other.State())
	}
}

// TestUnavailableWritesNothing rejects an append before it takes effect; the next append must not be pending.
func TestUnavailableWritesNothing(t *testing.T) {
	w := newJournalFactory()
	j := w.newJournal("one")
	require.NoError(t, j.Acquire(t.Context()))
	w.fault = func(context.Context, bool, bool, string) error { return platform.ErrUnavailable }
	err := j.Append(t.Context(), changeOf("a"))
	require.True(t, errors.Is(err, platform.ErrUnavailable))
	assert.False(t, errors.Is(err, ErrPending))
	w.fault = kv.NoFault
	require.NoError(t, j.Append(t.Context(), changeOf("b")))
	assert.NotContains(t, j.State().Tasks, models.TaskID("a"))
}

// TestHandedOverAppendIsSettledOnce hands over a journal whose last append has an unknown outcome; the previous and
// the new owner both resolve it.
func TestHandedOverAppendIsSettledOnce(t *testing.T) {
	w := newJournalFactory()
	previous, next := w.newJournal("previous"), w.newJournal("next")
	require.NoError(t, previous.Acquire(t.Context()))
	w.fault = func(_ context.Context, write, after bool, _ string) error {
		if write && after {
			return platform.ErrUnknownOutcome
		}
		return nil
	}
	require.True(t, errors.Is(previous.Append(t.Context(), changeOf("a")), ErrPending))
	require.NoError(t, next.Import(previous.Export()))
	w.fault = kv.NoFault
	require.NoError(t, next.ResolvePending(t.Context()))
	require.NoError(t, next.Append(t.Context(), changeOf("b")))
	assert.Contains(t, next.State().Tasks, models.TaskID("a"))
	require.NoError(t, previous.ResolvePending(t.Context()), "the slot holds the entry with this owner's write id")
	assert.True(t, errors.Is(previous.Append(t.Context(), changeOf("c")), ErrSuperseded))
}

// TestDamageIsSaid overwrites a slot with data that cannot be decoded.
func TestDamageIsSaid(t *testing.T) {
	w := newJournalFactory()
	j := w.newJournal("one")
	require.NoError(t, j.Acquire(t.Context()))
	record, err := j.config.Store.Get(t.Context(), j.slotKey(1))
	require.NoError(t, err)
	_, err = j.config.Store.Swap(t.Context(), j.slotKey(1), []byte("nonsense"), record.Version, 0)
	require.NoError(t, err)
	assert.True(t, errors.Is(w.newJournal("two").Acquire(t.Context()), ErrDamaged))
}

// FuzzDecode feeds arbitrary stored values to the decoder: it may reject a value but not panic, and each value that it
// accepts passes Check.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"", "j", "j{}", "x{}", `j{"epoch":1,"sequence":1,"writer":"a","write_id":"b","change":{}}`, `j{"epoch":-1}`, "d\x00\x01"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := decode[Entry](data)
		if err == nil {
			require.NoError(t, entry.Check())
			return
		}
		require.True(t, errors.Is(err, ErrDamaged), err)
	})
}
