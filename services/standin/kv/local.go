// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package kv

import (
	"context"
	"strings"
	"time"

	"rillsail.example/rillsail/services/platform"
)

var _ platform.TxnStore = (*Local)(nil)

// Local implements platform.TxnStore by direct calls to a Service, for tests that run many daemons in one process.
type Local struct {
	Service   *Service
	Fault     Fault
	WatchWait time.Duration // how long a watch waits for changes
	// Unlimited lets writes exceed the limits of the service, as those of writers other than the daemons may.
	Unlimited bool
}

// Fault is called before and after each call. An error before the call prevents its effect, an error after the call
// loses its answer. A Fault may also block.
type Fault func(ctx context.Context, write, after bool, key string) error

func (l *Local) callWithFaults(ctx context.Context, write bool, key string, perform func() (platform.StoreAnswer, error)) (platform.StoreAnswer, error) {
	if err := l.Fault(ctx, write, false, key); err != nil {
		return platform.StoreAnswer{}, err
	}
	answer, err := perform()
	if err != nil {
		return answer, err
	}
	return answer, l.Fault(ctx, write, true, key)
}

// Get implements platform.Store.
func (l *Local) Get(ctx context.Context, key string) (platform.Record, error) {
	answer, err := l.callWithFaults(ctx, false, key, func() (platform.StoreAnswer, error) { return l.Service.get(key) })
	if err != nil {
		return platform.Record{}, err
	}
	return answer.Records[0], nil
}

// List implements platform.Store.
func (l *Local) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	answer, err := l.callWithFaults(ctx, false, prefix, func() (platform.StoreAnswer, error) { return l.Service.list(prefix), nil })
	return answer.Records, answer.Version, err
}

// Swap implements platform.Store.
func (l *Local) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	call := platform.StoreCall{Key: key, Value: value, Expect: expect, Lease: lease}
	answer, err := l.callWithFaults(ctx, true, key, func() (platform.StoreAnswer, error) {
		l.Service.countWrite(len(value))
		if err := l.checkLimits(platform.Txn{Put: []platform.Write{{Key: key, Value: value}}}); err != nil {
			return platform.StoreAnswer{}, err
		}
		return l.Service.swap(call)
	})
	return answer.Version, err
}

// Commit implements platform.TxnStore. The Fault is called with the first key that is written.
func (l *Local) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	key := ""
	if len(txn.Put) > 0 {
		key = txn.Put[0].Key
	}
	answer, err := l.callWithFaults(ctx, true, key, func() (platform.StoreAnswer, error) {
		l.Service.countWrite(0)
		if err := l.checkLimits(txn); err != nil {
			return platform.StoreAnswer{}, err
		}
		return l.Service.commit(txn)
	})
	return answer.Version, err
}

// checkLimits returns an ErrInvalid if a transaction exceeds a limit of the service that applies.
func (l *Local) checkLimits(txn platform.Txn) error {
	if l.Unlimited {
		return nil
	}
	return txn.CheckLimits(l.Service.maxValueSize)
}

// Revoke implements platform.TxnStore.
func (l *Local) Revoke(ctx context.Context, lease platform.LeaseID) error {
	_, err := l.callWithFaults(ctx, true, "", func() (platform.StoreAnswer, error) {
		l.Service.expire(lease)
		return platform.StoreAnswer{}, nil
	})
	return err
}

// Delete implements platform.Store.
func (l *Local) Delete(ctx context.Context, key string, expect platform.Version) error {
	_, err := l.callWithFaults(ctx, true, key, func() (platform.StoreAnswer, error) {
		return platform.StoreAnswer{}, l.Service.remove(key, expect)
	})
	return err
}

// Watch implements platform.Store.
func (l *Local) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	answer, err := l.callWithFaults(ctx, false, prefix, func() (platform.StoreAnswer, error) {
		return l.Service.watch(ctx, prefix, after, l.WatchWait)
	})
	return answer.Records, answer.Version, err
}

// Grant implements platform.Store.
func (l *Local) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	answer, err := l.callWithFaults(ctx, true, "", func() (platform.StoreAnswer, error) { return l.Service.grant(ttl), nil })
	return answer.Lease, err
}

// KeepAlive implements platform.Store.
func (l *Local) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := l.callWithFaults(ctx, true, "", func() (platform.StoreAnswer, error) {
		return platform.StoreAnswer{}, l.Service.keepAlive(lease)
	})
	return err
}

func (s *Service) countWrite(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.stats.BytesIn += int64(bytes)
}

// NoFault is a Fault that never fails.
func NoFault(context.Context, bool, bool, string) error { return nil }

// KeysWithPrefix returns the keys with a prefix, in no particular order, for checks of what remains stored.
func (s *Service) KeysWithPrefix(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}
