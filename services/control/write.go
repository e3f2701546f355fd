// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/services/platform"
)

const (
	// writeRetryPause is the pause before a write of unknown outcome is retried.
	writeRetryPause = 50 * time.Millisecond
	// maxWriteTime is how long a write is retried. A caller that is told that the outcome is unknown
	// asks another daemon, which may reach the store.
	maxWriteTime = 900 * time.Millisecond
)

// writeOutcome is what all tries of a transaction together say about it. The types below are the only
// outcomes. An error cannot express them, because the store's answer to the last try and the outcome of the
// earlier tries are independent: an error that carried both was mistaken for a rejection of writes that
// had been applied.
type writeOutcome interface{ writeOutcome() }

type (
	// committed means that the transaction was applied.
	committed struct{}
	// conflicted means that a precondition does not hold.
	conflicted struct {
		// maybeCommitted: the outcome of an earlier try is unknown, and it may have been applied.
		maybeCommitted bool
	}
	// rejected means that the transaction was not sent, or that the store rejected its only try.
	rejected struct{ cause error }
	// undetermined means that a try may have been applied, or may still be.
	undetermined struct{ cause error }
)

func (committed) writeOutcome()    {}
func (conflicted) writeOutcome()   {}
func (rejected) writeOutcome()     {}
func (undetermined) writeOutcome() {}

// write commits a transaction. Once the outcome of a try is unknown, write retries for up to maxWriteTime,
// because only the transaction itself or its preconditions can then tell what became of it.
func (s *Service) write(ctx context.Context, txn platform.Txn) writeOutcome {
	if ctx.Err() != nil {
		return rejected{errstep.Wrap(ctx.Err(), "write", "store")}
	}
	start := s.config.Clock.Now()
	var first error // the error of the first try of unknown outcome
	for tries := 1; ; tries++ {
		_, err := s.config.Store.Commit(ctx, txn)
		if ctx.Err() == nil { // the error of a call that ctx has ended does not show the store's health
			s.health.record(err)
		}
		switch classifyCommit(err) {
		case verdictDone:
			return committed{}
		case verdictConflict:
			return conflicted{maybeCommitted: first != nil}
		case verdictRejected:
			if first == nil {
				return rejected{errstep.Wrap(err, "write", "store")}
			}
		case verdictUnknown:
			if first == nil {
				first = err
			}
		}
		if s.config.Clock.Since(start) > maxWriteTime || ctx.Err() != nil {
			s.config.Logger.Info("outcome of a write is unknown; not retrying it any more", zap.Int("tries", tries), zap.NamedError("first", first), zap.NamedError("last", err))
			return undetermined{errstep.Wrap(platform.AsUnknownOutcome(first), "write", "store")}
		}
		sleep(ctx, writeRetryPause)
	}
}

// commitVerdict is what the store's answer says about a transaction. Only the errors that the store defines
// mean that it was not applied. Any other error, such as that of a call whose context ended, leaves the
// outcome unknown.
type commitVerdict uint8

const (
	verdictUnknown  commitVerdict = iota // the transaction may have been applied, or may still be
	verdictDone                          // applied
	verdictConflict                      // not applied: a precondition failed
	verdictRejected                      // not applied: the store did not process it, or does not accept it
)

// classifyCommit derives the verdict from the error of one try.
func classifyCommit(err error) commitVerdict {
	switch {
	case err == nil:
		return verdictDone
	case errors.Is(err, platform.ErrUnknownOutcome): // checked first: the error may wrap others as well
		return verdictUnknown
	case errors.Is(err, platform.ErrConflict):
		return verdictConflict
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrRateLimited, platform.ErrNoLease, platform.ErrInvalid):
		return verdictRejected
	default:
		return verdictUnknown
	}
}
