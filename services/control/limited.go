// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"rillsail.example/rillsail/services/platform"
)

// limitedStore is a store to which no transaction is sent that exceeds its limits. The store would refuse it, each time
// at the cost of a large call.
type limitedStore struct {
	platform.TxnStore
	maxValueSize int // in bytes
}

// Commit implements platform.TxnStore; ErrInvalid if the transaction exceeds a limit.
func (l *limitedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	if err := txn.CheckLimits(l.maxValueSize); err != nil {
		return 0, err
	}
	return l.TxnStore.Commit(ctx, txn)
}
