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
	// writeRetryPause is the pause before a write without answer is repeated.
	writeRetryPause = 50 * time.Millisecond
	// maxWriteTime is for how long it is repeated: a caller that hears that nothing is known
	// asks another daemon, which may reach the store.
	maxWriteTime = 900 * time.Millisecond
)

// writeOutcome is what is known of a transaction, from all of its tries together: committed,
// conflicting, turnedAway or unsettled. The set is closed. An error could not say it: what the
// store answers to the last try is one thing, what became of the tries before it another, and
// an error that carried both was taken for a refusal of writes that had been done.
type writeOutcome interface{ writeOutcome() }

type (
	// committed says that it is done.
	committed struct{}
	// conflicting says that a condition does not hold.
	conflicting struct {
		// unsure: an earlier try had no answer, and may have been done.
		unsure bool
	}
	// turnedAway says that it was sent once, and that the store did nothing, or not at all.
	turnedAway struct{ cause error }
	// unsettled says that a try may have been done, or may still be.
	unsettled struct{ cause error }
)

func (committed) writeOutcome()   {}
func (conflicting) writeOutcome() {}
func (turnedAway) writeOutcome()  {}
func (unsettled) writeOutcome()   {}

// write carries out a transaction. Once a try has had no answer it is repeated for a while:
// only the transaction itself, or its conditions, can tell then what became of it.
func (s *Service) write(ctx context.Context, txn platform.Txn) writeOutcome {
	if ctx.Err() != nil {
		return turnedAway{errstep.Wrap(ctx.Err(), "write", "store")}
	}
	began := s.config.Clock.Now()
	var first error // of the tries of unknown outcome
	for tries := 1; ; tries++ {
		_, err := s.config.Store.Commit(ctx, txn)
		if ctx.Err() == nil { // a call that its caller's deadline has ended says nothing of the store
			s.health.note(err)
		}
		switch classifyCommit(err) {
		case verdictDone:
			return committed{}
		case verdictConflict:
			return conflicting{unsure: first != nil}
		case verdictRejected:
			if first == nil {
				return turnedAway{errstep.Wrap(err, "write", "store")}
			}
		case verdictUnknown:
			if first == nil {
				first = err
			}
		}
		if s.config.Clock.Since(began) > maxWriteTime || ctx.Err() != nil {
			s.config.Logger.Info("write is not settled", zap.Int("tries", tries), zap.NamedError("first", first), zap.NamedError("last", err))
			return unsettled{errstep.Wrap(platform.Unknown(first), "write", "store")}
		}
		sleep(ctx, writeRetryPause)
	}
}

// commitVerdict is what a transaction's answer says of it. Only what the store names is a denial: an
// error of no class, as one of a call that its caller has given up, leaves all open.
type commitVerdict uint8

const (
	verdictUnknown  commitVerdict = iota // it may have been done, or may still be
	verdictDone                          // it is stored
	verdictConflict                      // not done: a condition failed
	verdictRejected                      // not done: the store did not look at it
)

// classifyCommit draws the verdict from one answer.
func classifyCommit(err error) commitVerdict {
	switch {
	case err == nil:
		return verdictDone
	case errors.Is(err, platform.ErrUnknown): // first, whatever else the error says
		return verdictUnknown
	case errors.Is(err, platform.ErrConflict):
		return verdictConflict
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrLimited, platform.ErrNoLease):
		return verdictRejected
	default:
		return verdictUnknown
	}
}
