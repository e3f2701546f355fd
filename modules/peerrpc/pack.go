// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package peerrpc holds the calls between daemons, generated from peer.proto, and
// packs the bodies that they carry.
//
// # Usage
//
//	body, err := peerrpc.Pack(heartbeat)
//	data, err := peerrpc.Unpack(envelope.Body, limit)
package peerrpc

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// dictionary holds what heartbeats are mostly made of. All daemons must have the
// same; a change of it needs another first byte.
const dictionary = `{"member":{"id":"entry-","incarnation":"","domain":"","peer_address":"10.0.0."},` +
	`"uptime_ms":,"revision":,"cells":{"cell-rack-":{"epoch":,"free":{"cpu_milli":,"memory_mib":},` +
	`"room":{"cpu_milli":,"memory_mib":},"teams":{"":{"cpu_milli":,"memory_mib":}},"waiting":0},` +
	`"load":{"upstream-":100,"upstream-":200},"waiting":,"leaving_vms":["upstream-"]}`

// The first byte of a packed body says how the rest is encoded.
const (
	formatPlain    byte = 'j' // JSON
	formatDeflated byte = 'd' // JSON, deflated with the dictionary
)

// Bodies below this size aren't worth deflating.
const deflateFrom = 128

// writers are kept, for a new one costs more than its use.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(dictionary))
	if err != nil {
		panic(err) // the level is a constant that is allowed
	}
	return w
}}

// Pack encodes a domain type.
func Pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	if len(data) < deflateFrom {
		return append([]byte{formatPlain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatDeflated)
	w, _ := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate body")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate body")
	}
	return out.Bytes(), nil
}

// Unpack gives the JSON of a packed body of at most limit bytes.
func Unpack(body []byte, limit int64) ([]byte, error) {
	if len(body) == 0 {
		return nil, errors.New("body is empty")
	}
	switch body[0] {
	case formatPlain:
		return body[1:], nil
	case formatDeflated:
		r := flate.NewReaderDict(bytes.NewReader(body[1:]), []byte(dictionary))
		data, err := io.ReadAll(io.LimitReader(r, limit+1))
		if err != nil {
			return nil, errors.Wrap(err, "inflate body")
		}
		if int64(len(data)) > limit {
			return nil, errors.Newf("body inflates to more than %d bytes", limit)
		}
		return data, nil
	default:
		return nil, errors.Newf("body has unknown format %q", body[0])
	}
}

// MaxBody bounds what a packed body may inflate to, in bytes.
const MaxBody = 64 << 20
