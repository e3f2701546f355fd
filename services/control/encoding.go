// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// decode decodes the value of a key.
func decode[T wire.Checker](record platform.Record) (T, error) {
	value, err := wire.DecodeBytes[T](record.Value)
	return value, errors.Wrapf(err, "key %s", record.Key)
}

// readWithVersion reads the value and the version of a key; both are zero if the key does not exist.
func readWithVersion[T wire.Checker](ctx context.Context, store platform.Store, key string) (T, platform.Version, error) {
	var zero T
	record, err := store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return zero, 0, nil
	}
	if err != nil {
		return zero, 0, err
	}
	value, err := decode[T](record)
	return value, record.Version, err
}

// decodeRecord decodes the record of a job and sets its version to that of the key.
func decodeRecord(stored platform.Record) (jobs.Record, error) {
	record, err := decode[jobs.Record](stored)
	record.Version = uint64(stored.Version)
	return record, err
}

// keyValue is a key and the value to be written to it.
type keyValue struct {
	key   string
	value any
}

// encodeWrites encodes values as writes.
func encodeWrites(puts []keyValue) ([]platform.Write, error) {
	writes := make([]platform.Write, 0, len(puts))
	for _, p := range puts {
		value, err := json.Marshal(p.value)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", p.key)
		}
		writes = append(writes, platform.Write{Key: p.key, Value: value})
	}
	return writes, nil
}

// putTxn returns a transaction that writes one value.
func putTxn(key string, value any) (platform.Txn, error) {
	writes, err := encodeWrites([]keyValue{{key, value}})
	return platform.Txn{Put: writes}, err
}
