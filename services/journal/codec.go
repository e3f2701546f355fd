// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/pack"
	"rillsail.example/rillsail/modules/wire"
)

const (
	minDeflateSize = 400      // in bytes; smaller values are stored without compression
	maxInflated    = 64 << 20 // in bytes, of a stored value after decompression
)

var packer = pack.New(pack.Config{MinDeflate: minDeflateSize, MaxInflated: maxInflated})

func encode(value any) ([]byte, error) { return packer.Pack(value) }

func decode[T wire.Checker](data []byte) (T, error) {
	plain, err := packer.Unpack(data)
	if err != nil {
		var zero T
		return zero, errors.Mark(err, ErrDamaged)
	}
	value, err := wire.DecodeBytes[T](plain)
	if err != nil {
		return value, errors.Mark(err, ErrDamaged)
	}
	return value, nil
}
