// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// fate is what the store says of a job that was handed in.
type fate uint8

const (
	fateUnknown fate = iota // it can't be read, or a write may still follow
	fateStored
	fateBarred // it was cancelled before it was stored, and never will be
	fateAbsent // it is not stored, and no write of this daemon can store it any more
)

// errInDoubt says that a write without answer may have stored a job.
var errInDoubt = errors.New("an earlier write of the job had no answer and may have stored it")

// result is what a caller is told of a job that is not certainly absent, given the version
// that a write in doubt depends on.
func (f fate) result(doubt platform.Version) submitResult {
	switch f {
	case fateStored:
		return submitResult{outcome: platform.Done{}}
	case fateBarred:
		return unfit("job was cancelled before it was accepted")
	default:
		return submitResult{outcome: platform.MaybeDone{Cause: errInDoubt}, doubt: doubt}
	}
}

// fateOf reads what became of a job whose writes depend on a version of this daemon's key. The
// key is read first: once it has changed, no such write can follow, so that a job that is not
// found after it will not be there later. A job that moves between its cells is found, for a
// record stays in the cell that it leaves; and none is removed before it has ended long ago.
func (s *Service) fateOf(ctx context.Context, id jobs.ID, registered platform.Version) fate {
	layout := s.Cells.layout()
	if layout == nil || !s.health.good() {
		return fateUnknown
	}
	settled := s.keyHasChanged(ctx, registered)
	entries, err := s.entriesOf(ctx, id, layout)
	switch {
	case err != nil:
		return fateUnknown
	case entries.known():
		return fateStored
	case entries.barred():
		return fateBarred
	case settled:
		return fateAbsent
	default:
		return fateUnknown
	}
}

// keyHasChanged tells whether this daemon's own key is certainly not there any more in a version.
func (s *Service) keyHasChanged(ctx context.Context, registered platform.Version) bool {
	record, err := s.config.Store.Get(ctx, daemonKey(s.config.Self))
	s.health.note(err)
	if err != nil {
		return errors.Is(err, platform.ErrNotFound)
	}
	return record.Version != registered
}
