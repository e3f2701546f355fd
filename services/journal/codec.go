// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package journal

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/wire"
)

// The first byte of a stored value says how the rest is encoded.
const (
	formatPlain    byte = 'j' // JSON
	formatDeflated byte = 'd' // JSON, deflated
)

// Values below this size aren't worth deflating.
const deflateFrom = 400

// maxInflated bounds what a stored value may inflate to, in bytes.
const maxInflated = 64 << 20

// deflaters are kept, for a new one takes more memory and time than its use.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that is allowed
	}
	return w
}}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode journal value")
	}
	if len(data) < deflateFrom {
		return append([]byte{formatPlain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatDeflated)
	writer, _ := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(&out)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate journal value")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate journal value")
	}
	return out.Bytes(), nil
}

func decode[T wire.Checker](data []byte) (T, error) {
	var zero T
	if len(data) == 0 {
		return zero, errors.Wrap(ErrDamaged, "empty value")
	}
	plain := data[1:]
	switch data[0] {
	case formatPlain:
	case formatDeflated:
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxInflated+1))
		if err != nil || len(inflated) > maxInflated {
			return zero, errors.Wrapf(ErrDamaged, "value doesn't inflate: %v", err)
		}
		plain = inflated
	default:
		return zero, errors.Wrapf(ErrDamaged, "unknown format %q", data[0])
	}
	value, err := wire.DecodeBytes[T](plain)
	if err != nil {
		return zero, errors.Mark(err, ErrDamaged)
	}
	return value, nil
}
