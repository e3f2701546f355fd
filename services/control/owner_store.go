// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/dispatch"
	"rillsail.example/rillsail/services/platform"
)

// jobsPerTxn keeps a transaction within the store's limit of entries. An ended job takes three entries
// at most, a forgotten job a key in each of its cells, and the owner itself five.
const jobsPerTxn = (platform.MaxTxnEntries - 5) / (cellsPerJob + 1)

// maxStoresPerMoves is how many transactions store changes until pending moves have their turn, although there is more to store.
// These take about as long as the transactions of the moves of one turn, so that each gets half of the time.
const maxStoresPerMoves = maxMoveTxnsPerTurn

// storeLoop stores the changes of the core.
func (o *Owner) storeLoop(ctx context.Context) {
	ticker := time.NewTicker(o.config.Settings.StoreEvery)
	defer ticker.Stop()
	for stored := 0; ctx.Err() == nil; {
		o.forgetPreviousClaims(ctx)
		o.renewWitnesses(ctx)
		endsErr := o.storeSharedEnds(ctx)
		more, err := o.storeOnce(ctx)
		stored++
		switch {
		case err != nil:
			sleep(ctx, loadRetryPause)
		case more && stored < maxStoresPerMoves:
			continue
		default:
			stored = 0
			if movesLeft := o.executeMoves(ctx); more || movesLeft {
				continue
			}
			if endsErr != nil {
				sleep(ctx, loadRetryPause)
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeStore:
		}
	}
}

// storeOnce stores the changes that fit into one transaction; more reports whether others are left.
func (o *Owner) storeOnce(ctx context.Context) (more bool, err error) {
	o.mu.Lock()
	changes := o.core.TakeChanges(jobsPerTxn, o.config.Clock.Now())
	o.storing = !changes.Empty()
	o.mu.Unlock()
	if changes.Empty() {
		return false, nil
	}
	err = o.commit(ctx, changes)
	o.cells.health.record(err)
	o.mu.Lock()
	more = o.recordStore(changes, err)
	o.storing = false
	o.mu.Unlock()
	wake(o.wakeDecide)
	if err != nil && !isOutage(err) { // storeHealth logs the begin and the end of an outage
		o.config.Logger.Warn("progress is not stored", append(log.Err(err), zap.String("cell", string(o.cell)), zap.Int("jobs", len(changes.Jobs)))...)
	}
	if isInvalid(err) && len(changes.Jobs) > 0 {
		err = nil // the rest need not wait: each of these jobs is stored alone now, or set aside
	}
	return more, err
}

// recordStore tells the core what became of changes, and reports whether there are others to be stored.
func (o *Owner) recordStore(changes dispatch.Changes, err error) (more bool) {
	now := o.config.Clock.Now()
	switch {
	case err == nil:
		o.core.Stored(changes, now)
	case isInvalid(err):
		o.core.Refused(changes, now)
	default:
		o.core.Unstored(changes)
	}
	return o.core.HasChanges()
}

// commit stores changes in one transaction of the owner.
func (o *Owner) commit(ctx context.Context, changes dispatch.Changes) error {
	txn, err := o.buildTxn(changes)
	if err != nil {
		return err
	}
	_, err = o.commitJournaled(ctx, txn)
	return err
}

// buildTxn builds the transaction that stores changes.
func (o *Owner) buildTxn(changes dispatch.Changes) (platform.Txn, error) {
	var txn platform.Txn
	var puts []keyValue
	if changes.Roster != nil {
		puts = append(puts, keyValue{rosterKey(o.cell), changes.Roster})
	}
	for _, change := range changes.Jobs {
		if change.Ended == nil {
			puts = append(puts, o.progressPuts(change)...)
			txn.Delete = append(txn.Delete, o.emptyChunks(change)...)
			continue
		}
		puts = append(puts, keyValue{jobKey(o.cell, change.ID), change.Ended})
		if change.HasProgress {
			txn.Delete = append(txn.Delete, progressKey(o.cell, change.ID))
		}
		if change.Cancelled {
			txn.Delete = append(txn.Delete, cancelKey(o.cell, change.ID))
		}
	}
	for _, id := range changes.Forget { // other cells may hold parts of the job, or the records that it left when it moved
		cells := cellsForJob(id, o.cells.layout())
		if !slices.Contains(cells, o.cell) {
			cells = append(cells, o.cell)
		}
		txn.Delete = append(txn.Delete, jobKeys(cells, id)...)
	}
	for _, chunk := range changes.Remove {
		txn.Delete = append(txn.Delete, chunkKey(o.cell, chunk))
	}
	writes, err := encodeWrites(puts)
	txn.Put = append(writes, o.encodeLearned(changes.LearnedParameters)...)
	return txn, err
}

// progressPuts returns what a change of an active job writes.
func (o *Owner) progressPuts(change dispatch.JobChange) []keyValue {
	var puts []keyValue
	for _, chunk := range change.Chunks {
		if !chunk.Content.Empty() {
			puts = append(puts, keyValue{chunkKey(o.cell, chunk.Chunk), chunk.Content})
		}
	}
	if change.ChunksOnly {
		return puts
	}
	if change.Chunking != nil {
		itself := jobs.Chunk{Job: change.ID, Chunking: change.Chunking.ID, Number: jobs.ChunkingItself}
		puts = append(puts, keyValue{chunkKey(o.cell, itself), change.Chunking})
	}
	return append(puts, keyValue{progressKey(o.cell, change.ID), change.Progress})
}

// emptyChunks returns the keys of the chunks that a change of a job empties.
func (o *Owner) emptyChunks(change dispatch.JobChange) []string {
	var keys []string
	for _, chunk := range change.Chunks {
		if chunk.Content.Empty() {
			keys = append(keys, chunkKey(o.cell, chunk.Chunk))
		}
	}
	return keys
}

// encodeLearned returns the write of the learned parameters, if there are any. Parameters that cannot be
// encoded, or that no value holds, cost the next owner some seconds of learning, and must not prevent the other
// changes from being stored.
func (o *Owner) encodeLearned(learned *jobs.LearnedParameters) []platform.Write {
	if learned == nil {
		return nil
	}
	writes, err := encodeWrites([]keyValue{{learnedKey(o.cell), learned}})
	if err != nil {
		o.config.Logger.Error("learned parameters cannot be encoded; not storing them", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		return nil
	}
	if err := (platform.Txn{Put: writes}).CheckLimits(o.config.MaxValueSize); err != nil {
		o.config.Logger.Error("learned parameters are too large; not storing them", append(log.Err(err), zap.String("cell", string(o.cell)))...)
		return nil
	}
	return writes
}

// flushTimeout bounds the last transactions before a handover.
const flushTimeout = time.Second

// flush stores all pending changes before the cell is handed over.
func (o *Owner) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		o.mu.Lock()
		more := o.core.HasChanges() || o.storing
		o.mu.Unlock()
		if !more {
			return
		}
		wake(o.wakeStore)
		sleep(ctx, minDecidePause)
	}
}
