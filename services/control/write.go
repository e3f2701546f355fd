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
	// writeRetry is the pause before a write without answer is repeated.
	writeRetry = 50 * time.Millisecond
	// writeMost is for how long it is repeated: a caller that hears that nothing is known
	// asks another daemon, which may reach the store.
	writeMost = 900 * time.Millisecond
)

// written is what is known of a transaction, from all of its tries together: committed,
// conflicting, turnedAway or unsettled. The set is closed. An error could not say it: what the
// store answers to the last try is one thing, what became of the tries before it another, and
// an error that carried both was taken for a refusal of writes that had been done.
type written interface{ written() }

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

func (committed) written()   {}
func (conflicting) written() {}
func (turnedAway) written()  {}
func (unsettled) written()   {}

// write carries out a transaction. Once a try has had no answer it is repeated for a while:
// only the transaction itself, or its conditions, can tell then what became of it.
func (s *Service) write(ctx context.Context, txn platform.Txn) written {
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
		switch verdictOn(err) {
		case verdictDone:
			return committed{}
		case verdictConflict:
			return conflicting{unsure: first != nil}
		case verdictTurnedAway:
			if first == nil {
				return turnedAway{errstep.Wrap(err, "write", "store")}
			}
		case verdictOpen:
			if first == nil {
				first = err
			}
		}
		if s.config.Clock.Since(began) > writeMost || ctx.Err() != nil {
			s.config.Logger.Info("write is not settled", zap.Int("tries", tries), zap.NamedError("first", first), zap.NamedError("last", err))
			return unsettled{errstep.Wrap(platform.Unknown(first), "write", "store")}
		}
		sleep(ctx, writeRetry)
	}
}

// verdict is what a transaction's answer says of it. Only what the store names is a denial: an
// error of no class, as one of a call that its caller has given up, leaves all open.
type verdict uint8

const (
	verdictOpen       verdict = iota // it may have been done, or may still be
	verdictDone                      // it is stored
	verdictConflict                  // not done: a condition failed
	verdictTurnedAway                // not done: the store did not look at it
)

// verdictOn draws the verdict from one answer.
func verdictOn(err error) verdict {
	switch {
	case err == nil:
		return verdictDone
	case errors.Is(err, platform.ErrUnknown): // first, whatever else the error says
		return verdictOpen
	case errors.Is(err, platform.ErrConflict):
		return verdictConflict
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrLimited, platform.ErrNoLease):
		return verdictTurnedAway
	default:
		return verdictOpen
	}
}
