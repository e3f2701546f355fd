// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
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

// journalEntry is the stored value of a journal's key.
type journalEntry struct {
	Epoch   jobs.Epoch `json:"epoch"`
	Attempt uint64     `json:"attempt"`
}

// Check is there for the decoder; every value is allowed.
func (e journalEntry) Check() error { return nil }

// load reads the journal's key.
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
	switch classifyCommit(err) {
	case verdictDone:
		o.journal.last, o.journal.version = entry, version
		return version, nil
	case verdictRejected:
		return 0, err
	case verdictConflict:
		return o.resolveCommit(ctx, entry, err)
	default:
		// The reads that settle it may be turned away, which says nothing of the transaction.
		version, err = o.resolveCommit(ctx, entry, err)
		return version, platform.Unknown(err)
	}
}

// resolveCommit finds out what became of a transaction that was not answered, or whose
// conditions failed: an earlier one may have been done late, or the cell is lost. It gives the
// version of the transaction if it was done, and otherwise the cause; how a read of its own
// failed is told in the text alone, for it is no answer to the transaction.
func (o *Owner) resolveCommit(ctx context.Context, attempted journalEntry, cause error) (platform.Version, error) {
	if err := o.journal.load(ctx, o.config.Store, o.cell); err != nil {
		return 0, errors.Wrapf(cause, "journal can't be read (%v)", err)
	}
	if o.journal.last == attempted {
		return o.journal.version, nil
	}
	record, err := o.config.Store.Get(ctx, ownerKey(o.cell))
	switch {
	case errors.Is(err, platform.ErrNotFound), err == nil && record.Version != platform.Version(o.epoch):
		o.cells.dropOwner(o.cell, o, "store names another owner, or none")
	case err != nil:
		return 0, errors.Wrapf(cause, "owner's key can't be read (%v)", err)
	}
	return 0, cause
}
