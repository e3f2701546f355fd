// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Precondition requires that a key has a version; version 0 means that the key must be absent.
type Precondition struct {
	Key     string
	Version Version
}

// Write sets a key. With a lease, the store deletes the key when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn changes several keys atomically, provided that all preconditions hold.
type Txn struct {
	Require []Precondition
	Put     []Write
	Delete  []string
}

// Entries returns the number of entries, preconditions included.
func (t Txn) Entries() int { return len(t.Require) + len(t.Put) + len(t.Delete) }

// CheckLimits returns an ErrInvalid that names what no store accepts: too many entries, or a value above maxValueSize.
func (t Txn) CheckLimits(maxValueSize int) error {
	if t.Entries() > MaxTxnEntries {
		return errors.Mark(errors.Newf("transaction has %d entries, at most %d are accepted", t.Entries(), MaxTxnEntries), ErrInvalid)
	}
	for _, w := range t.Put {
		if len(w.Value) > maxValueSize {
			return errors.Mark(errors.Newf("value of %s has %d bytes, at most %d are accepted", w.Key, len(w.Value), maxValueSize), ErrInvalid)
		}
	}
	return nil
}

// MaxTxnEntries is the largest number of entries in a Txn, preconditions included.
const MaxTxnEntries = 32

// TxnStore is a key-value service with transactions over several keys.
type TxnStore interface {
	Store
	// Commit executes the transaction, or returns ErrConflict when a precondition fails.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Errors of calls to job workers. Only after ErrUnknownOutcome may the worker have executed the call, or still
// execute it.
var (
	// ErrIncarnationMismatch says that the worker at the address is another incarnation than the call names.
	ErrIncarnationMismatch = errors.New("another incarnation of the worker runs at the address")
	// ErrOverloaded says that the worker is overloaded or unhealthy and did not execute the call.
	ErrOverloaded = errors.New("worker did not execute the call: it is overloaded or unhealthy")
	// ErrUnreachable says that no connection to the worker was established, so nothing was executed.
	ErrUnreachable = errors.New("no connection to the worker: the call was not sent")
	// ErrConnectionRefused says that the address refuses connections. Such an error is marked ErrUnreachable as well.
	ErrConnectionRefused = errors.New("connection refused: no process listens at the worker's address")
)

// IncarnationMismatchError is an ErrIncarnationMismatch that identifies the incarnation found at the address. That
// incarnation did not execute the call.
type IncarnationMismatchError struct {
	StartTime models.UnixMilli // start time of the incarnation found; 0 if unknown
}

// Error implements error.
func (e *IncarnationMismatchError) Error() string { return ErrIncarnationMismatch.Error() }

// Is implements errors.Is for ErrIncarnationMismatch.
func (e *IncarnationMismatchError) Is(target error) bool { return target == ErrIncarnationMismatch }

// RefusedError says that the worker refused the call and did not execute it.
type RefusedError struct {
	Reason jobs.Refusal
	Clock  models.Milli // reading of the worker's clock
}

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused: " + string(e.Reason) }

// JobWorkers calls the workers that run the tasks of jobs. Each answer carries a reading of the worker's clock.
// A call is executed only by the incarnation that it names; if another incarnation is at the address, the call
// fails with an IncarnationMismatchError. A worker given without a start time is identified by its id alone.
type JobWorkers interface {
	// StartRun starts a run. The call is idempotent.
	StartRun(ctx context.Context, worker jobs.Worker, call jobs.StartCall) (models.Milli, error)
	// StopRun stops a run, so that later reports list it as ended, or bars a run that has not started.
	StopRun(ctx context.Context, worker jobs.Worker, call jobs.StopCall) (models.Milli, error)
	// SetPace sets the pace to which a run is throttled.
	SetPace(ctx context.Context, worker jobs.Worker, call jobs.PaceCall) (models.Milli, error)
	// RenewLease renews the lease of all runs on the worker and returns a report on them.
	RenewLease(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) (jobs.Report, error)
}

// WorkerChange is an entry of the worker list that was added, updated or removed.
type WorkerChange struct {
	Worker  jobs.Worker // only the id is set for a removed entry
	Removed bool
}

// WorkerList is the platform's list of job workers. An entry that was not written by its worker or cannot be
// parsed counts as absent; the other entries remain valid.
type WorkerList interface {
	// JobWorkers reads the whole list and returns the version from which to follow changes.
	JobWorkers(ctx context.Context) ([]jobs.Worker, Version, error)
	// WorkerChanges waits until the list changes after the version. It returns the changes in order, or none when
	// the wait is over, and the version for the next call. After ErrCompacted or ErrTooLarge the whole list has to
	// be read again.
	WorkerChanges(ctx context.Context, after Version) ([]WorkerChange, Version, error)
}

// CordonList is the operators' list of cordoned failure domains.
type CordonList interface {
	// Cordons reads the whole list.
	Cordons(ctx context.Context) ([]jobs.Cordon, error)
}

// ConfigurationFeed is the source of the operators' configuration.
type ConfigurationFeed interface {
	// Configuration reads the newest configuration; ErrNotFound when none exists yet.
	Configuration(ctx context.Context) (jobs.Configuration, Version, error)
	// NextConfiguration waits for a configuration stored after the version; ErrNotFound when none arrives in time.
	// The returned version is the one for the next call, also with ErrNotFound. ErrTooLarge says that several
	// configurations were stored since, and that reading the newest alone is faster than fetching all of them.
	NextConfiguration(ctx context.Context, after Version) (jobs.Configuration, Version, error)
}

// JobService is the service behind the callers' interface: it accepts jobs and answers questions about them.
type JobService interface {
	// ActiveConfiguration returns the configuration in force; nil when there is none yet.
	ActiveConfiguration() *jobs.Configuration
	// Submit accepts a job durably or refuses it.
	Submit(ctx context.Context, spec jobs.Spec, queue jobs.Queue) Outcome
	// State returns the state of a job; ErrNotFound when the job does not exist.
	State(ctx context.Context, id jobs.ID) (jobs.State, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, id jobs.ID) Outcome
	// Pending returns the number of the queue's accepted jobs none of whose tasks has begun.
	Pending(ctx context.Context, queue jobs.QueueName) (int, error)
}
