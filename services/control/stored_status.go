// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// storedStatus is what the store holds of a submitted job.
type storedStatus uint8

const (
	statusUnknown storedStatus = iota // the store can't be read, or a write may still store the job
	statusStored
	statusBarred // the job was cancelled before it was stored, and never will be stored
	statusAbsent // the job is not stored, and no write of this daemon can store it any more
)

// errUnresolvedWrite reports that a write of unknown outcome may have stored a job.
var errUnresolvedWrite = errors.New("an earlier write of the job had no answer and may have stored it")

// result returns the result of a submission whose job is not known to be absent. unresolved is the version
// that a write of unknown outcome is conditioned on.
func (s storedStatus) result(unresolved platform.Version) submitResult {
	switch s {
	case statusStored:
		return submitResult{outcome: platform.Done{}}
	case statusBarred:
		return unfit("job was cancelled before it was accepted")
	default:
		return submitResult{outcome: platform.MaybeDone{Cause: errUnresolvedWrite}, unresolved: unresolved}
	}
}

// storedStatusOf reads the status of a job whose writes are conditioned on a version of this daemon's key.
// The key is read first: once it has changed, no such write can follow, so a job that is not found
// afterwards will not appear later. A job that moves between cells is always found, because a record stays
// in the cell that it leaves, and records are removed only long after the job has ended.
func (s *Service) storedStatusOf(ctx context.Context, id jobs.ID, registered platform.Version) storedStatus {
	layout := s.Cells.layout()
	if layout == nil || !s.health.available() {
		return statusUnknown
	}
	settled := s.registrationChanged(ctx, registered)
	entries, err := s.readEntries(ctx, id, layout)
	switch {
	case err != nil:
		return statusUnknown
	case entries.stored():
		return statusStored
	case entries.barred():
		return statusBarred
	case settled:
		return statusAbsent
	default:
		return statusUnknown
	}
}

// registrationChanged reports whether this daemon's own key certainly no longer has the given version.
func (s *Service) registrationChanged(ctx context.Context, registered platform.Version) bool {
	record, err := s.config.Store.Get(ctx, daemonKey(s.config.Self))
	s.health.record(err)
	if err != nil {
		return errors.Is(err, platform.ErrNotFound)
	}
	return record.Version != registered
}
