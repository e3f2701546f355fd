// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// journal orders an owner's transactions: each writes the journal's key under the
// condition that nobody else has, and that the owner's key is still there. A transaction
// whose answer was lost can therefore not be done after a later one. The entry names the
// transaction, so that one that was done late is not taken for another.
type journal struct {
	attempts uint64           // transactions tried in this epoch
	last     journalEntry     // as stored
	version  platform.Version // of the journal's key
}

type journalEntry struct {
	Epoch   jobs.Epoch `json:"epoch"`
	Attempt uint64     `json:"attempt"`
}

// Check is there for the decoder; every value is allowed.
func (e journalEntry) Check() error { return nil }

func (j *journal) load(ctx context.Context, store platform.Store, cell jobs.CellName) error {
	record, err := store.Get(ctx, journalKey(cell))
	if errors.Is(err, platform.ErrNotFound) {
		j.version = 0
		return nil
	}
	if err != nil {
		return err
	}
	entry, err := decode[journalEntry](record)
	j.last, j.version = entry, record.Version
	return err
}

// decode reads a key's value.
func decode[T wire.Checker](record platform.Record) (T, error) {
	value, err := wire.DecodeBytes[T](record.Value)
	return value, errors.Wrapf(err, "key %s", record.Key)
}

// read reads a key's value; the zero value when the key isn't there.
func read[T wire.Checker](ctx context.Context, store platform.Store, key string) (T, error) {
	var zero T
	record, err := store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return zero, nil
	}
	if err != nil {
		return zero, err
	}
	return decode[T](record)
}

// jobsPerTxn keeps a transaction within the store's bound: an ended job has three entries
// at most, and five entries are the owner's own.
const jobsPerTxn = (platform.MaxTxnEntries - 5) / 3

// storeLoop stores what the core has changed.
func (o *Owner) storeLoop(ctx context.Context) {
	ticker := time.NewTicker(o.config.Settings.StoreEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		more, err := o.storeOnce(ctx)
		switch {
		case err != nil:
			sleep(ctx, loadRetry)
		case more:
			continue
		default:
			o.carryOutMoves(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeStore:
		}
	}
}

// storeOnce stores some changes; more tells whether others wait.
func (o *Owner) storeOnce(ctx context.Context) (more bool, err error) {
	o.mu.Lock()
	changes := o.core.TakeChanges(jobsPerTxn, time.Now())
	o.storing = !changes.Empty()
	o.mu.Unlock()
	if changes.Empty() {
		return false, nil
	}
	err = o.commit(ctx, changes)
	o.cells.health.note(err)
	o.mu.Lock()
	if err == nil {
		o.core.Stored(changes, time.Now())
	} else {
		o.core.Unstored(changes)
	}
	o.storing = false
	more = o.core.HasChanges()
	o.mu.Unlock()
	wake(o.wakeDecide)
	if err != nil && !isOutage(err) { // outages are logged once, when they begin and end
		o.config.Logger.Warn("progress is not stored", append(log.Err(err), zap.String("cell", string(o.cell)), zap.Int("jobs", len(changes.Jobs)))...)
	}
	return more, err
}

// commit carries out one transaction of the owner.
func (o *Owner) commit(ctx context.Context, changes dispatch.Changes) error {
	txn, err := o.txnOf(changes)
	if err != nil {
		return err
	}
	_, err = o.chain(ctx, txn)
	return err
}

// chain carries out a transaction as the next one of the owner, and gives its version.
func (o *Owner) chain(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	o.journal.attempts++
	entry := journalEntry{Epoch: o.epoch, Attempt: o.journal.attempts}
	value, err := json.Marshal(entry)
	if err != nil {
		return 0, errors.Wrap(err, "encode entry of the journal")
	}
	txn.Require = append(txn.Require,
		platform.Precondition{Key: ownerKey(o.cell), Version: platform.Version(o.epoch)},
		platform.Precondition{Key: journalKey(o.cell), Version: o.journal.version})
	txn.Put = append(txn.Put, platform.Write{Key: journalKey(o.cell), Value: value})
	version, err := o.config.Store.Commit(ctx, txn)
	switch {
	case err == nil:
		o.journal.last, o.journal.version = entry, version
	case errors.Is(err, platform.ErrConflict):
		err = o.settle(ctx, entry, err)
	case errors.Is(err, platform.ErrUnknown):
		if err = o.settle(ctx, entry, err); err != nil {
			err = errors.Mark(err, platform.ErrUnknown)
		}
	}
	return o.journal.version, err
}

// settle finds out what became of a transaction that was not answered, or whose
// conditions failed: an earlier one may have been done late, or the cell is lost.
func (o *Owner) settle(ctx context.Context, attempted journalEntry, cause error) error {
	if err := o.journal.load(ctx, o.config.Store, o.cell); err != nil {
		return err
	}
	if o.journal.last == attempted {
		return nil
	}
	record, err := o.config.Store.Get(ctx, ownerKey(o.cell))
	switch {
	case errors.Is(err, platform.ErrNotFound), err == nil && record.Version != platform.Version(o.epoch):
		o.cells.drop(o.cell, o, "store names another owner, or none")
	}
	return cause
}

func (o *Owner) txnOf(changes dispatch.Changes) (platform.Txn, error) {
	var txn platform.Txn
	var puts []put
	if changes.Roster != nil {
		puts = append(puts, put{rosterKey(o.cell), changes.Roster})
	}
	for _, change := range changes.Jobs {
		if change.Ended == nil {
			puts = append(puts, put{progressKey(o.cell, change.ID), change.Progress})
			continue
		}
		puts = append(puts, put{jobKey(o.cell, change.ID), change.Ended})
		if change.HasProgress {
			txn.Delete = append(txn.Delete, progressKey(o.cell, change.ID))
		}
		if change.Cancelled {
			txn.Delete = append(txn.Delete, cancelKey(o.cell, change.ID))
		}
	}
	for _, id := range changes.Forget { // also where parts of it were, or it came from
		txn.Delete = append(txn.Delete, jobKeys(cellsOf(id, o.cells.layout()), id)...)
	}
	writes, err := encode(puts)
	txn.Put = writes
	return txn, err
}

type put struct {
	key   string
	value any
}

// encode makes writes of values.
func encode(puts []put) ([]platform.Write, error) {
	writes := make([]platform.Write, 0, len(puts))
	for _, p := range puts {
		value, err := json.Marshal(p.value)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", p.key)
		}
		writes = append(writes, platform.Write{Key: p.key, Value: value})
	}
	return writes, nil
}

// finishTime bounds the last transactions of a planned stop.
const finishTime = time.Second

// finish stores everything before the cell is handed over.
func (o *Owner) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	for ctx.Err() == nil {
		o.mu.Lock()
		more := o.core.HasChanges() || o.storing
		o.mu.Unlock()
		if !more {
			return
		}
		wake(o.wakeStore)
		sleep(ctx, decideLeast)
	}
}
