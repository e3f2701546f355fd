// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// storedStatus is what the store says of a job that was handed in.
type storedStatus uint8

const (
	statusUnknown storedStatus = iota // it can't be read, or a write may still follow
	statusStored
	statusBarred // it was cancelled before it was stored, and never will be
	statusAbsent // it is not stored, and no write of this daemon can store it any more
)

// errUnresolvedWrite says that a write without answer may have stored a job.
var errUnresolvedWrite = errors.New("an earlier write of the job had no answer and may have stored it")

// result is what a caller is told of a job that is not certainly absent, given the version
// that a write in doubt depends on.
func (f storedStatus) result(doubt platform.Version) submitResult {
	switch f {
	case statusStored:
		return submitResult{outcome: platform.Done{}}
	case statusBarred:
		return unfit("job was cancelled before it was accepted")
	default:
		return submitResult{outcome: platform.MaybeDone{Cause: errUnresolvedWrite}, unresolved: doubt}
	}
}

// nextOutcome reads what became of a job whose writes depend on a version of this daemon's key. The
// key is read first: once it has changed, no such write can follow, so that a job that is not
// found after it will not be there later. A job that moves between its cells is found, for a
// record stays in the cell that it leaves; and none is removed before it has ended long ago.
func (s *Service) storedStatusOf(ctx context.Context, id jobs.ID, registered platform.Version) storedStatus {
	layout := s.Cells.layout()
	if layout == nil || !s.health.good() {
		return statusUnknown
	}
	settled := s.registrationChanged(ctx, registered)
	entries, err := s.entriesOf(ctx, id, layout)
	switch {
	case err != nil:
		return statusUnknown
	case entries.known():
		return statusStored
	case entries.barred():
		return statusBarred
	case settled:
		return statusAbsent
	default:
		return statusUnknown
	}
}

// registrationChanged tells whether this daemon's own key is certainly not there any more in a version.
func (s *Service) registrationChanged(ctx context.Context, registered platform.Version) bool {
	record, err := s.config.Store.Get(ctx, daemonKey(s.config.Self))
	s.health.note(err)
	if err != nil {
		return errors.Is(err, platform.ErrNotFound)
	}
	return record.Version != registered
}
