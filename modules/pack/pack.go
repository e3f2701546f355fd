// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package pack puts a value into few bytes: its JSON, deflated when that is worth
// it. The first byte says which.
//
// # Usage
//
//	packer := pack.New(pack.Config{Dictionary: dictionary, From: 128, Limit: 64 << 20})
//	data, err := packer.Pack(value)
//	plain, err := packer.Unpack(data) // the JSON
//
// A Packer may be used by several goroutines at a time.
package pack

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Config says how to deflate. Who unpacks must have the same dictionary.
type Config struct {
	Dictionary string // what values are mostly made of; may be empty
	From       int    // values below this many bytes aren't worth deflating
	Limit      int64  // bytes that a value may inflate to
}

// The first byte of a packed value.
const (
	formatPlain    byte = 'j' // JSON
	formatDeflated byte = 'd' // JSON, deflated with the dictionary
)

// Packer packs and unpacks.
type Packer struct {
	config Config
	// writers are kept, for a new one takes more memory and time than its use.
	writers sync.Pool
}

// New makes a packer.
func New(config Config) *Packer {
	p := &Packer{config: config}
	p.writers.New = func() any {
		w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(config.Dictionary))
		if err != nil {
			panic(err) // the level is a constant that is allowed
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
	if len(data) < p.config.From {
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

// Unpack gives the JSON of a packed value.
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
	plain, err := io.ReadAll(io.LimitReader(r, p.config.Limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate value")
	}
	if int64(len(plain)) > p.config.Limit {
		return nil, errors.Newf("value inflates to more than %d bytes", p.config.Limit)
	}
	return plain, nil
}
