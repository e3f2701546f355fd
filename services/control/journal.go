// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// journal orders the transactions of an owner. Each transaction writes the journal's key, and requires
// that the key is unchanged and that the owner's key still exists. A transaction whose answer was lost
// can therefore not be applied after a later one. The entry identifies the transaction, so that a transaction
// that is applied late is not mistaken for another transaction.
type journal struct {
	attempts uint64           // transactions tried in this epoch
	last     journalEntry     // the entry that the store holds
	version  platform.Version // of the journal's key
}

// journalEntry is the value stored under a journal's key.
type journalEntry struct {
	Epoch   jobs.Epoch `json:"epoch"`
	Attempt uint64     `json:"attempt"`
}

// Check implements wire.Checker; every value is valid.
func (e journalEntry) Check() error { return nil }

// unknownEntry stands for an entry that cannot be decoded: it is no transaction of any owner known, and may be that of a
// later epoch.
var unknownEntry = journalEntry{Epoch: math.MaxUint64}

// readJournal reads the journal's key of a cell; the version is 0 if there is none. An entry that cannot be decoded is no
// reason to leave the cell without owner: the next transaction replaces it.
func readJournal(ctx context.Context, config Config, cell jobs.CellName) (journalEntry, platform.Version, error) {
	record, err := config.Store.Get(ctx, journalKey(cell))
	if errors.Is(err, platform.ErrNotFound) {
		return journalEntry{}, 0, nil
	}
	if err != nil {
		return journalEntry{}, 0, err
	}
	entry, err := decode[journalEntry](record)
	if err != nil {
		config.Logger.Error("journal of a cell cannot be decoded; the next transaction replaces it", append(log.Err(err), zap.String("cell", string(cell)))...)
		return unknownEntry, record.Version, nil
	}
	return entry, record.Version, nil
}

// load reads the journal's key.
func (j *journal) load(ctx context.Context, config Config, cell jobs.CellName) error {
	entry, version, err := readJournal(ctx, config, cell)
	if err != nil {
		return err
	}
	j.last, j.version = entry, version
	return nil
}

// journalEntries is the number of entries that commitJournaled adds to a transaction.
const journalEntries = 3

// commitJournaled commits a transaction as the owner's next one in the journal, and returns its version.
func (o *Owner) commitJournaled(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	o.journal.attempts++
	entry := journalEntry{Epoch: o.epoch, Attempt: o.journal.attempts}
	value, err := json.Marshal(entry)
	if err != nil {
		return 0, errors.Wrap(err, "encode journal entry")
	}
	txn.Require = append(txn.Require,
		platform.Precondition{Key: ownerKey(o.cell), Version: platform.Version(o.epoch)},
		platform.Precondition{Key: journalKey(o.cell), Version: o.journal.version})
	txn.Put = append(txn.Put, platform.Write{Key: journalKey(o.cell), Value: value})
	version, err := o.config.Store.Commit(ctx, txn)
	if isInvalid(err) {
		o.config.Logger.Error("store does not accept a transaction", append(log.Err(err), zap.String("cell", string(o.cell)), zap.Strings("values", describeValues(txn)))...)
	}
	switch classifyCommit(err) {
	case verdictDone:
		o.journal.last, o.journal.version = entry, version
		return version, nil
	case verdictRejected:
		return 0, err
	case verdictConflict:
		return o.resolveCommit(ctx, entry, err)
	default:
		// If the store rejects the reads of resolveCommit, the outcome of the transaction is still unknown.
		version, err = o.resolveCommit(ctx, entry, err)
		return version, platform.AsUnknownOutcome(err)
	}
}

// describeValues returns the keys that a transaction writes with the sizes of their values in bytes.
func describeValues(txn platform.Txn) []string {
	values := make([]string, 0, len(txn.Put))
	for _, w := range txn.Put {
		values = append(values, fmt.Sprintf("%s: %d", w.Key, len(w.Value)))
	}
	return values
}

// resolveCommit finds out what became of a transaction that was not answered, or whose
// preconditions failed because an earlier one was applied late or because the cell is lost. It returns
// the version of the transaction if it was applied, and the cause otherwise. The error of a read that
// fails here is only added to the text, not wrapped, because it is no answer to the transaction.
func (o *Owner) resolveCommit(ctx context.Context, attempted journalEntry, cause error) (platform.Version, error) {
	if err := o.journal.load(ctx, o.config, o.cell); err != nil {
		return 0, errors.Wrapf(cause, "journal could not be read to resolve the transaction (%v)", err)
	}
	if o.journal.last == attempted {
		return o.journal.version, nil
	}
	record, err := o.config.Store.Get(ctx, ownerKey(o.cell))
	switch {
	case errors.Is(err, platform.ErrNotFound), err == nil && record.Version != platform.Version(o.epoch):
		o.cells.dropOwner(o.cell, o, "the store names another owner or none")
	case err != nil:
		return 0, errors.Wrapf(cause, "owner's key could not be read to resolve the transaction (%v)", err)
	}
	return 0, cause
}
