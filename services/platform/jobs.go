// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"context"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Precondition is a key with the version that it must have; version 0 means absent.
type Precondition struct {
	Key     string
	Version Version
}

// Write sets a key. With a lease, the key goes when the lease does.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn changes several keys, all or none.
type Txn struct {
	Require []Precondition
	Put     []Write
	Delete  []string
}

// Entries is how many entries the transaction has.
func (t Txn) Entries() int { return len(t.Require) + len(t.Put) + len(t.Delete) }

// MaxTxnEntries bounds the entries of one Txn, preconditions included.
const MaxTxnEntries = 32

// TxnStore is a key-value service that changes several keys at once.
type TxnStore interface {
	Store
	// Commit carries out the transaction; ErrConflict when a precondition fails.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Revoke ends a lease with its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Errors of calls to job workers. Only ErrUnknown leaves open whether the call was or
// will be carried out.
var (
	// ErrIncarnation says that the worker at the address is another incarnation.
	ErrIncarnation = errors.New("worker is another incarnation")
	// ErrOverloaded says that the worker is not well and did nothing.
	ErrOverloaded = errors.New("worker did nothing, it is overloaded or not well")
	// ErrUnreached says that no connection came about; nothing was done.
	ErrUnreached = errors.New("no connection, nothing was done")
	// ErrNobodyListens says that the address refuses connections. It is an ErrUnreached too.
	ErrNobodyListens = errors.New("nobody listens")
)

// IncarnationError says that the worker at the address is another incarnation, and which one; it is
// an ErrIncarnation. Nothing was done.
type IncarnationError struct {
	Born models.UnixMilli // of the one that is there; 0: not known
}

// Error says so.
func (e *IncarnationError) Error() string { return ErrIncarnation.Error() }

// Is implements errors.Is for ErrIncarnation.
func (e *IncarnationError) Is(target error) bool { return target == ErrIncarnation }

// RefusedError is a worker's refusal; it did nothing.
type RefusedError struct {
	Reason jobs.Refusal
	Clock  models.Milli // the worker's own
}

// Error says the reason.
func (e *RefusedError) Error() string { return "worker refused: " + string(e.Reason) }

// JobWorkers reaches the workers that run the tasks of jobs. Answers carry the worker's
// clock. A call reaches the incarnation that it names, or none, and ends with an IncarnationError
// when another one is there; where it names no start, the id alone counts.
type JobWorkers interface {
	// StartRun starts a run; repeating it is harmless.
	StartRun(ctx context.Context, worker jobs.Worker, call jobs.StartCall) (models.Milli, error)
	// StopRun stops a run, which then shows among the ended, or bars it.
	StopRun(ctx context.Context, worker jobs.Worker, call jobs.StopCall) (models.Milli, error)
	// SetPace throttles a run.
	SetPace(ctx context.Context, worker jobs.Worker, call jobs.PaceCall) (models.Milli, error)
	// ProlongLease prolongs the lease of all runs and reports on them.
	ProlongLease(ctx context.Context, worker jobs.Worker, call jobs.LeaseCall) (jobs.Report, error)
}

// WorkerChange is a worker that has joined or says something new of itself, or one that the
// list doesn't name any more.
type WorkerChange struct {
	Worker jobs.Worker // of one that is gone, the id alone
	Gone   bool
}

// WorkerList is the platform's list of job workers. An entry that is not a worker's own, or
// can't be understood, names no worker; the others hold.
type WorkerList interface {
	// JobWorkers reads the whole list, and gives the version to follow it from.
	JobWorkers(ctx context.Context) ([]jobs.Worker, Version, error)
	// WorkerChanges waits until the list changes after the version, and gives the changes in
	// their order, or none when the wait is over, and the version to go on from.
	// ErrCompacted and ErrTooLarge say that the list has to be read.
	WorkerChanges(ctx context.Context, after Version) ([]WorkerChange, Version, error)
}

// ConfigurationFeed is where operators' configuration comes from.
type ConfigurationFeed interface {
	// Configuration reads the newest one; ErrNotFound when there is none yet.
	Configuration(ctx context.Context) (jobs.Configuration, Version, error)
	// NextConfiguration waits for one newer than the store's version; ErrNotFound when
	// none came in time. The version given is the one to wait from next, also then.
	// ErrTooLarge says that there are several, which take longer to fetch than the newest.
	NextConfiguration(ctx context.Context, after Version) (jobs.Configuration, Version, error)
}

// Callers is what serves the callers of jobs.
type Callers interface {
	// Configured gives the configuration in force; nil when there is none yet.
	Configured() *jobs.Configuration
	// Submit accepts a job for good, or refuses it.
	Submit(ctx context.Context, spec jobs.Spec, queue jobs.Queue) Outcome
	// State tells the state of a job; ErrNotFound when there is no such job.
	State(ctx context.Context, id jobs.ID) (jobs.State, error)
	// Cancel ends a job.
	Cancel(ctx context.Context, id jobs.ID) Outcome
	// Pending counts the queue's accepted jobs that have no task begun.
	Pending(ctx context.Context, queue jobs.QueueName) (int, error)
}
