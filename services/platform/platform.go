// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package platform declares the platform services that rillsail depends on: the key-value store, the VM list and
// the workers. Only the HTTP adapters in this package know the wire format, so supporting another platform takes
// another adapter and no other change.
//
// # Usage
//
//	store := platform.NewHTTPStore(platform.HTTPConfig{Address: "127.0.0.1:7100"})
//	record, err := store.Get(ctx, "config/head")
//	if errors.Is(err, platform.ErrNotFound) { … }
//
// # Guards
//
// The worker adapter supports all guards that models.Guard names: epochs, incarnations, barred attempts and leases
// measured by the worker's clock. An adapter for a platform that lacks a guard has to replace it by a wait. Without
// epochs, an owner must wait for one lease after each takeover before it starts anything. Without barring, an owner
// must wait for the longest time that a call can be in flight after each stop that found nothing.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// Errors of the store. A write that fails may have taken effect only if the error is ErrUnknownOutcome.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict says that the key's version is not the expected one; nothing changed.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the store cannot be reached; nothing changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRateLimited says that the store rejected the call by its rate limit; nothing changed.
	ErrRateLimited = errors.New("store rate limit reached")
	// ErrUnknownOutcome says that no answer arrived; a write may have taken effect.
	ErrUnknownOutcome = errors.New("store did not answer, the write may have taken effect")
	// ErrCompacted says that the store no longer keeps the changes that a watch asks for.
	ErrCompacted = errors.New("changes are no longer kept")
	// ErrTooLarge says that the answer exceeds the size that the client reads; nothing changed.
	ErrTooLarge = errors.New("answer is too large")
	// ErrInvalid says that the store does not accept the call as it is, for example because a value is too large; nothing
	// changed, and the same call will not be accepted later either.
	ErrInvalid = errors.New("store does not accept the call")
	// ErrNoLease says that the lease has lapsed.
	ErrNoLease = errors.New("lease has lapsed")
)

// Version is the store's revision at which a key was last written; 0 means that the key is absent.
type Version uint64

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID uint64

// Record is a key with its value and version.
type Record struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"` // set only in the changes that Watch returns
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Record, error)
	// List reads all keys with the prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]Record, Version, error)
	// Swap writes the key if its version is expect, and returns the new version.
	Swap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until a key with the prefix changes after the revision. It returns the changes, or none when the
	// wait is over, and the revision for the next call.
	Watch(ctx context.Context, prefix string, after Version) ([]Record, Version, error)
	// Grant creates a lease that ends after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ErrNoLease when it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) (models.VMList, error)
}

// Workers calls the agents on the workers by their addresses in the VM list. All calls are idempotent.
type Workers interface {
	Start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error)
	Renew(ctx context.Context, address string, call models.RenewCall) (models.RenewAnswer, error)
	Stop(ctx context.Context, address string, call models.StopCall) (models.StopAnswer, error)
}
