// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package platform is how rillsail reaches what the platform gives: the key-value
// service, the VM list and the workers. The interfaces say what rillsail needs;
// the HTTP adapters beside them are the only code that knows a wire form, so that
// another platform takes another adapter and nothing else.
//
// # Usage
//
//	store := platform.NewHTTPStore(platform.HTTPConfig{Address: "127.0.0.1:7100"})
//	record, err := store.Get(ctx, "config/head")
//	if errors.Is(err, platform.ErrNotFound) { … }
//
// # Guards
//
// The worker adapter offers all guards that models.Guard names: epochs,
// incarnations, barred attempts and leases by the worker's own clock. An adapter
// for a platform without one of them has to replace it by a wait: without epochs
// an owner must let one lease pass after each takeover before it starts anything;
// without barring it must let the longest time a call can be on its way pass
// after each stop that found nothing.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// Errors of the store. Of a write, only ErrUnknown leaves open whether it took effect.
var (
	// ErrNotFound says that the key is not there.
	ErrNotFound = errors.New("key not found")
	// ErrConflict says that the key's version is not the expected one; nothing changed.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the store can't be reached; nothing changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrLimited says that the store's rate limit is reached; nothing changed.
	ErrLimited = errors.New("store rate limit reached")
	// ErrUnknown says that no answer came; a write may have taken effect.
	ErrUnknown = errors.New("store did not answer, the write may have taken effect")
	// ErrCompacted says that a watch asks for changes that are no longer kept.
	ErrCompacted = errors.New("changes are no longer kept")
	// ErrTooLarge says that the answer is larger than the caller reads; nothing changed.
	ErrTooLarge = errors.New("answer is too large")
	// ErrNoLease says that the lease has lapsed.
	ErrNoLease = errors.New("lease has lapsed")
)

// Version is the store's revision at which a key was last written; 0 means absent.
type Version uint64

// LeaseID names a lease of the store; 0 means none.
type LeaseID uint64

// Record is a key with its value.
type Record struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"` // in changes only
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Record, error)
	// List reads all keys with the prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Record, Version, error)
	// Swap writes the key if its version is expect, and gives the new version.
	Swap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until a key with the prefix changes after the revision, and gives
	// the changes, or none when the wait is over.
	Watch(ctx context.Context, prefix string, after Version) ([]Record, Version, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive prolongs a lease; ErrNoLease when it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// List is the platform's list of VMs.
type List interface {
	VMs(ctx context.Context) (models.VMList, error)
}

// Workers reaches the agents on the workers, by the address in the VM list. All
// calls may be repeated.
type Workers interface {
	Start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error)
	Renew(ctx context.Context, address string, call models.RenewCall) (models.RenewAnswer, error)
	Stop(ctx context.Context, address string, call models.StopCall) (models.StopAnswer, error)
}
