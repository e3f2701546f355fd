// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/services/platform"
)

// preparedMove is a move whose records allow it, with the transaction that stores it.
type preparedMove struct {
	*move
	txn platform.Txn
	// assumed is set if the transaction is conditional on a record that was not read.
	assumed bool
}

// moveBatch are moves that one transaction stores.
type moveBatch []preparedMove

const (
	// maxMoveEntries is the number of entries that the moves of one transaction can have.
	maxMoveEntries = platform.MaxTxnEntries - journalEntries
	// maxBatchSize is the size of all values of a transaction of several moves, in bytes. A transaction with a single value may
	// have as many.
	maxBatchSize = platform.MaxValueSize
)

// prepareMoves reads the records that the moves depend on, and returns the moves that can be stored. It finishes those that the
// records decide. With assumeAbsent, it does not read records that must be absent.
func (o *Owner) prepareMoves(ctx context.Context, moves []*move, assumeAbsent bool) []preparedMove {
	var prepared []preparedMove
	for n, read := range o.readAllRecords(ctx, moves, assumeAbsent) {
		txn, outcome := o.prepareMove(moves[n], read)
		if outcome != nil {
			o.finishMove(moves[n], outcome)
			continue
		}
		prepared = append(prepared, preparedMove{moves[n], txn, read.assumed})
	}
	return prepared
}

// batchMoves divides moves between as few transactions as hold them in their order. A move that a transaction of unknown outcome
// may have stored is tried alone, so that it waits for no other.
func batchMoves(moves []preparedMove) []moveBatch {
	var batches []moveBatch
	for _, m := range moves {
		last := len(batches) - 1
		if last < 0 || !batches[last].takes(m) {
			batches = append(batches, moveBatch{m})
			continue
		}
		batches[last] = append(batches[last], m)
	}
	return batches
}

// takes reports whether a further move may be stored in the transaction of the batch.
func (b moveBatch) takes(m preparedMove) bool {
	if m.unresolved || b[0].unresolved {
		return false
	}
	txn := append(b[:len(b):len(b)], m).txn()
	return txn.Entries() <= maxMoveEntries && sizeOfValues(txn) <= maxBatchSize
}

// txn returns the transaction that stores all moves of the batch or none. Each of them is of another job, so that their keys differ.
func (b moveBatch) txn() platform.Txn {
	var txn platform.Txn
	for _, m := range b {
		txn.Require = append(txn.Require, m.txn.Require...)
		txn.Put = append(txn.Put, m.txn.Put...)
		txn.Delete = append(txn.Delete, m.txn.Delete...)
	}
	return txn
}

// sizeOfValues returns the size of the values that a transaction writes, in bytes.
func sizeOfValues(txn platform.Txn) int {
	size := 0
	for _, w := range txn.Put {
		size += len(w.Value)
	}
	return size
}

// storeMoves stores a batch of moves in one transaction. If the store rejects it because a condition of any move does not hold, or
// because it does not accept what one of them writes, each of them is tried alone.
func (o *Owner) storeMoves(ctx context.Context, batch moveBatch) {
	version, err := o.commitJournaled(ctx, batch.txn())
	conflict := classifyCommit(err) == verdictConflict
	if conflict && batch[0].assumed || (conflict || isInvalid(err)) && len(batch) > 1 {
		o.storeEachMove(ctx, batch)
		return
	}
	for _, m := range batch {
		o.finishMove(m.move, m.outcomeOf(version, err))
	}
}

// storeEachMove stores each move of a batch in a transaction of its own, with the records that the store holds now.
func (o *Owner) storeEachMove(ctx context.Context, batch moveBatch) {
	moves := make([]*move, 0, len(batch))
	for _, m := range batch {
		moves = append(moves, m.move)
	}
	for _, m := range o.prepareMoves(ctx, moves, false) {
		o.storeMoves(ctx, moveBatch{m})
	}
}

// outcomeOf returns the outcome of a move after its transaction.
func (m *move) outcomeOf(version platform.Version, err error) moveOutcome {
	if err == nil {
		return moveDone{version}
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		m.unresolved = true
	}
	return m.failure(err)
}
