// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Cancel ends a job: the wish is stored in each cell that has tasks of it, then their owners
// act on it.
func (s *Service) Cancel(ctx context.Context, id jobs.ID) error {
	layout := s.Cells.layout()
	if layout == nil {
		return platform.ErrUnavailable
	}
	for {
		entries, err := s.entriesOf(ctx, id, layout)
		if err != nil {
			return err
		}
		if entries.state().Ended() {
			return nil // the wish has been stored before, or comes too late
		}
		err = s.cancel(ctx, id, entries)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		if ctx.Err() != nil { // tasks move between cells, or the job ends
			return errors.Mark(err, platform.ErrUnavailable)
		}
		sleep(ctx, cancelRetry)
	}
}

// cancelRetry is the pause before a cancellation is tried again that met a change of the job:
// a move, which is one transaction of some milliseconds, is over by then.
const cancelRetry = 20 * time.Millisecond

// cancel stores a job's cancellation on condition that its entries are as they were read.
func (s *Service) cancel(ctx context.Context, id jobs.ID, entries jobEntries) error {
	wish := jobs.Cancellation{At: models.UnixMilliOf(time.Now())}
	var txn platform.Txn
	var puts []put
	var cells []string
	for _, entry := range entries {
		txn.Require = append(txn.Require, platform.Precondition{
			Key: jobKey(entry.cell, id), Version: platform.Version(entry.record.Version),
		})
		if !entry.active() {
			continue
		}
		key := cancelKey(entry.cell, id)
		txn.Require = append(txn.Require, platform.Precondition{Key: key})
		puts = append(puts, put{key, wish})
		cells = append(cells, string(entry.cell))
	}
	if len(puts) == 0 {
		return platform.ErrConflict // read in the middle of a move
	}
	writes, err := encode(puts)
	if err != nil {
		return err
	}
	txn.Put = writes
	if err := s.write(ctx, txn); err != nil {
		return err
	}
	s.config.Scope.Counter("jobs_cancelled").Inc(1) // by queue when they have ended
	s.config.Logger.Info("job's cancellation is stored", zap.String("job", string(id)), zap.Strings("cells", cells))
	return nil
}
