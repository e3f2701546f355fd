// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package pack encodes values compactly as JSON, which is deflated above a minimum size. The first byte of the
// encoding gives the format.
//
// # Usage
//
//	packer := pack.New(pack.Config{Dictionary: dictionary, MinDeflate: 128, MaxInflated: 64 << 20})
//	data, err := packer.Pack(value)
//	plain, err := packer.Unpack(data) // the JSON
//
// A Packer is safe for concurrent use.
package pack

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Config sets the parameters of compression. Packing and unpacking must use the same dictionary.
type Config struct {
	Dictionary  string // common substrings of values; may be empty
	MinDeflate  int    // size of a value's JSON in bytes from which it is deflated
	MaxInflated int64  // maximum size of an inflated value in bytes
}

// Formats of a packed value, given by its first byte.
const (
	formatPlain    byte = 'j' // JSON
	formatDeflated byte = 'd' // JSON, deflated with the dictionary
)

// Packer packs and unpacks values.
type Packer struct {
	config Config
	// writers are reused, since creating a writer takes more memory and time than using it.
	writers sync.Pool
}

// New returns a packer.
func New(config Config) *Packer {
	p := &Packer{config: config}
	p.writers.New = func() any {
		w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(config.Dictionary))
		if err != nil {
			panic(err) // cannot happen: the level is a valid constant
		}
		return w
	}
	return p
}

// Pack encodes a value.
func (p *Packer) Pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode value")
	}
	if len(data) < p.config.MinDeflate {
		return append([]byte{formatPlain}, data...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatDeflated)
	w, _ := p.writers.Get().(*flate.Writer)
	defer p.writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate value")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate value")
	}
	return out.Bytes(), nil
}

// Unpack returns the JSON of a packed value.
func (p *Packer) Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, errors.New("value is empty")
	}
	switch data[0] {
	case formatPlain:
		return data[1:], nil
	case formatDeflated:
		return p.inflate(data[1:])
	default:
		return nil, errors.Newf("value has unknown format %q", data[0])
	}
}

func (p *Packer) inflate(data []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(data), []byte(p.config.Dictionary))
	plain, err := io.ReadAll(io.LimitReader(r, p.config.MaxInflated+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate value")
	}
	if int64(len(plain)) > p.config.MaxInflated {
		return nil, errors.Newf("value inflates to more than %d bytes", p.config.MaxInflated)
	}
	return plain, nil
}
